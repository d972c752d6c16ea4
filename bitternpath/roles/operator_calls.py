"""The operator's calls on any edge node: decided by the configuration's owner, forwarded to it elsewhere.

A call is passed on once at most: a node that gets a forwarded call and doesn't own the group says so. Every
call has an answer before the operator moves on to another node; one without a clear answer by then gets 503,
and the same call sent again meets the first one's result at the owner.
"""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from bitternpath.configuration.changes import ChangeRequest, OperatorResult, ResultCode, operator_result
from bitternpath.configuration.feed import FeedClient
from bitternpath.ingress.interfaces import OperatorReply
from bitternpath.roles.configuration_member import ConfigurationMember
from bitternpath.transport.operator_messages import OperatorRequest, OperatorResponse

ANSWER_TIMEOUT_S = 0.8  # the operator moves on to another node after a second of silence
BODY_BYTES_PER_S = 1 << 20  # it waits longer for a large body, which also takes longer to reach the owner
CONFIGURATION_PATH = "/config"
RETIRE_PREFIX = "/retire/"


class OperatorCalls:
    """Answers the operator's calls of one node."""

    def __init__(self, reactor: Any, feed: FeedClient, member: ConfigurationMember | None) -> None:
        self.reactor, self.feed, self.member = reactor, feed, member

    def call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """A call from outside; answered in time, and never fails."""
        order = OperatorRequest(0, method, path, if_match, body)
        if self.member is not None and self.member.is_owner():
            answer = self.forwarded(order).addCallback(_reply)
        else:
            answer = self._forward(order)
        return answer.addTimeout(_patience(body), self.reactor).addErrback(_lost)

    def forwarded(self, order: OperatorRequest) -> Deferred[OperatorResult]:
        """A call that reached the owner, or a node that was it."""
        member = self.member
        if member is None or not member.is_owner():
            return succeed(operator_result(ResultCode.NOT_OWNER, "this node doesn't own the configuration"))
        if order.path == CONFIGURATION_PATH and order.method == "GET":
            return member.orders.read()
        if order.path == CONFIGURATION_PATH and order.method in ("PUT", "PATCH"):
            return member.order(ChangeRequest(order.method, order.if_match, order.body))
        if order.path.startswith(RETIRE_PREFIX) and order.method in ("POST", "GET"):
            node = unquote(order.path.removeprefix(RETIRE_PREFIX))
            return member.retire(node) if order.method == "POST" else member.retirement(node)
        return succeed(operator_result(ResultCode.UNKNOWN_CALL, f"{order.method} {order.path}"))

    def _forward(self, order: OperatorRequest) -> Deferred[OperatorReply]:
        link = self.feed.owner_link()
        if link is None:
            return succeed(
                _reply(operator_result(ResultCode.NOT_OWNER, "no owner of the configuration is known"))
            )
        return link.request(
            lambda number: OperatorRequest(number, order.method, order.path, order.if_match, order.body)
        ).addCallback(_forwarded_reply)


def _patience(body: bytes) -> float:
    return ANSWER_TIMEOUT_S + len(body) / BODY_BYTES_PER_S


def _reply(decided: OperatorResult) -> OperatorReply:
    return OperatorReply(decided.status, decided.body)


def _forwarded_reply(answer: Any) -> OperatorReply:
    if isinstance(answer, OperatorResponse):
        return OperatorReply(answer.status, answer.body)
    return _reply(operator_result(ResultCode.FATE_OPEN, "the configuration's owner gave no clear answer"))


def _lost(failure: Failure) -> OperatorReply:
    return _reply(
        operator_result(ResultCode.FATE_OPEN, f"the configuration's owner didn't answer: {failure.value}")
    )
