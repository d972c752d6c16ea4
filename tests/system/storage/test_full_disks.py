"""Tests of full disks: a checkpoint and two snapshots fit together, or the batch fails without corruption."""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from random import Random
from unittest.mock import patch

from twisted.internet.task import Clock

from bitternpath.replication.compaction import CompactionBounds, bounds_for_disk
from bitternpath.replication.host import SYSTEM_TIMING, HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.records import Entry, EntryKind, Members, Snapshot, StorageWrite
from bitternpath.storage.commands import Batch, NewSnapshot
from bitternpath.storage.group_state import write_record
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from tests.system.storage.quiet import QuietTestCase
from tests.system.storage.state_machines import LastCommands, NoOpListener

DISK_BYTES = 64 << 10  # a disk of 64 MB, scaled down by 1000
LOG_SHARE = 0.35  # share of the disk for segments above which a checkpoint is due
CHANGE_BYTES = 100
SEGMENT_BYTES = 8 << 10


def open_segment_log(disk: SimulatedFileSystem) -> SegmentLog:
    """Load the log of a disk."""
    return SegmentLog(disk, lambda: 1, int(DISK_BYTES * LOG_SHARE), SEGMENT_BYTES)


class RefusedBatches(QuietTestCase):
    def superseded_log(self) -> tuple[SimulatedFileSystem, SegmentLog]:
        """Return a log with a snapshot and mostly superseded records, and its disk."""
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        first = Snapshot(1, 1, Members(("a",)), bytes(20_000))
        first_write = StorageWrite(1, 1, "", None, (), first, (1, 1))
        log.write(Batch([write_record("g", first_write)], [NewSnapshot("g", first)]))
        for number in range(2, 40):
            entry = Entry(2, 1, EntryKind.COMMAND, bytes(500))
            write = StorageWrite(number, 1, "", 2, (entry,), None, (1, 1))
            log.write(Batch([write_record("g", write)], []))
        return disk, log

    def snapshot_batch(self) -> Batch:
        snapshot = Snapshot(2, 1, Members(("a",)), bytes(21_000))
        return Batch(
            [write_record("g", StorageWrite(40, 1, "", None, (), snapshot, (2, 1)))],
            [NewSnapshot("g", snapshot)],
        )

    def test_a_snapshot_gets_the_space_of_superseded_segments(self) -> None:
        """The snapshot fits on the disk once superseded segments are removed. The batch used to be retried
        forever, because no checkpoint ran between the attempts."""
        disk, log = self.superseded_log()
        disk.capacity = 52_000
        self.assertGreater(disk.used + 21_000, disk.capacity)
        log.write(self.snapshot_batch())
        self.assertEqual(log.persistent_state("g").snapshot.index, 2)
        self.assertEqual(
            open_segment_log(disk).persistent_state("g").snapshot, log.persistent_state("g").snapshot
        )

    def test_a_build_that_frees_no_space_is_detected(self) -> None:
        disk, log = self.superseded_log()
        disk.capacity = 52_000
        with patch.object(SegmentLog, "_free_space", lambda self: False):
            for _ in range(20):
                with self.assertRaises(OSError):
                    log.write(self.snapshot_batch())

    def test_a_batch_that_does_not_fit_is_refused_and_leaves_no_draft(self) -> None:
        disk, log = self.superseded_log()
        disk.capacity = 30_000
        batch = self.snapshot_batch()
        for _ in range(3):
            with self.assertRaises(OSError) as caught:
                log.write(batch)
            self.assertEqual(caught.exception.errno, errno.ENOSPC)
        disk.capacity = None
        log.write(batch)
        self.assertEqual(open_segment_log(disk).persistent_state("g").snapshot.index, 2)

    def test_a_refused_segment_does_not_make_a_torn_tail_look_like_corruption(self) -> None:
        """A checkpoint on a full disk left a next segment with an incomplete header, and batches were still
        appended to the current segment. After a kill during such a batch, loading reported the torn tail as
        corruption, and the disk was discarded."""
        record = write_record("g", StorageWrite(40, 2, "a", None, (), None, (1, 1)))
        for free_bytes in range(1, 60):
            disk, log = self.superseded_log()
            disk.capacity = disk.used + 5
            with self.assertRaises(OSError):
                log.checkpoint_step()
            disk.capacity = disk.used + free_bytes
            with suppress(OSError):
                log.write(Batch([record], []))
            disk.restart()
            self.assertEqual(len(open_segment_log(disk).persistent_state("g").entries), 1)

    def test_a_failing_disk_that_is_not_full_gets_no_checkpoint(self) -> None:
        disk, log = self.superseded_log()
        segments = list(disk.paths())
        disk.failing_syncs = 1
        with self.assertRaises(OSError) as caught:
            log.write(self.snapshot_batch())
        self.assertEqual(caught.exception.strerror, os.strerror(errno.EIO))
        self.assertLessEqual(set(segments), set(disk.paths()))


class SmallDisk(QuietTestCase):
    """A single group on a disk of 64 MB, scaled down by 1000, writes ten times the capacity of the disk."""

    def run_changes(self, state_commands: int, bounds: CompactionBounds) -> tuple[int, int]:
        """Return the number of changes that were written, and the maximum disk usage in bytes."""
        clock, disk = Clock(), SimulatedFileSystem()
        disk.capacity = DISK_BYTES
        journal_writer = VirtualTimeJournalWriter(clock, disk, 0.001)
        host = ReplicaHost(
            clock,
            "a",
            Journal(open_segment_log(disk), journal_writer),
            MessageTransport(lambda *_: None),
            HostOptions(_seeded_random(), SYSTEM_TIMING, bounds),
        )
        machine = LastCommands(state_commands)
        host.open_group("g", machine, Members(("a",)), NoOpListener())
        while not host.is_owner("g"):
            clock.advance(0.01)
        accepted, max_used = 0, 0
        for number in range(10 * DISK_BYTES // CHANGE_BYTES):
            result = host.propose("g", b"%08d" % number + bytes(CHANGE_BYTES - 8))
            result.addErrback(lambda _: None)
            for _ in range(4):
                clock.advance(0.001)
            max_used = max(max_used, disk.used)
            if journal_writer.failing:
                break
            accepted = number
        return accepted, max_used

    def test_a_state_of_a_third_of_the_disk_never_fills_it(self) -> None:
        accepted, max_used = self.run_changes(DISK_BYTES // 3 // CHANGE_BYTES, bounds_for_disk(DISK_BYTES))
        self.assertEqual(accepted, 10 * DISK_BYTES // CHANGE_BYTES - 1)
        self.assertLess(max_used, DISK_BYTES)
        print(f"\nstate of a third of the disk: {max_used / DISK_BYTES:.2f} of it used at most")

    def test_a_build_with_the_bounds_of_large_disks_is_detected(self) -> None:
        """Entries between snapshots used more than half of the disk, and a checkpoint wrote them twice."""
        bounds = CompactionBounds(size=DISK_BYTES // 2, host_size=DISK_BYTES // 2)
        accepted, _ = self.run_changes(DISK_BYTES // 3 // CHANGE_BYTES, bounds)
        self.assertLess(accepted, 10 * DISK_BYTES // CHANGE_BYTES - 1)

    def test_bounds_of_disks(self) -> None:
        self.assertEqual(bounds_for_disk(0), CompactionBounds())
        self.assertEqual(bounds_for_disk(64 << 20), CompactionBounds(size=8 << 20, host_size=8 << 20))
        self.assertEqual(bounds_for_disk(1 << 40), CompactionBounds())


def _seeded_random() -> Random:
    return Random(1)
