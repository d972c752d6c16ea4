"""Structured log lines: key=value pairs, or JSON with the same names, on standard error.

Each line has `at` (Unix seconds), `level`, `part` (the module), `event`, then what the call gave, and `trace`
where an exception was under way. The processors below are small and each can be tried alone.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable
from time import monotonic, time
from typing import Any, TextIO

import structlog
import ujson

LEADING_KEYS = ["at", "level", "part", "event"]  # the keys that lead a line, in this order

LogEvent = structlog.typing.EventDict


def add_time_and_level(logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
    """Add when and how severe it is."""
    event_dict["at"] = f"{time():.3f}"
    event_dict["level"] = "error" if method == "exception" else method
    return event_dict


def format_values(logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
    """Numbers are rounded to a tenth, everything else that no format knows becomes text."""
    for key, value in event_dict.items():
        if isinstance(value, float):
            event_dict[key] = round(value, 1)
        elif not isinstance(value, str | int | None):
            event_dict[key] = str(value)
    return event_dict


def rename_traceback(logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
    """The traceback under the name that lines have always had for it."""
    if "exception" in event_dict:
        event_dict["trace"] = event_dict.pop("exception")
    return event_dict


class RateLimiter:
    """At most so many lines of one event in a second: strangers can provoke some of them at will.

    Where lines were left out, the event's next one says how many, as `left_out`.
    """

    def __init__(self, per_second: int, clock: Callable[[], float] = monotonic) -> None:
        self.per_second, self.clock = per_second, clock
        self._seen: dict[str, tuple[int, int, int]] = {}  # event: second, lines in it, left out since

    def __call__(self, logger: Any, method: str, event_dict: LogEvent) -> LogEvent:
        """Pass a line on, or raise `structlog.DropEvent`."""
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
    """`kv` or `json`: the last processor."""
    if format == "json":
        return structlog.processors.JSONRenderer(
            serializer=lambda event_dict, **_: ujson.dumps(dict(event_dict))
        )
    return structlog.processors.LogfmtRenderer(key_order=LEADING_KEYS, drop_missing=True, bool_as_flag=False)


def processors(format: str, per_second: int) -> list[Any]:
    """All of them, in the order in which a line passes through."""
    return [
        RateLimiter(per_second),
        add_time_and_level,
        structlog.processors.format_exc_info,
        rename_traceback,
        format_values,
        renderer(format),
    ]


def _from_twisted(event: dict[str, Any]) -> None:
    """Twisted's own words, errors alone: the rest is chatter about every connection."""
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
