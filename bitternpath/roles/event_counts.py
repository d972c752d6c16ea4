"""Counts of this process's log events, by cause."""

from __future__ import annotations

import re
from collections import Counter

from bitternpath.transport.operator_messages import EventCount

MAX_KEYS = 256  # pairs of an event and a cause; the number of distinct error texts has no bound
OTHER_CAUSES = "(others)"

_EVENT = re.compile(r"event=(\S+)")
_CAUSE = re.compile(r" (?:cause|reason|error)=('[^']*'|\"[^\"]*\"|\S+)")


class EventCounts:
    """Counts log lines by event and cause. Beyond `MAX_KEYS` pairs, an event's new causes share one count."""

    def __init__(self) -> None:
        """Create an object without counts."""
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, line: str) -> None:
        """Count the event that a log line names; a line without one isn't counted."""
        event = _EVENT.match(line)
        if event is None:
            return
        cause = _CAUSE.search(line, event.end())
        key = event[1], cause[1].strip("'\"") if cause is not None else ""
        if key not in self._counts and len(self._counts) >= MAX_KEYS:
            key = event[1], OTHER_CAUSES
        self._counts[key] += 1

    def counts(self) -> tuple[EventCount, ...]:
        """All counts, by event and cause."""
        return tuple(
            EventCount(event, cause, count) for (event, cause), count in sorted(self._counts.items())
        )


process_event_counts = EventCounts()  # one per process, because logging is process-wide
