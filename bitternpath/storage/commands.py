"""Commands to the journal writer, and the batches that it makes of them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternpath.replication.records import Snapshot
from bitternpath.storage.records import Record

DoneCallback = Callable[[], None]


@dataclass(frozen=True, slots=True)
class NewSnapshot:
    """A snapshot of a group that isn't on disk yet and that a record of the same batch names."""

    group: str
    snapshot: Snapshot


@dataclass(slots=True)
class Batch:
    """Records that are written and synced together.

    Attributes:
        records: in the order in which they are applied.
        snapshots: those that the records name and that aren't on disk yet; each is removed once it is, so
            that a batch that is repeated after an error goes on with the rest.
    """

    records: Sequence[Record]
    snapshots: list[NewSnapshot]


@dataclass(frozen=True, slots=True)
class JournalCommand:
    """One record to be written.

    Attributes:
        record: the record.
        snapshot: the new snapshot that it names, if it names one that has data.
        done: called once both are synced.
    """

    record: Record
    snapshot: NewSnapshot | None
    done: DoneCallback | None


def make_batch(commands: Sequence[JournalCommand]) -> Batch:
    """Put commands into one batch, in their order."""
    snapshots = [command.snapshot for command in commands if command.snapshot is not None]
    return Batch([command.record for command in commands], snapshots)
