"""What a journal writer is: the owner of the log's files, which works through a queue of commands."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from bitternpath.storage.commands import JournalCommand
from bitternpath.storage.segments import SegmentLog

RETRY_SECONDS = 0.25  # between attempts at a write that the disk refused

CompletedCallback = Callable[[Sequence[JournalCommand]], None]  # gets commands that are durable
CorruptSnapshotCallback = Callable[[str], None]  # gets the group


class JournalWriter(Protocol):
    """Owns a `SegmentLog` and works through commands in order.

    All commands that arrive while a batch is written and synced are the next batch (group commit). A batch
    that the disk refuses is repeated until the disk takes it.
    """

    @property
    def failing(self) -> bool:
        """Whether the last write, or the last step of a checkpoint, failed; it is being repeated."""

    def start(
        self, log: SegmentLog, completed: CompletedCallback, snapshot_corrupted: CorruptSnapshotCallback
    ) -> None:
        """Begin to work.

        Args:
            log: belongs to the writer from now on.
            completed: called in the reactor's thread with commands that are durable, in order.
            snapshot_corrupted: called in the reactor's thread with a group whose snapshot's file is corrupt.
        """

    def submit(self, command: JournalCommand) -> None:
        """Add a command to the queue."""

    def stop(self) -> bool:
        """Write what waits, unless the disk fails, and end.

        Returns:
            False where the writer still is at work on the files: they must not be closed.
        """
