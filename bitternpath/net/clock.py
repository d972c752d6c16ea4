"""Protocols for time and timers, for code that needs nothing else of a reactor.

`twisted.internet.reactor`, `twisted.internet.task.Clock` (in tests) and the simulation's reactor are clocks.
Twisted's own interfaces are zope interfaces, which type checkers can't check without a plugin.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """A call that is due later (`twisted.internet.interfaces.IDelayedCall`)."""

    def active(self) -> bool:
        """Whether the call has neither been made nor cancelled."""

    def cancel(self) -> None:
        """Never make the call; raises `AlreadyCalled` or `AlreadyCancelled` where it isn't active."""

    def reset(self, delay: float, /) -> None:
        """Make the call `delay` seconds from now instead; raises as `cancel` does."""

    def getTime(self) -> float:
        """When the call is due, in seconds of the clock."""


class Clock(Protocol):
    """Monotonic time and timers (`twisted.internet.interfaces.IReactorTime`)."""

    def seconds(self) -> float:
        """The time now, in seconds since an arbitrary moment; it never steps back."""

    def callLater(self, delay: float, call: Callable[..., object], /, *arguments: object) -> Timer:
        """Call `call(*arguments)` in the reactor's thread, in a turn of its own, after `delay` seconds."""


def cancel_if_active(timer: Timer | None) -> None:
    """Cancel a timer, if there is one that hasn't run."""
    if timer is not None and timer.active():
        timer.cancel()
