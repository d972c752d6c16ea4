"""The parts of Twisted's reactor that the roles use, as protocols for the type checker.

Twisted's own interfaces are zope interfaces, which a type checker can't follow. `twisted.internet.task.Clock`
and the simulation's virtual reactor satisfy these protocols as well.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from bitternpath.net.clock import TcpReactor
from bitternpath.storage.reactor import ThreadPoolReactor


class ScheduledCall(Protocol):
    """A call that `callLater` has scheduled (Twisted's `IDelayedCall`)."""

    def active(self) -> bool:
        """Whether the call is still to come: neither made nor cancelled."""

    def cancel(self) -> None:
        """Drop the call; raises where it isn't active."""

    def getTime(self) -> float:
        """When the call is due, in seconds of the reactor's clock."""


class ReactorTime(Protocol):
    """Monotonic time and timers (Twisted's `IReactorTime`)."""

    def seconds(self) -> float:
        """Seconds of a clock that never steps; its zero has no meaning."""

    def callLater(self, delay: float, call: Callable[..., object], *args: object) -> ScheduledCall:
        """Call `call(*args)` in a turn of its own, `delay` seconds (0 or more) from now."""


class ListeningPort(Protocol):
    """An open port (Twisted's `IListeningPort`)."""

    def stopListening(self) -> Any:
        """Accept nothing more."""


class NodeReactor(ReactorTime, TcpReactor, ThreadPoolReactor, Protocol):
    """A reactor that also listens, runs calls of other threads, and can be stopped."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Accept connections; raises `CannotListenError`."""

    def listenUDP(
        self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192
    ) -> ListeningPort:
        """Receive datagrams; raises `CannotListenError`."""

    def stop(self) -> Any:
        """End the reactor's loop, and with it the process."""


def cancel_call(call: ScheduledCall | None) -> None:
    """Cancel a scheduled call, if there is one that hasn't been made."""
    if call is not None and call.active():
        call.cancel()


class PeriodicCall:
    """Calls a function now and then every `interval` seconds, until it is stopped.

    The next call is scheduled before the function runs, so that a fault in one run doesn't end the series.
    """

    def __init__(self, reactor: ReactorTime, interval: float, call: Callable[[], None]) -> None:
        """`interval` in seconds; `start` makes the first call."""
        self._reactor = reactor
        self._interval = interval
        self._call = call
        self._scheduled: ScheduledCall | None = None

    def start(self) -> None:
        """Make the first call at once."""
        self._scheduled = self._reactor.callLater(self._interval, self.start)
        self._call()

    def stop(self) -> None:
        """Make no further calls."""
        cancel_call(self._scheduled)
