"""Commands to the journal writer, and the batches that it combines them into."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternpath.replication.records import Snapshot
from bitternpath.storage.records import Record

DoneCallback = Callable[[], None]


@dataclass(frozen=True, slots=True)
class NewSnapshot:
    """A snapshot of a group that isn't on disk yet and that a record of the same batch references."""

    group: str
    snapshot: Snapshot


@dataclass(slots=True)
class Batch:
    """Records that are written and synced together.

    Attributes:
        records: records in the order in which they are applied.
        snapshots: snapshots that the records reference and that aren't on disk yet. Each is removed from the
            list when it is on disk, so that a retry of the batch writes only the remaining snapshots.
    """

    records: Sequence[Record]
    snapshots: list[NewSnapshot]


@dataclass(frozen=True, slots=True)
class JournalCommand:
    """A command to write one record.

    Attributes:
        record: the record to write.
        snapshot: the new snapshot that the record references; None if there is none or it has no data.
        done: called when the record and the snapshot are synced.
    """

    record: Record
    snapshot: NewSnapshot | None
    done: DoneCallback | None


def make_batch(commands: Sequence[JournalCommand]) -> Batch:
    """Combine commands into one batch, in their order."""
    snapshots = [command.snapshot for command in commands if command.snapshot is not None]
    return Batch([command.record for command in commands], snapshots)
