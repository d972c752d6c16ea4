"""Virtual time: one queue of events for all hosts of a run, in the order of time, then of their making."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Call = Callable[..., object]


class Timer:
    """A call to come that can be cancelled, outside of all hosts."""

    __slots__ = ("_call",)

    def __init__(self, call: Call) -> None:
        self._call: Call | None = call

    def cancel(self) -> None:
        """It doesn't come; no error where it was."""
        self._call = None

    def fire(self, *arguments: Any) -> None:
        """Called by the scheduler."""
        call = self._call
        self._call = None
        if call is not None:
            call(*arguments)


class Scheduler:
    """The clock and the events to come. Nothing happens outside of `run_until`."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events_run = 0  # events so far
        self._last_serial = 0
        self._events: list[tuple[float, int, Call, tuple[Any, ...]]] = []

    def push(self, time: float, call: Call, *arguments: Any) -> None:
        """Call at that time, not before events that were pushed for it earlier."""
        self._last_serial += 1
        heappush(self._events, (time if time > self.now else self.now, self._last_serial, call, arguments))

    def at(self, time: float, call: Call, *arguments: Any) -> Timer:
        """As `push`; can be cancelled."""
        timer = Timer(call)
        self.push(time, timer.fire, *arguments)
        return timer

    def run_until(self, end: float) -> None:
        """Play all events up to that time, which it then is."""
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, call, arguments = heappop(events)
            self.events_run += 1
            call(*arguments)
        self.now = max(self.now, end)
