"""Journal writer in virtual time: each batch takes the duration of a sync on the simulation's clock."""

from __future__ import annotations

from collections.abc import Sequence
from contextlib import suppress
from random import Random

from bitternpath.net.clock import Clock
from bitternpath.storage.commands import JournalCommand, make_batch
from bitternpath.storage.journal_writer import RETRY_SECONDS, CompletedCallback, CorruptSnapshotCallback
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedCrashError, SimulatedFileSystem

MAX_CRASH_STEPS = 8  # disk operations of a batch before the process ends, at most


class VirtualTimeJournalWriter:
    """`storage.journal_writer.JournalWriter` on a clock.

    Attributes:
        sync_seconds: duration of a batch; may be changed at any time.
        failing: as in `JournalWriter`.
        batches: number of written batches.
    """

    _log: SegmentLog
    _completed: CompletedCallback
    _snapshot_corrupted: CorruptSnapshotCallback

    def __init__(self, clock: Clock, disk: SimulatedFileSystem, sync_seconds: float) -> None:
        """Create a writer on `clock`; a batch takes `sync_seconds`."""
        self._clock = clock
        self._disk = disk
        self.sync_seconds = sync_seconds
        self._waiting: list[JournalCommand] = []
        self._writing: list[JournalCommand] = []
        self._ended = False
        self.failing = False
        self.batches = 0

    def start(
        self, log: SegmentLog, completed: CompletedCallback, snapshot_corrupted: CorruptSnapshotCallback
    ) -> None:
        """See `JournalWriter`."""
        self._log = log
        self._completed = completed
        self._snapshot_corrupted = snapshot_corrupted

    def scrub(self, steps: int) -> None:
        """Verify `steps` chunks of stored data, as the writer's thread does while it is idle."""
        for _ in range(steps):
            if group := self._log.scrub_step():
                self._snapshot_corrupted(group)
            if self._log.checkpoint_due:
                self._log.checkpoint_step()

    def submit(self, command: JournalCommand) -> None:
        """See `JournalWriter`."""
        self._waiting.append(command)
        if not self._writing:
            self._begin_batch()

    def stop(self) -> bool:
        """Write all waiting commands at once."""
        commands = self._writing + self._waiting
        if commands and not self._ended:
            self._log.write(make_batch(commands))
        self._ended = True
        return True

    def crash_during_batch(self, random: Random) -> None:
        """End the process in the middle of a pending batch; a stalled disk has written nothing of it."""
        if self._writing and not self._ended and not self._remaining_stall():
            self._disk.crash_at = self._disk.steps + random.randint(1, MAX_CRASH_STEPS)
            with suppress(SimulatedCrashError, OSError):
                self._write(self._writing)
        self._ended = True

    def _begin_batch(self) -> None:
        self._writing = self._waiting
        self._waiting = []
        if self._writing:
            self._clock.callLater(
                self._remaining_stall() + self.sync_seconds, self._finish_batch, self._writing
            )

    def _remaining_stall(self) -> float:
        return max(self._disk.stalled_until - self._clock.seconds(), 0.0)

    def _finish_batch(self, commands: Sequence[JournalCommand]) -> None:
        if self._ended:
            return
        if stall := self._remaining_stall():
            self._clock.callLater(stall, self._finish_batch, commands)
            return
        try:
            self._write(commands)
        except OSError:
            self.failing = True
            self._clock.callLater(RETRY_SECONDS, self._finish_batch, commands)
            return
        self.failing = False
        self.batches += 1
        self._completed(commands)
        self._begin_batch()

    def _write(self, commands: Sequence[JournalCommand]) -> None:
        self._log.write(make_batch(commands))
        if self._log.checkpoint_due:
            with suppress(OSError):  # retried after the next batch
                self._log.checkpoint_step()
