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

AT_ONCE = 1_000_000  # events at one time


class StuckError(Exception):
    """Time does not pass any more."""


class Due:
    """Something that is to happen; a timer as Twisted's reactor gives it."""

    __slots__ = ("args", "do", "time")

    def __init__(self, time: float, do: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.time, self.args = time, args
        self.do: Callable[..., object] | None = do

    def cancel(self) -> None:
        self.do, self.args = None, ()

    def active(self) -> bool:
        return self.do is not None


class Scheduler:
    """A clock in seconds that jumps from one event to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self.done = 0  # events that have happened
        self._heap: list[tuple[float, int, Due]] = []
        self._soon: deque[tuple[int, Due]] = deque()  # asked for without delay
        self._made = 0

    def callLater(self, delay: float, do: Callable[..., object], *args: Any) -> Due:
        """As Twisted's reactor: seconds from now."""
        self._made += 1
        if delay <= 0.0:
            due = Due(self.now, do, args)
            self._soon.append((self._made, due))
        else:
            due = Due(self.now + delay, do, args)
            heappush(self._heap, (due.time, self._made, due))
        return due

    def seconds(self) -> float:
        return self.now

    def run(self, until: float) -> None:
        """Let everything happen that is due by then."""
        heap, soon, at_once = self._heap, self._soon, 0
        while True:
            # What was asked for without delay is due now, after what was asked for before it.
            if soon and not (heap and heap[0][0] <= self.now and heap[0][1] < soon[0][0]):
                due = soon.popleft()[1]
            elif heap and heap[0][0] <= until:
                due = heappop(heap)[2]
            else:
                break
            do = due.do
            if do is None:
                continue
            if due.time > self.now:
                self.now, at_once = due.time, 0
            at_once += 1
            if at_once > AT_ONCE:
                raise StuckError(f"more than {AT_ONCE} events at {self.now:.6f} s: a loop without delay")
            due.do = None
            self.done += 1
            do(*due.args)
        self.now = max(self.now, until)
