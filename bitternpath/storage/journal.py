"""One write-ahead log for all replica groups of a process.

`Journal` belongs to the reactor's thread. A disk runner owns the files: it takes all commands that wait,
writes and syncs them together (group commit), and reports back. `DiskThread` does that in a thread; tests use
a runner in virtual time.
"""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bitternpath.replication.records import Kept, Write
from bitternpath.storage.commands import Done, JournalCommand, NewSnapshot
from bitternpath.storage.disk import DiskRunner, DiskThread
from bitternpath.storage.files import LocalFiles
from bitternpath.storage.groups import founding_record, write_record
from bitternpath.storage.records import ForgetRecord
from bitternpath.storage.segments import SEGMENT_BYTES, SegmentLog

CHECKPOINT_BYTES = 32 << 20  # of all segments; half of the smallest disk (64 MB)


class Journal:
    """The log as the replica groups see it."""

    def __init__(self, log: SegmentLog, runner: DiskRunner) -> None:
        self._log, self._runner = log, runner
        self._loaded: dict[str, Kept] = {group: log.kept(group) for group in log.groups}
        self._forgotten = log.forgotten
        runner.start(log, self._completed)

    @property
    def failing(self) -> bool:
        """Whether the disk refuses writes; they are repeated until it takes them."""
        return self._runner.failing

    @property
    def bytes_used(self) -> int:
        """Bytes of segments and snapshots on the disk."""
        return self._log.bytes_used

    @property
    def bytes_of_snapshots(self) -> int:
        """Bytes of all snapshots and of the largest one again: it is replaced by one beside it."""
        return self._log.bytes_of_snapshots

    def groups(self) -> tuple[str, ...]:
        """The groups that the disk held at the start and that nobody has taken or forgotten yet."""
        return tuple(self._loaded)

    def take_kept(self, group: str) -> Kept | None:
        """What the disk held of a group at the start; None where that was nothing. Once for each group."""
        return self._loaded.pop(group, None)

    def forgotten_at(self, group: str) -> int | None:
        """The generation of the members at which this disk forgot a state of the group: it may have voted
        before. None where it never did."""
        return self._forgotten.get(group)

    def write(self, group: str, write: Write, done: Done) -> None:
        """Queue a consensus write; `done` is called once it is on disk."""
        snapshot = None if write.snapshot is None else NewSnapshot(group, write.snapshot)
        if snapshot is not None and not snapshot.snapshot.data:
            snapshot = None
        self._runner.submit(JournalCommand(write_record(group, write), snapshot, done))

    def found(self, group: str, kept: Kept) -> None:
        """Queue a group's first state. Later writes of the group are done after it."""
        self._runner.submit(JournalCommand(founding_record(group, kept), None, None))

    def forget(self, group: str, generation: int) -> None:
        """Queue the removal of all that is kept of a group, given up at that generation of its members."""
        self._loaded.pop(group, None)
        self._forgotten[group] = generation
        self._runner.submit(JournalCommand(ForgetRecord(group, generation), None, None))

    def close(self) -> None:
        """Write what waits, unless the disk fails, and close the files."""
        if self._runner.stop():
            self._log.close()

    @staticmethod
    def _completed(commands: Sequence[JournalCommand]) -> None:
        for command in commands:
            if command.done is not None:
                command.done()


def open_journal(
    data_dir: Path,
    reactor: Any,
    checkpoint_bytes: int = CHECKPOINT_BYTES,
    segment_bytes: int = SEGMENT_BYTES,
) -> Journal:
    """Load the log of a data directory, and start its thread.

    Blocks while it loads. Raises `JournalDamaged`, and `OSError`.
    """
    data_dir.mkdir(parents=True, exist_ok=True)
    log = SegmentLog(LocalFiles(data_dir), lambda: secrets.randbits(32), checkpoint_bytes, segment_bytes)
    return Journal(log, DiskThread(reactor))
