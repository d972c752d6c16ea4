"""Configuration changes that operators send: the documents and the calls that carry them."""

from __future__ import annotations

import copy
import json
from typing import Any

from bitternpath.testing.fault_injection.http_client import Call
from bitternpath.testing.fault_injection.plan import TIMEOUT_MS, route_document
from bitternpath.testing.fault_injection.records import DeliveryKind

TIMEOUTS_MS = (TIMEOUT_MS, TIMEOUT_MS + 200, TIMEOUT_MS + 400)
START_TARGET_MS = 1_200
START_TARGETS = 300  # number of different start targets, used in turn
EXTRA_ROUTE = "route-extra"
JSON = "application/json"


def changed_document(document: dict[str, Any], number: int, version: int) -> dict[str, Any]:
    """Return the document with another time-out and start target, and an extra route added or removed."""
    new_document = copy.deepcopy(document)
    new_document["version"] = version
    routes = [route for route in new_document["routes"] if not route["name"].startswith(EXTRA_ROUTE)]
    timeout_ms = TIMEOUTS_MS[number % len(TIMEOUTS_MS)]
    start_target_ms = START_TARGET_MS + number % START_TARGETS  # unique among `START_TARGETS` changes
    routes[0] = {**routes[0], "timeout_ms": timeout_ms, "start_target_ms": start_target_ms}
    if number % 2:
        routes.append(
            route_document(DeliveryKind.LISTED, TIMEOUT_MS, f"{EXTRA_ROUTE}-{number}", extra_prefix(number))
        )
    new_document["routes"] = routes
    return new_document


def extra_prefix(number: int) -> str:
    """Return the path prefix of the route that change `number` adds."""
    return f"/extra-{number}/"


def invalid_document(new_document: dict[str, Any]) -> dict[str, Any]:
    """Return the document with a route to an unknown service."""
    first, *other_routes = new_document["routes"]
    return {**new_document, "routes": [{**first, "service": "nowhere"}, *other_routes]}


def put_call(base: int, new_document: dict[str, Any]) -> Call:
    """Return a call that replaces the configuration of version `base`."""
    return Call("PUT", "/config", _headers(base), json.dumps(new_document).encode())


def patch_call(document: dict[str, Any], new_document: dict[str, Any]) -> Call:
    """Return a call that sends only the routes in which `new_document` differs from `document`."""
    before = {route["name"]: route for route in document["routes"]}
    after = {route["name"]: route for route in new_document["routes"]}
    patch = {
        "version": new_document["version"],
        "upsert": {"routes": [route for name, route in after.items() if before.get(name) != route]},
        "remove": {"routes": [name for name in before if name not in after]},
    }
    return Call("PATCH", "/config", _headers(document["version"]), json.dumps(patch).encode())


def _headers(base: int) -> dict[str, str]:
    return {"If-Match": str(base), "Content-Type": JSON}
