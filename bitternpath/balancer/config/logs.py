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

FIRST = ["at", "level", "part", "event"]  # the keys that lead a line, in this order

Line = structlog.typing.EventDict


def stamp(logger: Any, method: str, line: Line) -> Line:
    """Add when and how severe it is."""
    line["at"] = f"{time():.3f}"
    line["level"] = "error" if method == "exception" else method
    return line


def shorten(logger: Any, method: str, line: Line) -> Line:
    """Numbers are rounded to a tenth, everything else that no format knows becomes text."""
    for key, value in line.items():
        if isinstance(value, float):
            line[key] = round(value, 1)
        elif not isinstance(value, str | int | None):
            line[key] = str(value)
    return line


def trace(logger: Any, method: str, line: Line) -> Line:
    """The traceback under the name that lines have always had for it."""
    if "exception" in line:
        line["trace"] = line.pop("exception")
    return line


class Bound:
    """At most so many lines of one event in a second: strangers can provoke some of them at will.

    Where lines were left out, the event's next one says how many, as `left_out`.
    """

    def __init__(self, per_second: int, clock: Callable[[], float] = monotonic) -> None:
        self.per_second, self.clock = per_second, clock
        self._seen: dict[str, tuple[int, int, int]] = {}  # event: second, lines in it, left out since

    def __call__(self, logger: Any, method: str, line: Line) -> Line:
        """Pass a line on, or raise `structlog.DropEvent`."""
        event, second = str(line.get("event")), int(self.clock())
        at, count, left_out = self._seen.get(event, (second, 0, 0))
        if at != second:
            at, count = second, 0
        if count >= self.per_second:
            self._seen[event] = at, count, left_out + 1
            raise structlog.DropEvent
        self._seen[event] = at, count + 1, 0
        if left_out:
            line["left_out"] = left_out
        return line


def renderer(form: str) -> Any:
    """`kv` or `json`: the last processor."""
    if form == "json":
        return structlog.processors.JSONRenderer(serializer=lambda line, **_: ujson.dumps(dict(line)))
    return structlog.processors.LogfmtRenderer(key_order=FIRST, drop_missing=True, bool_as_flag=False)


def processors(form: str, per_second: int) -> list[Any]:
    """All of them, in the order in which a line passes through."""
    return [Bound(per_second), stamp, structlog.processors.format_exc_info, trace, shorten, renderer(form)]


def _from_twisted(event: dict[str, Any]) -> None:
    """Twisted's own words, errors alone: the rest is chatter about every connection."""
    from twisted.logger import LogLevel, formatEvent

    if event["log_level"] >= LogLevel.error:
        failure = event.get("log_failure")
        more = {"trace": failure.getTraceback()} if failure is not None else {}
        structlog.get_logger(part="twisted").error(formatEvent(event), **more)


def start(level: str, form: str = "kv", per_second: int = 50, stream: TextIO = sys.stderr) -> None:
    """Write log lines from `level` on, at most `per_second` of one event, and Twisted's errors."""
    from twisted.logger import globalLogBeginner

    structlog.configure(
        processors=processors(form, per_second),
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )
    observer: Any = _from_twisted
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)
