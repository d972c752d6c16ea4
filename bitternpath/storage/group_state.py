"""The persistent state of each replica group, built from the records of the write-ahead log. No I/O.

The owner of the log's files has these states in memory and writes checkpoints from them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from bitternpath.replication.records import Entry, Members, PersistentState, Snapshot, StorageWrite
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
    """Persistent state of one group. The fields are those of `WriteRecord`.

    Attributes:
        gap: error message that names the first missing entry, if a record's entries didn't continue the log;
            else empty.
    """

    term: int = 0
    vote: str = ""
    compacted_index: int = 0
    compacted_term: int = 0
    snapshot: SnapshotReference = NO_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)
    gap: str = ""

    def apply(self, record: WriteRecord) -> None:
        """Apply a record: truncate the log, then drop compacted entries, then append new entries."""
        self.term = record.term
        self.vote = record.vote
        if record.truncate_from is not None:
            del self.entries[max(record.truncate_from - self.compacted_index - 1, 0) :]
        if record.compacted_index != self.compacted_index:
            del self.entries[: max(record.compacted_index - self.compacted_index, 0)]
            self.compacted_index = record.compacted_index
            self.compacted_term = record.compacted_term
        if record.snapshot is not None:
            self.snapshot = record.snapshot
        next_index = self.compacted_index + len(self.entries) + 1
        if record.entries and record.entries[0].index != next_index:
            self.gap = f"entry {next_index} is missing"
        self.entries.extend(record.entries)

    def inconsistency(self) -> str:
        """Return why this state is invalid, or an empty string if it is valid."""
        if self.gap:
            return self.gap
        last_index = self.compacted_index + len(self.entries)
        if not self.compacted_index <= self.snapshot.index <= last_index:
            return f"snapshot index {self.snapshot.index} is outside the log"
        return ""


class GroupStates:
    """The states of all groups after the records applied so far.

    Attributes:
        by_group: state of each group on the disk.
        tombstones: groups that were removed from the disk, with the generation of `TombstoneRecord`. A group
            that was removed and joined again is in both.
    """

    def __init__(self) -> None:
        """Create an empty set of groups."""
        self.by_group: dict[str, GroupState] = {}
        self.tombstones: dict[str, int] = {}

    def apply(self, record: Record) -> None:
        """Apply the next record of the log."""
        match record:
            case WriteRecord():
                self.by_group.setdefault(record.group, GroupState()).apply(record)
            case CheckpointRecord():
                self.by_group[record.group] = GroupState(
                    record.term,
                    record.vote,
                    record.compacted_index,
                    record.compacted_term,
                    record.snapshot,
                    list(record.entries),
                )
            case TombstoneRecord():
                self.by_group.pop(record.group, None)
                self.tombstones[record.group] = record.generation


def write_record(group: str, write: StorageWrite) -> WriteRecord:
    """Return the record of one write of the consensus module."""
    compacted_index, compacted_term = write.compacted_through
    return WriteRecord(
        group,
        write.term,
        write.vote,
        write.truncate_from,
        compacted_index,
        compacted_term,
        None if write.snapshot is None else _reference(write.snapshot, len(write.snapshot.data)),
        write.entries,
    )


def checkpoint_record(group: str, state: GroupState) -> CheckpointRecord:
    """Return the record that supersedes all earlier records of a group."""
    return CheckpointRecord(
        group,
        state.term,
        state.vote,
        state.compacted_index,
        state.compacted_term,
        state.snapshot,
        tuple(state.entries),
    )


def bootstrap_record(group: str, state: PersistentState) -> CheckpointRecord:
    """Return the first record of a group that is bootstrapped here, rather than joined through a leader.

    Its snapshot has no data, since the state machine is empty at first.
    """
    compacted_index, compacted_term = state.compacted_through
    return CheckpointRecord(
        group,
        state.term,
        state.vote,
        compacted_index,
        compacted_term,
        _reference(state.snapshot, 0),
        tuple(state.entries),
    )


def _reference(snapshot: Snapshot, size: int) -> SnapshotReference:
    return SnapshotReference(snapshot.index, snapshot.term, snapshot.members, size)
