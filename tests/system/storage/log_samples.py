"""Sample content of a write-ahead log on a simulated disk."""

from __future__ import annotations

from itertools import count

from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState, Snapshot, StorageWrite
from bitternpath.storage.commands import Batch, NewSnapshot
from bitternpath.storage.group_state import write_record
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem

FIRST_SEGMENT = "journal/segment-00000001.log"
SECOND_SEGMENT = "journal/segment-00000002.log"
MEMBERS = Members(("a", "b", "c"))
FIRST_SALT = 7  # salt of the first segment; incremented for each further segment


def open_segment_log(
    disk: SimulatedFileSystem, checkpoint_bytes: int = 1 << 30, segment_bytes: int = 1 << 20
) -> SegmentLog:
    """Load the log of a disk. The default sizes prevent checkpoints and further segments."""
    salts = count(FIRST_SALT)
    return SegmentLog(disk, lambda: next(salts), checkpoint_bytes, segment_bytes)


def entries(first: int, number: int, term: int = 1, size: int = 20) -> tuple[Entry, ...]:
    """Return `number` consecutive entries from index `first` on; their content depends on the index."""
    indices = range(first, first + number)
    return tuple(Entry(index, term, EntryKind.COMMAND, bytes([index % 251]) * size) for index in indices)


def storage_write(
    first: int = 1,
    number: int = 1,
    term: int = 1,
    truncate_from: int | None = None,
    snapshot: Snapshot | None = None,
) -> StorageWrite:
    """Return a write of `entries(first, number, term)`, compacted through the snapshot if there is one."""
    compacted_through = (0, 0) if snapshot is None else (snapshot.index, snapshot.term)
    return StorageWrite(
        1, term, "a", truncate_from, entries(first, number, term), snapshot, compacted_through
    )


def batch(*writes: tuple[str, StorageWrite]) -> Batch:
    """Return a batch of writes, each given with the name of its group."""
    snapshots = [NewSnapshot(group, write.snapshot) for group, write in writes if write.snapshot is not None]
    return Batch([write_record(group, write) for group, write in writes], snapshots)


def persistent_states(log: SegmentLog) -> dict[str, PersistentState]:
    """Return the state of each group."""
    return {group: log.persistent_state(group) for group in log.groups}


def loaded_states(disk: SimulatedFileSystem) -> dict[str, PersistentState]:
    """Return the state of each group as loaded by a process that starts on the disk now."""
    return persistent_states(open_segment_log(disk))
