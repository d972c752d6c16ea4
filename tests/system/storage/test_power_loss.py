"""Tests of the write-ahead log with power losses and kills at any disk operation."""

from __future__ import annotations

import unittest
from contextlib import suppress
from random import Random
from unittest.mock import patch

from bitternpath.storage import snapshots
from bitternpath.storage.checkpoint import Checkpointer
from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.record_format import SEGMENT_HEADER_BYTES
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem
from tests.system.storage.log_samples import loaded_states, open_segment_log
from tests.system.storage.write_history import History


class PowerLoss(unittest.TestCase):
    """Power losses on a disk where the sync of a new file also makes its name durable."""

    def make_disk(self) -> SimulatedFileSystem:
        return SimulatedFileSystem()

    def assert_state_is_allowed(self, disk: SimulatedFileSystem, history: History, case: object) -> None:
        """Assert that the loaded state is that after the last acknowledged batch or a later batch."""
        self.assertIn(loaded_states(disk), history.batch_states[history.acknowledged :], case)

    def test_acknowledged_batches_survive_a_power_loss_at_any_step(self) -> None:
        """The history has batches, snapshots, segments and several checkpoints; each disk operation crashes
        once."""
        batches = 40
        complete = self.make_disk()
        history = History(1)
        history.open(complete)
        for _ in range(batches):
            history.step()
        first_segment = min(int(path[-12:-4]) for path in complete.paths() if path.startswith("journal"))
        self.assertGreater(first_segment, 4)
        for crash_at in range(1, complete.steps + 1):
            for seed in range(4):
                disk = self.make_disk()
                history = History(1)
                disk.crash_at = crash_at
                with self.assertRaises(SimulatedCrashError):
                    history.open(disk)
                    for _ in range(batches):
                        history.step()
                disk.lose_power(Random(seed))
                self.assert_state_is_allowed(disk, history, (crash_at, seed))

    def test_repeated_power_losses_and_kills(self) -> None:
        """Several processes use the same disk in turn; each starts with the files that the previous left."""
        for seed in range(150):
            random = Random(seed)
            disk = self.make_disk()
            history = History(seed)
            for process in range(6):
                disk.crash_at = disk.steps + random.randint(1, 60)
                with suppress(SimulatedCrashError):
                    history.open(disk)
                    while True:
                        history.step()
                if random.random() < 0.6:
                    disk.lose_power(random)
                disk.restart()
                self.assert_state_is_allowed(disk, history, (seed, process))
                self._continue_from(history, disk)

    @staticmethod
    def _continue_from(history: History, disk: SimulatedFileSystem) -> None:
        """Continue the history with the state on the disk."""
        loaded = loaded_states(disk)
        last = max(position for position, states in enumerate(history.batch_states) if states == loaded)
        history.batch_states = [history.batch_states[last]]
        history.acknowledged = 0
        history.states = open_segment_log(disk).states
        history.snapshots = {group: state.snapshot for group, state in loaded.items()}

    def test_a_build_that_acknowledges_before_the_sync_is_detected(self) -> None:
        def unsynced(self: SimulatedFileSystem, path: str) -> None:
            if not path.startswith("journal") or self.size(path) <= SEGMENT_HEADER_BYTES:
                real(self, path)

        real = SimulatedFileSystem.sync
        with patch.object(SimulatedFileSystem, "sync", unsynced), self.assertRaises(AssertionError):
            self.test_acknowledged_batches_survive_a_power_loss_at_any_step()

    def test_a_build_that_removes_segments_before_the_checkpoint_is_complete_is_detected(self) -> None:
        def remove_early(self: Checkpointer, group: str) -> None:
            if (oldest := self._segments.oldest_closed) is not None:
                self._segments.remove_closed(oldest)
            real(self, group)

        real = Checkpointer._write_state
        with (
            patch.object(Checkpointer, "_write_state", remove_early),
            self.assertRaises((AssertionError, CorruptJournalError)),
        ):
            self.test_acknowledged_batches_survive_a_power_loss_at_any_step()

    def test_a_build_that_references_a_snapshot_before_its_directory_is_synced_is_detected(self) -> None:
        def unsynced(self: SimulatedFileSystem, directory: str) -> None:
            if directory != snapshots.DIRECTORY:
                real(self, directory)

        real = SimulatedFileSystem.sync_directory
        caught = AssertionError, CorruptJournalError
        with patch.object(SimulatedFileSystem, "sync_directory", unsynced), self.assertRaises(caught):
            self.test_acknowledged_batches_survive_a_power_loss_at_any_step()


if __name__ == "__main__":
    unittest.main()
