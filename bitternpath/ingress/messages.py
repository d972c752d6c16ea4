"""The resource that accepts messages from clients."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from bitternpath.ingress.http_requests import HttpRequest
from bitternpath.ingress.interfaces import NodeService
from bitternpath.ingress.message_parser import ClientRequest, Origin, ParsedMessage, Rejection, parse_message
from bitternpath.net.clock import Clock, cancel_if_active
from bitternpath.queue.sharding import is_valid_message_id
from bitternpath.shards.results import Acceptance, AcceptResult

ACCEPT_GRACE_MS = 50  # how late the node's result may be before the client gets 504

_log = Logger()


class MessageResource(Resource):
    """Accepts a message whatever its method and path; a leaf that reads the raw request."""

    isLeaf = True

    def __init__(self, node: NodeService, origin: str, wall_ms: Callable[[], int], clock: Clock) -> None:
        """`origin`, this node's name, is stored in messages; `wall_ms` returns Unix time in milliseconds."""
        super().__init__()  # type: ignore[no-untyped-call]
        self._node = node
        self._origin = origin
        self._wall_ms = wall_ms
        self._clock = clock

    def render(self, request: HttpRequest) -> int:
        """Accept the message; the response follows later."""
        request.fallback_status = 504  # a 503 would state that the message doesn't run
        headers = dict(request.requestHeaders.getAllRawHeaders())
        received = ClientRequest(request.method, request.uri, headers, request.content.read())
        parsed = parse_message(received, self._node.routing(), Origin(self._origin, self._wall_ms()))
        if isinstance(parsed, Rejection):
            request.reply(parsed.status, parsed.reason.encode(), parsed.retry_after_s)
        else:
            _PendingAcceptance(request, self._clock, parsed).start(self._node)
        return NOT_DONE_YET


class _PendingAcceptance:
    """Waits for the node's result for one message, even if the client has disconnected."""

    def __init__(self, request: HttpRequest, clock: Clock, parsed: ParsedMessage) -> None:
        self._request = request
        self._parsed = parsed
        self._timer = clock.callLater((parsed.wait_ms + ACCEPT_GRACE_MS) / 1000, self._timed_out)

    def start(self, node: NodeService) -> None:
        """Have the node accept the message."""
        accepted: Deferred[Acceptance] = node.accept(self._parsed.message, self._parsed.wait_ms)
        accepted.addCallbacks(self._decided, self._failed)

    def _decided(self, acceptance: Acceptance) -> None:
        cancel_if_active(self._timer)
        if acceptance.result is AcceptResult.ACCEPTED:
            message_id = acceptance.message_id or self._parsed.message.request_id
            if is_valid_message_id(message_id):
                self._request.set_header(b"X-Message-Id", message_id.encode("latin-1"))
            self._request.reply(202)
        elif acceptance.result is AcceptResult.REJECTED:
            self._request.reply(503, retry_after_s=max(1, acceptance.retry_after_s))
        else:
            self._request.reply(504)

    def _failed(self, failure: Failure) -> None:
        _log.failure("accept_failed", failure)
        self._decided(Acceptance(AcceptResult.UNKNOWN))

    def _timed_out(self) -> None:
        self._request.reply(504)
