"""Tests of the checksum scrub, which detects corruption in a running process and repairs it from memory."""

from __future__ import annotations

import tempfile
import threading
import unittest
from pathlib import Path
from random import Random
from unittest.mock import patch

from twisted.internet.task import Clock

from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.host import SYSTEM_TIMING, HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.records import Members
from bitternpath.storage import journal_writer_thread
from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.files import FileSystem, LocalFileSystem
from bitternpath.storage.journal import Journal
from bitternpath.storage.journal_writer_thread import JournalWriterThread
from bitternpath.storage.record_format import SEGMENT_HEADER_BYTES
from bitternpath.storage.scrub import SegmentVerifier
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from tests.system.storage import log_samples
from tests.system.storage.quiet import QuietTestCase
from tests.system.storage.state_machines import LastCommands, NoOpListener

SEGMENT_BYTES = 4_000
STEPS = 60  # chunks; enough to read all files twice


def open_segment_log(files: FileSystem) -> SegmentLog:
    """Load the log of a disk."""
    return SegmentLog(files, lambda: 7, 1 << 20, SEGMENT_BYTES)


class Scrub(QuietTestCase):
    def setUp(self) -> None:
        """Start a group of one member and write several segments and a snapshot."""
        super().setUp()
        self.clock, self.disk = Clock(), SimulatedFileSystem()
        self.journal_writer = VirtualTimeJournalWriter(self.clock, self.disk, 0.001)
        bounds = CompactionBounds(size=2_000, host_size=2_000, entries_to_keep=0)
        journal = Journal(open_segment_log(self.disk), self.journal_writer)
        options = HostOptions(Random(1), SYSTEM_TIMING, bounds)
        self.host = ReplicaHost(self.clock, "a", journal, MessageTransport(lambda *_: None), options)
        self.machine = LastCommands(40)
        self.host.open_group("g", self.machine, Members(("a",)), NoOpListener())
        while not self.host.is_owner("g"):
            self.clock.advance(0.01)
        for number in range(150):
            self.host.propose("g", b"%08d" % number + bytes(92))
            self.advance(0.004)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.001)):
            self.clock.advance(0.001)

    def files(self, directory: str) -> list[str]:
        return [path for path in self.disk.paths() if path.startswith(directory)]

    def test_intact_files_are_not_rewritten(self) -> None:
        before = self.disk.steps
        self.journal_writer.scrub(STEPS)
        self.advance(0.1)
        self.assertEqual(self.disk.steps, before)

    def assert_repaired(self, path: str, offset: int) -> None:
        self.disk.corrupt_byte(path, offset)
        with self.assertRaises(CorruptJournalError):
            open_segment_log(self.disk).persistent_state("g")
        self.journal_writer.scrub(STEPS)
        self.advance(0.1)
        state = open_segment_log(self.disk).persistent_state("g")
        raft = self.host.groups["g"].raft
        self.assertEqual((state.snapshot, state.entries), (raft.snapshot, raft.log.entries))

    def test_a_corrupt_byte_of_a_closed_segment_is_repaired(self) -> None:
        segments = self.files("journal")
        self.assertGreater(len(segments), 2)
        for offset in (3, 20, 40, 1_000, 3_900):
            self.assert_repaired(self.files("journal")[0], offset)
            for number in range(60):
                self.host.propose("g", b"%08d" % number + bytes(92))
                self.advance(0.004)
            if len(self.files("journal")) < 2:
                self.fail("there is no closed segment any more")

    def test_a_corrupt_byte_of_a_snapshot_is_repaired(self) -> None:
        for offset in (0, 5, 13, 20, 500, 2_000):
            (path,) = self.files("snapshots")
            self.assert_repaired(path, offset)

    def test_a_build_that_scrubs_nothing_is_detected(self) -> None:
        (path,) = self.files("snapshots")
        with (
            patch.object(SegmentLog, "scrub_step", lambda self: None),
            self.assertRaises(CorruptJournalError),
        ):
            self.assert_repaired(path, 500)


class ChunkedFiles(unittest.TestCase):
    """Verification of a segment in chunks of any size."""

    def test_the_size_of_chunks_does_not_affect_the_result(self) -> None:
        disk = SimulatedFileSystem()
        log = log_samples.open_segment_log(disk)
        for first in range(1, 6):
            log.write(log_samples.batch(("g", log_samples.storage_write(first))))
        path = log_samples.FIRST_SEGMENT
        content = disk.read(path)
        corrupt = content[:-3] + bytes((content[-3] ^ 1,)) + content[-2:]
        for size in (1, 7, SEGMENT_HEADER_BYTES, SEGMENT_HEADER_BYTES + 1, 100, len(content)):
            for data, expected in ((content, True), (corrupt, False)):
                with self.subTest(size=size, expected=expected):
                    verifier = SegmentVerifier(path)
                    for offset in range(0, len(data), size):
                        verifier.update(data[offset : offset + size])
                    self.assertEqual(verifier.is_intact(), expected)


class Reactor:
    """Fake reactor that runs calls from threads immediately."""

    def __init__(self) -> None:
        self.clock = Clock()

    def callFromThread(self, call: object, *arguments: object) -> None:
        call(*arguments)  # type: ignore[operator]


class WriterThread(QuietTestCase):
    def test_the_thread_scrubs_while_it_has_nothing_to_write(self) -> None:
        scrubbed = threading.Event()
        with (
            tempfile.TemporaryDirectory() as directory,
            patch.object(journal_writer_thread, "SCRUB_SECONDS", 0.001),
            patch.object(SegmentLog, "scrub_step", lambda self: "g"),
        ):
            thread = JournalWriterThread(Reactor())
            files = LocalFileSystem(Path(directory))
            thread.start(open_segment_log(files), lambda commands: None, lambda group: scrubbed.set())
            self.assertTrue(scrubbed.wait(20))
            self.assertTrue(thread.stop())
            files.close()
