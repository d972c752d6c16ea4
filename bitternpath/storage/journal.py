"""Interface of the replica groups to the write-ahead log that all groups of a process share.

`Journal` is used in the reactor's thread only. A `JournalWriter` owns the files: it writes and syncs all
queued commands together (group commit) and reports their completion. A process uses `JournalWriterThread`,
a simulation a writer in virtual time (`testing/simulation/journal_writer.py`).
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

CHECKPOINT_BYTES = 32 << 20  # total size of all segments; half of the smallest supported disk (64 MB)
SALT_BITS = 32  # the salt is the initial value of a CRC-32


class Journal:
    """`replication.interfaces.GroupJournal` on a write-ahead log."""

    def __init__(self, log: SegmentLog, writer: JournalWriter) -> None:
        """Load each group's state and start the writer.

        Raises:
            CorruptJournalError: a snapshot file is missing or corrupt.
            OSError: a snapshot file can't be read.
        """
        self._log = log
        self._writer = writer
        self._loaded = {group: log.persistent_state(group) for group in log.groups}
        self._tombstones = log.tombstones
        self._snapshot_corrupted: CorruptSnapshotCallback | None = None
        writer.start(log, self._completed, self._report_corrupt_snapshot)

    @property
    def failing(self) -> bool:
        """Whether writes to the disk fail; they are retried until they succeed."""
        return self._writer.failing

    @property
    def bytes_used(self) -> int:
        """Total size of the segments and snapshots on the disk."""
        return self._log.bytes_used

    @property
    def snapshot_bytes_required(self) -> int:
        """Total size of all snapshots plus the largest.

        A new snapshot is written before the previous snapshot of its group is removed.
        """
        return self._log.snapshot_bytes_required

    def on_corrupt_snapshot(self, corrupted: CorruptSnapshotCallback) -> None:
        """Call `corrupted` with each group whose snapshot the scrub finds corrupt and must be rewritten."""
        self._snapshot_corrupted = corrupted

    def groups(self) -> tuple[str, ...]:
        """Return the groups loaded from the disk whose state was neither consumed nor removed since."""
        return tuple(self._loaded)

    def take_persistent_state(self, group: str) -> PersistentState | None:
        """Return a group's state as loaded from the disk, and release it.

        None if the disk had no state of the group, and from the second call on.
        """
        return self._loaded.pop(group, None)

    def tombstone_generation(self, group: str) -> int | None:
        """Return the generation of a group's tombstone (`TombstoneRecord`), or None if there is none.

        A tombstone means that this disk stored a replica of the group before, which may have voted.
        """
        return self._tombstones.get(group)

    def write(self, group: str, write: StorageWrite, done: DoneCallback) -> None:
        """Queue a write of the consensus module; `done` is called when it is durable."""
        new_snapshot = None
        if write.snapshot is not None and write.snapshot.data:
            new_snapshot = NewSnapshot(group, write.snapshot)
        self._writer.submit(JournalCommand(write_record(group, write), new_snapshot, done))

    def bootstrap_group(self, group: str, state: PersistentState) -> None:
        """Queue the initial state of a group that is bootstrapped here, ahead of the group's later writes."""
        self._writer.submit(JournalCommand(bootstrap_record(group, state), None, None))

    def remove_group(self, group: str, generation: int) -> None:
        """Queue a tombstone, which removes a group's state, with the generation of the group's members."""
        self._loaded.pop(group, None)
        self._tombstones[group] = generation
        self._writer.submit(JournalCommand(TombstoneRecord(group, generation), None, None))

    def close(self) -> None:
        """Write all queued commands, unless the disk fails, and close the files."""
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
    """Load the log of a data directory and start its writer thread. Blocks during loading.

    Args:
        data_dir: created if it doesn't exist.
        reactor: callbacks run in its thread.
        checkpoint_bytes: total size of all segments above which a checkpoint is written.
        segment_bytes: size above which a segment is closed.

    Raises:
        CorruptJournalError: synced data is missing or corrupt.
        OSError: a file can't be read or written.
    """
    data_dir.mkdir(parents=True, exist_ok=True)
    files = LocalFileSystem(data_dir)
    log = SegmentLog(files, lambda: secrets.randbits(SALT_BITS), checkpoint_bytes, segment_bytes)
    return Journal(log, JournalWriterThread(reactor))
