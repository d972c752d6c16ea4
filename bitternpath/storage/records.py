"""Record types of the write-ahead log. Their encoding is in `record_format`.

Each record is stored as an Avro body without a schema: the order and the types of the fields determine the
format, their names don't. Adding, removing or moving a field requires a new `record_format.FORMAT_VERSION`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from bitternpath.replication.records import Entry, Members


class RecordKind(IntEnum):
    """Type of a record's body, as stored in the record's header."""

    WRITE = 1
    CHECKPOINT = 2
    TOMBSTONE = 3


@dataclass(frozen=True, slots=True)
class SnapshotReference:
    """Reference to a snapshot, whose data is in a separate file (`snapshots.file_name`).

    Attributes:
        index: index of the last log entry that the snapshot covers.
        term: term of that entry.
        members: the group's members after that entry.
        size: size of the data in bytes; 0 if the state is empty and there is no file.
    """

    index: int
    term: int
    members: Members
    size: int


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """A `replication.records.StorageWrite` of a group: a change to the state after the earlier records.

    Attributes:
        group: name of the replica group.
        term: current term.
        vote: member voted for in this term; empty if there was no vote.
        truncate_from: first index of the entries to remove before `entries` are appended, or None.
        compacted_index: index of the last compacted entry; entries up to this index are dropped.
        compacted_term: term of that entry.
        snapshot: the snapshot that replaces the previous snapshot; None if it is unchanged.
        entries: new entries, with consecutive indices.
    """

    group: str
    term: int
    vote: str
    truncate_from: int | None
    compacted_index: int
    compacted_term: int
    snapshot: SnapshotReference | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class CheckpointRecord:
    """The complete state of a group, which supersedes all earlier records of the group.

    Written by checkpoints, and as the first record of a group that is bootstrapped here. The fields are
    those of `WriteRecord`.
    """

    group: str
    term: int
    vote: str
    compacted_index: int
    compacted_term: int
    snapshot: SnapshotReference
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class TombstoneRecord:
    """Records that a group was removed from this disk after a membership without this replica was committed.

    Attributes:
        group: name of the replica group.
        generation: generation of that membership (`Members.generation`). Since the replica may have voted
            before, it must not be bootstrapped again, and counts again only in members of a later generation.
    """

    group: str
    generation: int = 0


Record = WriteRecord | CheckpointRecord | TombstoneRecord
