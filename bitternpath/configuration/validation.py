"""Reading and checking a configuration document (PROTOCOL, "The operator's API")."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import fields
from typing import Any

import dacite

from bitternpath.configuration.documents import Configuration, RequestLimits, Route, Service
from bitternpath.configuration.errors import InvalidConfiguration

LARGEST_VERSION = 2**63 - 1  # records carry it in 64 bits
LARGEST_NUMBER = 10**15  # of any other: no bound or time is near that, and records carry them in 64 bits
_DACITE = dacite.Config(cast=[], type_hooks={float: float}, check_types=True)


def parse_configuration(document: Mapping[str, Any]) -> Configuration:
    """Read and check a whole configuration; raises `InvalidConfiguration`."""
    version = document.get("version")
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise InvalidConfiguration("version: must be a whole number above 0")
    if version > LARGEST_VERSION:
        raise InvalidConfiguration(f"version: must be at most {LARGEST_VERSION}")
    routes = tuple(_item(Route, "routes", raw) for raw in _list(document, "routes"))
    services = tuple(_item(Service, "services", raw) for raw in _list(document, "services"))
    limits = _item(RequestLimits, "limits", document.get("limits", {}))
    configuration = Configuration(version, routes, services, limits)
    _check(configuration)
    return configuration


def _list(document: Mapping[str, Any], section: str) -> list[Any]:
    items = document.get(section)
    if items is None:
        return []
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise InvalidConfiguration(f"{section}: must be a list of objects")
    return items


def _item(kind: type, section: str, raw: Any) -> Any:
    if not isinstance(raw, dict):
        raise InvalidConfiguration(f"{section}: must be an object")
    try:
        _check_numbers(kind, raw)
        return dacite.from_dict(kind, _floats(kind, raw), _DACITE)
    except (dacite.DaciteError, TypeError, ValueError) as error:
        raise InvalidConfiguration(f"{section} {raw.get('name', '')}: {error}") from error


def _check_numbers(kind: type, raw: Mapping[str, Any]) -> None:
    for known in fields(kind):
        value = raw.get(known.name)
        if isinstance(value, int | float) and not abs(value) <= LARGEST_NUMBER:
            raise ValueError(f"{known.name} must be at most {LARGEST_NUMBER}")


def _floats(kind: type, raw: Mapping[str, Any]) -> dict[str, Any]:
    """Whole numbers stand for fractions where a field is one."""
    result = dict(raw)
    for name in ("retention_s", "rate_per_s"):
        if isinstance(result.get(name), int) and not isinstance(result[name], bool):
            result[name] = float(result[name])
    for name in ("timeout_ms", "target_latency_ms", "start_target_ms"):
        if isinstance(result.get(name), float):
            result[name] = int(result[name])
    return result


def _check(configuration: Configuration) -> None:
    _check_unique("services", (service.name for service in configuration.services))
    _check_unique("routes", (route.name for route in configuration.routes))
    services = {service.name for service in configuration.services}
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        if route.service not in services:
            raise InvalidConfiguration(f"routes {route.name}: service {route.service} is not known")
        if route.timeout_ms <= 0:
            raise InvalidConfiguration(f"routes {route.name}: timeout_ms must be above 0")
        if route.max_attempts <= 0 or route.retention_s <= 0:
            raise InvalidConfiguration(f"routes {route.name}: max_attempts and retention_s must be above 0")
        if not route.path_prefix.startswith("/") or not route.host:
            raise InvalidConfiguration(f"routes {route.name}: host is empty or path_prefix has no leading /")
        place = route.host.lower(), route.path_prefix
        if place in places:
            raise InvalidConfiguration(f"routes {route.name}: another route has its host and path_prefix")
        places.add(place)


def _check_unique(section: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if not name or name in seen:
            raise InvalidConfiguration(f"{section}: the name {name!r} is empty or stands twice")
        seen.add(name)
