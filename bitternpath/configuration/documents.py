"""The operator's configuration as typed documents (PROTOCOL, "The operator's API").

`parse_configuration` reads and checks a whole configuration; `apply_patch` makes the next one from named
items. Unknown fields are kept in the raw document, which is what operators get back, and ignored here.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, fields
from typing import Any

import dacite

MOST_NESTED = 32  # levels of a document; a deeper one could be read on one replica and not on another
LARGEST_VERSION = 2**63 - 1  # records carry it in 64 bits
LARGEST_NUMBER = 10**15  # of any other: no bound or time is near that, and records carry them in 64 bits

_DACITE = dacite.Config(cast=[], type_hooks={float: float}, check_types=True)


class InvalidConfiguration(ValueError):
    """A configuration that must be refused; the text says what, where, and what is allowed."""


@dataclass(frozen=True, slots=True)
class Route:
    """Where messages with this host and path prefix go. Times are in milliseconds, retention in seconds."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    route_type: str = "deferred"
    target_latency_ms: int = 1000
    start_target_ms: int = 1000
    priority: int = 0
    max_attempts: int = 3
    ordered: bool = False
    retention_s: float = 90.0
    callback_url: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """What runs messages: workers of the platform's list, one `endpoint`, or workers that pull."""

    name: str
    health_path: str = "/healthz"
    max_connections: int = 64
    rate_per_s: float = 0.0
    idempotent: bool = False
    pull_mode: bool = False
    endpoint: str | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of what clients may send. Sizes are in bytes, times in milliseconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version, checked."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: RequestLimits = field(default_factory=RequestLimits)


class RoutingTable:
    """Looks up routes and services of one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.services = {service.name: service for service in configuration.services}
        self.routes = {route.name: route for route in configuration.routes}
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """The route with the longest prefix of `path` (without query) on a host (port and case aside)."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service_of(self, route: Route) -> Service:
        """The service that a route names; a checked configuration has it."""
        return self.services[route.service]


def read_document(body: bytes) -> dict[str, Any]:
    """The JSON object in a request's body; raises `InvalidConfiguration`."""
    try:
        document = json.loads(body.decode("utf-8"), parse_constant=_no_number, parse_float=_finite)
    except (ValueError, RecursionError) as error:
        raise InvalidConfiguration(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict):
        raise InvalidConfiguration("the body must be a JSON object")
    _check_nesting(document)
    return document


def encode_document(document: Mapping[str, Any]) -> bytes:
    """The bytes in which a checked document is kept and read back."""
    return json.dumps(document, allow_nan=False).encode()


def _no_number(name: str) -> float:
    raise ValueError(f"{name} is no number")


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} is too large")
    return number


def _check_nesting(document: Any) -> None:
    level: list[Any] = [document]
    for _ in range(MOST_NESTED):
        level = [inner for outer in level for inner in _children(outer)]
        if not level:
            return
    raise InvalidConfiguration(f"the body is nested deeper than {MOST_NESTED} levels")


def _children(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


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


def apply_patch(base: Mapping[str, Any], patch: Mapping[str, Any]) -> dict[str, Any]:
    """The document that a patch makes of `base`, not checked yet; raises `InvalidConfiguration`."""
    result = dict(base)
    result["version"] = patch.get("version")
    upsert, remove = patch.get("upsert", {}), patch.get("remove", {})
    if not isinstance(upsert, dict) or not isinstance(remove, dict):
        raise InvalidConfiguration("upsert, remove: must be objects")
    for section in dict.fromkeys([*upsert, *remove]):
        _patch_section(result, section, upsert.get(section), remove.get(section))
    return result


def _patch_section(result: dict[str, Any], section: str, upsert: Any, remove: Any) -> None:
    if isinstance(upsert, dict) and remove is None and isinstance(result.get(section, {}), dict):
        result[section] = {**result.get(section, {}), **upsert}
        return
    if remove is not None and not (isinstance(remove, list) and all(isinstance(n, str) for n in remove)):
        raise InvalidConfiguration(f"remove.{section}: must be a list of names")
    items = {_name(section, item): item for item in _list(result, section)}
    for name in remove or ():
        items.pop(name, None)
    if upsert is not None and not isinstance(upsert, list):
        raise InvalidConfiguration(f"upsert.{section}: must be a list")
    for item in upsert or ():
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise InvalidConfiguration(f"upsert.{section}: each item needs a name")
        items[item["name"]] = item
    result[section] = list(items.values())


def _name(section: str, item: Mapping[str, Any]) -> str:
    name = item.get("name")
    if not isinstance(name, str):
        raise InvalidConfiguration(f"{section}: has items without a name, which a patch can't alter")
    return name


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
