"""The part of a reactor that gives time: what code needs that sets timers but opens no connections.

`twisted.internet.reactor`, `twisted.internet.task.Clock` and the simulations' clocks all have it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Timer(Protocol):
    """One call that is due later (`twisted.internet.interfaces.IDelayedCall`)."""

    def active(self) -> bool:
        """Whether the call has neither been made nor cancelled."""

    def cancel(self) -> None:
        """Never make the call; raises `AlreadyCalled` or `AlreadyCancelled` where it isn't active."""


class Clock(Protocol):
    """Monotonic time and timers (`twisted.internet.interfaces.IReactorTime`)."""

    def seconds(self) -> float:
        """The time now, in seconds since an arbitrary moment."""

    def callLater(self, delay: float, call: Callable[..., object], *arguments: object) -> Timer:
        """Call `call(*arguments)` in the reactor's thread after `delay` seconds."""


def cancel_if_active(timer: Timer) -> None:
    """Cancel a timer that may have run already."""
    if timer.active():
        timer.cancel()
