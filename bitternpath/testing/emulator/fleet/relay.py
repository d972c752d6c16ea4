"""The way from one process to another, through which a scenario can do what networks do (Twisted).

A relay listens on a port of its own and dials the process behind it. Each direction of it can be cut silently
(what is sent is lost, and nobody is told), delayed, or slowed to some bytes a second; connections can be
reset, and new ones held half open.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec import Struct
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

DIAL_WITHIN = 3  # s
PIECES = 0.05  # s between pieces where a direction is slowed


class Direction(Struct):
    """What happens to bytes on the way; nothing, unless told."""

    cut: bool = False
    delay: float = 0.0  # s
    rate: float = 0.0  # bytes a second; 0: as they come


class _End(Protocol):
    """One end of a relayed connection."""

    transport: Any

    def __init__(self, relay: Relay, way: Direction) -> None:
        self.relay, self.way = relay, way  # the direction of what is read here
        self.other: _End | None = None
        self._waiting: list[bytes] = []
        self._busy = False
        self.lost = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.relay.ends.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.way.cut:
            return  # and with a piece lost the rest of it is of no use either
        self._waiting.append(data)
        self._pump()

    def _pump(self) -> None:
        if self._busy or not self._waiting or self.other is None:
            return
        data = self._waiting.pop(0)
        wait = self.way.delay
        if self.way.rate:
            most = max(int(self.way.rate * PIECES), 1)
            if len(data) > most:
                self._waiting.insert(0, data[most:])
                data = data[:most]
            wait += len(data) / self.way.rate
        if wait:
            self._busy = True
            self.relay.reactor.callLater(wait, self._pass, data)
        else:
            self._pass(data)

    def _pass(self, data: bytes) -> None:
        self._busy = False
        if self.other is not None and not self.other.lost and not self.way.cut:
            self.other.transport.write(data)
        self._pump()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        self.relay.ends.discard(self)
        if self.other is not None and not self.other.lost and not self.way.cut:
            self.other.transport.loseConnection()


class Relay:
    """From one process to the port of another."""

    def __init__(self, reactor: Any, target: Callable[[], int]) -> None:
        self.reactor, self.target = reactor, target
        self.there, self.back = Direction(), Direction()
        self.half_open = False
        self.ends: set[_End] = set()
        factory: Any = _Accepting(self)
        self.port: Any = reactor.listenTCP(0, factory, 64, "127.0.0.1")
        self.number: int = self.port.getHost().port

    def accept(self) -> Protocol:
        near, far = _End(self, self.there), _End(self, self.back)

        def dialled(_: object) -> None:
            near.other, far.other = far, near
            if near.lost:
                far.transport.loseConnection()
            near._pump()

        def refused(_: object) -> None:
            if not near.lost:
                near.transport.abortConnection()

        if not self.half_open and not self.there.cut:
            endpoint: Any = TCP4ClientEndpoint(self.reactor, "127.0.0.1", self.target(), DIAL_WITHIN)
            endpoint.connect(_Dialled(far)).addCallbacks(dialled, refused)
        return near

    def cut(self, there: bool, back: bool) -> None:
        """Silently, in one direction or both; what is open stays open and dead."""
        self.there.cut, self.back.cut = there, back

    def mend(self) -> None:
        """All is well again; connections that lost bytes are reset, as their ends will find out."""
        was = self.there.cut or self.back.cut or self.half_open
        for way in (self.there, self.back):
            way.cut, way.delay, way.rate = False, 0.0, 0.0
        self.half_open = False
        if was:
            self.reset()

    def reset(self) -> None:
        for end in list(self.ends):
            end.transport.abortConnection()

    def close(self) -> None:
        self.port.stopListening()
        self.reset()


class _Accepting(Factory):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.relay.accept()


class _Dialled(Factory):
    noisy = False

    def __init__(self, end: _End) -> None:
        self.end = end

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.end
