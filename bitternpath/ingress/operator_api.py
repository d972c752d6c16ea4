"""The operator's calls (PROTOCOL, "The operator's API"), forwarded to the node unchanged."""

from __future__ import annotations

import re

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from bitternpath.ingress.http_requests import RETRY_AFTER_S, HttpRequest
from bitternpath.ingress.interfaces import NodeService, OperatorReply
from bitternpath.net.clock import Clock

CALL_TIMEOUT_S = 10.0  # the operator turns to another node long before

_CALLS = re.compile(rb"/config|/retire/[!-.0-~]+")
_log = Logger()


def is_call(path: bytes) -> bool:
    """Whether the operator's API has this path."""
    return _CALLS.fullmatch(path) is not None


class OperatorApi:
    """Forwards the operator's calls to the node."""

    app = Klein()
    app.url_map.merge_slashes = False

    def __init__(self, node: NodeService, clock: Clock) -> None:
        self._node = node
        self._clock = clock

    @app.route("/config", methods=["GET", "PUT", "PATCH"])
    def configuration(self, request: HttpRequest) -> Deferred[None]:
        """Read, replace or patch the configuration."""
        return self._forward(request)

    @app.route("/retire/<node>", methods=["GET", "POST"])
    def retire(self, request: HttpRequest, **_: str) -> Deferred[None]:
        """Retire a storage node, or show the progress of its retirement."""
        return self._forward(request)

    def _forward(self, request: HttpRequest) -> Deferred[None]:
        timer = self._clock.callLater(CALL_TIMEOUT_S, request.reply, 503, b"", RETRY_AFTER_S)

        def replied(reply: OperatorReply) -> None:
            if timer.active():
                timer.cancel()
                request.set_header(b"Content-Type", b"application/json")
                request.reply(reply.status, reply.body)

        def failed(failure: Failure) -> None:
            _log.failure("operator_call_failed", failure)
            replied(OperatorReply(500, b"{}"))

        call = self._node.operator_call(
            request.method.decode("latin-1"),
            request.path.decode("latin-1"),
            request.getHeader("If-Match") or "",
            request.content.read(),
        )
        call.addCallbacks(replied, failed)
        return request.when_finished()
