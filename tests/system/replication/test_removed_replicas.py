"""A replica that was removed from its group and joins again with the same disk."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

import msgspec
from twisted.internet.task import Clock

from bitternpath.replication.host import HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.messages import AppendEntries, RequestVote, RequestVoteResponse
from bitternpath.replication.records import Entry, EntryKind, Members
from bitternpath.replication.wire import decode_message, encode_message
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from tests.system.replication.member_ids import members
from tests.system.replication.stateless_machine import StatelessMachine


class DurableHost:
    """A replica host `c/c` whose disk survives a restart."""

    def __init__(self, disk: SimulatedFileSystem | None = None) -> None:
        self.disk = disk or SimulatedFileSystem()
        self.clock = Clock()
        self.sent: list[tuple[str, Any]] = []
        log = SegmentLog(self.disk, lambda: 7, 400, 200)
        self.journal = Journal(log, VirtualTimeJournalWriter(self.clock, self.disk, 0.001))
        self.host = ReplicaHost(
            self.clock,
            "c/c",
            self.journal,
            MessageTransport(
                lambda group, receiver, body: self.sent.append((receiver, decode_message(body)))
            ),
            HostOptions(Random(1)),
        )

    def open(self, founders: Members | None) -> None:
        machine = StatelessMachine()
        self.host.open_group("g", machine, founders, machine)

    def receive(self, sender: str, message: Any) -> list[Any]:
        """Deliver a message and return the responses to its sender."""
        self.sent.clear()
        self.host.receive("g", sender, encode_message(message))
        for _ in range(10):
            self.clock.advance(0.002)
        return [answer for receiver, answer in self.sent if receiver == sender]

    def restarted(self) -> DurableHost:
        self.host.stop()
        return DurableHost(self.disk)


def member_entry(index: int, term: int, named: Members) -> Entry:
    return Entry(index, term, EntryKind.MEMBERS, msgspec.msgpack.encode(named))


class RemovedReplicaTest(unittest.TestCase):
    """Votes and state of a removed replica that joins again."""

    OLD = members("abc", generation=1)

    def removed(self) -> DurableHost:
        host = DurableHost()
        host.open(self.OLD)
        host.receive(
            "a/a", AppendEntries(3, 0, 0, (member_entry(1, 3, self.OLD), Entry(2, 3, 1, b"x")), 2, 1)
        )
        host.host.close_group("g", 2)
        host.clock.advance(0.1)
        return host

    def votes(self, host: DurableHost) -> list[Any]:
        """Responses to a candidate that still counts it as a voter, in a leadership transfer."""
        return host.receive("a/a", RequestVote(9, 2, 3, False, leadership_transfer=True))

    def test_it_grants_no_vote_before_a_membership_names_it_again(self) -> None:
        """Otherwise `a`, partitioned since `c` was a voter, could lead with `c` while `b` and `d` go on."""
        for restart in (False, True):
            with self.subTest(restart=restart):
                host = self.removed()
                if restart:
                    host = host.restarted()
                host.open(None)
                self.assertEqual(self.votes(host), [])
                host.receive("b/b", AppendEntries(4, 0, 0, (member_entry(1, 3, self.OLD),), 1, 1))
                self.assertEqual(host.host.members("g"), self.OLD)  # it has started to catch up
                if restart:
                    host = host.restarted()
                    host.open(None)
                self.assertEqual(self.votes(host), [])

    def test_it_votes_as_a_member_of_a_later_placement(self) -> None:
        host = self.removed()
        host.open(None)
        named = members("bdc", generation=3)
        host.receive(
            "b/b", AppendEntries(4, 0, 0, (member_entry(1, 3, self.OLD), member_entry(2, 4, named)), 2, 1)
        )
        self.assertEqual(
            host.receive("b/b", RequestVote(9, 2, 4, False, leadership_transfer=True)),
            [RequestVoteResponse(9, pre_vote=False, granted=True)],
        )
        restarted_host = host.restarted()
        restarted_host.open(None)
        self.assertEqual(
            restarted_host.receive("d/d", RequestVote(10, 2, 4, False, leadership_transfer=True)),
            [RequestVoteResponse(10, pre_vote=False, granted=True)],
        )

    def test_the_tombstone_survives_checkpoints_after_it_joined_again(self) -> None:
        host = self.removed()
        host.open(None)
        for index in range(1, 40):
            entry = Entry(index, 4, 1, bytes(60))
            host.receive("b/b", AppendEntries(4, index - 1, 4 if index > 1 else 0, (entry,), index, 1))
        self.assertFalse(any(name.endswith("segment-00000001.log") for name in host.disk.paths()))
        restarted_host = host.restarted()
        self.assertEqual(restarted_host.journal.tombstone_generation("g"), 2)
        self.assertEqual(restarted_host.journal.groups(), ("g",))

    def test_it_is_not_a_founding_member_again(self) -> None:
        host = self.removed().restarted()
        host.open(self.OLD)
        self.assertEqual(host.host.members("g"), Members())


if __name__ == "__main__":
    unittest.main()
