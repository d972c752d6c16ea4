"""Log lines of the system's processes, on standard error.

One line per event: `t=SECONDS level=LEVEL part=CHANNEL event=NAME key=value ...`. The events are listed in
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
    """Writes log lines without a lock, because only the reactor's thread logs, and counts them."""

    def emit(self, record: Any) -> None:
        """Count and write a line; `record` is a logbook record."""
        process_event_counts.add(record.message)
        super().emit(record)

    def format(self, record: Any) -> str:
        """Format one log line; `record` is a logbook record."""
        level = record.level_name.lower()
        trace = f" traceback={record.formatted_exception!r}" if record.exc_info else ""
        return f"t={time.monotonic():.3f} level={level} part={record.channel} {record.message}{trace}"


def log_level() -> str:
    """The minimum severity set in the environment, one of `LEVELS`; raises `SettingsError`."""
    configured = os.environ.get(LEVEL_VARIABLE) or "info"
    if configured.lower() not in LEVELS:
        raise SettingsError(f"{LEVEL_VARIABLE}: must be one of {', '.join(LEVELS)}, not {configured!r}")
    return configured.lower()


def start_logging(node_name: str, level: str) -> None:
    """Log events of severity `level` (one of `LEVELS`) or higher, including those that Twisted reports."""
    handler = _LogHandler(sys.stderr, level=level.upper())
    handler.push_application()
    observers = cast("list[ILogObserver]", [_observe])
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)
    logbook.Logger("process").info("event=process_starting node={} pid={}", node_name, os.getpid())


def _observe(event: Any) -> None:
    """Log errors that Twisted reports: a failed call of the reactor, or a failure without an errback."""
    failure = event.get("log_failure")
    if failure is not None:
        logbook.Logger("twisted").error("event=unhandled_failure traceback={!r}", failure.getTraceback())
    elif event.get("log_level") in (LogLevel.error, LogLevel.critical):
        text = event.get("log_text") or event.get("log_format")
        logbook.Logger("twisted").error("event=twisted_error text={!r}", str(text))
