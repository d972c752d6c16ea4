"""The resource that takes messages from clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from bitternpath.ingress.intake import ClientRequest, Intake, Origin, Rejection, read_message
from bitternpath.ingress.interfaces import Acceptance, AcceptResult, NodeService
from bitternpath.ingress.site import reply
from bitternpath.queue.sharding import is_valid_message_id

LATE_MS = 50  # the node's answer may be so much later than asked before the client gets 504

_log = Logger()


class MessageResource(Resource):
    """Takes a message whatever its method and path: it is a leaf and reads the raw request."""

    isLeaf = True

    def __init__(self, node: NodeService, origin: str, wall_ms: Callable[[], int], reactor: Any) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._node = node
        self._origin = origin
        self._wall_ms = wall_ms
        self._reactor = reactor

    def render(self, request: Any) -> int:
        """Accept the message; the answer follows."""
        request.last_status = 504
        headers = dict(request.requestHeaders.getAllRawHeaders())
        read = ClientRequest(request.method, request.uri, headers, request.content.read())
        intake = read_message(read, self._node.routing(), Origin(self._origin, self._wall_ms()))
        if isinstance(intake, Rejection):
            reply(request, intake.status, intake.reason.encode(), intake.retry_after_s)
        else:
            _PendingAnswer(request, self._reactor, intake).follow(self._node)
        return NOT_DONE_YET


class _PendingAnswer:
    """Waits for the node's word on one message. The message is kept even if the client has gone."""

    def __init__(self, request: Any, reactor: Any, intake: Intake) -> None:
        self._request = request
        self._intake = intake
        self._timer = reactor.callLater((intake.wait_ms + LATE_MS) / 1000, self._too_late)

    def follow(self, node: NodeService) -> None:
        accepted: Deferred[Acceptance] = node.accept(self._intake.message, self._intake.wait_ms)
        accepted.addCallbacks(self._decided, self._failed)

    def _decided(self, acceptance: Acceptance) -> None:
        if self._timer.active():
            self._timer.cancel()
        if acceptance.result is AcceptResult.ACCEPTED:
            name = acceptance.message_id or self._intake.message.request_id
            if is_valid_message_id(name):
                self._request.setHeader(b"X-Message-Id", name.encode("latin-1"))
            reply(self._request, 202)
        elif acceptance.result is AcceptResult.REFUSED:
            reply(self._request, 503, retry_after_s=max(1, acceptance.retry_after_s))
        else:
            reply(self._request, 504)

    def _failed(self, failure: Failure) -> None:
        _log.failure("accepting a message failed", failure)
        self._decided(Acceptance(AcceptResult.UNDECIDED))

    def _too_late(self) -> None:
        reply(self._request, 504)
