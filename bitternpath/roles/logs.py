"""Logs of the system's processes: logbook, one line an event, `key=value` pairs, to standard error."""

from __future__ import annotations

import os
import sys
import time
from typing import Any, cast

import logbook
from twisted.logger import ILogObserver, LogLevel, globalLogBeginner

from bitternpath.roles.settings import SettingsError

LEVEL_VARIABLE = "BITTERNPATH_LOG"
LEVELS = ("debug", "info", "warning", "error")


class _Stream(logbook.StreamHandler):  # type: ignore[misc]
    """Writes without a lock around threads: only the reactor's thread logs."""

    def format(self, record: Any) -> str:
        level = record.level_name.lower()
        trace = f" traceback={record.formatted_exception!r}" if record.exc_info else ""
        return f"t={time.monotonic():.3f} level={level} part={record.channel} {record.message}{trace}"


def log_level() -> str:
    """The least severe level that the environment wants logged, in lower case; raises `SettingsError`."""
    given = os.environ.get(LEVEL_VARIABLE) or "info"
    if given.lower() not in LEVELS:
        raise SettingsError(f"{LEVEL_VARIABLE}: must be one of {', '.join(LEVELS)}, not {given!r}")
    return given.lower()


def start_logging(node_name: str, level: str) -> None:
    """Log at one of `LEVELS` from now on."""
    handler = _Stream(sys.stderr, level=level.upper())
    handler.push_application()
    observers = cast("list[ILogObserver]", [_observe])
    globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)
    logbook.Logger("process").info("event=process_starting node={} pid={}", node_name, os.getpid())


def _observe(event: Any) -> None:
    """Failures that Twisted logs: an error in a callback, or a Deferred that nobody handled."""
    failure = event.get("log_failure")
    if failure is not None:
        logbook.Logger("twisted").error("event=failure traceback={!r}", failure.getTraceback())
    elif event.get("log_level") in (LogLevel.error, LogLevel.critical):
        text = event.get("log_text") or event.get("log_format")
        logbook.Logger("twisted").error("event=error text={!r}", str(text))
