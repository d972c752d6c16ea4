"""Records of a run: the trace, failures inside hosts, log lines, and ownerships of groups."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any, cast

import logbook
from twisted.logger import ILogObserver, LogLevel, globalLogPublisher
from twisted.python.failure import Failure

from bitternpath.replication.records import Members
from bitternpath.testing.simulation.scheduler import Scheduler
from bitternpath.testing.simulation.transitions import Transition, membership_changes

OUTSIDE = "-"  # name of the current host while no host's code runs


@dataclass(frozen=True, slots=True)
class HostFailure:
    """An unhandled exception, or an error that was logged with a traceback."""

    at: float
    host: str
    text: str


@dataclass(frozen=True, slots=True)
class Ownership:
    """A replica gained or lost the ownership of its group."""

    at: float
    node: str
    group: str
    epoch: int
    gained: bool


class Recorder:
    """Records events. `current` is the host whose code runs."""

    def __init__(self, scheduler: Scheduler, keep_log: bool) -> None:
        self._scheduler = scheduler
        self._keep_log = keep_log
        self.current = OUTSIDE
        self.trace: list[str] = []
        self.log: list[str] = []
        self.failures: list[HostFailure] = []
        self.ownerships: list[Ownership] = []
        self.membership_changes: list[Transition] = []  # by the time of their proposal
        self._checksum = 0
        self._observer = cast("ILogObserver", self._observe)
        self._handlers = _LogHandler(self), _LevelFilter(logbook.INFO if keep_log else logbook.ERROR)

    # ---- events of hosts and links

    def event(self, kind: str, detail: str) -> None:
        """Add a line to the trace, which the digest covers."""
        line = f"{self._scheduler.now:.6f} {kind} {detail}"
        self.trace.append(line)
        self._checksum = zlib.crc32(line.encode(), self._checksum)

    def arrival(self, source: str, target: str, data: bytes) -> None:
        """Record received bytes, in the digest only."""
        head = f"{self._scheduler.now:.6f} {source} {target}"
        self._checksum = zlib.crc32(data, zlib.crc32(head.encode(), self._checksum))

    def failed(self, failure: Failure) -> None:
        """Record an exception of the current host's code."""
        self._add_failure(failure.getTraceback())

    def ownership(self, node: str, group: str, epoch: int, gained: bool) -> None:
        """Record that a replica gained or lost the ownership of its group."""
        self.ownerships.append(Ownership(self._scheduler.now, node, group, epoch, gained))
        self.event("owner" if gained else "not_owner", f"{node} {group} epoch={epoch}")

    def membership_change(self, before: Members, after: Members) -> None:
        """Record a proposed membership; not in the trace, since the digest covers the entry's bytes."""
        now = self._scheduler.now
        self.membership_changes += [Transition(now, kind) for kind in membership_changes(before, after)]

    @property
    def digest(self) -> str:
        """A checksum of the trace and all received bytes, in order."""
        return f"{len(self.trace)}-{self._checksum:08x}"

    # ---- logs of the code that runs

    def attach(self) -> None:
        """Start to record logbook's and Twisted's logs."""
        for handler in self._handlers:
            handler.push_application()
        globalLogPublisher.addObserver(self._observer)

    def detach(self) -> None:
        """Stop recording logs."""
        for handler in reversed(self._handlers):
            handler.pop_application()
        globalLogPublisher.removeObserver(self._observer)

    def logged(self, record: Any) -> None:
        """Record a line of logbook."""
        if record.exc_info:
            self._add_failure(f"{record.message}\n{record.formatted_exception}")
        if self._keep_log:
            name = record.level_name.lower()
            line = f"{self._scheduler.now:.6f} {self.current} {name} {record.channel} {record.message}"
            self.log.append(line)

    def _observe(self, event: Any) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            self._add_failure(failure.getTraceback())
        elif event.get("log_level") in (LogLevel.error, LogLevel.critical):
            self._add_failure(str(event.get("log_text") or event.get("log_format")))

    def _add_failure(self, text: str) -> None:
        self.failures.append(HostFailure(self._scheduler.now, self.current, text))


class _LogHandler(logbook.Handler):  # type: ignore[misc]
    """Passes log records of logbook to the recorder."""

    def __init__(self, recorder: Recorder) -> None:
        super().__init__(level=logbook.DEBUG, bubble=False)
        self._recorder = recorder

    def emit(self, record: Any) -> None:
        self._recorder.logged(record)


class _LevelFilter(logbook.Handler):  # type: ignore[misc]
    """Drops records below a level before they are formatted."""

    blackhole = True

    def __init__(self, below: int) -> None:
        super().__init__(level=logbook.NOTSET, bubble=False)
        self._below = below

    def should_handle(self, record: Any) -> bool:
        return bool(record.level < self._below)
