"""Subscribers of the configuration feed that are far behind or start from an old cache."""

from __future__ import annotations

import unittest

from twisted.internet.task import Clock

from bitternpath.configuration.commands import COMMANDS, ReplaceDocument, SetPlacement
from bitternpath.configuration.feed_client import FeedClient
from bitternpath.configuration.feed_documents import pack_document, unpack_document
from bitternpath.configuration.feed_server import FeedServer
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.transport.feed_messages import FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import GroupPlacement
from tests.system.configuration.test_feed import FakeHub, FakeLink, Listener, document

VERSIONS = 600


class FarBehindTest(unittest.TestCase):
    def setUp(self) -> None:
        """Create an owner with hundreds of changes of documents and placements."""
        self.clock = Clock()
        self.state = ConfigurationState()
        self.server = FeedServer(self.clock, self.state, lambda: True)
        self.server.begin(7)
        for version in range(1, VERSIONS + 1):
            change = ReplaceDocument(version - 1, version.to_bytes(8, "big"), document(version))
            self.state.apply(2 * version, COMMANDS.encode(change))
            placed = (GroupPlacement(f"queue-{version}", version, ()),)
            self.state.apply(2 * version + 1, COMMANDS.encode(SetPlacement(version - 1, placed)))
            self.server.publish()

    def client(self) -> tuple[FeedClient, Listener, FakeHub]:
        hub, listener = FakeHub(), Listener()
        client = FeedClient(self.clock, hub, listener, lambda: ["a:1"], wants_catalogue=True)  # type: ignore[arg-type]
        hub.client = client
        return client, listener, hub

    def first_update(self, subscription: FeedSubscribe) -> FeedUpdate:
        """The first update for a subscriber with these offsets."""
        link = FakeLink("x:1")
        self.server.subscribe(link, subscription)  # type: ignore[arg-type]
        first = link.sent[0]
        assert isinstance(first, FeedUpdate)
        return first

    def test_one_update_brings_a_subscriber_up_to_date(self) -> None:
        for version in (0, 1, VERSIONS // 2, VERSIONS - 1):
            update = self.first_update(FeedSubscribe(version, version, False))
            self.assertEqual(unpack_document(update.configuration or b""), document(VERSIONS))
            self.assertEqual(update.placement, self.state.groups)
            self.assertLess(len(update.configuration or b""), 200, "contains no history")

    def test_a_client_restored_from_an_old_cache(self) -> None:
        """It is up to date after one update, and never returns to the cached state."""
        client, listener, hub = self.client()
        old = (GroupPlacement("queue-5", 5, ()),)
        cached = FeedUpdate(0, 5, pack_document(document(5)), 5, old, 3)
        client.restore(cached)
        self.assertEqual((client.version, client.placement_generation), (5, 5))
        client.start()
        self.clock.pump([0.05] * 10)
        link = hub.links["a:1"]
        subscription = next(record for record in link.sent if isinstance(record, FeedSubscribe))
        self.assertEqual((subscription.configuration_version, subscription.placement_generation), (5, 5))
        client.update_received(link, self.first_update(subscription))  # type: ignore[arg-type]
        client.update_received(link, cached)  # type: ignore[arg-type]
        client.restore(cached)
        self.assertEqual((client.version, client.placement_generation), (VERSIONS, VERSIONS))
        self.assertEqual(listener.versions, [5, VERSIONS])
        self.assertEqual(client.groups, self.state.groups)
