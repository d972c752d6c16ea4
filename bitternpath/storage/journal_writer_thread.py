"""Journal writer that runs in a dedicated thread."""

from __future__ import annotations

import threading
import time

import logbook

from bitternpath.net.reactor import ThreadCallReactor
from bitternpath.storage.commands import JournalCommand, make_batch
from bitternpath.storage.journal_writer import RETRY_SECONDS, CompletedCallback, CorruptSnapshotCallback
from bitternpath.storage.segments import SegmentLog

log = logbook.Logger("disk")

STOP_SECONDS = 2.0  # time limit for writing the queued commands at shutdown
SCRUB_SECONDS = 0.25  # interval between chunks of the scrub: 1 MiB/s, so 64 MB take about a minute


class JournalWriterThread:
    """`JournalWriter` that runs in a dedicated thread.

    Batches have priority over checkpoints, and checkpoints over the scrub. At most one step of a checkpoint
    runs between two batches, to bound the latency of a batch; the scrub runs only while the queue is empty.
    """

    _log: SegmentLog
    _completed: CompletedCallback
    _snapshot_corrupted: CorruptSnapshotCallback
    _thread: threading.Thread

    def __init__(self, reactor: ThreadCallReactor) -> None:
        """Create a writer whose callbacks run in the reactor's thread; `start` starts the writer's thread."""
        self._reactor = reactor
        self._queue: list[JournalCommand] = []
        self._queue_changed = threading.Condition()  # guards `_queue`
        self._stopping = threading.Event()
        self._write_failing = False
        self._checkpoint_failing = False
        # Earliest times of the next checkpoint step and of the next chunk of the scrub, by `time.monotonic`.
        self._next_checkpoint_at = 0.0
        self._next_scrub_at = 0.0

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
        self._next_scrub_at = time.monotonic() + SCRUB_SECONDS
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def submit(self, command: JournalCommand) -> None:
        """Add a command to the queue and wake the thread."""
        with self._queue_changed:
            self._queue.append(command)
            self._queue_changed.notify()

    def stop(self) -> bool:
        """See `JournalWriter`."""
        with self._queue_changed:
            self._stopping.set()
            self._queue_changed.notify()
        self._thread.join(STOP_SECONDS)
        return not self._thread.is_alive()

    # The methods below run in the writer's thread.

    def _run(self) -> None:
        try:
            self._process_queue()
        except BaseException:
            # No further write will complete. A failing journal makes the node refuse new messages.
            self._write_failing = True
            log.exception("event=journal_writer_crashed")

    def _process_queue(self) -> None:
        while (commands := self._next_commands()) is not None:
            if commands and not self._write(commands):
                return
            if self._seconds_to_checkpoint() == 0.0:
                self._step_checkpoint()
            elif not commands:
                self._scrub()

    def _next_commands(self) -> list[JournalCommand] | None:
        """Wait for work and return all queued commands.

        Returns an empty list if a checkpoint step or the scrub is due, and None if the writer was stopped and
        the queue is empty.
        """
        with self._queue_changed:
            while not self._queue:
                if self._stopping.is_set():
                    return None
                seconds = self._seconds_to_work()
                if seconds == 0.0:
                    return []
                self._queue_changed.wait(seconds)
            commands = self._queue
            self._queue = []
            return commands

    def _seconds_to_work(self) -> float:
        """Return the seconds until a checkpoint step or the scrub is due."""
        scrub = max(self._next_scrub_at - time.monotonic(), 0.0)
        checkpoint = self._seconds_to_checkpoint()
        return scrub if checkpoint is None else min(scrub, checkpoint)

    def _seconds_to_checkpoint(self) -> float | None:
        """Return the seconds until the next checkpoint step may run, or None if no checkpoint is due."""
        if not self._log.checkpoint_due:
            return None
        return max(self._next_checkpoint_at - time.monotonic(), 0.0)

    def _write(self, commands: list[JournalCommand]) -> bool:
        """Write commands as one batch, and retry until it succeeds.

        Returns False if the writer is stopped before.
        """
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
        """Do one step of a checkpoint.

        If it fails, batches are still written, since they may need less space than the checkpoint.
        """
        try:
            self._log.checkpoint_step()
        except OSError:
            self._checkpoint_failing = True
            self._next_checkpoint_at = time.monotonic() + RETRY_SECONDS
        else:
            self._checkpoint_failing = False

    def _scrub(self) -> None:
        self._next_scrub_at = time.monotonic() + SCRUB_SECONDS
        if group := self._log.scrub_step():
            self._reactor.callFromThread(self._snapshot_corrupted, group)
