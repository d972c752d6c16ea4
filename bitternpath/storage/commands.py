"""Commands to the owner of the log's files."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternpath.replication.records import Snapshot
from bitternpath.storage.records import Record

Done = Callable[[], None]


@dataclass(frozen=True, slots=True)
class NewSnapshot:
    """A snapshot that a record of the same batch names."""

    group: str
    snapshot: Snapshot


@dataclass(slots=True)
class Batch:
    """Records to be written and synced together, after the snapshots that they name."""

    records: Sequence[Record]
    snapshots: list[NewSnapshot]  # those that are not on disk yet


@dataclass(frozen=True, slots=True)
class JournalCommand:
    """A record to be written, the snapshot that it names, and whom to tell when both are on disk."""

    record: Record
    snapshot: NewSnapshot | None
    done: Done | None


def batch_of(commands: Sequence[JournalCommand]) -> Batch:
    """The commands as one batch, in their order."""
    snapshots = [command.snapshot for command in commands if command.snapshot is not None]
    return Batch([command.record for command in commands], snapshots)
