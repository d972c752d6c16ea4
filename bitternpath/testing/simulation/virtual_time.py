"""Virtual time for simulated processes that can be frozen and ended."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any


class Timer:
    """A timer, as returned by a reactor's `callLater`."""

    __slots__ = ("_arguments", "_call", "_time")

    def __init__(self, time: float, call: Callable[..., object], arguments: tuple[Any, ...]) -> None:
        self._time = time
        self._arguments = arguments
        self._call: Callable[..., object] | None = call

    def getTime(self) -> float:
        """The time at which it is due."""
        return self._time

    def active(self) -> bool:
        """Whether it has neither fired nor been cancelled."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancel the call."""
        self._call = None

    def fire(self) -> None:
        """Make the call unless it was cancelled."""
        call = self._call
        self._call = None
        if call is not None:
            call(*self._arguments)


class EventClock:
    """Virtual time with a heap of timers; cheaper than `twisted.internet.task.Clock` in long runs."""

    def __init__(self) -> None:
        self._now = 0.0
        self._serial = count()
        self._timers: list[tuple[float, int, Timer]] = []

    def seconds(self) -> float:
        """The virtual time in seconds."""
        return self._now

    def callLater(self, delay: float, call: Callable[..., object], *arguments: Any) -> Timer:
        """Call after `delay` seconds, as a reactor does."""
        timer = Timer(self._now + delay, call, arguments)
        heapq.heappush(self._timers, (timer.getTime(), next(self._serial), timer))
        return timer

    def step(self, end: float) -> bool:
        """Fire the next timer; if none is due by `end`, advance the clock to it and return False."""
        if not self._timers or self._timers[0][0] > end:
            self._now = end
            return False
        self._now, _, timer = heapq.heappop(self._timers)
        timer.fire()
        return True


class ProcessClock:
    """The reactor of one process: defers calls while the process is frozen, drops them after its end."""

    def __init__(self, clock: EventClock) -> None:
        self._clock = clock
        self._ended = False
        self._frozen = False
        self._deferred: list[Callable[[], object]] = []

    def seconds(self) -> float:
        """The clock of the machine; it goes on while the process is frozen."""
        return self._clock.seconds()

    def callLater(self, delay: float, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call after `delay` seconds, as a reactor does."""
        return self._clock.callLater(delay, self.run, lambda: call(*arguments))

    def run(self, call: Callable[[], object]) -> None:
        """Call now, or when the process is thawed; do nothing after its end."""
        if self._frozen:
            self._deferred.append(call)
        elif not self._ended:
            call()

    def freeze(self) -> None:
        """Defer all calls until `thaw`."""
        self._frozen = True

    def thaw(self) -> None:
        """Make the deferred calls and resume."""
        self._frozen = False
        deferred = self._deferred
        self._deferred = []
        for call in deferred:
            self.run(call)

    def end(self) -> None:
        """Drop deferred and future calls."""
        self._ended = True
        self._frozen = False
        self._deferred.clear()
