"""How often each log event came in this process, by its cause."""

from __future__ import annotations

import re
from collections import Counter

from bitternpath.transport.operator_messages import EventCount

MAX_KEYS = 256  # pairs of an event and a cause; texts of errors may be many
OTHER_CAUSES = "(others)"

_EVENT = re.compile(r"event=(\S+)")
_CAUSE = re.compile(r" (?:cause|reason|error)=('[^']*'|\"[^\"]*\"|\S+)")


class EventCounts:
    """Counts of log lines. Beyond `MAX_KEYS` pairs, further causes of an event are counted together."""

    def __init__(self) -> None:
        """Without events."""
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


process_event_counts = EventCounts()  # logging is one a process, and so is this
