"""The write-ahead log of all replica groups of a process, as the groups use it.

`Journal` belongs to the reactor's thread. A `JournalWriter` owns the files: it takes all commands that wait,
writes and syncs them together (group commit), and reports back. `JournalWriterThread` is the one of a
process; simulations have one in virtual time (`testing/simulation/journal_writer.py`).
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from pathlib import Path

from bitternpath.net.reactor import ThreadCallReactor
from bitternpath.replication.records import PersistentState, StorageWrite
from bitternpath.storage.commands import DoneCallback, JournalCommand, NewSnapshot
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.group_state import bootstrap_record, write_record
from bitternpath.storage.journal_writer import CorruptSnapshotCallback, JournalWriter
from bitternpath.storage.journal_writer_thread import JournalWriterThread
from bitternpath.storage.records import TombstoneRecord
from bitternpath.storage.segments import SEGMENT_BYTES, SegmentLog

CHECKPOINT_BYTES = 32 << 20  # of all segments; half of the smallest disk (64 MB)
SALT_BITS = 32  # as wide as a CRC-32, whose initial value it is


class Journal:
    """`replication.interfaces.GroupJournal` on a write-ahead log."""

    def __init__(self, log: SegmentLog, writer: JournalWriter) -> None:
        """Load each group's state, and start the writer.

        Raises:
            CorruptJournalError: a snapshot's file isn't what was written.
            OSError: it can't be read.
        """
        self._log = log
        self._writer = writer
        self._loaded = {group: log.persistent_state(group) for group in log.groups}
        self._tombstones = log.tombstones
        self._snapshot_corrupted: CorruptSnapshotCallback | None = None
        writer.start(log, self._completed, self._report_corrupt_snapshot)

    @property
    def failing(self) -> bool:
        """Whether the disk refuses writes; they are repeated until it takes them."""
        return self._writer.failing

    @property
    def bytes_used(self) -> int:
        """Bytes of segments and snapshots on the disk."""
        return self._log.bytes_used

    @property
    def snapshot_bytes_required(self) -> int:
        """Bytes of all snapshots and of the largest one again: its successor is written beside it."""
        return self._log.snapshot_bytes_required

    def on_corrupt_snapshot(self, corrupted: CorruptSnapshotCallback) -> None:
        """Call `corrupted` with each group whose snapshot the scrub finds corrupt: it must be rewritten."""
        self._snapshot_corrupted = corrupted

    def groups(self) -> tuple[str, ...]:
        """Return the groups that the disk held at the start and that were neither taken nor removed since."""
        return tuple(self._loaded)

    def take_persistent_state(self, group: str) -> PersistentState | None:
        """Return what the disk held of a group at the start, once; None if it held none."""
        return self._loaded.pop(group, None)

    def tombstone_generation(self, group: str) -> int | None:
        """Return the generation of a group's tombstone (`TombstoneRecord`); None where it has none.

        A group that has one was on this disk before, and may have voted.
        """
        return self._tombstones.get(group)

    def write(self, group: str, write: StorageWrite, done: DoneCallback) -> None:
        """Queue a write of the consensus module; `done` is called once it is durable."""
        new = None
        if write.snapshot is not None and write.snapshot.data:
            new = NewSnapshot(group, write.snapshot)
        self._writer.submit(JournalCommand(write_record(group, write), new, done))

    def bootstrap_group(self, group: str, state: PersistentState) -> None:
        """Queue the first state of a group that begins here. Later writes of the group are done after it."""
        self._writer.submit(JournalCommand(bootstrap_record(group, state), None, None))

    def remove_group(self, group: str, generation: int) -> None:
        """Queue the removal of a group's state, given up at that generation of its members."""
        self._loaded.pop(group, None)
        self._tombstones[group] = generation
        self._writer.submit(JournalCommand(TombstoneRecord(group, generation), None, None))

    def close(self) -> None:
        """Write what waits, unless the disk fails, and close the files."""
        if self._writer.stop():
            self._log.close()

    @staticmethod
    def _completed(commands: Sequence[JournalCommand]) -> None:
        for command in commands:
            if command.done is not None:
                command.done()

    def _report_corrupt_snapshot(self, group: str) -> None:
        if self._snapshot_corrupted is not None:
            self._snapshot_corrupted(group)


def open_journal(
    data_dir: Path,
    reactor: ThreadCallReactor,
    checkpoint_bytes: int = CHECKPOINT_BYTES,
    segment_bytes: int = SEGMENT_BYTES,
) -> Journal:
    """Load the log of a data directory, and start its thread. Blocks while it loads.

    Args:
        data_dir: made where it is missing.
        reactor: callbacks run in its thread.
        checkpoint_bytes: size of all segments above which a checkpoint is made.
        segment_bytes: size above which a segment is closed.

    Raises:
        CorruptJournalError: what was synced doesn't read back.
        OSError: a file can't be read or written.
    """
    data_dir.mkdir(parents=True, exist_ok=True)
    files = LocalFileSystem(data_dir)
    log = SegmentLog(files, lambda: secrets.randbits(SALT_BITS), checkpoint_bytes, segment_bytes)
    return Journal(log, JournalWriterThread(reactor))
