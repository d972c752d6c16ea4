"""The operator's calls (PROTOCOL, "The operator's API"), passed to the node as they came."""

from __future__ import annotations

import re
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from bitternpath.ingress.interfaces import NodeService, OperatorReply
from bitternpath.ingress.site import RETRY_SOON_S, answered, reply

ANSWER_S = 10.0  # the operator has moved on to another node long before

_CALLS = re.compile(rb"/config|/retire/[!-.0-~]+")
_log = Logger()


def is_call(path: bytes) -> bool:
    """Whether the operator has a call with this path."""
    return _CALLS.fullmatch(path) is not None


class OperatorInterface:
    """Passes the operator's calls to the node."""

    app = Klein()
    app.url_map.merge_slashes = False

    def __init__(self, node: NodeService, reactor: Any) -> None:
        self._node = node
        self._reactor = reactor

    @app.route("/config", methods=["GET", "PUT", "PATCH"])
    def configuration(self, request: Any) -> Deferred[None]:
        """Read, replace or alter the configuration."""
        return self._pass_on(request)

    @app.route("/retire/<node>", methods=["GET", "POST"])
    def retire(self, request: Any, node: str) -> Deferred[None]:
        """Empty a storage machine, or tell how far that is."""
        return self._pass_on(request)

    def _pass_on(self, request: Any) -> Deferred[None]:
        timer = self._reactor.callLater(ANSWER_S, reply, request, 503, b"", RETRY_SOON_S)

        def come(answer: OperatorReply) -> None:
            if timer.active():
                timer.cancel()
                request.setHeader(b"Content-Type", b"application/json")
                reply(request, answer.status, answer.body)

        def failed(failure: Failure) -> None:
            _log.failure("a call of the operator failed", failure)
            come(OperatorReply(500, b"{}"))

        call: Deferred[OperatorReply] = self._node.operator_call(
            request.method.decode("latin-1"),
            request.path.decode("latin-1"),
            request.getHeader("If-Match") or "",
            request.content.read(),
        )
        call.addCallbacks(come, failed)
        return answered(request)
