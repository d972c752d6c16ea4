"""Types of the parts of a reactor: time alone, and time with connections.

`twisted.internet.reactor` and the simulations' reactors have all of them; `twisted.internet.task.Clock` is
the usual `Clock` of tests.
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


class TcpReactor(Clock, Protocol):
    """A clock that also dials (`twisted.internet.interfaces.IReactorTCP`); `net.sockets.dial` uses it."""

    def connectTCP(
        self, host: str, port: int, factory: object, timeout: float = 30, bindAddress: object = None
    ) -> object:
        """Connect to an address, and make a protocol with `factory` once connected."""


def cancel_if_active(timer: Timer) -> None:
    """Cancel a timer that may have run already."""
    if timer.active():
        timer.cancel()
