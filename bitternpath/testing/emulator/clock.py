"""Virtual time: a scheduler on a heap of calls. Pure.

The order is defined: by time, and calls due at the same time in the order of scheduling. A loop without
delay would keep time from advancing; after `MAX_EVENTS_PER_INSTANT` events at one time it is ended with an
error that names the time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

MAX_EVENTS_PER_INSTANT = 1_000_000  # events at one virtual time before a run is aborted


class StuckError(Exception):
    """Virtual time does not advance any more."""


class ScheduledCall:
    """A scheduled call, with the interface of Twisted's IDelayedCall."""

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
        self.events_processed = 0
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._immediate: deque[tuple[int, ScheduledCall]] = deque()  # scheduled without delay
        self._sequence = 0

    def callLater(self, delay: float, callback: Callable[..., object], *args: Any) -> ScheduledCall:
        """Schedules a call in `delay` s, like Twisted's reactor."""
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
        """Runs all calls that are due by `until`."""
        heap, immediate, events_now = self._heap, self._immediate, 0
        while True:
            # A call without delay is due now, after calls that were scheduled before it for the same time.
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
