"""Sample content of a write-ahead log, and logs on a simulated disk."""

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
FIRST_SALT = 7  # of the first segment; one more for each further one


def open_segment_log(
    disk: SimulatedFileSystem, checkpoint_bytes: int = 1 << 30, segment_bytes: int = 1 << 20
) -> SegmentLog:
    """Load the log of a disk; neither checkpoints nor further segments, as the sizes are by default."""
    salts = count(FIRST_SALT)
    return SegmentLog(disk, lambda: next(salts), checkpoint_bytes, segment_bytes)


def entries(first: int, number: int, term: int = 1, size: int = 20) -> tuple[Entry, ...]:
    """So many entries from an index on, whose content depends on their index."""
    indices = range(first, first + number)
    return tuple(Entry(index, term, EntryKind.COMMAND, bytes([index % 251]) * size) for index in indices)


def storage_write(
    first: int = 1,
    number: int = 1,
    term: int = 1,
    truncate_from: int | None = None,
    snapshot: Snapshot | None = None,
) -> StorageWrite:
    """A write of such entries, compacted through the snapshot."""
    compacted_through = (0, 0) if snapshot is None else (snapshot.index, snapshot.term)
    return StorageWrite(
        1, term, "a", truncate_from, entries(first, number, term), snapshot, compacted_through
    )


def batch(*writes: tuple[str, StorageWrite]) -> Batch:
    """A batch of writes, each with the name of its group."""
    snapshots = [NewSnapshot(group, write.snapshot) for group, write in writes if write.snapshot is not None]
    return Batch([write_record(group, write) for group, write in writes], snapshots)


def persistent_states(log: SegmentLog) -> dict[str, PersistentState]:
    """The state of each group."""
    return {group: log.persistent_state(group) for group in log.groups}


def loaded_states(disk: SimulatedFileSystem) -> dict[str, PersistentState]:
    """The state of each group, as a process finds it that starts on the disk now."""
    return persistent_states(open_segment_log(disk))
