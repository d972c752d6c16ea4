"""The configuration feed in virtual time: finding the owner, offsets, epochs, and timeouts."""

from __future__ import annotations

import json
import unittest
from random import Random
from typing import Any

from twisted.internet.task import Clock

from bitternpath.configuration.commands import COMMANDS, ReplaceDocument, SetPlacement
from bitternpath.configuration.feed_client import OWNER_TIMEOUT_S, FeedClient
from bitternpath.configuration.feed_documents import pack_document, unpack_document
from bitternpath.configuration.feed_server import HEARTBEAT_INTERVAL_S, FeedServer
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.transport.errors import CodecError
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

GROUPS = (GroupPlacement("queue-0", 1, ()),)


def document(version: int) -> bytes:
    """A configuration without routes."""
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


class DocumentPackingTest(unittest.TestCase):
    """Compression of documents in feed updates."""

    def test_round_trip_is_small(self) -> None:
        original = json.dumps(
            {"routes": [{"name": f"r{i}", "path_prefix": "/"} for i in range(200)]}
        ).encode()
        packed = pack_document(original)
        self.assertEqual(unpack_document(packed), original)
        self.assertLess(len(packed), len(original) / 4)

    def test_truncated_or_changed_bytes_are_rejected(self) -> None:
        packed = pack_document(document(9))
        for damaged in (packed[:-1], packed[:3], b"", b"x" + packed):
            with self.subTest(damaged=damaged), self.assertRaises(CodecError):
                unpack_document(damaged)


class FakeLink:
    """A link that records sent messages."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.open = True
        self.sent: list[Any] = []
        self.peer = NodeDescriptor(address, address, NodeKind.EDGE, "z", False, "", 1, 0)

    def send(self, record: Any) -> None:
        self.sent.append(record)


class FakeHub:
    """Opens a link immediately when it is dialled, unless the address is dead."""

    def __init__(self) -> None:
        self.random = Random(1)
        self.links: dict[str, FakeLink] = {}
        self.dead: set[str] = set()
        self.client: FeedClient | None = None

    def dial(self, address: str, user: str) -> None:
        if address not in self.dead:
            self.links.setdefault(address, FakeLink(address))

    def release(self, address: str, user: str) -> None:
        link = self.links.pop(address, None)
        if link is not None and self.client is not None:
            link.open = False
            self.client.link_closed(link)  # type: ignore[arg-type]

    def link_to(self, address: str) -> FakeLink | None:
        return self.links.get(address)


class Listener:
    """Records changes from the feed."""

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.generations: list[int] = []

    def configuration_changed(self, table: RoutingTable) -> None:
        self.versions.append(table.version)

    def placement_changed(self, generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        self.generations.append(generation)

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """Ignore it."""


class FeedClientTest(unittest.TestCase):
    """The client of the feed."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.hub = FakeHub()
        self.listener = Listener()
        self.addresses = ["a:1", "b:1", "c:1"]
        self.client = self.new_client()
        self.client.start()

    def new_client(self) -> FeedClient:
        client = FeedClient(
            self.clock,
            self.hub,  # type: ignore[arg-type]
            self.listener,
            lambda: self.addresses,
            wants_catalogue=True,
        )
        self.hub.client = client
        return client

    def subscribed_link(self) -> FakeLink | None:
        """The link on which the client last subscribed."""
        self.clock.pump([0.05] * 4)
        link = self.hub.links.get(self.client.owner_address)
        return link if link is not None and link.sent else None

    def update(
        self,
        version: int,
        *,
        epoch: int = 1,
        generation: int = 0,
        link: FakeLink | None = None,
        with_document: bool = True,
    ) -> None:
        used_link = link or self.subscribed_link()
        placement = GROUPS if generation else None
        packed = pack_document(document(version)) if with_document else None
        self.client.update_received(
            used_link,  # type: ignore[arg-type]
            FeedUpdate(epoch, version, packed, generation, placement, 3),
        )

    def test_it_follows_the_hint_of_a_refusal(self) -> None:
        for _ in range(20):
            link = self.subscribed_link()
            assert link is not None
            if link.address == "c:1":
                break
            self.client.refusal_received(link, FeedRefused("c:1", ()))  # type: ignore[arg-type]
        self.assertEqual(self.client.owner_address, "c:1")
        self.assertIsInstance(link.sent[-1], FeedSubscribe)

    def test_without_a_hint_it_tries_all_known_nodes(self) -> None:
        tried = set()
        members = (MemberAddress("d/1", "d", "d:1", "z"),)
        for _ in range(60):
            link = self.subscribed_link()
            if link is not None:
                tried.add(link.address)
                self.client.refusal_received(link, FeedRefused("", members))  # type: ignore[arg-type]
        self.assertEqual(tried, {"a:1", "b:1", "c:1", "d:1"})

    def test_a_refusal_costs_little_time(self) -> None:
        """The client quickly tries the next candidate while an owner is being elected."""
        link = self.subscribed_link()
        refusals = 0
        deadline = self.clock.seconds() + 0.3
        while self.clock.seconds() < deadline:
            if link is not None and link.open and link.sent:
                link.sent.clear()
                self.client.refusal_received(link, FeedRefused("", ()))  # type: ignore[arg-type]
                refusals += 1
            self.clock.advance(0.01)
            link = self.hub.links.get(self.client.owner_address)
        self.assertGreaterEqual(refusals, 6)
        self.assertLessEqual(refusals, 12)

    def test_after_the_owner_timeout_it_searches_and_subscribes_from_its_offsets(self) -> None:
        self.update(5, generation=2)
        first = self.client.owner_address
        self.assertIsNotNone(self.client.owner_link())
        self.clock.pump([0.1] * int(OWNER_TIMEOUT_S * 10 + 3))
        self.assertIsNone(self.client.owner_link())
        self.assertNotEqual(self.client.owner_address, first)
        link = self.subscribed_link()
        subscription = link.sent[0] if link else None
        self.assertEqual((subscription.configuration_version, subscription.placement_generation), (5, 2))

    def test_heartbeats_keep_the_owner(self) -> None:
        self.update(5)
        first = self.client.owner_address
        link = self.subscribed_link()
        for _ in range(20):
            self.clock.pump([0.1] * 4)
            self.update(5, with_document=False, link=link)
        self.assertEqual(self.client.owner_address, first)

    def test_a_dead_candidate_is_abandoned(self) -> None:
        self.hub.dead = {"a:1", "b:1"}
        for _ in range(40):
            self.clock.pump([0.1] * 10)
            if self.client.owner_address == "c:1":
                break
        self.assertEqual(self.client.owner_address, "c:1")

    def test_offsets_never_go_back_in_one_process(self) -> None:
        link = self.subscribed_link()
        self.update(5, epoch=2, link=link)
        self.update(9, epoch=3, generation=4, link=link)
        self.update(7, epoch=3, generation=3, link=link)
        self.update(11, epoch=2, link=link)  # from an earlier owner
        self.update(12, epoch=9, link=FakeLink("elsewhere"))  # on a link without a subscription
        self.assertEqual((self.listener.versions, self.listener.generations), ([5, 9], [4]))

    def test_offsets_restored_from_a_cache_never_go_back(self) -> None:
        self.client.stop()
        self.hub = FakeHub()
        self.client = self.new_client()
        self.client.restore(FeedUpdate(0, 9, pack_document(document(9)), 4, GROUPS, 3))
        self.client.start()
        link = self.subscribed_link()
        assert link is not None
        self.assertEqual(link.sent[0], FeedSubscribe(9, 4, True))
        self.update(7, epoch=5, generation=3, link=link)
        self.client.link_closed(link)  # type: ignore[arg-type]
        self.hub.links.clear()
        self.update(5, epoch=6, generation=2, link=self.subscribed_link())
        self.update(11, epoch=6, generation=5, link=self.subscribed_link())
        self.assertEqual((self.listener.versions, self.listener.generations), ([9, 11], [4, 5]))


class FeedServerTest(unittest.TestCase):
    """The server of the feed."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.state = ConfigurationState()
        self.has_lease = True
        self.server = FeedServer(self.clock, self.state, lambda: self.has_lease)
        self.server.begin(7)

    def commit(self, version: int) -> None:
        self.state.apply(
            1, COMMANDS.encode(ReplaceDocument(self.state.version, bytes([version]), document(version)))
        )
        self.server.publish()

    def subscribe(self, version: int, generation: int = 0, catalogue: bool = False) -> FakeLink:
        link = FakeLink("x:1")
        self.server.subscribe(link, FeedSubscribe(version, generation, catalogue))  # type: ignore[arg-type]
        return link

    def test_a_snapshot_then_changes_then_heartbeats(self) -> None:
        self.commit(3)
        link = self.subscribe(0)
        self.commit(5)
        self.clock.advance(HEARTBEAT_INTERVAL_S)
        sent = [(update.configuration_version, update.configuration is not None) for update in link.sent]
        self.assertEqual(sent, [(3, True), (5, True), (5, False)])
        self.assertEqual({update.epoch for update in link.sent}, {7})

    def test_a_subscriber_gets_only_what_is_newer_than_its_offsets(self) -> None:
        self.commit(3)
        self.state.apply(1, COMMANDS.encode(SetPlacement(0, GROUPS)))
        link = self.subscribe(3, 0)
        self.assertEqual((link.sent[0].configuration, link.sent[0].placement), (None, GROUPS))

    def test_the_catalogue_is_sent_once_to_subscribers_that_want_it(self) -> None:
        with_catalogue = self.subscribe(0, catalogue=True)
        without_catalogue = self.subscribe(0)
        for serial in (1, 1, 2):
            self.server.publish_catalogue(CatalogueUpdate(7, serial, 10, ()))
        late_subscriber = self.subscribe(0, catalogue=True)

        def catalogues(link: FakeLink) -> list[tuple[int, bool]]:
            updates = [record for record in link.sent if isinstance(record, CatalogueUpdate)]
            return [(update.serial, update.entries is not None) for update in updates]

        self.assertEqual(catalogues(with_catalogue), [(1, True), (1, False), (2, True)])
        self.assertEqual((catalogues(without_catalogue), catalogues(late_subscriber)), ([], [(2, True)]))

    def test_subscribers_are_redirected_when_ownership_is_lost(self) -> None:
        link = self.subscribe(0)
        self.server.end(FeedRefused("b:1", ()))
        self.assertEqual(link.sent[-1], FeedRefused("b:1", ()))
        before = len(link.sent)
        self.clock.advance(HEARTBEAT_INTERVAL_S * 3)
        self.assertEqual(len(link.sent), before)

    def test_nothing_is_sent_on_a_closed_link(self) -> None:
        link = self.subscribe(0)
        self.server.link_closed(link)  # type: ignore[arg-type]
        before = len(link.sent)
        self.commit(3)
        self.assertEqual(len(link.sent), before)


if __name__ == "__main__":
    unittest.main()
