"""The interfaces of Twisted's reactor besides its clock, as protocols for the type checker.

The names of methods and their arguments are Twisted's. `twisted.internet.reactor` and the simulation's
reactor have all of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from bitternpath.net.clock import Clock


class Connector(Protocol):
    """An outgoing connection that is being made (`IConnector`)."""

    def stopConnecting(self) -> None:
        """Abort the attempt; raises an error if none is in progress."""


class ListeningPort(Protocol):
    """A listening socket (`IListeningPort`)."""

    def stopListening(self) -> Any:
        """Accept nothing more; a Deferred that fires once the socket is closed."""

    def getHost(self) -> Any:
        """Its address, with the attributes `host` and `port`."""


class TcpReactor(Clock, Protocol):
    """A clock that also dials and listens (`IReactorTCP`)."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None
    ) -> Connector:
        """Connect to an address; the factory makes a protocol once connected, and is called for failures."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Accept connections.

        Raises:
            CannotListenError: the port is in use, or the address isn't local.
        """


class ThreadCallReactor(Protocol):
    """Takes calls from other threads (`IReactorFromThreads`)."""

    def callFromThread(self, call: Callable[..., object], /, *arguments: object) -> object:
        """Call `call(*arguments)` in the reactor's thread soon; safe in any thread and signal handler."""


class ThreadPoolReactor(Clock, ThreadCallReactor, Protocol):
    """Has a pool of threads (`IReactorThreads`)."""

    def getThreadPool(self) -> Any:
        """The pool for blocking work (a `twisted.python.threadpool.ThreadPool`, or a stand-in)."""


class NodeReactor(TcpReactor, ThreadPoolReactor, Protocol):
    """All interfaces that a process needs, with datagrams and `stop`."""

    def listenUDP(
        self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192
    ) -> ListeningPort:
        """Receive datagrams; raises `CannotListenError`."""

    def stop(self) -> Any:
        """End the reactor's loop, and with it the process."""
