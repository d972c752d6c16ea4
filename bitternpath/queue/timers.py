"""Timers of a shard's owner: one heap, whose lapsed entries are dropped when they come up."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum

from bitternpath.queue.tracked_messages import MessagePhase, TrackedMessage


class TimerKind(Enum):
    """What a timer is for."""

    PHASE = "the end of a message's delay, back-off or lease"
    RETENTION = "the end of a message's retention"


@dataclass(slots=True, eq=False)
class Timer:
    """Fires at `when` unless the message has left the phase for which it was set."""

    when: float
    kind: TimerKind
    tracked: TrackedMessage
    serial: int

    @property
    def lapsed(self) -> bool:
        """Whether nothing is left to do."""
        if self.kind is TimerKind.PHASE:
            return self.serial != self.tracked.serial
        return self.tracked.phase is MessagePhase.ENDED


class TimerQueue:
    """Timers by time. Setting one is O(log n); a lapsed one stays until its time, or until it comes first."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = 0

    def set(self, when: float, kind: TimerKind, tracked: TrackedMessage) -> None:
        """Fire at `when`."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, Timer(when, kind, tracked, tracked.serial)))

    def pop_due(self, now: float) -> Timer | None:
        """The next timer whose time has come."""
        when = self.next_time()
        if when is None or when > now:
            return None
        return heapq.heappop(self._heap)[2]

    def next_time(self) -> float | None:
        """When the next timer fires."""
        while self._heap and self._heap[0][2].lapsed:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None
