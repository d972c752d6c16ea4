"""Randomised runs of a group with all faults, and broken builds that the checkers must detect.

The environment variable `REPLICATION_SEEDS` sets the number of seeds, for longer campaigns.
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


SMALL_CHUNK = 150  # bytes; splits the snapshots of a simulated node into several chunks


class FaultCampaignTest(QuietLogsTestCase):
    """Randomised runs with all faults. Seeds that once failed are kept in `FAILED_ONCE`."""

    longest_test_s = 20

    SHORT = Plan(seconds=2.0, fault_every=0.3)
    FAILED_ONCE = (155, 205, 352)  # installation never completed after a restart of the receiver

    def setUp(self) -> None:
        super().setUp()
        patched = patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK)
        patched.start()
        self.addCleanup(patched.stop)

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
    """Builds that lack one safeguard each, which the checkers must detect within `MOST_SEEDS` seeds."""

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
        def without_safeguard(self: VirtualTimeJournalWriter, command: JournalCommand) -> None:
            if command.done is not None:
                self._clock.callLater(0, command.done)
            original(self, JournalCommand(command.record, command.snapshot, None))

        original = VirtualTimeJournalWriter.submit
        with patch.object(VirtualTimeJournalWriter, "submit", without_safeguard):
            self.assert_caught()

    def test_an_empty_disk_that_votes(self) -> None:
        self.assert_caught(Plan(empty_disk_keeps_identity=True, agreement_timeout_s=3.0))

    def test_a_learner_that_counts_before_it_caught_up(self) -> None:
        with patch.object(ReplicaGroup, "caught_up", lambda self, member: True):
            self.assert_caught()

    def test_an_unknown_outcome_reported_as_not_proposed(self) -> None:
        with patch("bitternpath.replication.pending_requests.OutcomeUnknownError", NotOwnerError):
            self.assert_caught()

    def test_a_read_without_confirmation(self) -> None:
        def without_safeguard(self: ReplicaGroup) -> None:
            if self.is_owner:
                self._reads.start(lambda: 0)
                self._reads.confirmed(0)
            else:
                self._reads.fail_queued()

        with patch.object(ReplicaGroup, "_start_reads", without_safeguard):
            self.assert_caught()

    def test_a_term_that_is_not_persisted(self) -> None:
        def without_term(self: GroupState, record: WriteRecord) -> None:
            term = self.term
            original(self, record)
            self.term = term

        original = GroupState.apply
        with patch.object(GroupState, "apply", without_term):
            self.assert_caught()

    def test_entries_counted_by_the_leader_before_its_own_sync(self) -> None:
        def without_safeguard(self: consensus.Raft) -> None:
            self.log.stable_index = self.log.last_index
            original(self)

        original = consensus.Raft._update_commitment
        with patch.object(consensus.Raft, "_update_commitment", without_safeguard):
            self.assert_caught()


if __name__ == "__main__":
    unittest.main()
