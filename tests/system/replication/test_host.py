"""A replica host with its journal. The test sends the messages of the other members."""

from __future__ import annotations

import unittest
from itertools import count
from random import Random
from typing import Any
from unittest.mock import patch
from zlib import crc32

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.replication import leadership
from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError
from bitternpath.replication.host import SYSTEM_TIMING, TIMER_GRID_SECONDS
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
)
from bitternpath.replication.records import Entry, EntryKind, Members, Snapshot, StorageWrite
from bitternpath.replication.response_coalescing import coalesce_append_responses
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from tests.system.replication.quiet_logs import QuietLogsTestCase
from tests.system.replication.scripted_peers import (
    SYNC_SECONDS,
    TRIO,
    RecordingListener,
    RecordingMachine,
    ScriptedHost,
    result_of,
)


class HostTest(QuietLogsTestCase):
    def leader(self, bounds: CompactionBounds | None = None) -> ScriptedHost:
        host = ScriptedHost("a", bounds=bounds)
        host.open(TRIO)
        host.lead()
        return host

    def settled_leader(self) -> ScriptedHost:
        """A leader that has sent its first heartbeat and has "b" as its only replication target."""
        host = self.leader()
        end = host.clock.seconds() + SYSTEM_TIMING.heartbeat_interval
        while host.clock.seconds() <= end:
            sent = host.run(0.01)
            host.answer("c", sent)
            host.answer("b", sent)
        return host

    def test_a_lost_follower_delays_nothing_before_the_first_heartbeat(self) -> None:
        """Guards against the failed former leader "b", whose delay is unknown, being the only target."""
        host = ScriptedHost("a")
        host.open(TRIO)
        while not host.host.is_owner("g"):
            host.answer("c", host.run(0.01))
        result = host.host.propose("g", b"first")
        host.answer("c", host.turn())
        host.run(0.01)
        self.assertEqual(result_of(result), b"did first")

    def test_proposals_of_a_turn_are_one_append_to_a_majority_and_one_write(self) -> None:
        host = self.settled_leader()
        batches, steps = host.journal_writer.batches, host.disk.steps
        results = [host.host.propose("g", b"%d" % i) for i in range(40)]
        sent = host.turn()
        self.assertEqual([(name, type(message)) for name, message in sent], [("b", AppendEntries)])
        for _, message in sent:
            assert isinstance(message, AppendEntries)
            self.assertEqual([e.data for e in message.entries], [b"%d" % i for i in range(40)])
        host.answer("b", sent)
        host.run(0.01)
        self.assertEqual(host.journal_writer.batches - batches, 1)
        self.assertEqual(host.disk.steps - steps, 2)
        self.assertEqual([result_of(r) for r in results], [b"did %d" % i for i in range(40)])

    def test_the_timer_is_not_reset_in_each_turn(self) -> None:
        host = ScriptedHost("a")
        seconds, call_later_unpatched = host.clock.seconds, host.clock.callLater
        readings, timers_set = count(), []

        def call_later(delay: float, call: Any, *args: Any) -> Any:
            timers_set.append(call)
            return call_later_unpatched(delay, call, *args)

        def advancing_clock() -> float:  # advances at each reading, like a real clock
            return seconds() + next(readings) * 1e-8

        with (
            patch.object(host.clock, "callLater", call_later),
            patch.object(host.clock, "seconds", advancing_clock),
        ):
            host.open(TRIO)
            host.lead()
            timers_set.clear()
            for i in range(20):
                host.host.propose("g", b"%d" % i)
                host.run(0.001)
        self.assertLessEqual(sum(call == host.host._tick for call in timers_set), 3)

    def test_more_entries_than_fit_a_message_are_sent_in_the_same_turn(self) -> None:
        host = self.leader()
        for i in range(3 * leadership.BATCH_ENTRIES):
            host.host.propose("g", b"%d" % i)
        sent = [message for receiver, message in host.turn() if receiver == "b"]
        self.assertEqual(len(sent), 3)

    def test_other_peers_get_entries_with_the_next_heartbeat(self) -> None:
        host = self.settled_leader()
        raft = host.host.groups["g"].raft
        host.receive("c", AppendEntriesResponse(raft.term, True, raft.last_index, raft.heartbeat_round))
        for i in range(10):
            host.host.propose("g", b"%d" % i)
            host.answer("b", host.turn())
        until_heartbeat = SYSTEM_TIMING.heartbeat_interval + TIMER_GRID_SECONDS
        sent = [message for receiver, message in host.run(until_heartbeat) if receiver == "c"]
        self.assertEqual([len(m.entries) for m in sent if isinstance(m, AppendEntries) and m.entries], [10])

    def test_a_slow_replication_target_is_replaced_at_the_next_heartbeat(self) -> None:
        host = self.leader()
        for i in range(60):
            host.host.propose("g", b"%d" % i)
            host.answer("c", host.turn())
            host.answer("c", host.run(0.01))
        raft = host.host.groups["g"].raft
        self.assertEqual(raft.replication_targets, {"c"})
        before = raft.commit_index
        host.host.propose("g", b"last")
        host.answer("c", host.turn())
        host.run(0.005)
        self.assertEqual(raft.commit_index, before + 1)

    def test_nothing_is_proposed_before_the_turn_ends(self) -> None:
        host = self.leader()
        before = len(host.sent)
        host.host.propose("g", b"x")
        self.assertEqual(len(host.sent), before)

    def test_a_follower_confirms_the_appends_of_a_turn_once(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        for index in range(1, 6):
            entry = Entry(index, 1, EntryKind.COMMAND, b"x")
            host.receive("a", AppendEntries(1, index - 1, 1 if index > 1 else 0, (entry,), 0, index))
        self.assertEqual(host.turn(), [])
        self.assertEqual(host.run(0.005), [("a", AppendEntriesResponse(1, True, 5, 5))])
        self.assertEqual(host.journal_writer.batches, 2)  # the bootstrap, and all five entries

    def test_only_responses_that_cover_one_another_are_coalesced(self) -> None:
        positive, older = AppendEntriesResponse(2, True, 5, 3), AppendEntriesResponse(2, True, 4, 4)
        table: list[tuple[list[tuple[str, Message]], list[tuple[str, Message]]]] = [
            ([("a", positive), ("a", older)], [("a", AppendEntriesResponse(2, True, 5, 4))]),
            ([("a", positive), ("b", older)], [("a", positive), ("b", older)]),
            (
                [("a", positive), ("a", AppendEntriesResponse(3, True, 6, 1))],
                [("a", positive), ("a", AppendEntriesResponse(3, True, 6, 1))],
            ),
            (
                [("a", positive), ("a", AppendEntriesResponse(2, False, 9, 4))],
                [("a", positive), ("a", AppendEntriesResponse(2, False, 9, 4))],
            ),
            (
                [("a", RequestVoteResponse(2, False, True)), ("a", positive)],
                [("a", RequestVoteResponse(2, False, True)), ("a", positive)],
            ),
        ]
        for messages, expected in table:
            self.assertEqual(coalesce_append_responses(messages), expected)

    def test_votes_and_confirmations_are_sent_only_after_the_sync(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        host.run(0.01)
        host.receive("a", RequestVote(1, 0, 0, False))
        self.assertEqual(host.run(SYNC_SECONDS - 0.001), [])
        self.assertEqual(host.run(0.002), [("a", RequestVoteResponse(1, False, True))])
        host.receive("a", AppendEntries(1, 0, 0, (Entry(1, 1, EntryKind.COMMAND, b"x"),), 0, 1))
        self.assertEqual(host.run(SYNC_SECONDS - 0.001), [])
        self.assertEqual(host.run(0.002), [("a", AppendEntriesResponse(1, True, 1, 1))])

    def test_a_heartbeat_is_answered_from_what_is_on_disk_while_the_disk_is_slow(self) -> None:
        """Guards against delaying the response until a long sync, which made the leader step down."""
        host = ScriptedHost("b")
        host.open(TRIO)
        host.receive("a", AppendEntries(1, 0, 0, (Entry(1, 1, EntryKind.COMMAND, b"x"),), 0, 1))
        host.run(0.01)
        host.journal_writer.sync_seconds = 0.3
        host.receive("a", AppendEntries(1, 1, 1, (Entry(2, 1, EntryKind.COMMAND, b"y"),), 0, 2))
        self.assertEqual(host.run(0.01), [])
        host.receive("a", AppendEntries(1, 2, 1, (), 0, 3))
        self.assertEqual(host.run(0.01), [("a", AppendEntriesResponse(1, True, 1, 3))])
        host.receive("a", AppendEntries(1, 1, 1, (), 1, 4))
        self.assertEqual(host.run(0.01), [("a", AppendEntriesResponse(1, True, 1, 4))])
        self.assertEqual(host.run(0.35), [("a", AppendEntriesResponse(1, True, 2, 3))])

    def test_a_heartbeat_does_not_confirm_a_snapshot_that_is_not_on_disk(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        conflicting = tuple(Entry(index, 1, EntryKind.COMMAND, b"junk") for index in range(1, 10))
        host.receive("a", AppendEntries(1, 0, 0, conflicting, 0, 1))
        host.run(0.01)
        host.journal_writer.sync_seconds = 0.3
        state = msgspec.msgpack.encode([b"x"])
        host.receive("c", InstallSnapshot(2, 5, 2, TRIO, len(state), 0, state, crc32(state), 1))
        host.run(0.01)
        host.receive("c", AppendEntries(2, 5, 2, (), 5, 2))
        self.assertEqual(host.run(0.01), [("c", AppendEntriesResponse(2, True, 0, 2))])
        self.assertEqual(
            host.run(0.35),
            [
                ("c", InstallSnapshotResponse(2, 5, len(state), True, 1)),
                ("c", AppendEntriesResponse(2, True, 5, 2)),
            ],
        )

    def test_nothing_is_promised_while_the_disk_fails(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        host.run(0.01)
        host.disk.capacity = host.disk.used
        host.receive("a", RequestVote(1, 0, 0, False))
        self.assertEqual(host.run(0.3), [])
        self.assertTrue(host.journal.failing)
        host.disk.capacity = None
        self.assertEqual(host.run(0.3)[:1], [("a", RequestVoteResponse(1, False, True))])

    def test_a_vote_survives_a_power_loss(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        host.receive("a", RequestVote(1, 0, 0, False))
        self.assertEqual(host.run(0.01), [("a", RequestVoteResponse(1, False, True))])
        host.disk.lose_power(Random(1))
        restarted = ScriptedHost("b", host.disk)
        restarted.open(TRIO)
        restarted.receive("c", RequestVote(1, 0, 0, False))
        self.assertEqual(restarted.run(0.01), [("c", RequestVoteResponse(1, False, False))])

    def test_the_journal_takes_precedence_over_the_founders(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        host.receive("a", AppendEntries(4, 0, 0, (Entry(1, 4, EntryKind.COMMAND, b"x"),), 1, 1))
        host.run(0.01)
        restarted = ScriptedHost("b", host.disk)
        restarted.open(Members(("b",)))
        self.assertEqual((restarted.host.members("g"), restarted.host.current_term("g")), (TRIO, 4))
        restarted.run(2)
        self.assertFalse(restarted.host.is_owner("g"))

    def test_a_member_that_is_no_founder_neither_requests_nor_grants_votes(self) -> None:
        host = ScriptedHost("d")
        host.open(TRIO)
        host.receive("a", RequestVote(1, 0, 0, True))
        host.receive("a", RequestVote(1, 0, 0, False))
        host.receive("a", RequestVote(2, 0, 0, False, leadership_transfer=True))
        self.assertEqual(host.run(3), [])
        self.assertEqual(host.host.members("g"), Members())

    def test_a_removed_group_is_not_founded_again(self) -> None:
        """The removed state may contain votes, and entries that counted towards a majority."""
        host = ScriptedHost("a")
        host.open(TRIO)
        host.run(0.01)
        host.host.close_group("g", 1)
        host.open(TRIO)
        self.assertEqual(host.host.members("g"), Members())
        host.run(0.01)
        restarted = ScriptedHost("a", host.disk)
        restarted.open(TRIO)
        self.assertEqual(restarted.host.members("g"), Members())

    def test_a_group_closed_by_its_listener_leaves_nothing_on_disk(self) -> None:
        host = self.leader()
        host.events.applied = lambda *_: host.host.close_group("g", 1)  # type: ignore[method-assign]
        host.host.propose("g", b"x")
        host.answer("b", host.turn())
        host.run(0.05)
        self.assertEqual(SegmentLog(host.disk, lambda: 1, 1 << 20).groups, ())

    def test_a_failing_state_machine_stops_its_group_and_no_other(self) -> None:
        host = self.leader()
        other = RecordingMachine()
        host.host.open_group("h", other, Members(("a",)), RecordingListener())
        while not host.host.is_owner("h"):
            host.answer("b", host.run(0.01))
        results = [host.host.propose("g", command) for command in (b"ok", b"fail", b"next")]
        sent = host.turn()
        host.answer("b", sent)
        host.run(0.05)
        outcomes = [result_of(result) for result in results]
        self.assertEqual(outcomes, [b"did ok", OutcomeUnknownError, OutcomeUnknownError])
        self.assertFalse(host.host.is_owner("g"))
        self.assertIs(result_of(host.host.propose("g", b"more")), NotOwnerError)
        result = host.host.propose("h", b"x")
        host.run(0.05)
        self.assertEqual((result_of(result), other.commands), (b"did x", [b"x"]))

    def test_a_conflict_with_a_committed_entry_stops_the_group(self) -> None:
        """Continuing could spread the corruption."""
        host = ScriptedHost("b")
        host.open(TRIO)
        host.receive("a", AppendEntries(1, 0, 0, (Entry(1, 1, EntryKind.COMMAND, b"x"),), 1, 1))
        host.run(0.01)
        host.receive("c", AppendEntries(2, 0, 0, (Entry(1, 2, EntryKind.COMMAND, b"y"),), 1, 1))
        host.run(0.01)
        self.assertEqual(host.machine.commands, [b"x"])
        self.assertEqual(host.host.members("g"), Members())
        restarted = ScriptedHost("b", host.disk)
        restarted.open(TRIO)
        self.assertEqual(restarted.host.groups["g"].raft.log.entries, [Entry(1, 1, EntryKind.COMMAND, b"x")])

    def test_only_an_owner_accepts_proposals_and_reads(self) -> None:
        host = ScriptedHost("b")
        host.open(TRIO)
        results = [host.host.propose("g", b"x"), host.host.read_barrier("g"), host.host.propose("no", b"x")]
        host.turn()
        self.assertEqual([result_of(result) for result in results], [NotOwnerError] * 3)  # type: ignore[arg-type]

    def test_a_leader_owns_once_its_own_entry_is_committed(self) -> None:
        host = ScriptedHost("a")
        host.open(TRIO)
        while host.host.leader("g") != "a":
            sent = host.run(0.01)
            host.answer("b", [(to, m) for to, m in sent if not isinstance(m, AppendEntries)])
        self.assertFalse(host.host.is_owner("g"))
        result = host.host.propose("g", b"x")
        host.turn()
        self.assertIs(result_of(result), NotOwnerError)
        host.lead()
        self.assertEqual(host.events.events_seen, [("owner", host.host.current_term("g"))])

    def test_a_leader_without_a_quorum_steps_down_with_outcomes_unknown(self) -> None:
        host = self.leader()
        results: list[Deferred[object]] = [host.host.propose("g", b"x"), host.host.read_barrier("g")]  # type: ignore[list-item]
        host.run(1)
        self.assertEqual([result_of(result) for result in results], [OutcomeUnknownError, NotOwnerError])
        self.assertEqual(host.events.events_seen[-1], ("lost",))

    def test_a_read_waits_for_responses_to_later_requests(self) -> None:
        host = self.leader()
        heartbeat = host.run(0.15)
        barrier = host.host.read_barrier("g")
        host.answer("b", heartbeat)  # responses to heartbeats sent before the request
        sent = host.turn()
        outcomes: list[object] = []
        barrier.addCallback(outcomes.append)
        host.turn()
        self.assertEqual(outcomes, [])
        host.answer("b", [*sent, *host.run(0.15)])
        host.turn()
        self.assertEqual(outcomes, [None])

    def test_a_process_that_was_frozen_is_no_owner_when_it_resumes(self) -> None:
        host = self.leader()
        host.clock.rightNow += 5  # all timers are late by 5 s
        result = host.host.propose("g", b"x")
        host.clock.advance(0)
        self.assertFalse(host.host.is_owner("g"))
        self.assertIn(result_of(result), (NotOwnerError, OutcomeUnknownError))

    def test_rounding_does_not_make_a_timer_spin(self) -> None:
        host = ScriptedHost("d")
        host.open(None)
        calls = 0
        real = host.clock.callLater

        def counted(*arguments: object) -> object:
            nonlocal calls
            calls += 1
            return real(*arguments)  # type: ignore[arg-type]

        host.clock.callLater = counted  # type: ignore[assignment]
        host.run(10)
        self.assertLess(calls, 60)

    def test_members_change_only_safely(self) -> None:
        host = self.leader()
        unsafe = (
            Members(),
            Members(("a",)),  # removes two voters
            Members(("a", "b", "c", "d")),  # d hasn't caught up
            Members(("a", "b", "b")),
            Members(("a", "b", "c"), ("c",)),
        )
        for members in unsafe:
            self.assertFalse(host.host.change_members("g", members), members)
        self.assertTrue(host.host.change_members("g", Members(("a", "b", "c"), ("d",))))
        self.assertFalse(host.host.change_members("g", Members(("a", "b"), ("d",))), "uncommitted change")
        sent = host.turn()
        host.answer("b", sent)
        host.run(0.005)
        self.assertFalse(host.host.change_members("g", Members(("a", "b", "c", "d"))))
        for _ in range(30):
            sent = host.run(0.01)
            host.answer("b", sent)
            host.answer("d", sent)
        self.assertTrue(host.host.caught_up("g", "d"))
        self.assertFalse(host.host.caught_up("g", "e"))
        self.assertTrue(host.host.change_members("g", Members(("a", "b", "c", "d"))))
        follower = ScriptedHost("b")
        follower.open(TRIO)
        self.assertFalse(follower.host.change_members("g", TRIO))

    def test_an_unresponsive_peer_gets_no_entries(self) -> None:
        host = self.leader()
        host.answer("b", host.run(0.3))
        for i in range(100):
            host.host.propose("g", b"%d" % i * 100)
        host.answer("b", host.turn())
        sent: list[Message] = []
        for _ in range(200):
            turn = host.run(0.01)
            host.answer("b", turn)
            sent += [message for receiver, message in turn if receiver == "c"]
        self.assertGreater(len(sent), 0.75 * 2.0 / SYSTEM_TIMING.heartbeat_interval)
        self.assertEqual([m for m in sent if not isinstance(m, AppendEntries) or m.entries], [])
        self.assertGreater(host.host.unresponsive_for("g", "c"), 2)
        self.assertLess(host.host.unresponsive_for("g", "b"), 0.2)
        self.assertEqual(host.host.unresponsive_for("g", "x"), float("inf"))

    def test_entries_are_compacted_and_some_are_retained(self) -> None:
        host = self.leader(CompactionBounds(size=1 << 20, entries=50, entries_to_keep=10))
        for i in range(400):
            host.host.propose("g", b"%d" % i)
            host.answer("b", host.turn())
            host.run(0.003)
        raft = host.host.groups["g"].raft
        self.assertLess(len(raft.log.entries), 80)
        self.assertGreaterEqual(raft.snapshot.index - raft.log.compacted_index, 10)
        self.assertLess(host.disk.used, 40_000)
        restarted = ScriptedHost("a", host.disk)
        restarted.open(TRIO)
        self.assertEqual(restarted.machine.commands, host.machine.commands[: len(restarted.machine.commands)])
        self.assertGreater(len(restarted.machine.commands), 300)

    def test_groups_share_the_compaction_bound_of_a_host(self) -> None:
        host = ScriptedHost("a", bounds=CompactionBounds(size=100, host_size=300))
        for name in "wxyz":
            host.host.open_group(name, RecordingMachine(), None, RecordingListener())
        self.assertEqual([group.compaction.size_bound for group in host.host.groups.values()], [75] * 4)
        for name in "wx":
            host.host.close_group(name, 1)
        self.assertEqual([group.compaction.size_bound for group in host.host.groups.values()], [100] * 2)

    def test_retained_large_entries_are_bounded_by_their_bytes(self) -> None:
        host = self.leader(CompactionBounds(size=10_000, entries=1000, entries_to_keep=256))
        for _ in range(100):
            host.host.propose("g", bytes(500))
            host.answer("b", host.turn())
            host.run(0.003)
        raft = host.host.groups["g"].raft
        self.assertLess(sum(len(e.data) for e in raft.log.entries), 16_000)


class EmptySnapshotTest(unittest.TestCase):
    def test_a_snapshot_without_data_is_restored(self) -> None:
        """An empty snapshot must not be mistaken for a missing one."""
        disk = SimulatedFileSystem()
        log = SegmentLog(disk, lambda: 1, 1 << 20)
        clock = Clock()
        journal = Journal(log, VirtualTimeJournalWriter(clock, disk, 0.0))
        write = StorageWrite(1, 1, "", None, (), Snapshot(4, 1, TRIO, b""), (4, 1))
        journal.write("g", write, lambda: None)
        clock.advance(0)
        self.assertEqual(
            SegmentLog(disk, lambda: 1, 1 << 20).persistent_state("g").snapshot, Snapshot(4, 1, TRIO, b"")
        )


if __name__ == "__main__":
    unittest.main()
