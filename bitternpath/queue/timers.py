"""Timers of a shard's owner, in one heap; stale timers are dropped when they reach the top."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum

from bitternpath.queue.tracked_messages import MessagePhase, TrackedMessage


class TimerKind(Enum):
    """Purpose of a timer."""

    PHASE = "the end of a message's delay, back-off, grace period or lease"
    RETENTION = "the end of a message's retention"


@dataclass(slots=True, eq=False)
class Timer:
    """A timer that fires at `when` on the local steady clock unless it is stale."""

    when: float
    kind: TimerKind
    tracked: TrackedMessage
    serial: int  # the message's `serial` when the timer was set

    @property
    def is_stale(self) -> bool:
        """Whether the timer no longer applies because the message has left the phase or has ended."""
        if self.kind is TimerKind.PHASE:
            return self.serial != self.tracked.serial
        return self.tracked.phase is MessagePhase.ENDED


class TimerQueue:
    """Timers ordered by time. Setting one is O(log n); stale timers remain until they reach the top."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = 0

    def set(self, when: float, kind: TimerKind, tracked: TrackedMessage) -> None:
        """Set a timer of a message."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, Timer(when, kind, tracked, tracked.serial)))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the next due timer, or None."""
        when = self.next_time()
        if when is None or when > now:
            return None
        return heapq.heappop(self._heap)[2]

    def next_time(self) -> float | None:
        """Return when the next timer fires, or None."""
        while self._heap and self._heap[0][2].is_stale:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
