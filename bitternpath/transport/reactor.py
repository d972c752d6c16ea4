"""The parts of Twisted's reactor that the system's nodes use, as protocols.

Twisted's own interfaces are zope interfaces, which type checkers can't check without a plugin. The
simulation's reactor and `twisted.internet.task.Clock` implement as much of these as the code under test
calls.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import Factory


class DelayedCall(Protocol):
    """A timer (`IDelayedCall`)."""

    def active(self) -> bool:
        """Whether it will be called still."""

    def cancel(self) -> None:
        """Don't call it; an error unless it is active."""

    def reset(self, seconds: float) -> None:
        """Call it that many seconds from now instead; an error unless it is active."""

    def getTime(self) -> float:
        """When it is due, by the reactor's clock."""


class ReactorTime(Protocol):
    """Clock and timers (`IReactorTime`)."""

    def seconds(self) -> float:
        """Seconds of a monotonic clock."""

    def callLater(self, delay: float, function: Callable[..., Any], *arguments: Any) -> DelayedCall:
        """Call a function after `delay` seconds."""


class Connector(Protocol):
    """An outgoing connection that is being made (`IConnector`)."""

    def stopConnecting(self) -> None:
        """Give the attempt up; an error where there is none."""


class ListeningPort(Protocol):
    """A listening socket (`IListeningPort`)."""

    def stopListening(self) -> Any:
        """Close it; a Deferred that fires once it is closed."""

    def getHost(self) -> Any:
        """Its address, with the attributes `host` and `port`."""


class Reactor(ReactorTime, Protocol):
    """Clock, timers and TCP (`IReactorTime`, `IReactorTCP`)."""

    def connectTCP(self, host: str, port: int, factory: Factory, timeout: float) -> Connector:
        """Connect; the factory is called for failures."""

    def listenTCP(self, port: int, factory: Factory, backlog: int, interface: str) -> ListeningPort:
        """Listen.

        Raises:
            CannotListenError: the port is taken, or the address isn't the machine's.
        """
