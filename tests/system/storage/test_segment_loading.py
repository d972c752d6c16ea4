"""Tests of loading the write-ahead log: round trips, torn tails, corrupt records."""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.replication.records import Entry, EntryKind, PersistentState, Snapshot, StorageWrite
from bitternpath.storage import snapshots
from bitternpath.storage.commands import Batch
from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.group_state import bootstrap_record
from bitternpath.storage.record_format import HEADER_BYTES, SEGMENT_HEADER_BYTES, encode_batch
from bitternpath.storage.records import TombstoneRecord
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from tests.system.storage.log_samples import (
    FIRST_SALT,
    FIRST_SEGMENT,
    MEMBERS,
    SECOND_SEGMENT,
    batch,
    entries,
    loaded_states,
    open_segment_log,
    persistent_states,
    storage_write,
)


class Loading(unittest.TestCase):
    def test_what_was_written_is_read_back(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(Batch([bootstrap_record("g", PersistentState(snapshot=Snapshot(members=MEMBERS)))], []))
        log.write(batch(("g", storage_write(1, 3)), ("h", storage_write(1, 1))))
        log.write(batch(("g", storage_write(3, 2, term=2, truncate_from=3))))
        log.write(batch(("h", storage_write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")))))
        states = loaded_states(disk)
        self.assertEqual(states, persistent_states(log))
        self.assertEqual(states["g"].entries, [*entries(1, 2), *entries(3, 2, term=2)])
        self.assertEqual((states["g"].term, states["g"].vote), (2, "a"))
        self.assertEqual(states["g"].snapshot.members, MEMBERS)
        self.assertEqual(states["h"].snapshot, Snapshot(1, 1, MEMBERS, b"state"))
        self.assertEqual((states["h"].compacted_through, states["h"].entries), ((1, 1), []))

    def test_compaction_of_entries_that_were_not_written_yet(self) -> None:
        """Entries 4 and 5 were appended and compacted between two writes; the next starts at entry 6."""
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1, 3))))
        log.write(batch(("g", storage_write(6, 2, snapshot=Snapshot(5, 1, MEMBERS, b"state")))))
        states = loaded_states(disk)["g"]
        self.assertEqual((states.compacted_through, states.entries), ((5, 1), list(entries(6, 2))))

    def test_a_removed_group_leaves_a_tombstone_and_no_snapshot(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk, checkpoint_bytes=50)
        log.write(batch(("g/1", storage_write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")))))
        self.assertIn("snapshots/g%2F1-1-1.snap", disk.paths())
        log.write(Batch([TombstoneRecord("g/1")], []))
        self.assertNotIn("snapshots/g%2F1-1-1.snap", disk.paths())
        while log.checkpoint_due:
            log.checkpoint_step()
        self.assertNotIn(FIRST_SEGMENT, disk.paths())
        reopened = open_segment_log(disk)
        self.assertEqual((reopened.groups, reopened.tombstones), ((), {"g/1": 0}))

    def test_bytes_used_are_those_of_the_files(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk, checkpoint_bytes=3_000, segment_bytes=500)
        before = 0, 0
        for first in range(1, 200, 2):
            log.write(batch(("g", StorageWrite(1, 1, "", None, entries(first, 2), None, before))))
            if first % 50 == 1:
                before = first + 1, 1
                snapshot = Snapshot(*before, MEMBERS, b"s" * first)
                log.write(batch(("g", StorageWrite(1, 1, "", None, (), snapshot, before))))
            if log.checkpoint_due:
                log.checkpoint_step()
            self.assertEqual(log.bytes_used, disk.used)
        self.assertEqual(open_segment_log(disk).bytes_used, disk.used)


class TornTails(unittest.TestCase):
    def test_a_last_batch_truncated_at_any_byte_is_dropped_completely(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1))))
        complete = disk.size(FIRST_SEGMENT)
        log.write(batch(("g", storage_write(2)), ("g", storage_write(3))))
        data = disk.read(FIRST_SEGMENT)
        for size in range(complete, len(data)):
            torn = SimulatedFileSystem()
            torn.write_at(FIRST_SEGMENT, 0, data[:size])
            reopened = open_segment_log(torn)
            self.assertEqual(reopened.persistent_state("g").entries, list(entries(1, 1)), size)
            self.assertEqual(torn.size(FIRST_SEGMENT), complete)
            reopened.write(batch(("g", storage_write(2, term=5))))
            self.assertEqual(
                loaded_states(torn)["g"].entries,
                [*entries(1, 1), *entries(2, 1, term=5)],
            )

    def test_a_last_batch_with_any_corrupt_byte_is_dropped_completely(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1))))
        complete = disk.size(FIRST_SEGMENT)
        log.write(batch(("g", storage_write(2)), ("g", storage_write(3))))
        data = disk.read(FIRST_SEGMENT)
        for offset in range(complete, len(data)):
            torn = SimulatedFileSystem()
            torn.write_at(FIRST_SEGMENT, 0, data)
            torn.corrupt_byte(FIRST_SEGMENT, offset)
            self.assertEqual(
                open_segment_log(torn).persistent_state("g").entries, list(entries(1, 1)), offset
            )

    def test_a_segment_whose_header_was_not_synced_is_created_again(self) -> None:
        for size in range(SEGMENT_HEADER_BYTES + 1):
            disk = SimulatedFileSystem()
            log = open_segment_log(disk, segment_bytes=100)
            log.write(batch(("g", storage_write(1, 5))))
            log.write(batch(("g", storage_write(6))))
            disk.truncate(SECOND_SEGMENT, size)
            if size == SEGMENT_HEADER_BYTES:
                disk.corrupt_byte(SECOND_SEGMENT, 3)
            reopened = open_segment_log(disk)
            reopened.write(batch(("g", storage_write(6, term=2))))
            self.assertEqual(
                loaded_states(disk)["g"].entries,
                [*entries(1, 5), *entries(6, 1, term=2)],
            )

    def test_a_checkpoint_begins_in_a_segment_without_a_header(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk, segment_bytes=100)
        log.write(batch(("g", storage_write(1, 5))))
        log.write(batch(("g", storage_write(6))))
        disk.truncate(SECOND_SEGMENT, 3)
        log = open_segment_log(disk, checkpoint_bytes=50)
        while log.checkpoint_due:
            log.checkpoint_step()
        self.assertEqual(disk.paths(), [SECOND_SEGMENT])
        self.assertEqual(loaded_states(disk)["g"].entries, list(entries(1, 5)))

    def test_records_that_a_killed_process_left_unsynced_are_synced_before_use(self) -> None:
        """Otherwise the next process could act on a vote that a power loss then reverts."""
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1))))
        data = encode_batch(FIRST_SALT, 2, batch(("g", storage_write(2, term=9))).records)
        disk.write_at(FIRST_SEGMENT, disk.size(FIRST_SEGMENT), data)  # the process is killed before the sync
        self.assertEqual(open_segment_log(disk).persistent_state("g").term, 9)
        disk.lose_power(Random(1))
        self.assertEqual(open_segment_log(disk).persistent_state("g").term, 9)

    def test_payload_bytes_that_look_like_a_record_are_ignored(self) -> None:
        """The body of a torn record contains a record of a later batch that is intact but for its salt."""
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1))))
        complete = disk.size(FIRST_SEGMENT)
        forged = encode_batch(0, 999, [TombstoneRecord("g")])
        log.write(
            batch(
                ("g", StorageWrite(1, 1, "", None, (Entry(2, 1, EntryKind.COMMAND, forged),), None, (0, 0)))
            )
        )
        disk.corrupt_byte(FIRST_SEGMENT, complete + HEADER_BYTES)
        self.assertEqual(open_segment_log(disk).persistent_state("g").entries, list(entries(1, 1)))


class Corruption(unittest.TestCase):
    def test_a_corrupt_byte_before_the_last_batch_is_reported_with_its_offset(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(1))))
        second = disk.size(FIRST_SEGMENT)
        log.write(batch(("g", storage_write(2))))
        third = disk.size(FIRST_SEGMENT)
        log.write(batch(("g", storage_write(3))))
        data = disk.read(FIRST_SEGMENT)
        for offset in range(SEGMENT_HEADER_BYTES, third):
            corrupt = SimulatedFileSystem()
            corrupt.write_at(FIRST_SEGMENT, 0, data)
            corrupt.corrupt_byte(FIRST_SEGMENT, offset)
            with self.assertRaises(CorruptJournalError) as caught:
                open_segment_log(corrupt)
            self.assertEqual(caught.exception.file, FIRST_SEGMENT)
            self.assertEqual(caught.exception.offset, SEGMENT_HEADER_BYTES if offset < second else second)

    def test_corruption_anywhere_in_a_closed_segment_is_reported(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk, segment_bytes=100)
        log.write(batch(("g", storage_write(1, 5))))
        log.write(batch(("g", storage_write(6))))
        data = disk.read(FIRST_SEGMENT)
        for offset in range(len(data)):
            disk.corrupt_byte(FIRST_SEGMENT, offset)
            with self.assertRaises(CorruptJournalError) as caught:
                open_segment_log(disk)
            self.assertEqual(caught.exception.file, FIRST_SEGMENT)
            disk.corrupt_byte(FIRST_SEGMENT, offset)
        open_segment_log(disk)

    def test_a_missing_segment_is_reported(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk, segment_bytes=100)
        for first in (1, 6, 11):
            log.write(batch(("g", storage_write(first, 5))))
        for missing in (1, 2):
            copy = SimulatedFileSystem()
            for path in disk.paths():
                if path != f"journal/segment-{missing:08d}.log":
                    copy.write_at(path, 0, disk.read(path))
            with self.assertRaises(CorruptJournalError):
                open_segment_log(copy)

    def test_a_corrupt_or_missing_snapshot_is_reported(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        log.write(batch(("g", storage_write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")))))
        path = f"snapshots/{snapshots.file_name('g', 1, 1)}"
        for offset in range(disk.size(path)):
            disk.corrupt_byte(path, offset)
            with self.assertRaises(CorruptJournalError) as caught:
                loaded_states(disk)
            self.assertEqual(caught.exception.file, path)
            disk.corrupt_byte(path, offset)
        disk.remove(path)
        with self.assertRaises(CorruptJournalError):
            loaded_states(disk)


if __name__ == "__main__":
    unittest.main()
