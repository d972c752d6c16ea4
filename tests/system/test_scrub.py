"""Tests of the scrub: damage on a disk is found while the process runs, and mended from memory."""

from __future__ import annotations

import tempfile
import threading
import unittest
from pathlib import Path
from random import Random
from unittest.mock import patch

import logbook
from twisted.internet.task import Clock

from bitternpath.replication.group import CompactionBounds
from bitternpath.replication.host import SYSTEM_TIMING, ReplicaHost
from bitternpath.replication.records import Members
from bitternpath.storage import disk as disk_module
from bitternpath.storage.disk import JournalWriterThread
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.journal import Journal
from bitternpath.storage.records import CorruptJournalError
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem, VirtualTimeJournalWriter
from tests.system.test_full_disks import Last, Nobody

SEGMENT_BYTES = 4_000
STEPS = 60  # pieces: more than there are files, twice


class Quiet(unittest.TestCase):
    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)


def opened(files: SimulatedFileSystem | LocalFileSystem) -> SegmentLog:
    """Its log."""
    return SegmentLog(files, lambda: 7, 1 << 20, SEGMENT_BYTES)


class Scrub(Quiet):
    def setUp(self) -> None:
        """A group alone, with several segments and a snapshot."""
        super().setUp()
        self.clock, self.disk = Clock(), SimulatedFileSystem()
        self.journal_writer = VirtualTimeJournalWriter(self.clock, self.disk, 0.001)
        bounds = CompactionBounds(size=2_000, host_size=2_000, kept=0)
        journal = Journal(opened(self.disk), self.journal_writer)
        self.host = ReplicaHost(self.clock, "a", journal, lambda *_: None, Random(1), SYSTEM_TIMING, bounds)
        self.machine = Last(40)
        self.host.open_group("g", self.machine, Members(("a",)), Nobody())
        while not self.host.is_owner("g"):
            self.clock.advance(0.01)
        for number in range(150):
            self.host.propose("g", b"%08d" % number + bytes(92))
            self.settle(0.004)

    def settle(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)

    def files(self, folder: str) -> list[str]:
        return [path for path in self.disk.paths() if path.startswith(folder)]

    def test_whole_files_are_left_alone(self) -> None:
        before = self.disk.steps
        self.journal_writer.scrub(STEPS)
        self.settle(0.1)
        self.assertEqual(self.disk.steps, before)

    def assert_mended(self, path: str, offset: int) -> None:
        self.disk.corrupt_byte(path, offset)
        with self.assertRaises(CorruptJournalError):
            opened(self.disk).kept("g")
        self.journal_writer.scrub(STEPS)
        self.settle(0.1)
        kept = opened(self.disk).kept("g")
        raft = self.host.groups["g"].raft
        self.assertEqual((kept.snapshot, kept.entries), (raft.snapshot, raft.log.entries))

    def test_any_damaged_byte_of_a_closed_segment_is_mended(self) -> None:
        segments = self.files("journal")
        self.assertGreater(len(segments), 2)
        for offset in (3, 20, 40, 1_000, 3_900):
            self.assert_mended(self.files("journal")[0], offset)
            for number in range(60):
                self.host.propose("g", b"%08d" % number + bytes(92))
                self.settle(0.004)
            if len(self.files("journal")) < 2:
                self.fail("there is no closed segment any more")

    def test_any_damaged_byte_of_a_snapshot_is_mended(self) -> None:
        for offset in (0, 5, 13, 20, 500, 2_000):
            (path,) = self.files("snapshots")
            self.assert_mended(path, offset)

    def test_a_build_that_scrubs_nothing_is_caught(self) -> None:
        (path,) = self.files("snapshots")
        with (
            patch.object(SegmentLog, "scrub_step", lambda self: ""),
            self.assertRaises(CorruptJournalError),
        ):
            self.assert_mended(path, 500)


class Reactor:
    """Takes calls from threads, and hands them out."""

    def __init__(self) -> None:
        self.clock = Clock()

    def callFromThread(self, call: object, *arguments: object) -> None:
        call(*arguments)  # type: ignore[operator]


class Thread(Quiet):
    def test_the_disks_thread_scrubs_while_it_has_nothing_to_write(self) -> None:

        scrubbed = threading.Event()
        with (
            tempfile.TemporaryDirectory() as folder,
            patch.object(disk_module, "SCRUB_SECONDS", 0.001),
            patch.object(SegmentLog, "scrub_step", lambda self: "g"),
        ):
            thread = JournalWriterThread(Reactor())
            files = LocalFileSystem(Path(folder))
            thread.start(opened(files), lambda commands: None, lambda group: scrubbed.set())
            self.assertTrue(scrubbed.wait(20))
            self.assertTrue(thread.stop())
            files.close()
