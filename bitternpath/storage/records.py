"""Record types of the write-ahead log. Their encoding is in `record_format`.

Each record is stored as an Avro body without a schema: the order and the types of the fields are the format,
their names are not. A field may not be added, removed or moved without a new `record_format.FORMAT_VERSION`.
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
    """Names a snapshot, whose data is in a file of its own (`snapshots.file_name`).

    Attributes:
        index: index of the last log entry that the snapshot covers.
        term: term of that entry.
        members: the group's members after that entry.
        size: bytes of data. 0: there is no file, the state is empty.
    """

    index: int
    term: int
    members: Members
    size: int


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """One `replication.records.StorageWrite` of a group: a change of the state that the earlier records give.

    Attributes:
        group: name of the replica group.
        term: current term.
        vote: member voted for in this term; empty where none was.
        truncate_from: index from which on entries are removed before `entries` are added; None: none are.
        compacted_index: index of the last entry that was compacted away; entries up to it are dropped.
        compacted_term: term of that entry.
        snapshot: the snapshot that replaces the earlier one; None: it stays.
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
    """The complete state of a group, which supersedes all earlier records of it.

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
    """The group was removed from this disk, after members that don't include this replica were committed.

    Attributes:
        group: name of the replica group.
        generation: generation of these members (`Members.generation`). The replica may have voted before: it
            must not be bootstrapped again, and counts again only in members of a later generation.
    """

    group: str
    generation: int = 0


Record = WriteRecord | CheckpointRecord | TombstoneRecord
