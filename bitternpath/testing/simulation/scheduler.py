"""Virtual time: one event queue for all hosts of a run, ordered by time, then by insertion."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Call = Callable[..., object]


class Timer:
    """A scheduled call outside of all hosts that can be cancelled."""

    __slots__ = ("_call",)

    def __init__(self, call: Call) -> None:
        self._call: Call | None = call

    def cancel(self) -> None:
        """Cancel the call; no error if it has run."""
        self._call = None

    def fire(self, *arguments: Any) -> None:
        """Run the call unless it was cancelled; called by the scheduler."""
        call = self._call
        self._call = None
        if call is not None:
            call(*arguments)


class Scheduler:
    """The clock and the pending events, which run within `run_until` only."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events_run = 0
        self._last_serial = 0
        self._events: list[tuple[float, int, Call, tuple[Any, ...]]] = []

    def push(self, time: float, call: Call, *arguments: Any) -> None:
        """Schedule a call, behind earlier ones for the same time; a time in the past counts as now."""
        self._last_serial += 1
        heappush(self._events, (time if time > self.now else self.now, self._last_serial, call, arguments))

    def at(self, time: float, call: Call, *arguments: Any) -> Timer:
        """Schedule a call that can be cancelled."""
        timer = Timer(call)
        self.push(time, timer.fire, *arguments)
        return timer

    def run_until(self, end: float) -> None:
        """Run all events up to `end` and advance the clock to it."""
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, call, arguments = heappop(events)
            self.events_run += 1
            call(*arguments)
        self.now = max(self.now, end)
