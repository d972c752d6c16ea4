"""Parsing and validation of a configuration document (PROTOCOL, "The operator's API").

The input was decoded from JSON (`json_documents`). Valid values fit the fields of the records that contain
them, so that no replica can fail on an accepted document.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import fields
from typing import Any, TypeVar

import dacite

from bitternpath.configuration.documents import Configuration, RequestLimits, Route, Service
from bitternpath.configuration.errors import InvalidConfigurationError

MAX_VERSION = 2**63 - 1  # records store versions in 64 bits
MAX_NUMBER = 10**15  # for all other fields: far above any useful value, and records store them in 64 bits

_DACITE = dacite.Config(cast=[], type_hooks={float: float}, check_types=True)
_FLOAT_FIELDS = ("retention_s", "rate_per_s")
_INTEGER_FIELDS = ("timeout_ms", "target_latency_ms", "start_target_ms")

_Item = TypeVar("_Item", Route, Service, RequestLimits)


def parse_configuration(document: Mapping[str, Any]) -> Configuration:
    """Parse and validate a complete configuration.

    Raises:
        InvalidConfigurationError: the message contains the section, the item's name and the permitted values.
    """
    version = document.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise InvalidConfigurationError("version: must be a whole number above 0")
    if version > MAX_VERSION:
        raise InvalidConfigurationError(f"version: must be at most {MAX_VERSION}")
    configuration = Configuration(
        version,
        routes=tuple(_parse_item(Route, "routes", raw) for raw in section_items(document, "routes")),
        services=tuple(_parse_item(Service, "services", raw) for raw in section_items(document, "services")),
        limits=_parse_item(RequestLimits, "limits", document.get("limits", {})),
    )
    _check_unique_names("services", (service.name for service in configuration.services))
    _check_unique_names("routes", (route.name for route in configuration.routes))
    _check_routes(configuration)
    return configuration


def section_items(document: Mapping[str, Any], section: str) -> list[dict[str, Any]]:
    """The objects in a list section of a document; empty where the section is missing or null.

    Raises:
        InvalidConfigurationError: the section isn't a list of objects.
    """
    items = document.get(section)
    if items is None:
        return []
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise InvalidConfigurationError(f"{section}: must be a list of objects")
    return items


def _parse_item(kind: type[_Item], section: str, raw: object) -> _Item:
    if not isinstance(raw, dict):
        raise InvalidConfigurationError(f"{section}: must be an object")
    try:
        _check_numbers(kind, raw)
        item: _Item = dacite.from_dict(kind, _convert_numbers(raw), _DACITE)
    except (dacite.DaciteError, TypeError, ValueError) as error:
        raise InvalidConfigurationError(f"{section} {raw.get('name', '')}: {error}") from error
    return item


def _check_numbers(kind: type[_Item], raw: Mapping[str, Any]) -> None:
    for known in fields(kind):
        value = raw.get(known.name)
        if isinstance(value, int | float) and not abs(value) <= MAX_NUMBER:
            raise ValueError(f"{known.name} must be at most {MAX_NUMBER}")


def _convert_numbers(raw: Mapping[str, Any]) -> dict[str, Any]:
    """A copy with integers converted to floats and floats to integers where the field requires it."""
    converted = dict(raw)
    for name in _FLOAT_FIELDS:
        value = converted.get(name)
        if isinstance(value, int) and not isinstance(value, bool):
            converted[name] = float(value)
    for name in _INTEGER_FIELDS:
        value = converted.get(name)
        if isinstance(value, float):
            converted[name] = int(value)
    return converted


def _check_unique_names(section: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if not name or name in seen:
            raise InvalidConfigurationError(f"{section}: the name {name!r} is empty or stands twice")
        seen.add(name)


def _check_routes(configuration: Configuration) -> None:
    services = {service.name for service in configuration.services}
    locations: set[tuple[str, str]] = set()  # lower-case host, path prefix
    for route in configuration.routes:
        _check_route(route, services)
        location = (route.host.lower(), route.path_prefix)
        if location in locations:
            raise InvalidConfigurationError(
                f"routes {route.name}: another route has its host and path_prefix"
            )
        locations.add(location)


def _check_route(route: Route, services: set[str]) -> None:
    if route.service not in services:
        raise InvalidConfigurationError(f"routes {route.name}: service {route.service} is not known")
    if route.timeout_ms <= 0:
        raise InvalidConfigurationError(f"routes {route.name}: timeout_ms must be above 0")
    if route.max_attempts <= 0 or route.retention_s <= 0:
        raise InvalidConfigurationError(f"routes {route.name}: max_attempts and retention_s must be above 0")
    if not route.path_prefix.startswith("/") or not route.host:
        raise InvalidConfigurationError(f"routes {route.name}: host is empty or path_prefix has no leading /")
