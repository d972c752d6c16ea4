"""Tests of the write-ahead log on disks where writes and syncs fail."""

from __future__ import annotations

import unittest
from contextlib import suppress
from random import Random

from bitternpath.replication.records import Snapshot, StorageWrite
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem
from tests.system.storage.log_samples import (
    FIRST_SEGMENT,
    MEMBERS,
    batch,
    entries,
    loaded_states,
    open_segment_log,
    persistent_states,
    storage_write,
)
from tests.system.storage.write_history import History


class RefusedWrites(unittest.TestCase):
    def test_a_disk_full_at_any_byte_leaves_no_garbage_and_the_batch_can_be_retried(self) -> None:
        snapshot = Snapshot(1, 1, MEMBERS, b"state")
        empty = SimulatedFileSystem()
        open_segment_log(empty).write(batch(("g", storage_write(1))))
        needed = empty.used
        open_segment_log(empty).write(batch(("g", storage_write(2, 3, snapshot=snapshot))))
        needed = empty.used - needed
        for free_bytes in range(needed + 1):
            disk = SimulatedFileSystem()
            log = open_segment_log(disk)
            log.write(batch(("g", storage_write(1))))
            disk.capacity = disk.used + free_bytes
            pending = batch(("g", storage_write(2, 3, snapshot=snapshot)))
            if free_bytes < needed:
                for _ in range(2):
                    with self.assertRaises(OSError):
                        log.write(pending)
                disk.capacity = None
            log.write(pending)
            disk.capacity = None
            log.write(batch(("g", StorageWrite(1, 1, "", None, entries(5, 1), None, (1, 1)))))
            self.assertEqual(loaded_states(disk)["g"].entries, list(entries(2, 4)))

    def test_a_full_disk_then_power_loss(self) -> None:
        """A failed batch is retried, with or without success, until the power loss."""
        for seed in range(300):
            random = Random(seed)
            disk, history = SimulatedFileSystem(), History(seed)
            history.open(disk)
            for _ in range(random.randint(1, 20)):
                history.step()
            disk.capacity = disk.used + random.randint(0, 300)
            disk.crash_at = disk.steps + random.randint(5, 60)
            with suppress(SimulatedCrashError):
                while True:
                    try:
                        history.step()
                    except OSError:
                        disk.capacity = disk.used + random.choice([0, 50, 500])
                        history.retry()
            disk.lose_power(random)
            self.assertIn(loaded_states(disk), history.batch_states[history.acknowledged :], seed)

    def test_a_failed_sync_is_repeated_with_the_data(self) -> None:
        """After a failed sync the kernel marks the pages clean, so a second sync alone doesn't write them."""
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1))))
        disk.failing_syncs = 1
        retried = batch(("g", storage_write(2)))
        with self.assertRaises(OSError):
            log.write(retried)
        log.write(retried)
        disk.lose_power(Random(3))
        self.assertEqual(loaded_states(disk)["g"].entries, list(entries(1, 2)))

    def test_a_failed_checkpoint_is_resumed(self) -> None:
        for free_bytes in range(0, 600, 7):
            disk = SimulatedFileSystem()
            log = open_segment_log(disk, checkpoint_bytes=600, segment_bytes=200)
            for first in range(1, 40, 2):
                log.write(batch(("g", storage_write(first, 2)), ("h", storage_write(first, 2))))
            disk.capacity = disk.used + free_bytes
            refused = 0
            while log.checkpoint_due:
                try:
                    log.checkpoint_step()
                except OSError:
                    refused += 1
                    self.assertEqual(loaded_states(self._copy(disk)), persistent_states(log))
                    if refused == 3:
                        disk.capacity = None
            log.write(batch(("g", storage_write(41))))
            self.assertEqual(loaded_states(disk), persistent_states(log))
            self.assertNotIn(FIRST_SEGMENT, disk.paths())

    @staticmethod
    def _copy(disk: SimulatedFileSystem) -> SimulatedFileSystem:
        copy = SimulatedFileSystem()
        for path in disk.paths():
            copy.write_at(path, 0, disk.read(path))
        return copy


if __name__ == "__main__":
    unittest.main()
