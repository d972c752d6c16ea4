"""Feed clients leave a partitioned owner and find its successor, in virtual time.

Simulated nodes respond to subscriptions like `ConfigurationMember`: the owner with an update and heartbeats,
others with a refusal that may contain the node that they believe to be the owner. Links to partitioned nodes
never open.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.task import Clock

from bitternpath.configuration.commands import COMMANDS, ReplaceDocument
from bitternpath.configuration.feed_client import OWNER_TIMEOUT_S, FeedClient
from bitternpath.configuration.feed_documents import pack_document
from bitternpath.configuration.feed_server import HEARTBEAT_INTERVAL_S, FeedServer
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import MemberAddress
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

STEP_S = 0.01
ROUND_TRIP_S = 0.02
MAX_CONFIG_APPLY_S = 3.0  # config_apply_ms in the example of the documentation


def document(version: int) -> bytes:
    """A configuration without routes."""
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


class Link:
    """A link dialled by the client."""

    def __init__(self, network: Network, address: str) -> None:
        self.network, self.address = network, address
        self.open = False
        self.peer = NodeDescriptor(address, address, NodeKind.EDGE, "z", True, "d", 1, 0)

    def send(self, record: Any) -> None:
        if isinstance(record, FeedSubscribe):
            self.network.subscriptions.append((self.network.clock.seconds(), self.address))
            self.network.later(self.network.answer, self)


@dataclass
class Member:
    """A member of the configuration group, as seen by clients."""

    epoch: int = 0  # above 0 if it believes to be the owner
    version: int = 0
    hint: str = ""  # the node that it believes to be the owner, if another one
    unresponsive: bool = False  # partitioned or frozen


@dataclass
class Network:
    """A fake hub for the client."""

    clock: Clock
    members: dict[str, Member]
    random: Random = field(default_factory=lambda: Random(5))
    links: dict[str, Link] = field(default_factory=dict)
    subscriptions: list[tuple[float, str]] = field(default_factory=list)
    client: Any = None

    def later(self, call: Any, *arguments: Any) -> None:
        self.clock.callLater(ROUND_TRIP_S, call, *arguments)

    def dial(self, address: str, user: str) -> None:
        if address not in self.links:
            self.links[address] = Link(self, address)
            self.later(self._opened, self.links[address])

    def release(self, address: str, user: str) -> None:
        link = self.links.pop(address, None)
        if link is not None and link.open:
            link.open = False
            self.client.link_closed(link)

    def link_to(self, address: str) -> Link | None:
        link = self.links.get(address)
        return link if link is not None and link.open else None

    def _opened(self, link: Link) -> None:
        if self.links.get(link.address) is not link:
            return
        if self.members[link.address].unresponsive:
            self.later(self._opened, link)
        else:
            link.open = True

    def answer(self, link: Link) -> None:
        """Respond to a subscription like the member, and continue with heartbeats."""
        member = self.members[link.address]
        if not link.open:
            return
        if member.unresponsive:
            self.clock.callLater(HEARTBEAT_INTERVAL_S, self.answer, link)
        elif member.epoch:
            content = pack_document(document(member.version))
            self.client.update_received(link, FeedUpdate(member.epoch, member.version, content, 0, None, 3))
            self.clock.callLater(HEARTBEAT_INTERVAL_S, self.answer, link)
        else:
            addresses = tuple(MemberAddress(each, each, each, "z") for each in self.members)
            self.client.refusal_received(link, FeedRefused(member.hint, addresses))


class Listener:
    """Records the applied versions."""

    def __init__(self) -> None:
        self.versions: list[int] = []

    def configuration_changed(self, table: Any) -> None:
        self.versions.append(table.version)

    def placement_changed(self, generation: int, groups: Any) -> None:
        """Ignore it."""

    def catalogue_updated(self, update: Any) -> None:
        """Ignore it."""


class SearchTest(unittest.TestCase):
    """A client among members that are down, frozen, or have outdated information."""

    def begin(self, members: dict[str, Member], seed: int = 5) -> None:
        self.clock = Clock()
        self.listener = Listener()
        self.network = Network(self.clock, members, Random(seed))
        self.client = FeedClient(
            self.clock,
            self.network,  # type: ignore[arg-type]
            self.listener,
            lambda: list(members),
            wants_catalogue=False,
        )
        self.network.client = self.client
        self.client.start()

    def run_until_version(self, version: int, seconds: float) -> float:
        """Seconds until the client has applied a version, or infinity."""
        started_at = self.clock.seconds()
        while self.clock.seconds() - started_at < seconds:
            if self.listener.versions[-1:] == [version]:
                return self.clock.seconds() - started_at
            self.clock.advance(STEP_S)
        return float("inf")

    def run_for(self, seconds: float) -> None:
        self.clock.pump([STEP_S] * round(seconds / STEP_S))

    def test_a_frozen_owner_is_abandoned_and_its_successor_found_in_time(self) -> None:
        for seed in range(20):
            with self.subTest(seed):
                members = {name: Member(hint="a:1") for name in ("a:1", "b:1", "c:1", "d:1", "e:1")}
                members["a:1"] = Member(1, 5)
                self.begin(members, seed)
                self.assertLess(self.run_until_version(5, 5.0), MAX_CONFIG_APPLY_S)
                members["a:1"].unresponsive = members["b:1"].unresponsive = True
                self.run_for(1.2)
                members["c:1"] = Member(2, 7)
                members["d:1"].hint = members["e:1"].hint = "c:1"
                self.assertLess(self.run_until_version(7, 5.0), MAX_CONFIG_APPLY_S - 1.2)

    def test_after_a_partition_with_a_minority_the_newest_version_is_in_force_in_time(
        self,
    ) -> None:
        for seed in range(20):
            with self.subTest(seed):
                members = {name: Member(hint="a:1") for name in ("a:1", "b:1", "c:1", "d:1", "e:1")}
                members["a:1"] = Member(1, 5)
                self.begin(members, seed)
                self.assertLess(self.run_until_version(5, 5.0), MAX_CONFIG_APPLY_S)
                members["a:1"].epoch, members["a:1"].hint = 0, ""  # it has no contact to a majority
                for name in ("c:1", "d:1", "e:1"):
                    members[name] = Member(hint="e:1", unresponsive=True)
                members["e:1"] = Member(2, 9, unresponsive=True)
                self.run_for(20.0)
                self.assertIsNone(self.client.owner_link())
                for member in members.values():
                    member.unresponsive = False
                self.assertLess(self.run_until_version(9, 5.0), MAX_CONFIG_APPLY_S)
                self.assertEqual(self.listener.versions, [5, 9])

    def test_members_that_hint_at_one_another_are_not_queried_in_a_loop(self) -> None:
        members = {"a:1": Member(hint="b:1"), "b:1": Member(hint="c:1"), "c:1": Member(hint="a:1")}
        self.begin(members)
        self.run_for(10.0)
        self.assertLess(len(self.network.subscriptions), 10.0 / 0.1)
        self.assertEqual({address for _, address in self.network.subscriptions}, set(members))

    def test_an_owner_that_was_briefly_unresponsive_is_kept(self) -> None:
        members = {"a:1": Member(1, 5), "b:1": Member(hint="a:1", unresponsive=True)}
        self.begin(members)
        self.assertLess(self.run_until_version(5, 5.0), MAX_CONFIG_APPLY_S)
        members["a:1"].unresponsive = True
        self.run_for(OWNER_TIMEOUT_S + 0.3)
        self.assertIsNone(self.client.owner_link())
        members["a:1"].unresponsive = False
        members["a:1"].version = 7
        self.assertLess(self.run_until_version(7, 5.0), MAX_CONFIG_APPLY_S)
        self.assertEqual(self.client.owner_address, "a:1")
        self.run_for(1.0)
        self.assertEqual(set(self.network.links), {"a:1"})  # no other node is dialled any more
        self.assertEqual(sum(address == "a:1" for _, address in self.network.subscriptions), 1)

    def test_an_owner_of_an_older_epoch_is_never_followed_again(self) -> None:
        members = {"a:1": Member(1, 5), "b:1": Member(hint="a:1")}
        self.begin(members)
        self.assertLess(self.run_until_version(5, 5.0), MAX_CONFIG_APPLY_S)
        members["a:1"].unresponsive = True
        members["b:1"] = Member(4, 7)
        self.assertLess(self.run_until_version(7, 5.0), MAX_CONFIG_APPLY_S)
        members["b:1"].unresponsive = True
        members["a:1"] = Member(1, 11)  # thawed, unaware of its successor
        self.run_for(20.0)
        self.assertEqual(self.listener.versions, [5, 7])
        self.assertIsNone(self.client.owner_link())


class ClientWithoutEpochs(FeedClient):
    """Broken build: doesn't compare epochs."""

    def update_received(self, link: Any, update: FeedUpdate) -> None:
        self.epoch = 0
        super().update_received(link, update)


class BrokenFeedTest(unittest.TestCase):
    """Shows that the checks above detect a broken build."""

    def test_broken_client_that_accepts_an_older_epoch(self) -> None:
        for build, versions in ((FeedClient, [5, 7]), (ClientWithoutEpochs, [5, 7, 11])):
            with self.subTest(build.__name__):
                clock, listener = Clock(), Listener()
                members = {"a:1": Member(1, 5), "b:1": Member(hint="a:1")}
                network, candidates = Network(clock, members), lambda: ["a:1", "b:1"]
                client = build(clock, network, listener, candidates, wants_catalogue=False)  # type: ignore[arg-type]
                network.client = client
                client.start()
                clock.pump([STEP_S] * 300)
                members["a:1"].unresponsive = True
                members["b:1"] = Member(4, 7)
                clock.pump([STEP_S] * 500)
                members["b:1"].unresponsive = True
                members["a:1"] = Member(1, 11)
                clock.pump([STEP_S] * 2000)
                self.assertEqual(listener.versions, versions)


class LeaseTest(unittest.TestCase):
    """An owner without a lease sends nothing."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.state = ConfigurationState()
        self.state.apply(1, COMMANDS.encode(ReplaceDocument(0, b"1", document(3))))
        self.has_lease = True
        self.server = FeedServer(self.clock, self.state, lambda: self.has_lease)
        self.server.begin(7)
        self.sent: list[Any] = []

    def subscribe(self) -> None:
        test = self

        class Subscriber:
            peer = None

            def send(self, record: Any) -> None:
                test.sent.append(record)

        self.server.subscribe(Subscriber(), FeedSubscribe(0, 0, True))  # type: ignore[arg-type]

    def test_no_heartbeat_no_catalogue_and_no_response_without_a_lease(self) -> None:
        self.subscribe()
        before = len(self.sent)
        self.assertEqual(before, 1)
        self.has_lease = False
        self.clock.pump([0.1] * 20)
        self.server.publish_catalogue(CatalogueUpdate(7, 1, 0, ()))
        self.subscribe()
        self.assertEqual(len(self.sent), before)
        self.has_lease = True
        self.clock.pump([0.1] * 5)
        updates = [record for record in self.sent[before:] if isinstance(record, FeedUpdate)]
        self.assertEqual(
            sum(update.configuration is not None for update in updates), 1
        )  # the second subscriber's
        self.assertGreaterEqual(len(updates), 2)

    def test_updates_carry_the_epoch_of_the_ownership(self) -> None:
        self.subscribe()
        self.assertEqual({record.epoch for record in self.sent if isinstance(record, FeedUpdate)}, {7})


if __name__ == "__main__":
    unittest.main()
