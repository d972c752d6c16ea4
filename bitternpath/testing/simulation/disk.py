"""The data folder of a simulated node: journal, documents and identity on a `SimulatedFileSystem`."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from bitternpath.storage.documents import load_document, remove_document, store_document
from bitternpath.storage.identity import load_identity
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from bitternpath.testing.simulation.settings import LogSizes

IDENTITY_BITS = 32
SALT_BITS = 32
QUARANTINE_FOLDER = "damaged-1"
DOCUMENT_SYNCS = 2  # syncs for one document: of the file and of its folder
MAX_DOCUMENT_STEPS = 5  # disk operations for one document, at most


class SimulatedNodeDisk:
    """`storage.node_disk.NodeDisk` for one incarnation of a process; its content outlives the process."""

    def __init__(
        self, disk: SimulatedFileSystem, reactor: Any, random: Random, sync_seconds: float, logs: LogSizes
    ) -> None:
        self._disk = disk
        self._reactor = reactor
        self._random = random
        self._logs = logs
        self._sync_seconds = sync_seconds
        self._journal_writer: VirtualTimeJournalWriter | None = None
        self._pending_work: dict[int, Callable[[], object]] = {}
        self._last_work_number = 0

    # ---- NodeDisk

    def load_identity(self) -> str:
        """Load the disk's identity; an empty disk gets a new one."""
        return load_identity(Path(), self._disk, lambda: f"{self._random.getrandbits(IDENTITY_BITS):08x}")

    def open_journal(self, reactor: Any, checkpoint_bytes: int) -> Journal:
        """Open the journal and read it from the disk; writes take virtual time."""
        log = SegmentLog(
            self._disk,
            lambda: self._random.getrandbits(SALT_BITS),
            self._logs.checkpoint_bytes or checkpoint_bytes,
            self._logs.segment_bytes,
        )
        self._journal_writer = VirtualTimeJournalWriter(reactor, self._disk, self._sync_seconds)
        return Journal(log, self._journal_writer)

    def read_document(self, name: str) -> bytes | None:
        """Read a document; None if it doesn't exist. Raises `CorruptDocumentError`."""
        return load_document(self._disk, name)

    def write_document(self, name: str, content: bytes) -> None:
        """Replace a document durably."""
        store_document(self._disk, name, content)

    def remove_document(self, name: str) -> None:
        """Remove a document durably; no error if it doesn't exist."""
        remove_document(self._disk, name)

    def was_quarantined(self) -> bool:
        """Whether damaged content was ever moved to quarantine."""
        return any(path.startswith(QUARANTINE_FOLDER) for path in self._disk.paths())

    def quarantine_content(self, max_bytes: int | None) -> str:
        """Delete the damaged content and create the quarantine folder, whose name is returned."""
        self._disk.wipe()
        self._disk.write_at(f"{QUARANTINE_FOLDER}/empty", 0, b"")
        self._disk.sync(f"{QUARANTINE_FOLDER}/empty")
        self._disk.sync_directory(QUARANTINE_FOLDER)
        return QUARANTINE_FOLDER

    # ---- virtual time and the end of the process

    def set_sync_seconds(self, seconds: float) -> None:
        """Set the duration of a sync."""
        self._sync_seconds = seconds
        if self._journal_writer is not None:
            self._journal_writer.sync_seconds = seconds

    def work(self, work: Callable[[], object]) -> None:
        """Run another thread's work, which writes a document, after the time of its syncs."""
        self._last_work_number += 1
        self._pending_work[self._last_work_number] = work
        self._reactor.callLater(DOCUMENT_SYNCS * self._sync_seconds, self._run_work, self._last_work_number)

    def end(self) -> None:
        """End the process in the middle of its pending writes."""
        if self._journal_writer is not None:
            self._journal_writer.crash_during_batch(self._random)
        if self._remaining_stall() > 0:
            self._pending_work.clear()
        for number in list(self._pending_work):
            self._disk.crash_at = self._disk.steps + self._random.randint(1, MAX_DOCUMENT_STEPS + 1)
            with suppress(SimulatedCrashError):
                self._pending_work.pop(number)()
        self._disk.restart()

    def _run_work(self, number: int) -> None:
        if self._remaining_stall() > 0:
            self._reactor.callLater(self._remaining_stall(), self._run_work, number)
        else:
            self._pending_work.pop(number)()

    def _remaining_stall(self) -> float:
        return self._disk.stalled_until - float(self._reactor.seconds())
