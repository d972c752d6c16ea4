"""Structured log lines: key=value pairs, or JSON with the same names, on standard error.

Each line has `at` (Unix seconds), `level`, `part` (the module), `event`, then the fields of the call, and
`trace` if an exception is being handled. Each processor below can be tested separately.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from time import monotonic, time
from typing import Any, TextIO

import structlog
import ujson

LEADING_KEYS = ["at", "level", "part", "event"]  # the first keys of a line, in this order

LogEvent = structlog.typing.EventDict


def add_time_and_level(logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
    """Add the time and the level."""
    event_dict["at"] = f"{time():.3f}"
    event_dict["level"] = "error" if method == "exception" else method
    return event_dict


def format_values(logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
    """Round floats to one decimal; convert values of other types to strings."""
    for key, value in event_dict.items():
        if isinstance(value, float):
            event_dict[key] = round(value, 1)
        elif not isinstance(value, str | int | None):
            event_dict[key] = str(value)
    return event_dict


def rename_traceback(logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
    """Rename the traceback field to `trace`, the established key in log lines."""
    if "exception" in event_dict:
        event_dict["trace"] = event_dict.pop("exception")
    return event_dict


class RateLimiter:
    """Limits the lines per event and second, since untrusted peers can trigger some events at will.

    The first line of an event after dropped ones has their number as `left_out`.
    """

    def __init__(self, per_second: int, clock: Callable[[], float] = monotonic) -> None:
        self.per_second, self.clock = per_second, clock
        self._seen: dict[
            str, tuple[int, int, int]
        ] = {}  # event: second, lines in that second, dropped lines not reported yet

    def __call__(self, logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
        """Return the event, or raise `structlog.DropEvent`."""
        event, second = str(event_dict.get("event")), int(self.clock())
        last_second, count, left_out = self._seen.get(event, (second, 0, 0))
        if last_second != second:
            last_second, count = second, 0
        if count >= self.per_second:
            self._seen[event] = last_second, count, left_out + 1
            raise structlog.DropEvent
        self._seen[event] = last_second, count + 1, 0
        if left_out:
            event_dict["left_out"] = left_out
        return event_dict


def renderer(format: str) -> Any:
    """The last processor, for format `kv` or `json`."""
    if format == "json":
        return structlog.processors.JSONRenderer(
            serializer=lambda event_dict, **_: ujson.dumps(dict(event_dict))
        )
    return structlog.processors.LogfmtRenderer(key_order=LEADING_KEYS, drop_missing=True, bool_as_flag=False)


def processors(format: str, per_second: int) -> list[Any]:
    """The processors in the order in which they run."""
    return [
        RateLimiter(per_second),
        add_time_and_level,
        structlog.processors.format_exc_info,
        rename_traceback,
        format_values,
        renderer(format),
    ]


def _from_twisted(event: dict[str, Any]) -> None:
    """Log Twisted's errors; its other messages concern every connection and are dropped."""
    from twisted.logger import LogLevel, formatEvent

    if event["log_level"] >= LogLevel.error:
        failure = event.get("log_failure")
        fields = {"trace": failure.getTraceback()} if failure is not None else {}
        structlog.get_logger(part="twisted").error(formatEvent(event), **fields)


def configure(level: str, format: str = "kv", per_second: int = 50, stream: TextIO = sys.stderr) -> None:
    """Write log lines from `level` on, at most `per_second` of one event, and Twisted's errors."""
    from twisted.logger import globalLogBeginner

    structlog.configure(
        processors=processors(format, per_second),
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )
    observer: Any = _from_twisted
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
