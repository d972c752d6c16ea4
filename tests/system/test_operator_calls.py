"""Duration and results of an operator's calls on each kind of node, in virtual time."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.configuration.results import OperatorResult, ResultCode, operator_result
from bitternpath.ingress.interfaces import OperatorReply
from bitternpath.roles.operator_calls import OperatorCalls
from bitternpath.transport.errors import LinkLostError
from bitternpath.transport.node_messages import Pong
from bitternpath.transport.operator_messages import OperatorRequest, OperatorResponse

NODE_TIMEOUT_S = 1.0  # time without a response after which the operator tries another node
MIB = 1 << 20


class PendingChanges:
    """A change processor whose results are set by the test."""

    def __init__(self) -> None:
        self.open: list[Deferred[OperatorResult]] = []

    def read(self) -> Deferred[OperatorResult]:
        self.open.append(Deferred())
        return self.open[-1]


class Member:
    """A member of the configuration group."""

    def __init__(self, owner: bool) -> None:
        self.owner = owner
        self.changes = PendingChanges()

    def is_owner(self) -> bool:
        return self.owner

    def submit_change(self, request: Any) -> Deferred[OperatorResult]:
        return self.changes.read()


class Link:
    """The link to the owner."""

    def __init__(self) -> None:
        self.sent: list[OperatorRequest] = []
        self.open: list[Deferred[Any]] = []

    def request(self, make: Any) -> Deferred[Any]:
        self.sent.append(make(len(self.sent) + 1))
        self.open.append(Deferred())
        return self.open[-1]


class Feed:
    """A client of the feed."""

    def __init__(self, link: Link | None) -> None:
        self.link = link

    def owner_link(self) -> Link | None:
        return self.link


class CallTest(unittest.TestCase):
    """Calls to the owner, to a forwarding node, and to a node without a known owner."""

    def setUp(self) -> None:
        self.clock, self.link = Clock(), Link()
        self.owner, self.follower = Member(True), Member(False)

    def calls(self, member: Member | None, link: Link | None) -> OperatorCalls:
        return OperatorCalls(self.clock, Feed(link), member)  # type: ignore[arg-type]

    def put(self, calls: OperatorCalls, body: bytes = b"{}") -> list[OperatorReply]:
        replies: list[OperatorReply] = []
        calls.call("PUT", "/config", "3", body).addCallback(replies.append)
        return replies

    def test_without_a_result_each_node_gives_503_before_the_operator_moves_on(self) -> None:
        for label, calls in (
            ("owner", self.calls(self.owner, None)),
            ("forwards", self.calls(None, self.link)),
            ("a member that forwards", self.calls(self.follower, self.link)),
        ):
            with self.subTest(label):
                replies = self.put(calls)
                self.clock.advance(0.7)
                self.assertEqual(replies, [])
                self.clock.advance(NODE_TIMEOUT_S - 0.7)
                self.assertEqual([reply.status for reply in replies], [503])
        self.owner.changes.open[0].callback(operator_result(ResultCode.ACCEPTED, version=5))  # too late
        self.link.open[0].callback(OperatorResponse(1, True, 200, b"{}"))

    def test_a_large_body_has_a_longer_time_out(self) -> None:
        replies = self.put(self.calls(None, self.link), b"x" * (2 * MIB))
        self.clock.advance(2.5)
        self.assertEqual(replies, [])
        self.link.open[0].callback(OperatorResponse(1, True, 200, b"{}"))
        self.assertEqual([reply.status for reply in replies], [200])

    def test_without_an_owner_the_result_is_503_at_once(self) -> None:
        for member in (None, self.follower):
            self.assertEqual([reply.status for reply in self.put(self.calls(member, None))], [503])

    def test_after_a_lost_link_or_an_unexpected_response_the_outcome_is_unknown(self) -> None:
        calls = self.calls(None, self.link)
        first, second = self.put(calls), self.put(calls)
        self.link.open[-2].errback(LinkLostError())
        self.link.open[-1].callback(Pong(1))
        self.assertEqual([reply.status for reply in first + second], [503, 503])

    def test_a_forwarded_call_is_not_forwarded_again(self) -> None:
        results: list[OperatorResult] = []
        for member in (None, self.follower):
            request = OperatorRequest(1, "PUT", "/config", "3", b"{}")
            self.calls(member, self.link).handle_request(request).addCallback(results.append)
        self.assertEqual([each.code for each in results], [ResultCode.NOT_OWNER] * 2)
        self.assertEqual(self.link.sent, [])


if __name__ == "__main__":
    unittest.main()
