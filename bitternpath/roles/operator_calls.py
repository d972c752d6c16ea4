"""The operator's calls on any edge node: the configuration's owner decides them, other nodes forward them.

A call is forwarded at most once: a node that receives a forwarded call and doesn't own the group answers
`NOT_OWNER`. Every call is answered before the operator turns to another node. A call without a definite
result by then gets 503; when the operator repeats it, the owner finds the result of the first one.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

from msgspec.structs import replace
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.feed_client import FeedClient
from bitternpath.configuration.results import OperatorResult, ResultCode, operator_result
from bitternpath.ingress.interfaces import OperatorReply
from bitternpath.net.clock import Clock
from bitternpath.roles.configuration_member import ConfigurationMember
from bitternpath.transport.messages import Response
from bitternpath.transport.operator_messages import OperatorRequest, OperatorResponse

ANSWER_TIMEOUT_S = 0.8  # the operator turns to another node after 1 s without an answer
BODY_BYTES_PER_S = 1 << 20  # a large body takes longer to reach the owner, and the operator waits longer
CONFIGURATION_PATH = "/config"
RETIRE_PREFIX = "/retire/"


class OperatorCalls:
    """Answers the operator's calls that reach this node."""

    def __init__(self, reactor: Clock, feed: FeedClient, member: ConfigurationMember | None) -> None:
        """`feed` provides the link to the owner; `member` is None on nodes that can't be the owner."""
        self._reactor: Any = reactor  # Any, because Deferred.addTimeout requires the zope interface
        self._feed = feed
        self._member = member

    def call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """Answer a call of the operator within the time-out; the Deferred never fails."""
        request = OperatorRequest(0, method, path, if_match, body)
        if self._member is not None and self._member.is_owner():
            answer = self.handle_request(request).addCallback(_reply)
        else:
            answer = self._forward(request)
        return answer.addTimeout(_timeout_s(body), self._reactor).addErrback(_no_answer)

    def handle_request(self, request: OperatorRequest) -> Deferred[OperatorResult]:
        """Decide a call on the owner; other nodes answer `NOT_OWNER`. The Deferred never fails."""
        member = self._member
        if member is None or not member.is_owner():
            return succeed(operator_result(ResultCode.NOT_OWNER, "this node doesn't own the configuration"))
        if request.path == CONFIGURATION_PATH and request.method == "GET":
            return member.changes.read()
        if request.path == CONFIGURATION_PATH and request.method in ("PUT", "PATCH"):
            return member.submit_change(ChangeRequest(request.method, request.if_match, request.body))
        if request.path.startswith(RETIRE_PREFIX) and request.method in ("POST", "GET"):
            node = unquote(request.path.removeprefix(RETIRE_PREFIX))
            return member.retire(node) if request.method == "POST" else member.retirement_progress(node)
        return succeed(operator_result(ResultCode.UNKNOWN_CALL, f"{request.method} {request.path}"))

    def _forward(self, request: OperatorRequest) -> Deferred[OperatorReply]:
        link = self._feed.owner_link()
        if link is None:
            return succeed(
                _reply(operator_result(ResultCode.NOT_OWNER, "no owner of the configuration is known"))
            )
        return link.request(lambda number: replace(request, number=number)).addCallback(_forwarded_reply)


def _timeout_s(body: bytes) -> float:
    return ANSWER_TIMEOUT_S + len(body) / BODY_BYTES_PER_S


def _reply(decided: OperatorResult) -> OperatorReply:
    return OperatorReply(decided.status, decided.body)


def _forwarded_reply(answer: Response) -> OperatorReply:
    if isinstance(answer, OperatorResponse):
        return OperatorReply(answer.status, answer.body)
    return _reply(
        operator_result(ResultCode.OUTCOME_UNKNOWN, "the configuration's owner gave no clear answer")
    )


def _no_answer(failure: Failure) -> OperatorReply:
    return _reply(
        operator_result(
            ResultCode.OUTCOME_UNKNOWN, f"the configuration's owner didn't answer: {failure.value}"
        )
    )
