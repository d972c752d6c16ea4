"""Tests of the journal: group commit, retries, the writer thread, and files of the operating system."""

from __future__ import annotations

import errno
import tempfile
import threading
import unittest
from pathlib import Path
from unittest.mock import patch

import logbook
from twisted.internet.task import Clock

from bitternpath.replication.records import Snapshot
from bitternpath.storage import journal_writer_thread
from bitternpath.storage.commands import Batch
from bitternpath.storage.journal import Journal, open_journal
from bitternpath.storage.journal_writer_thread import JournalWriterThread
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from tests.system.storage.log_samples import (
    MEMBERS,
    entries,
    loaded_states,
    open_segment_log,
    storage_write,
)


class GroupCommit(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.disk = Clock(), SimulatedFileSystem()
        self.journal_writer = VirtualTimeJournalWriter(self.clock, self.disk, 0.01)
        self.journal = Journal(open_segment_log(self.disk), self.journal_writer)
        self.done: list[int] = []

    def write(self, index: int) -> None:
        self.journal.write("g", storage_write(index), lambda: self.done.append(index))

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

    def test_a_refused_write_is_reported_and_repeated(self) -> None:
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

    def test_a_loaded_state_is_returned_once(self) -> None:
        self.write(1)
        self.clock.advance(1)
        journal = Journal(open_segment_log(self.disk), VirtualTimeJournalWriter(self.clock, self.disk, 0.01))
        self.assertEqual(journal.groups(), ("g",))
        states = journal.take_persistent_state("g")
        self.assertEqual(states and states.entries, list(entries(1, 1)))
        self.assertIsNone(journal.take_persistent_state("g"))


class LocalFiles(unittest.TestCase):
    """The writer thread on files of the operating system, with a fake reactor that runs calls immediately."""

    class Reactor:
        @staticmethod
        def callFromThread(call: object, *arguments: object) -> None:
            call(*arguments)  # type: ignore[operator]

    def test_writes_survive_a_restart(self) -> None:
        # 300 syncs can take several seconds on a busy disk.
        longer_stop_timeout = patch.object(journal_writer_thread, "STOP_SECONDS", 60.0)
        with tempfile.TemporaryDirectory() as folder, longer_stop_timeout:
            data_dir = Path(folder) / "data"
            journal = open_journal(data_dir, self.Reactor(), checkpoint_bytes=20_000, segment_bytes=4_000)
            done: list[int] = []
            for index in range(1, 301):
                journal.write("g", storage_write(index), lambda index=index: done.append(index))  # type: ignore[misc]
            journal.write("h", storage_write(2, 0, snapshot=Snapshot(1, 1, MEMBERS, b"state")), lambda: None)
            journal.close()
            self.assertEqual(done, list(range(1, 301)))
            reopened = open_journal(data_dir, self.Reactor())
            self.assertEqual(reopened.bytes_used, sum(p.stat().st_size for p in data_dir.glob("*/*")))
            states, other_states = reopened.take_persistent_state("g"), reopened.take_persistent_state("h")
            reopened.close()
            self.assertEqual(states and len(states.entries), 300)
            self.assertEqual(other_states and other_states.snapshot.data, b"state")


class WriterThread(unittest.TestCase):
    def test_a_refused_write_is_repeated_and_reported(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk)
        real, failing, written = log.write, list[bool](), threading.Event()

        def refuse_twice(batch: Batch) -> None:
            failing.append(journal.failing)
            if len(failing) < 3:
                raise OSError(errno.ENOSPC, "full")
            real(batch)

        log.write = refuse_twice  # type: ignore[method-assign]
        with patch.object(journal_writer_thread, "RETRY_SECONDS", 0.0):
            journal = Journal(log, JournalWriterThread(LocalFiles.Reactor()))
            journal.write("g", storage_write(1), written.set)
            self.assertTrue(written.wait(10))
            journal.close()
        self.assertEqual((failing, journal.failing), ([False, True, True], False))
        self.assertEqual(loaded_states(disk)["g"].entries, list(entries(1, 1)))

    def test_a_refused_checkpoint_delays_no_write(self) -> None:
        disk = SimulatedFileSystem()
        log = open_segment_log(disk, checkpoint_bytes=1)
        attempted, written = threading.Event(), threading.Event()

        def refuse() -> None:
            attempted.set()
            raise OSError(errno.ENOSPC, "full")

        log.checkpoint_step = refuse  # type: ignore[method-assign]
        journal = Journal(log, JournalWriterThread(LocalFiles.Reactor()))
        journal.write("g", storage_write(1), lambda: None)
        self.assertTrue(attempted.wait(10))
        journal.write("g", storage_write(2), written.set)
        self.assertTrue(written.wait(10))
        self.assertTrue(journal.failing)
        journal.close()

    def test_a_crashed_thread_is_reported_as_failing(self) -> None:
        """No further write completes, so the node must refuse new messages."""

        def refuse(batch: Batch) -> None:
            raise RuntimeError("injected error")

        log = open_segment_log(SimulatedFileSystem())
        log.write = refuse  # type: ignore[method-assign]
        thread = JournalWriterThread(LocalFiles.Reactor())
        done: list[int] = []
        with logbook.NullHandler().applicationbound():
            journal = Journal(log, thread)
            journal.write("g", storage_write(1), lambda: done.append(1))
            thread.stop()
        self.assertEqual((journal.failing, done), (True, []))


if __name__ == "__main__":
    unittest.main()
