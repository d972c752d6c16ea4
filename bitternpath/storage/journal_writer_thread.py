"""Journal writer in a thread of its own."""

from __future__ import annotations

import threading
import time

import logbook

from bitternpath.net.reactor import ThreadCallReactor
from bitternpath.storage.commands import JournalCommand, make_batch
from bitternpath.storage.journal_writer import RETRY_SECONDS, CompletedCallback, CorruptSnapshotCallback
from bitternpath.storage.segments import SegmentLog

log = logbook.Logger("disk")

STOP_SECONDS = 2.0  # for what waits to be written when the process ends
SCRUB_SECONDS = 0.25  # between chunks of the scrub: 1 MiB/s, so 64 MB in about a minute


class JournalWriterThread:
    """`JournalWriter` in a thread.

    Work in order of priority: batches; steps of a checkpoint, one between two batches, so that no batch waits
    long; the scrub, only while nothing waits.
    """

    _log: SegmentLog
    _completed: CompletedCallback
    _snapshot_corrupted: CorruptSnapshotCallback
    _thread: threading.Thread

    def __init__(self, reactor: ThreadCallReactor) -> None:
        """Make a writer whose callbacks run in that reactor's thread; `start` begins the work."""
        self._reactor = reactor
        self._waiting: list[JournalCommand] = []
        self._changed = threading.Condition()  # guards `_waiting`
        self._stopping = threading.Event()
        self._write_failing = False
        self._checkpoint_failing = False
        self._checkpoint_from = 0.0  # when the next step of a checkpoint may be tried, by `time.monotonic`
        self._scrub_from = 0.0  # when the next chunk of the scrub is due, by `time.monotonic`

    @property
    def failing(self) -> bool:
        """See `JournalWriter`."""
        return self._write_failing or self._checkpoint_failing

    def start(
        self, log: SegmentLog, completed: CompletedCallback, snapshot_corrupted: CorruptSnapshotCallback
    ) -> None:
        """See `JournalWriter`."""
        self._log = log
        self._completed = completed
        self._snapshot_corrupted = snapshot_corrupted
        self._scrub_from = time.monotonic() + SCRUB_SECONDS
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def submit(self, command: JournalCommand) -> None:
        """Add a command; wakes the thread."""
        with self._changed:
            self._waiting.append(command)
            self._changed.notify()

    def stop(self) -> bool:
        """See `JournalWriter`."""
        with self._changed:
            self._stopping.set()
            self._changed.notify()
        self._thread.join(STOP_SECONDS)
        return not self._thread.is_alive()

    # ---- in the thread

    def _run(self) -> None:
        try:
            self._work()
        except BaseException:
            # Nothing will be written any more: owners of groups have to know.
            self._write_failing = True
            log.exception("event=journal_writer_crashed")

    def _work(self) -> None:
        while (commands := self._next_commands()) is not None:
            if commands and not self._write(commands):
                return
            if self._seconds_to_checkpoint() == 0.0:
                self._step_checkpoint()
            elif not commands:
                self._scrub()

    def _next_commands(self) -> list[JournalCommand] | None:
        """Wait for work; return all commands that wait.

        An empty list: a checkpoint or the scrub goes on. None: the writer is stopped and nothing waits.
        """
        with self._changed:
            while not self._waiting:
                if self._stopping.is_set():
                    return None
                seconds = self._seconds_to_work()
                if seconds == 0.0:
                    return []
                self._changed.wait(seconds)
            commands = self._waiting
            self._waiting = []
            return commands

    def _seconds_to_work(self) -> float:
        """Seconds until there is something to do besides commands."""
        scrub = max(self._scrub_from - time.monotonic(), 0.0)
        checkpoint = self._seconds_to_checkpoint()
        return scrub if checkpoint is None else min(scrub, checkpoint)

    def _seconds_to_checkpoint(self) -> float | None:
        """Seconds until a step of a checkpoint may be tried; None where none is due."""
        if not self._log.checkpoint_due:
            return None
        return max(self._checkpoint_from - time.monotonic(), 0.0)

    def _write(self, commands: list[JournalCommand]) -> bool:
        """Write commands as one batch, as often as it takes; False where the writer was stopped meanwhile."""
        batch = make_batch(commands)
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

    def _step_checkpoint(self) -> None:
        """Do one step. Where it fails, batches go on: they may need less space."""
        try:
            self._log.checkpoint_step()
        except OSError:
            self._checkpoint_failing = True
            self._checkpoint_from = time.monotonic() + RETRY_SECONDS
        else:
            self._checkpoint_failing = False

    def _scrub(self) -> None:
        self._scrub_from = time.monotonic() + SCRUB_SECONDS
        if group := self._log.scrub_step():
            self._reactor.callFromThread(self._snapshot_corrupted, group)
