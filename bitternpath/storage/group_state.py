"""What the write-ahead log holds of each replica group, kept by the owner of the files. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from bitternpath.replication.records import Entry, Members, PersistentState, StorageWrite
from bitternpath.storage.records import (
    CheckpointRecord,
    Record,
    SnapshotReference,
    TombstoneRecord,
    WriteRecord,
)

NO_SNAPSHOT = SnapshotReference(0, 0, Members(), 0)


@dataclass(slots=True)
class GroupState:
    """Kept state of one group. `broken` says why it isn't whole: a record before it is missing."""

    term: int = 0
    vote: str = ""
    before_index: int = 0
    before_term: int = 0
    snapshot: SnapshotReference = NO_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)
    broken: str = ""

    def apply(self, record: WriteRecord) -> None:
        """Cut first, then drop what isn't needed any more, then add."""
        self.term, self.vote = record.term, record.vote
        if record.cut is not None:
            del self.entries[max(record.cut - self.before_index - 1, 0) :]
        if record.before_index != self.before_index:
            del self.entries[: max(record.before_index - self.before_index, 0)]
            self.before_index, self.before_term = record.before_index, record.before_term
        if record.snapshot is not None:
            self.snapshot = record.snapshot
        if record.entries and record.entries[0].index != self.before_index + len(self.entries) + 1:
            self.broken = f"entry {self.before_index + len(self.entries) + 1} is missing"
        self.entries.extend(record.entries)

    def fault(self) -> str:
        """Why this can't be the state of a group; empty where it can."""
        if self.broken:
            return self.broken
        if not self.before_index <= self.snapshot.index <= self.before_index + len(self.entries):
            return f"the snapshot at {self.snapshot.index} doesn't meet the log"
        return ""


class GroupStates:
    """All groups' states, as given by the records in order. `forgotten`: of which there was one once, with
    the generation of the members at which it was given up."""

    def __init__(self) -> None:
        self.by_group: dict[str, GroupState] = {}
        self.forgotten: dict[str, int] = {}

    def apply(self, record: Record) -> None:
        """Take the next record."""
        match record:
            case WriteRecord():
                self.by_group.setdefault(record.group, GroupState()).apply(record)
            case CheckpointRecord():
                self.by_group[record.group] = GroupState(
                    record.term,
                    record.vote,
                    record.before_index,
                    record.before_term,
                    record.snapshot,
                    list(record.entries),
                )
            case TombstoneRecord():
                self.by_group.pop(record.group, None)
                self.forgotten[record.group] = record.generation


def write_record(group: str, write: StorageWrite) -> WriteRecord:
    """The record of a consensus write."""
    reference = None
    if write.snapshot is not None:
        snapshot = write.snapshot
        reference = SnapshotReference(snapshot.index, snapshot.term, snapshot.members, len(snapshot.data))
    return WriteRecord(
        group,
        write.term,
        write.vote,
        write.truncate_from,
        write.compacted_through[0],
        write.compacted_through[1],
        reference,
        write.entries,
    )


def state_record(group: str, state: GroupState) -> CheckpointRecord:
    """The record that stands for all records of a group so far."""
    return CheckpointRecord(
        group,
        state.term,
        state.vote,
        state.before_index,
        state.before_term,
        state.snapshot,
        tuple(state.entries),
    )


def bootstrap_record(group: str, kept: PersistentState) -> CheckpointRecord:
    """The first record of a group whose state is given, not heard from a leader. Its snapshot has no data."""
    snapshot = kept.snapshot
    reference = SnapshotReference(snapshot.index, snapshot.term, snapshot.members, 0)
    return CheckpointRecord(
        group, kept.term, kept.vote, *kept.compacted_through, reference, tuple(kept.entries)
    )
