"""One write-ahead log for all replica groups of a process.

`Journal` belongs to the reactor's thread. A disk runner owns the files: it takes all commands that wait,
writes and syncs them together (group commit), and reports back. `JournalWriterThread` does that in a thread;
tests use a runner in virtual time.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bitternpath.replication.records import PersistentState, StorageWrite
from bitternpath.storage.commands import Done, JournalCommand, NewSnapshot
from bitternpath.storage.disk import JournalWriter, JournalWriterThread, SnapshotDamaged
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.group_state import bootstrap_record, write_record
from bitternpath.storage.records import TombstoneRecord
from bitternpath.storage.segments import SEGMENT_BYTES, SegmentLog

CHECKPOINT_BYTES = 32 << 20  # of all segments; half of the smallest disk (64 MB)


class Journal:
    """The log as the replica groups see it."""

    def __init__(self, log: SegmentLog, journal_writer: JournalWriter) -> None:
        self._log, self._journal_writer = log, journal_writer
        self._loaded: dict[str, PersistentState] = {group: log.kept(group) for group in log.groups}
        self._forgotten = log.forgotten
        self._damaged: SnapshotDamaged = lambda group: None
        journal_writer.start(log, self._completed, lambda group: self._damaged(group))

    @property
    def failing(self) -> bool:
        """Whether the disk refuses writes; they are repeated until it takes them."""
        return self._journal_writer.failing

    @property
    def bytes_used(self) -> int:
        """Bytes of segments and snapshots on the disk."""
        return self._log.bytes_used

    @property
    def snapshot_bytes_required(self) -> int:
        """Bytes of all snapshots and of the largest one again: it is replaced by one beside it."""
        return self._log.snapshot_bytes_required

    def on_corrupt_snapshot(self, damaged: SnapshotDamaged) -> None:
        """`damaged` is told a group whose snapshot's file was found damaged: it is to be written again."""
        self._damaged = damaged

    def groups(self) -> tuple[str, ...]:
        """The groups that the disk held at the start and that nobody has taken or forgotten yet."""
        return tuple(self._loaded)

    def take_persistent_state(self, group: str) -> PersistentState | None:
        """What the disk held of a group at the start; None where that was nothing. Once for each group."""
        return self._loaded.pop(group, None)

    def tombstone_generation(self, group: str) -> int | None:
        """The generation of the members at which this disk forgot a state of the group: it may have voted
        before. None where it never did."""
        return self._forgotten.get(group)

    def write(self, group: str, write: StorageWrite, done: Done) -> None:
        """Queue a consensus write; `done` is called once it is on disk."""
        snapshot = None if write.snapshot is None else NewSnapshot(group, write.snapshot)
        if snapshot is not None and not snapshot.snapshot.data:
            snapshot = None
        self._journal_writer.submit(JournalCommand(write_record(group, write), snapshot, done))

    def found(self, group: str, kept: PersistentState) -> None:
        """Queue a group's first state. Later writes of the group are done after it."""
        self._journal_writer.submit(JournalCommand(bootstrap_record(group, kept), None, None))

    def forget(self, group: str, generation: int) -> None:
        """Queue the removal of all that is kept of a group, given up at that generation of its members."""
        self._loaded.pop(group, None)
        self._forgotten[group] = generation
        self._journal_writer.submit(JournalCommand(TombstoneRecord(group, generation), None, None))

    def close(self) -> None:
        """Write what waits, unless the disk fails, and close the files."""
        if self._journal_writer.stop():
            self._log.close()

    @staticmethod
    def _completed(commands: Sequence[JournalCommand]) -> None:
        for command in commands:
            if command.done is not None:
                command.done()


def open_journal(
    data_dir: Path,
    reactor: Any,
    checkpoint_bytes: int = CHECKPOINT_BYTES,
    segment_bytes: int = SEGMENT_BYTES,
) -> Journal:
    """Load the log of a data directory, and start its thread.

    Blocks while it loads. Raises `CorruptJournalError`, and `OSError`.
    """
    data_dir.mkdir(parents=True, exist_ok=True)
    log = SegmentLog(LocalFileSystem(data_dir), lambda: secrets.randbits(32), checkpoint_bytes, segment_bytes)
    return Journal(log, JournalWriterThread(reactor))
