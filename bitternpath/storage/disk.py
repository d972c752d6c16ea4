"""Runners that own the log's files and work through a queue of commands; here, a thread."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import logbook

from bitternpath.storage.commands import JournalCommand, batch_of
from bitternpath.storage.segments import SegmentLog

log = logbook.Logger("disk")

RETRY_SECONDS = 0.25  # between attempts at a write that the disk refused
STOP_SECONDS = 2.0  # for what waits to be written when the process ends

SCRUB_SECONDS = 0.25  # between pieces of files that are read again: 1 MiB/s, so 64 MB in about a minute

Completed = Callable[[Sequence[JournalCommand]], None]
SnapshotDamaged = Callable[[str], None]  # told the group


class JournalWriter(Protocol):
    """Owns a `SegmentLog` and works through the commands in order."""

    @property
    def failing(self) -> bool:
        """Whether the last write, or the last step of a checkpoint, failed; it is being repeated."""

    def start(self, log: SegmentLog, completed: Completed, damaged: SnapshotDamaged) -> None:
        """Begin; `completed` is called in the reactor's thread with commands that are on disk, `damaged` with
        a group whose snapshot's file is damaged."""

    def submit(self, command: JournalCommand) -> None:
        """Add a command to the queue."""

    def stop(self) -> bool:
        """Write what waits, unless the disk fails, and end; False where it still is at work on the files."""


class JournalWriterThread:
    """`JournalWriter` in a thread of its own. All commands that wait while a sync runs are the next batch."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._waiting: list[JournalCommand] = []
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._write_failing = self._checkpoint_failing = False
        self._checkpoint_from = 0.0  # when the next step of a checkpoint may be tried, by `time.monotonic`

    @property
    def failing(self) -> bool:
        """Whether the last write, or the last step of a checkpoint, failed; it is being repeated."""
        return self._write_failing or self._checkpoint_failing

    def start(self, log: SegmentLog, completed: Completed, damaged: SnapshotDamaged) -> None:
        """Begin to work on the log."""
        self._log, self._completed, self._damaged = log, completed, damaged
        self._scrub_from = time.monotonic() + SCRUB_SECONDS
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def submit(self, command: JournalCommand) -> None:
        """Add a command; wakes the thread."""
        with self._changed:
            self._waiting.append(command)
            self._changed.notify()

    def stop(self) -> bool:
        """Write what waits, unless the disk fails, and end; False where it still is at work on the files."""
        with self._changed:
            self._stopping.set()
            self._changed.notify()
        self._thread.join(STOP_SECONDS)
        return not self._thread.is_alive()

    def _run(self) -> None:
        try:
            self._work()
        except BaseException:
            # Nothing is written any more, so nothing is promised any more either.
            self._write_failing = True
            log.exception("event=journal_writer_crashed")

    def _work(self) -> None:
        """A checkpoint goes on in single steps between the batches, so that none waits long."""
        while (commands := self._next()) is not None:
            if commands and not self._write(commands):
                return
            if self._checkpoint_wait() == 0.0:
                self._checkpoint()
            elif not commands:
                self._scrub()

    def _write(self, commands: list[JournalCommand]) -> bool:
        batch = batch_of(commands)
        while True:
            try:
                self._log.write(batch)
            except OSError:
                self._write_failing = True
            else:
                self._write_failing = False
                self._reactor.callFromThread(self._completed, commands)
                return True
            if self._stopping.wait(RETRY_SECONDS):
                return False

    def _checkpoint(self) -> None:
        """One step. Where it fails, batches go on: they may need less room."""
        try:
            self._log.checkpoint_step()
        except OSError:
            self._checkpoint_failing = True
            self._checkpoint_from = time.monotonic() + RETRY_SECONDS
        else:
            self._checkpoint_failing = False

    def _scrub(self) -> None:
        """Read a piece; only while nothing waits."""
        self._scrub_from = time.monotonic() + SCRUB_SECONDS
        if group := self._log.scrub_step():
            self._reactor.callFromThread(self._damaged, group)

    def _wait(self) -> float:
        """Seconds until there is something to do besides commands."""
        scrub = max(self._scrub_from - time.monotonic(), 0.0)
        checkpoint = self._checkpoint_wait()
        return scrub if checkpoint is None else min(scrub, checkpoint)

    def _checkpoint_wait(self) -> float | None:
        """Seconds until a step of a checkpoint may be tried; None where none is due."""
        if not self._log.wants_checkpoint:
            return None
        return max(self._checkpoint_from - time.monotonic(), 0.0)

    def _next(self) -> list[JournalCommand] | None:
        """The commands that wait; an empty list: a checkpoint or the scrub goes on; None: the end."""
        with self._changed:
            while not self._waiting:
                if self._stopping.is_set():
                    return None
                wait = self._wait()
                if wait == 0.0:
                    return []
                self._changed.wait(wait)
            commands, self._waiting = self._waiting, []
            return commands
