"""Tests of followers of the configuration feed that are far behind, also by an old cache."""

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
from tests.system.test_feed import FakeHub, FakeLink, Listener, document

VERSIONS = 600


class FarBehind(unittest.TestCase):
    def setUp(self) -> None:
        """An owner after hundreds of changes of both kinds."""
        self.clock, self.state = Clock(), ConfigurationState()
        self.server = FeedServer(self.clock, self.state, lambda: True)
        self.server.begin(7)
        for version in range(1, VERSIONS + 1):
            order = ReplaceDocument(version - 1, version.to_bytes(8, "big"), document(version))
            self.state.apply(2 * version, COMMANDS.encode(order))
            placed = (GroupPlacement(f"queue-{version}", version, ()),)
            self.state.apply(2 * version + 1, COMMANDS.encode(SetPlacement(version - 1, placed)))
            self.server.publish()

    def follower(self) -> tuple[FeedClient, Listener, FakeHub]:
        hub, listener = FakeHub(), Listener()
        follower = FeedClient(self.clock, hub, listener, lambda: ["a:1"], True)  # type: ignore[arg-type]
        hub.follower = follower
        return follower, listener, hub

    def answer(self, wanted: FeedSubscribe) -> FeedUpdate:
        """The first update that one who follows from there gets."""
        link = FakeLink("x:1")
        self.server.subscribe(link, wanted)  # type: ignore[arg-type]
        first = link.sent[0]
        assert isinstance(first, FeedUpdate)
        return first

    def test_one_update_brings_it_to_the_newest(self) -> None:
        for version in (0, 1, VERSIONS // 2, VERSIONS - 1):
            update = self.answer(FeedSubscribe(version, version, False))
            self.assertEqual(unpack_document(update.configuration or b""), document(VERSIONS))
            self.assertEqual(update.placement, self.state.groups)
            self.assertLess(len(update.configuration or b""), 200, "no history")

    def test_one_that_begins_from_an_old_cache(self) -> None:
        """It is at the newest after one update, and what it began from doesn't come back."""
        follower, listener, hub = self.follower()
        old = (GroupPlacement("queue-5", 5, ()),)
        cached = FeedUpdate(0, 5, pack_document(document(5)), 5, old, 3)
        follower.restore(cached)
        self.assertEqual((follower.version, follower.placement_generation), (5, 5))
        follower.start()
        self.clock.pump([0.05] * 10)
        link = hub.links["a:1"]
        wanted = next(record for record in link.sent if isinstance(record, FeedSubscribe))
        self.assertEqual((wanted.configuration_version, wanted.placement_generation), (5, 5))
        follower.updated(link, self.answer(wanted))  # type: ignore[arg-type]
        follower.updated(link, cached)  # type: ignore[arg-type]
        follower.restore(cached)
        self.assertEqual((follower.version, follower.placement_generation), (VERSIONS, VERSIONS))
        self.assertEqual(listener.versions, [5, VERSIONS])
        self.assertEqual(follower.groups, self.state.groups)
