"""Borrowing of tokens: which member is asked, and how the owner of a home shard answers."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.configuration.documents import Configuration, Route, Service
from bitternpath.configuration.placement import shard_group
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.owner import OwnerSettings
from bitternpath.queue.rate_limits import QUOTA_LEASE_S
from bitternpath.queue.sharding import home_shard
from bitternpath.replication.records import RoleChangeCause
from bitternpath.roles.edge_links import EdgeLinks
from bitternpath.roles.quota_borrowing import QuotaBorrower
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_requests import ShardRequests
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.transport.errors import LinkLostError
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.quota_messages import TokenRequest, TokenResponse
from bitternpath.transport.shard_messages import RefusalReason, Refused

SHARDS = 19
HOME = home_shard("limited", SHARDS)
GROUP = shard_group(HOME)
ROUTES = (Route("limited", "a.example", "/limited/", "limited", 1_000),)
TABLE = RoutingTable(Configuration(5, ROUTES, (Service("limited", rate_per_s=32.0),)))
MEMBERS = tuple(MemberAddress(f"node-{n}/x", f"node-{n}", f"10.0.0.{n}:1", "north") for n in (1, 2, 3))


class FakeLink:
    """Records requests, which the test answers."""

    def __init__(self) -> None:
        self.requests: list[tuple[TokenRequest, Deferred[Any]]] = []
        self.sent: list[Any] = []

    def request(self, make: Callable[[int], TokenRequest]) -> Deferred[Any]:
        answer: Deferred[Any] = Deferred()
        self.requests.append((make(len(self.requests) + 1), answer))
        return answer

    def send(self, record: Any) -> None:
        self.sent.append(record)


class FakeHub:
    """Has a link to each member, and records which addresses are dialled."""

    def __init__(self) -> None:
        self.links = {member.address: FakeLink() for member in MEMBERS}
        self.dialled: list[str] = []

    def dial(self, address: str, user: str) -> None:
        if address not in self.dialled:
            self.dialled.append(address)

    def release(self, address: str, user: str) -> None:
        self.dialled.remove(address)

    def link_to(self, address: str) -> FakeLink | None:
        return self.links.get(address)


class FakeHost:
    """Replaces `ReplicaHost`: the known leader, and whether this node has a leader lease."""

    member_id = "node-9/x"

    def __init__(self) -> None:
        self.known_leader = ""
        self.lease = True

    def leader(self, group: str) -> str:
        return self.known_leader

    def has_leader_lease(self, group: str) -> bool:
        return self.lease


class QuotaBorrowerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.hub = FakeHub()
        self.host = FakeHost()
        self.shards: dict[str, ShardRuntime] = {}
        placements = {GROUP: GroupPlacement(GROUP, 1, MEMBERS)}
        self.borrower = QuotaBorrower(self.clock, self.hub, self.host, placements, self.shards)  # type: ignore[arg-type]

    def borrow(self) -> list[int]:
        lent: list[int] = []
        self.borrower.borrow(GROUP, "limited", 4).addCallback(lent.append)
        return lent

    def open_requests(self, node: int) -> list[tuple[TokenRequest, Deferred[Any]]]:
        return self.hub.links[f"10.0.0.{node}:1"].requests

    def test_the_preferred_member_is_asked_and_answers(self) -> None:
        lent = self.borrow()
        ((request, answer),) = self.open_requests(1)
        self.assertEqual(request, TokenRequest(1, GROUP, "limited", 4))
        answer.callback(TokenResponse(1, 3))
        self.assertEqual(lent, [3])

    def test_a_leader_that_a_replica_here_knows_is_asked(self) -> None:
        self.host.known_leader = "node-3/x"
        self.borrow()
        self.assertEqual(len(self.open_requests(3)), 1)

    def test_another_member_is_asked_after_a_refusal_and_after_a_lost_link(self) -> None:
        lent = self.borrow()
        self.open_requests(1)[0][1].callback(Refused(1, RefusalReason.NOT_OWNER))
        lent += self.borrow()
        self.open_requests(2)[0][1].errback(LinkLostError())
        self.borrow()
        self.assertEqual(len(self.open_requests(3)), 1)
        self.assertEqual(lent, [0])

    def test_another_member_is_asked_after_a_timeout(self) -> None:
        self.borrow()
        self.clock.advance(QUOTA_LEASE_S / 2)
        self.borrow()
        self.assertEqual(len(self.open_requests(1)), 2)
        self.clock.advance(QUOTA_LEASE_S)
        self.borrow()
        self.assertEqual(len(self.open_requests(2)), 1)

    def test_only_members_that_are_asked_stay_dialled(self) -> None:
        self.borrow()
        self.borrow()
        self.assertEqual(self.hub.dialled, ["10.0.0.1:1"])
        self.open_requests(1)[0][1].callback(Refused(1, RefusalReason.NOT_OWNER))
        self.borrow()
        self.assertEqual(self.hub.dialled, ["10.0.0.2:1"])

    def test_without_a_link_or_a_placement_nothing_is_lent(self) -> None:
        self.hub.links.clear()
        self.assertEqual(self.borrow(), [0])
        self.assertEqual(self.hub.dialled, ["10.0.0.1:1"])
        lent: list[int] = []
        self.borrower.borrow("shard-99", "limited", 4).addCallback(lent.append)
        self.assertEqual(lent, [0])


class HomeShardOwnerTest(unittest.TestCase):
    """Lending by the owner of the home shard."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.host = FakeHost()
        self.link = FakeLink()
        self.clock.advance(100.0)
        context = ShardContext(
            reactor=self.clock,
            host=self.host,  # type: ignore[arg-type]
            edges=EdgeLinks(),
            random=Random(1),
            zone="north",
            owner_settings=OwnerSettings(),
            wall_ms=lambda: 0,
            has_capacity=lambda: True,
        )
        self.runtime = ShardRuntime(context, GROUP, SHARDS)
        self.requests = ShardRequests(context, self.runtime)
        self.runtime.configure(TABLE)

    def request_tokens(self) -> Any:
        self.requests.lend_tokens(self.link, TokenRequest(7, GROUP, "limited", 2))  # type: ignore[arg-type]
        return self.link.sent.pop()

    def test_it_lends_only_under_a_leader_lease(self) -> None:
        self.runtime.became_owner(1)
        self.assertEqual(self.request_tokens(), TokenResponse(7, 0))  # the pool is empty at first
        self.clock.advance(1.0)
        self.assertEqual(self.request_tokens(), TokenResponse(7, 2))
        self.host.lease = False
        self.assertEqual(self.request_tokens(), TokenResponse(7, 0))
        self.runtime.lost_ownership(RoleChangeCause.HIGHER_TERM)
        self.assertEqual(self.request_tokens(), Refused(7, RefusalReason.NOT_OWNER))

    def test_a_new_owner_begins_without_tokens(self) -> None:
        self.runtime.became_owner(1)
        self.clock.advance(10.0)
        self.runtime.lost_ownership(RoleChangeCause.HIGHER_TERM)
        self.runtime.became_owner(2)
        self.assertEqual(self.request_tokens(), TokenResponse(7, 0))


if __name__ == "__main__":
    unittest.main()
