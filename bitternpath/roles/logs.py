"""Log lines of the system's processes, on standard error.

One line an event: `t=SECONDS level=LEVEL part=CHANNEL event=NAME key=value ...`. The events are listed in
docs/operate/events.md.
"""

from __future__ import annotations

import os
import sys
import time
from typing import Any, cast

import logbook
from twisted.logger import ILogObserver, LogLevel, globalLogBeginner

from bitternpath.roles.event_counts import process_event_counts
from bitternpath.roles.settings_reader import SettingsError

LEVEL_VARIABLE = "BITTERNPATH_LOG"
LEVELS = ("debug", "info", "warning", "error")


class _LogHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes without a lock: only the reactor's thread logs. Counts what it writes."""

    def emit(self, record: Any) -> None:
        """Count and write a line; `record` is logbook's."""
        process_event_counts.add(record.message)
        super().emit(record)

    def format(self, record: Any) -> str:
        """One log line; `record` is logbook's."""
        level = record.level_name.lower()
        trace = f" traceback={record.formatted_exception!r}" if record.exc_info else ""
        return f"t={time.monotonic():.3f} level={level} part={record.channel} {record.message}{trace}"


def log_level() -> str:
    """The least severe level that the environment asks for, one of `LEVELS`; raises `SettingsError`."""
    configured = os.environ.get(LEVEL_VARIABLE) or "info"
    if configured.lower() not in LEVELS:
        raise SettingsError(f"{LEVEL_VARIABLE}: must be one of {', '.join(LEVELS)}, not {configured!r}")
    return configured.lower()


def start_logging(node_name: str, level: str) -> None:
    """Log from now on what is at least as severe as `level`, one of `LEVELS`; also what Twisted logs."""
    handler = _LogHandler(sys.stderr, level=level.upper())
    handler.push_application()
    observers = cast("list[ILogObserver]", [_observe])
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)
    logbook.Logger("process").info("event=process_starting node={} pid={}", node_name, os.getpid())


def _observe(event: Any) -> None:
    """Log errors that Twisted reports: a failure in a call of the reactor, or one that no errback handled."""
    failure = event.get("log_failure")
    if failure is not None:
        logbook.Logger("twisted").error("event=unhandled_failure traceback={!r}", failure.getTraceback())
    elif event.get("log_level") in (LogLevel.error, LogLevel.critical):
        text = event.get("log_text") or event.get("log_format")
        logbook.Logger("twisted").error("event=twisted_error text={!r}", str(text))
