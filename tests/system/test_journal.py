"""Tests of the write-ahead log: torn tails, damage, checkpoints under power loss, full disks."""

from __future__ import annotations

import errno
import tempfile
import threading
import unittest
from contextlib import suppress
from itertools import count
from pathlib import Path
from random import Random
from unittest.mock import patch

import logbook
from twisted.internet.task import Clock

from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState, Snapshot, StorageWrite
from bitternpath.storage import disk as disk_module
from bitternpath.storage import snapshots
from bitternpath.storage.commands import Batch, JournalCommand, NewSnapshot, batch_of
from bitternpath.storage.disk import JournalWriterThread
from bitternpath.storage.group_state import GroupStates, bootstrap_record, write_record
from bitternpath.storage.identity import IDENTITY_FILE, load_identity
from bitternpath.storage.journal import Journal, open_journal
from bitternpath.storage.records import (
    HEADER_BYTES,
    SEGMENT_HEADER_BYTES,
    CorruptJournalError,
    TombstoneRecord,
    encode_batch,
)
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import (
    SimulatedCrashError,
    SimulatedFileSystem,
    VirtualTimeJournalWriter,
)

FIRST = "journal/segment-00000001.log"
MEMBERS = Members(("a", "b", "c"))
SALT = 7


def open_log(disk: SimulatedFileSystem, checkpoint: int = 1 << 30, segment: int = 1 << 20) -> SegmentLog:
    salts = count(SALT)
    return SegmentLog(disk, lambda: next(salts), checkpoint, segment)


def entries(first: int, number: int, term: int = 1, size: int = 20) -> tuple[Entry, ...]:
    return tuple(
        Entry(i, term, EntryKind.COMMAND, bytes([i % 251]) * size) for i in range(first, first + number)
    )


def write(
    first: int = 1, number: int = 1, term: int = 1, cut: int | None = None, snapshot: Snapshot | None = None
) -> StorageWrite:
    before = (0, 0) if snapshot is None else (snapshot.index, snapshot.term)
    return StorageWrite(1, term, "a", cut, entries(first, number, term), snapshot, before)


def batch(*writes: tuple[str, StorageWrite]) -> Batch:
    news = [NewSnapshot(group, w.snapshot) for group, w in writes if w.snapshot is not None]
    return Batch([write_record(group, w) for group, w in writes], news)


def plain(log: SegmentLog) -> dict[str, PersistentState]:
    return {group: log.kept(group) for group in log.groups}


class Reading(unittest.TestCase):
    def test_what_was_written_is_read_back(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(Batch([bootstrap_record("g", PersistentState(snapshot=Snapshot(members=MEMBERS)))], []))
        log.write(batch(("g", write(1, 3)), ("h", write(1, 1))))
        log.write(batch(("g", write(3, 2, term=2, cut=3))))
        log.write(batch(("h", write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")))))
        kept = plain(open_log(disk))
        self.assertEqual(kept, plain(log))
        self.assertEqual(kept["g"].entries, [*entries(1, 2), *entries(3, 2, term=2)])
        self.assertEqual((kept["g"].term, kept["g"].vote), (2, "a"))
        self.assertEqual(kept["g"].snapshot.members, MEMBERS)
        self.assertEqual(kept["h"].snapshot, Snapshot(1, 1, MEMBERS, b"state"))
        self.assertEqual((kept["h"].compacted_through, kept["h"].entries), ((1, 1), []))

    def test_compaction_of_entries_that_were_not_written_yet(self) -> None:
        """Entries 4 and 5 came and went between two writes: the next one starts behind them."""
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1, 3))))
        log.write(batch(("g", write(6, 2, snapshot=Snapshot(5, 1, MEMBERS, b"state")))))
        kept = plain(open_log(disk))["g"]
        self.assertEqual((kept.compacted_through, kept.entries), ((5, 1), list(entries(6, 2))))

    def test_a_forgotten_group_is_gone_with_its_snapshot_and_remembered(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk, checkpoint=50)
        log.write(batch(("g/1", write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")))))
        self.assertIn("snapshots/g%2F1-1-1.snap", disk.paths())
        log.write(Batch([TombstoneRecord("g/1")], []))
        self.assertNotIn("snapshots/g%2F1-1-1.snap", disk.paths())
        while log.wants_checkpoint:
            log.checkpoint_step()
        self.assertNotIn(FIRST, disk.paths())
        again = open_log(disk)
        self.assertEqual((again.groups, again.forgotten), ((), {"g/1": 0}))

    def test_bytes_used_are_those_of_the_files(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk, checkpoint=3_000, segment=500)
        before = 0, 0
        for first in range(1, 200, 2):
            log.write(batch(("g", StorageWrite(1, 1, "", None, entries(first, 2), None, before))))
            if first % 50 == 1:
                before = first + 1, 1
                snapshot = Snapshot(*before, MEMBERS, b"s" * first)
                log.write(batch(("g", StorageWrite(1, 1, "", None, (), snapshot, before))))
            if log.wants_checkpoint:
                log.checkpoint_step()
            self.assertEqual(log.bytes_used, disk.used)
        self.assertEqual(open_log(disk).bytes_used, disk.used)


class TornTails(unittest.TestCase):
    def test_a_last_batch_cut_at_any_byte_is_dropped_whole(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1))))
        whole = disk.size(FIRST)
        log.write(batch(("g", write(2)), ("g", write(3))))
        data = disk.read(FIRST)
        for size in range(whole, len(data)):
            torn = SimulatedFileSystem()
            torn.write_at(FIRST, 0, data[:size])
            again = open_log(torn)
            self.assertEqual(again.kept("g").entries, list(entries(1, 1)), size)
            self.assertEqual(torn.size(FIRST), whole)
            again.write(batch(("g", write(2, term=5))))
            self.assertEqual(plain(open_log(torn))["g"].entries, [*entries(1, 1), *entries(2, 1, term=5)])

    def test_a_last_batch_with_any_damaged_byte_is_dropped_whole(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1))))
        whole = disk.size(FIRST)
        log.write(batch(("g", write(2)), ("g", write(3))))
        data = disk.read(FIRST)
        for place in range(whole, len(data)):
            torn = SimulatedFileSystem()
            torn.write_at(FIRST, 0, data)
            torn.corrupt_byte(FIRST, place)
            self.assertEqual(open_log(torn).kept("g").entries, list(entries(1, 1)), place)

    def test_a_segment_whose_header_was_not_synced_is_begun_again(self) -> None:
        for size in range(SEGMENT_HEADER_BYTES + 1):
            disk = SimulatedFileSystem()
            log = open_log(disk, segment=100)
            log.write(batch(("g", write(1, 5))))
            log.write(batch(("g", write(6))))
            second = "journal/segment-00000002.log"
            disk.truncate(second, size)
            if size == SEGMENT_HEADER_BYTES:
                disk.corrupt_byte(second, 3)
            again = open_log(disk)
            again.write(batch(("g", write(6, term=2))))
            self.assertEqual(plain(open_log(disk))["g"].entries, [*entries(1, 5), *entries(6, 1, term=2)])

    def test_a_checkpoint_that_begins_in_such_a_segment(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk, segment=100)
        log.write(batch(("g", write(1, 5))))
        log.write(batch(("g", write(6))))
        disk.truncate("journal/segment-00000002.log", 3)
        log = open_log(disk, checkpoint=50)
        while log.wants_checkpoint:
            log.checkpoint_step()
        self.assertEqual(disk.paths(), ["journal/segment-00000002.log"])
        self.assertEqual(plain(open_log(disk))["g"].entries, list(entries(1, 5)))

    def test_records_that_a_killed_process_left_unsynced_are_synced_before_use(self) -> None:
        """Else the next process could vote by them, and a loss of power would take them back."""
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1))))
        data = encode_batch(SALT, 2, batch(("g", write(2, term=9))).records)
        disk.write_at(FIRST, disk.size(FIRST), data)  # the process is killed before the sync
        self.assertEqual(open_log(disk).kept("g").term, 9)
        disk.lose_power(Random(1))
        self.assertEqual(open_log(disk).kept("g").term, 9)

    def test_a_clients_bytes_that_look_like_a_record_prove_nothing(self) -> None:
        """A torn record whose body holds what would be a whole record of a later batch."""
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1))))
        whole = disk.size(FIRST)
        forged = encode_batch(0, 999, [TombstoneRecord("g")])
        log.write(
            batch(
                ("g", StorageWrite(1, 1, "", None, (Entry(2, 1, EntryKind.COMMAND, forged),), None, (0, 0)))
            )
        )
        disk.corrupt_byte(FIRST, whole + HEADER_BYTES)
        self.assertEqual(open_log(disk).kept("g").entries, list(entries(1, 1)))


class Damage(unittest.TestCase):
    def test_a_damaged_byte_before_the_last_batch_is_told_with_its_place(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1))))
        second = disk.size(FIRST)
        log.write(batch(("g", write(2))))
        third = disk.size(FIRST)
        log.write(batch(("g", write(3))))
        data = disk.read(FIRST)
        for place in range(SEGMENT_HEADER_BYTES, third):
            damaged = SimulatedFileSystem()
            damaged.write_at(FIRST, 0, data)
            damaged.corrupt_byte(FIRST, place)
            with self.assertRaises(CorruptJournalError) as caught:
                open_log(damaged)
            self.assertEqual(caught.exception.file, FIRST)
            self.assertEqual(caught.exception.offset, SEGMENT_HEADER_BYTES if place < second else second)

    def test_damage_anywhere_in_a_closed_segment_is_told(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk, segment=100)
        log.write(batch(("g", write(1, 5))))
        log.write(batch(("g", write(6))))
        data = disk.read(FIRST)
        for place in range(len(data)):
            disk.corrupt_byte(FIRST, place)
            with self.assertRaises(CorruptJournalError) as caught:
                open_log(disk)
            self.assertEqual(caught.exception.file, FIRST)
            disk.corrupt_byte(FIRST, place)
        open_log(disk)

    def test_a_missing_segment_is_told(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk, segment=100)
        for first in (1, 6, 11):
            log.write(batch(("g", write(first, 5))))
        for missing in (1, 2):
            copy = SimulatedFileSystem()
            for path in disk.paths():
                if path != f"journal/segment-{missing:08d}.log":
                    copy.write_at(path, 0, disk.read(path))
            with self.assertRaises(CorruptJournalError):
                open_log(copy)

    def test_a_damaged_or_missing_snapshot_is_told(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")))))
        path = f"snapshots/{snapshots.file_name('g', 1, 1)}"
        for place in range(disk.size(path)):
            disk.corrupt_byte(path, place)
            with self.assertRaises(CorruptJournalError) as caught:
                plain(open_log(disk))
            self.assertEqual(caught.exception.file, path)
            disk.corrupt_byte(path, place)
        disk.remove(path)
        with self.assertRaises(CorruptJournalError):
            plain(open_log(disk))


class History:
    """Writes made-up batches, and knows the state after each. `acknowledged`: those that are synced."""

    def __init__(self, seed: int, checkpoint: int = 1_500, segment: int = 400) -> None:
        self.random = Random(seed)
        self.states = GroupStates()
        self.seen: list[dict[str, PersistentState]] = [{}]
        self.acknowledged = 0
        self.bounds = checkpoint, segment
        self.snapshots: dict[str, Snapshot] = {}

    def open(self, disk: SimulatedFileSystem) -> None:
        self.log = open_log(disk, *self.bounds)

    def step(self) -> None:
        """One batch, and a step of a checkpoint if one is due."""
        commands = [self._command() for _ in range(self.random.randint(1, 3))]
        self.seen.append(self.expected())
        self.waiting: Batch | None = batch_of(commands)
        self._write()

    def retry(self) -> None:
        """Again what the disk has refused, until it takes it."""
        while self.waiting is not None:
            with suppress(OSError):
                self._write()

    def _write(self) -> None:
        assert self.waiting is not None
        self.log.write(self.waiting)
        self.waiting = None
        self.acknowledged = len(self.seen) - 1
        if self.log.wants_checkpoint:
            self.log.checkpoint_step()

    def expected(self) -> dict[str, PersistentState]:
        found = {}
        for group, state in self.states.by_group.items():
            snapshot = self.snapshots[group] if state.snapshot.size else Snapshot()
            before = state.before_index, state.before_term
            found[group] = PersistentState(state.term, state.vote, snapshot, before, list(state.entries))
        return found

    def _command(self) -> JournalCommand:
        random = self.random
        group = random.choice("xyz")
        state = self.states.by_group.get(group)
        if state is not None and random.random() < 0.05:
            self.states.apply(TombstoneRecord(group))
            return JournalCommand(TombstoneRecord(group), None, None)
        before, last, term = (0, 0), 0, 1
        if state is not None:
            before = state.before_index, state.before_term
            last, term = before[0] + len(state.entries), state.term
        cut = None
        if random.random() < 0.2 and state is not None and last > state.snapshot.index:
            cut = random.randint(state.snapshot.index + 1, last)
            last, term = cut - 1, term + 1
        new = tuple(
            Entry(index, term, EntryKind.COMMAND, random.randbytes(random.randint(0, 60)))
            for index in range(last + 1, last + 1 + random.randint(0, 4))
        )
        snapshot = None
        if random.random() < 0.2 and last > (state.snapshot.index if state else 0):
            snapshot = Snapshot(last, term, MEMBERS, random.randbytes(random.randint(1, 200)))
            before = last, term
            self.snapshots[group] = snapshot
        made = StorageWrite(1, term, random.choice(["", "a"]), cut, new, snapshot, before)
        named = None if snapshot is None else NewSnapshot(group, snapshot)
        record = write_record(group, made)
        self.states.apply(record)
        return JournalCommand(record, named, None)


class PowerLoss(unittest.TestCase):
    def assert_state_is_one_of(self, disk: SimulatedFileSystem, history: History, note: object) -> None:
        found = plain(open_log(disk))
        allowed = history.seen[history.acknowledged :]
        self.assertIn(found, allowed, note)

    def test_power_loss_at_each_step_keeps_what_was_acknowledged(self) -> None:
        """Batches, snapshots, new segments and several checkpoints, cut at every operation on the disk."""
        batches = 40
        whole = SimulatedFileSystem()
        history = History(1)
        history.open(whole)
        for _ in range(batches):
            history.step()
        self.assertGreater(min(int(p[-12:-4]) for p in whole.paths() if p.startswith("journal")), 4)
        for crash_at in range(1, whole.steps + 1):
            for seed in range(4):
                disk, history = SimulatedFileSystem(), History(1)
                disk.crash_at = crash_at
                with self.assertRaises(SimulatedCrashError):
                    history.open(disk)
                    for _ in range(batches):
                        history.step()
                disk.lose_power(Random(seed))
                self.assert_state_is_one_of(disk, history, (crash_at, seed))

    def test_repeated_losses_and_kills(self) -> None:
        """The disk goes through many processes; each begins with what the one before left."""
        for seed in range(150):
            random = Random(seed)
            disk, history = SimulatedFileSystem(), History(seed)
            for life in range(6):
                disk.crash_at = disk.steps + random.randint(1, 60)
                with suppress(SimulatedCrashError):
                    history.open(disk)
                    while True:
                        history.step()
                if random.random() < 0.6:
                    disk.lose_power(random)
                disk.restart()
                self.assert_state_is_one_of(disk, history, (seed, life))
                self._continue(history, disk)

    @staticmethod
    def _continue(history: History, disk: SimulatedFileSystem) -> None:
        found = plain(open_log(disk))
        place = max(i for i, state in enumerate(history.seen) if state == found)
        history.acknowledged, history.seen = 0, [history.seen[place]]
        history.states = open_log(disk)._states
        history.snapshots = {group: kept.snapshot for group, kept in found.items()}

    def test_a_build_that_acknowledges_before_the_sync_is_caught(self) -> None:
        def unsynced(self: SimulatedFileSystem, path: str) -> None:
            if not path.startswith("journal") or len(self._file(path).current) <= SEGMENT_HEADER_BYTES:
                real(self, path)

        real = SimulatedFileSystem.sync
        with patch.object(SimulatedFileSystem, "sync", unsynced), self.assertRaises(AssertionError):
            self.test_power_loss_at_each_step_keeps_what_was_acknowledged()

    def test_a_build_that_removes_old_segments_before_the_checkpoint_is_whole_is_caught(self) -> None:
        def hasty(self: SegmentLog, group: str) -> None:
            if self._closed:
                self._remove_segment(min(self._closed))
            real(self, group)

        real = SegmentLog._write_state
        with (
            patch.object(SegmentLog, "_write_state", hasty),
            self.assertRaises((AssertionError, CorruptJournalError)),
        ):
            self.test_power_loss_at_each_step_keeps_what_was_acknowledged()

    def test_a_build_that_names_a_snapshot_before_its_folder_is_synced_is_caught(self) -> None:
        def unsynced(self: SimulatedFileSystem, folder: str) -> None:
            if folder != snapshots.FOLDER:
                real(self, folder)

        real = SimulatedFileSystem.sync_directory
        caught = AssertionError, CorruptJournalError
        with patch.object(SimulatedFileSystem, "sync_directory", unsynced), self.assertRaises(caught):
            self.test_power_loss_at_each_step_keeps_what_was_acknowledged()


class RefusedWrites(unittest.TestCase):
    def test_a_full_disk_at_each_byte_leaves_no_garbage_and_the_batch_is_kept(self) -> None:
        snapshot = Snapshot(1, 1, MEMBERS, b"state")
        empty = SimulatedFileSystem()
        open_log(empty).write(batch(("g", write(1))))
        needed = empty.used
        open_log(empty).write(batch(("g", write(2, 3, snapshot=snapshot))))
        needed = empty.used - needed
        for room in range(needed + 1):
            disk = SimulatedFileSystem()
            log = open_log(disk)
            log.write(batch(("g", write(1))))
            disk.capacity = disk.used + room
            waiting = batch(("g", write(2, 3, snapshot=snapshot)))
            if room < needed:
                for _ in range(2):
                    with self.assertRaises(OSError):
                        log.write(waiting)
                disk.capacity = None
            log.write(waiting)
            disk.capacity = None
            log.write(batch(("g", StorageWrite(1, 1, "", None, entries(5, 1), None, (1, 1)))))
            self.assertEqual(plain(open_log(disk))["g"].entries, list(entries(2, 4)))

    def test_a_full_disk_then_power_loss(self) -> None:
        """The batch that was refused is tried again, in vain or with success, until the power goes."""
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
            self.assertIn(plain(open_log(disk)), history.seen[history.acknowledged :], seed)

    def test_a_failed_sync_is_repeated_with_the_data(self) -> None:
        """After a failed sync the pages count as clean: syncing again without writing again keeps nothing."""
        disk = SimulatedFileSystem()
        log = open_log(disk)
        log.write(batch(("g", write(1))))
        disk.failing_syncs = 1
        again = batch(("g", write(2)))
        with self.assertRaises(OSError):
            log.write(again)
        log.write(again)
        disk.lose_power(Random(3))
        self.assertEqual(plain(open_log(disk))["g"].entries, list(entries(1, 2)))

    def test_a_checkpoint_that_the_disk_refuses_goes_on_later(self) -> None:
        for room in range(0, 600, 7):
            disk = SimulatedFileSystem()
            log = open_log(disk, checkpoint=600, segment=200)
            for first in range(1, 40, 2):
                log.write(batch(("g", write(first, 2)), ("h", write(first, 2))))
            disk.capacity = disk.used + room
            refused = 0
            while log.wants_checkpoint:
                try:
                    log.checkpoint_step()
                except OSError:
                    refused += 1
                    self.assertEqual(plain(open_log(self._copy(disk))), plain(log))
                    if refused == 3:
                        disk.capacity = None
            log.write(batch(("g", write(41))))
            self.assertEqual(plain(open_log(disk)), plain(log))
            self.assertNotIn(FIRST, disk.paths())

    @staticmethod
    def _copy(disk: SimulatedFileSystem) -> SimulatedFileSystem:
        copy = SimulatedFileSystem()
        for path in disk.paths():
            copy.write_at(path, 0, disk.read(path))
        return copy


class Queue(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.disk = Clock(), SimulatedFileSystem()
        self.journal_writer = VirtualTimeJournalWriter(self.clock, self.disk, 0.01)
        self.journal = Journal(open_log(self.disk), self.journal_writer)
        self.done: list[int] = []

    def write(self, index: int) -> None:
        self.journal.write("g", write(index), lambda: self.done.append(index))

    def test_writes_that_wait_while_a_sync_runs_are_one_batch(self) -> None:
        self.write(1)
        for index in range(2, 50):
            self.write(index)
        self.clock.advance(0.01)
        self.assertEqual(self.done, [1])
        before = self.disk.steps
        self.clock.advance(0.01)
        self.assertEqual(self.done, list(range(1, 50)))
        self.assertEqual(self.disk.steps - before, 2)  # one write, one sync

    def test_nothing_is_done_before_its_sync(self) -> None:
        self.write(1)
        self.clock.advance(0.009)
        self.assertEqual(self.done, [])

    def test_a_disk_that_refuses_is_told_and_asked_again(self) -> None:
        self.disk.capacity = self.disk.used + 10
        self.write(1)
        self.clock.advance(0.01)
        self.assertEqual((self.done, self.journal.failing), ([], True))
        self.write(2)
        self.clock.advance(0.2)
        self.disk.capacity = None
        self.clock.advance(0.05)
        self.assertEqual((self.done, self.journal.failing), ([1], False))
        self.clock.advance(0.01)
        self.assertEqual(self.done, [1, 2])

    def test_what_was_loaded_is_taken_once(self) -> None:
        self.write(1)
        self.clock.advance(1)
        journal = Journal(open_log(self.disk), VirtualTimeJournalWriter(self.clock, self.disk, 0.01))
        self.assertEqual(journal.groups(), ("g",))
        kept = journal.take_persistent_state("g")
        self.assertEqual(kept and kept.entries, list(entries(1, 1)))
        self.assertIsNone(journal.take_persistent_state("g"))


class RealFiles(unittest.TestCase):
    """The thread and the operating system's files. The reactor stands in for one that runs calls at once."""

    class Reactor:
        @staticmethod
        def callFromThread(call: object, *arguments: object) -> None:
            call(*arguments)  # type: ignore[operator]

    def test_writes_survive_a_restart(self) -> None:
        unhurried = patch.object(disk_module, "STOP_SECONDS", 60.0)  # 300 syncs may take a full disk seconds
        with tempfile.TemporaryDirectory() as folder, unhurried:
            data_dir = Path(folder) / "data"
            journal = open_journal(data_dir, self.Reactor(), checkpoint_bytes=20_000, segment_bytes=4_000)
            done: list[int] = []
            for index in range(1, 301):
                journal.write("g", write(index), lambda index=index: done.append(index))  # type: ignore[misc]
            journal.write("h", write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")), lambda: None)
            journal.close()
            self.assertEqual(done, list(range(1, 301)))
            again = open_journal(data_dir, self.Reactor())
            self.assertEqual(again.bytes_used, sum(p.stat().st_size for p in data_dir.glob("*/*")))
            kept, other = again.take_persistent_state("g"), again.take_persistent_state("h")
            again.close()
            self.assertEqual(kept and len(kept.entries), 300)
            self.assertEqual(other and other.snapshot.data, b"state")


class DiskThreads(unittest.TestCase):
    def test_a_refused_write_is_repeated_and_told(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk)
        real, failing, written = log.write, list[bool](), threading.Event()

        def refuse_twice(batch: Batch) -> None:
            failing.append(journal.failing)
            if len(failing) < 3:
                raise OSError(errno.ENOSPC, "full")
            real(batch)

        log.write = refuse_twice  # type: ignore[method-assign]
        with patch.object(disk_module, "RETRY_SECONDS", 0.0):
            journal = Journal(log, JournalWriterThread(RealFiles.Reactor()))
            journal.write("g", write(1), written.set)
            self.assertTrue(written.wait(10))
            journal.close()
        self.assertEqual((failing, journal.failing), ([False, True, True], False))
        self.assertEqual(plain(open_log(disk))["g"].entries, list(entries(1, 1)))

    def test_a_checkpoint_that_is_refused_holds_no_write_up(self) -> None:
        disk = SimulatedFileSystem()
        log = open_log(disk, checkpoint=1)
        asked, written = threading.Event(), threading.Event()

        def refuse() -> None:
            asked.set()
            raise OSError(errno.ENOSPC, "full")

        log.checkpoint_step = refuse  # type: ignore[method-assign]
        journal = Journal(log, JournalWriterThread(RealFiles.Reactor()))
        journal.write("g", write(1), lambda: None)
        self.assertTrue(asked.wait(10))
        journal.write("g", write(2), written.set)
        self.assertTrue(written.wait(10))
        self.assertTrue(journal.failing)
        journal.close()

    def test_a_thread_that_ends_by_an_error_is_told_as_failing(self) -> None:
        """Nothing is written any more: who owns a group must know."""

        def refuse(batch: Batch) -> None:
            raise RuntimeError("a fault of ours")

        log = open_log(SimulatedFileSystem())
        log.write = refuse  # type: ignore[method-assign]
        thread = JournalWriterThread(RealFiles.Reactor())
        done: list[int] = []
        with logbook.NullHandler().applicationbound():
            journal = Journal(log, thread)
            journal.write("g", write(1), lambda: done.append(1))
            thread.stop()
        self.assertEqual((journal.failing, done), (True, []))


class Identity(unittest.TestCase):
    def test_it_is_drawn_once_for_a_disk(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first = load_identity(Path(folder) / "a")
            self.assertRegex(first, "^[0-9a-f]{8}$")
            self.assertEqual(load_identity(Path(folder) / "a"), first)
            self.assertNotEqual(load_identity(Path(folder) / "b"), first)

    def test_one_that_was_used_is_never_lost(self) -> None:
        for crash_at in range(1, 8):
            for seed in range(8):
                disk, drawn = SimulatedFileSystem(), iter(["11111111", "22222222"])
                disk.crash_at = crash_at
                used = None
                with suppress(SimulatedCrashError):
                    used = load_identity(Path(), disk, lambda drawn=drawn: next(drawn))  # type: ignore[misc]
                disk.lose_power(Random(seed))
                found = load_identity(Path(), disk, lambda drawn=drawn: next(drawn))  # type: ignore[misc]
                self.assertIn(found, (used,) if used else ("11111111", "22222222"))
                disk.lose_power(Random(seed))
                self.assertEqual(load_identity(Path(), disk, lambda: "33333333"), found)

    def test_one_that_is_damaged_is_told(self) -> None:
        disk = SimulatedFileSystem()
        disk.write_at(IDENTITY_FILE, 0, b"1234")
        with self.assertRaises(CorruptJournalError):
            load_identity(Path(), disk)


if __name__ == "__main__":
    unittest.main()
