"""Interface of journal writers, which own the log's files and process a queue of commands."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from bitternpath.storage.commands import JournalCommand
from bitternpath.storage.segments import SegmentLog

RETRY_SECONDS = 0.25  # interval between attempts at a failed write

CompletedCallback = Callable[[Sequence[JournalCommand]], None]  # called with the commands that are durable
CorruptSnapshotCallback = Callable[[str], None]  # called with the name of the group


class JournalWriter(Protocol):
    """Owns a `SegmentLog` and executes commands in order.

    All commands that arrive while a batch is written and synced form the next batch (group commit). A batch
    that fails is retried until it succeeds.
    """

    @property
    def failing(self) -> bool:
        """Whether the last write or the last checkpoint step failed; failed operations are retried."""

    def start(
        self, log: SegmentLog, completed: CompletedCallback, snapshot_corrupted: CorruptSnapshotCallback
    ) -> None:
        """Start processing commands.

        Args:
            log: owned by the writer after this call.
            completed: called in the reactor's thread with commands that are durable, in order.
            snapshot_corrupted: called in the reactor's thread with a group whose snapshot file is corrupt.
        """

    def submit(self, command: JournalCommand) -> None:
        """Add a command to the queue."""

    def stop(self) -> bool:
        """Write all queued commands, unless the disk fails, and stop.

        Returns:
            False if the writer still uses the files, which then must not be closed.
        """
