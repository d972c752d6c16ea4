"""Virtual time: a heap of what is due. Pure.

Order is defined: by time, and what is due at the same time in the order in which it was asked for. A
loop without delay would never let time pass; after AT_ONCE events at one time it is ended with an error
that names the time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MAX_EVENTS_PER_INSTANT = 1_000_000  # events at one time


class StuckError(Exception):
    """Time does not pass any more."""


class ScheduledCall:
    """Something that is to happen; a timer as Twisted's reactor gives it."""

    __slots__ = ("args", "callback", "time")

    def __init__(self, time: float, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.time, self.args = time, args
        self.callback: Callable[..., object] | None = callback

    def cancel(self) -> None:
        self.callback, self.args = None, ()

    def active(self) -> bool:
        return self.callback is not None


class Scheduler:
    """A clock in seconds that jumps from one event to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events_processed = 0  # events that have happened
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._immediate: deque[tuple[int, ScheduledCall]] = deque()  # asked for without delay
        self._sequence = 0

    def callLater(self, delay: float, callback: Callable[..., object], *args: Any) -> ScheduledCall:
        """As Twisted's reactor: seconds from now."""
        self._sequence += 1
        if delay <= 0.0:
            call = ScheduledCall(self.now, callback, args)
            self._immediate.append((self._sequence, call))
        else:
            call = ScheduledCall(self.now + delay, callback, args)
            heappush(self._heap, (call.time, self._sequence, call))
        return call

    def seconds(self) -> float:
        return self.now

    def run(self, until: float) -> None:
        """Let everything happen that is due by then."""
        heap, immediate, events_now = self._heap, self._immediate, 0
        while True:
            # What was asked for without delay is due now, after what was asked for before it.
            if immediate and not (heap and heap[0][0] <= self.now and heap[0][1] < immediate[0][0]):
                call = immediate.popleft()[1]
            elif heap and heap[0][0] <= until:
                call = heappop(heap)[2]
            else:
                break
            callback = call.callback
            if callback is None:
                continue
            if call.time > self.now:
                self.now, events_now = call.time, 0
            events_now += 1
            if events_now > MAX_EVENTS_PER_INSTANT:
                raise StuckError(
                    f"more than {MAX_EVENTS_PER_INSTANT} events at {self.now:.6f} s: a loop without delay"
                )
            call.callback = None
            self.events_processed += 1
            callback(*call.args)
        self.now = max(self.now, until)
