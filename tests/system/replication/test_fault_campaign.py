"""Seeded runs of a group with all faults, and broken builds that they must find.

`REPLICATION_SEEDS` sets how many seeds the campaigns play, for longer hunts.
"""

from __future__ import annotations

import os
import unittest
from unittest.mock import patch

from bitternpath.replication import consensus, snapshots
from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.group import ReplicaGroup
from bitternpath.storage.commands import JournalCommand
from bitternpath.storage.group_state import GroupState
from bitternpath.storage.records import WriteRecord
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from bitternpath.testing.simulation.replica_checker import InvariantViolationError
from bitternpath.testing.simulation.replica_group import Plan, World
from tests.system.replication.quiet_logs import QuietLogsTestCase

SEEDS = int(os.environ.get("REPLICATION_SEEDS", "1200"))


SMALL_CHUNK = 150  # bytes: snapshots of a simulated node then are several pieces


class FaultCampaignTest(QuietLogsTestCase):
    """Seeded runs with all faults. A seed that failed once is added to `FAILED_ONCE`."""

    longest_test_s = 20

    SHORT = Plan(seconds=2.0, fault_every=0.3)
    FAILED_ONCE = (155, 205, 352)  # a snapshot's receiver was started again in between: stuck for ever

    def setUp(self) -> None:
        super().setUp()
        small = patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK)
        small.start()
        self.addCleanup(small.stop)

    def play(self, plan: Plan, seeds: range | tuple[int, ...]) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                World(seed, plan).play()

    def test_three_nodes(self) -> None:
        self.play(self.SHORT, range(SEEDS))

    def test_five_nodes(self) -> None:
        self.play(Plan(nodes=5, seconds=2.0, fault_every=0.2), range(SEEDS // 6))

    def test_seeds_that_failed_once(self) -> None:
        self.play(Plan(), self.FAILED_ONCE)

    def test_one_seed_is_one_run(self) -> None:
        first, second = World(3, self.SHORT), World(3, self.SHORT)
        self.assertEqual(first.play().committed, second.play().committed)
        self.assertEqual(first.clock.seconds(), second.clock.seconds())


class BrokenBuildsTest(QuietLogsTestCase):
    """Builds without one safeguard; the checkers must find each within some seeds."""

    MOST_SEEDS = 150

    def assert_caught(self, plan: Plan | None = None) -> None:
        with patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK):
            for seed in range(self.MOST_SEEDS):
                try:
                    World(seed, plan or Plan()).play()
                except InvariantViolationError:
                    return
        self.fail(f"not caught in {self.MOST_SEEDS} seeds")

    def test_acknowledging_before_the_sync(self) -> None:
        def hasty(self: VirtualTimeJournalWriter, command: JournalCommand) -> None:
            if command.done is not None:
                self._clock.callLater(0, command.done)
            real(self, JournalCommand(command.record, command.snapshot, None))

        real = VirtualTimeJournalWriter.submit
        with patch.object(VirtualTimeJournalWriter, "submit", hasty):
            self.assert_caught()

    def test_an_empty_disk_that_votes(self) -> None:
        self.assert_caught(Plan(empty_disk_keeps_identity=True, agreement_timeout_s=3.0))

    def test_a_learner_that_counts_before_it_caught_up(self) -> None:
        with patch.object(ReplicaGroup, "caught_up", lambda self, member: True):
            self.assert_caught()

    def test_an_unknown_outcome_reported_as_not_proposed(self) -> None:
        with patch("bitternpath.replication.pending_requests.OutcomeUnknownError", NotOwnerError):
            self.assert_caught()

    def test_a_read_that_asks_nobody(self) -> None:
        def hasty(self: ReplicaGroup) -> None:
            if self.is_owner:
                self._reads.start(lambda: 0)
                self._reads.confirmed(0)
            else:
                self._reads.fail_queued()

        with patch.object(ReplicaGroup, "_start_reads", hasty):
            self.assert_caught()

    def test_a_term_that_is_not_persisted(self) -> None:
        def forgetful(self: GroupState, record: WriteRecord) -> None:
            term = self.term
            real(self, record)
            self.term = term

        real = GroupState.apply
        with patch.object(GroupState, "apply", forgetful):
            self.assert_caught()

    def test_entries_counted_by_the_leader_before_its_own_sync(self) -> None:
        def hasty(self: consensus.Raft) -> None:
            self.log.stable_index = self.log.last_index
            real(self)

        real = consensus.Raft._update_commitment
        with patch.object(consensus.Raft, "_update_commitment", hasty):
            self.assert_caught()


if __name__ == "__main__":
    unittest.main()
