"""The three HTTP servers of an edge node: front, readiness and control."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource

from bitternpath.configuration.documents import RequestLimits
from bitternpath.ingress import control, interface
from bitternpath.ingress.interfaces import NodeService
from bitternpath.ingress.messages import MessageResource
from bitternpath.ingress.site import HttpSite

CONTROL_LIMITS = RequestLimits(max_body_bytes=16 * 1024 * 1024)  # a whole configuration
READINESS_LIMITS = RequestLimits(max_header_bytes=4_096, max_body_bytes=0)
CONTROL_CONNECTIONS = 64  # callers of the control address are few
READINESS_CONNECTIONS = 64  # a question a second, each of which may leave its connection idle


def _wall_ms() -> int:
    return int(time.time() * 1000)


class FrontSite(HttpSite):
    """The server of `listen.front`."""

    def __init__(
        self, node: NodeService, origin: str, max_connections: int, wall_ms: Callable[[], int], reactor: Any
    ) -> None:
        super().__init__(self._choose, self._limits, max_connections, reactor)
        self._node = node
        self._interface = interface.FrontInterface(node, reactor)
        self._calls: Resource = self._interface.app.resource()
        self._messages = MessageResource(node, origin, wall_ms, reactor)
        self._default_limits = RequestLimits()

    def begin_shutdown(self) -> Deferred[None]:
        """As `HttpSite.begin_shutdown`; workers that wait for a job get 204 at once."""
        drained = super().begin_shutdown()
        self._interface.release_pulls()
        return drained

    def _limits(self) -> RequestLimits:
        routing = self._node.routing()
        return self._default_limits if routing is None else routing.configuration.limits

    def _choose(self, request: Any) -> Resource:
        if interface.is_call(request.method, request.path):
            return self._calls
        return self._messages


class ReadinessResource(Resource):
    """Answers whether the node takes new connections."""

    isLeaf = True

    def __init__(self, node: NodeService) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._node = node

    def render(self, request: Any) -> bytes:
        """200 or 503, without a body."""
        if request.path != b"/readyz":
            request.setResponseCode(404)
        elif not self._node.is_ready():
            request.setResponseCode(503)
        return b""


class NotFoundResource(Resource):
    """Answers 404."""

    isLeaf = True

    def render(self, request: Any) -> bytes:
        """404, without a body."""
        request.setResponseCode(404)
        return b""


def build_client_server(
    node: NodeService,
    reactor: Any,
    *,
    origin: str,
    max_connections: int,
    wall_ms: Callable[[], int] = _wall_ms,
) -> FrontSite:
    """The server for clients and pulling workers. `origin` is this node's name, written into messages."""
    return FrontSite(node, origin, max_connections, wall_ms, reactor)


def build_readiness_server(node: NodeService, reactor: Any) -> HttpSite:
    """The server for the platform's question whether the node is ready."""
    resource = ReadinessResource(node)

    def choose(request: Any) -> Resource:
        return resource

    return HttpSite(choose, lambda: READINESS_LIMITS, READINESS_CONNECTIONS, reactor)


def build_operator_server(node: NodeService, reactor: Any) -> HttpSite:
    """The server for the operator."""
    calls: Resource = control.OperatorInterface(node, reactor).app.resource()
    missing: Resource = NotFoundResource()  # type: ignore[no-untyped-call]

    def choose(request: Any) -> Resource:
        return calls if control.is_call(request.path) else missing

    return HttpSite(choose, lambda: CONTROL_LIMITS, CONTROL_CONNECTIONS, reactor)
