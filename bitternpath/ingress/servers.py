"""The three HTTP servers of an edge node: for clients, for the readiness probe, for the operator."""

from __future__ import annotations

import time
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.web.resource import Resource

from bitternpath.configuration.documents import RequestLimits
from bitternpath.ingress import client_api, operator_api
from bitternpath.ingress.http_requests import HttpRequest
from bitternpath.ingress.http_server import HttpServer
from bitternpath.ingress.interfaces import NodeService
from bitternpath.ingress.messages import MessageResource
from bitternpath.net.clock import Clock

OPERATOR_LIMITS = RequestLimits(max_body_bytes=16 * 1024 * 1024)  # the body may be a complete configuration
READINESS_LIMITS = RequestLimits(max_header_bytes=4_096, max_body_bytes=0)
OPERATOR_MAX_CONNECTIONS = 64  # the operator runs only a few programs
READINESS_MAX_CONNECTIONS = 64  # one probe per second, each of which may leave its connection idle


def _wall_ms() -> int:
    return int(time.time() * 1000)


class ClientServer(HttpServer):
    """The server of the setting `listen.front`: clients and pulling workers."""

    def __init__(
        self, node: NodeService, messages: MessageResource, max_connections: int, clock: Clock
    ) -> None:
        super().__init__(self._choose_resource, self._current_limits, max_connections, clock)
        self._node = node
        self._messages = messages
        self._api = client_api.ClientApi(node, clock)
        self._calls: Resource = self._api.app.resource()
        self._default_limits = RequestLimits()

    def begin_shutdown(self) -> Deferred[None]:
        """As `HttpServer.begin_shutdown`; workers that wait for a job get 204 at once."""
        drained = super().begin_shutdown()
        self._api.release_pulls()
        return drained

    def _current_limits(self) -> RequestLimits:
        routing = self._node.routing()
        return self._default_limits if routing is None else routing.configuration.limits

    def _choose_resource(self, request: HttpRequest) -> Resource:
        if client_api.is_call(request.method, request.path):
            return self._calls
        return self._messages


class ReadinessResource(Resource):
    """Answers whether the node accepts new connections."""

    isLeaf = True

    def __init__(self, node: NodeService) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._node = node

    def render(self, request: HttpRequest) -> bytes:
        """Respond with 200 or 503, without a body."""
        if request.path != b"/readyz":
            request.setResponseCode(404)
        elif not self._node.is_ready():
            request.setResponseCode(503)
        return b""


class NotFoundResource(Resource):
    """Answers 404."""

    isLeaf = True

    def render(self, request: HttpRequest) -> bytes:
        """Respond with 404, without a body."""
        request.setResponseCode(404)
        return b""


def build_client_server(
    node: NodeService,
    clock: Clock,
    *,
    origin: str,
    max_connections: int,
    wall_ms: Callable[[], int] = _wall_ms,
) -> ClientServer:
    """Build the server for clients and pulling workers.

    `origin` is this node's name, and `wall_ms` returns Unix time in milliseconds; both are stored in
    messages.
    """
    messages = MessageResource(node, origin, wall_ms, clock)
    return ClientServer(node, messages, max_connections, clock)


def build_readiness_server(node: NodeService, clock: Clock) -> HttpServer:
    """Build the server for the platform's readiness probe."""
    resource = ReadinessResource(node)
    return HttpServer(lambda _: resource, lambda: READINESS_LIMITS, READINESS_MAX_CONNECTIONS, clock)


def build_operator_server(node: NodeService, clock: Clock) -> HttpServer:
    """Build the server for the operator."""
    calls: Resource = operator_api.OperatorApi(node, clock).app.resource()
    not_found: Resource = NotFoundResource()  # type: ignore[no-untyped-call]

    def choose_resource(request: HttpRequest) -> Resource:
        return calls if operator_api.is_call(request.path) else not_found

    return HttpServer(choose_resource, lambda: OPERATOR_LIMITS, OPERATOR_MAX_CONNECTIONS, clock)
