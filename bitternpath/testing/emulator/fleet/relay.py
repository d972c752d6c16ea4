"""A TCP relay between two processes that emulates network faults (Twisted).

A relay listens on its own port and dials the process behind it. Each direction can be blocked silently
(data is lost without a reset), delayed, or limited in rate; connections can be reset, and new ones left
half open.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec import Struct
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

DIAL_TIMEOUT = 3  # s
CHUNK_INTERVAL = 0.05  # s between chunks while a rate limit is set


class Direction(Struct):
    """The fault state of one direction; by default data passes unchanged."""

    blocked: bool = False
    delay: float = 0.0  # s
    rate: float = 0.0  # bytes per second; 0: no limit


class _RelayedConnection(Protocol):
    """One side of a relayed connection."""

    transport: Any

    def __init__(self, relay: Relay, direction: Direction) -> None:
        self.relay, self.direction = relay, direction  # `direction` applies to data read on this side
        self.peer: _RelayedConnection | None = None
        self._pending: list[bytes] = []
        self._delaying = False
        self.lost = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.relay.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.direction.blocked:
            return  # after lost bytes the rest of the stream is useless as well
        self._pending.append(data)
        self._forward_next()

    def _forward_next(self) -> None:
        if self._delaying or not self._pending or self.peer is None:
            return
        data = self._pending.pop(0)
        wait = self.direction.delay
        if self.direction.rate:
            chunk_size = max(int(self.direction.rate * CHUNK_INTERVAL), 1)
            if len(data) > chunk_size:
                self._pending.insert(0, data[chunk_size:])
                data = data[:chunk_size]
            wait += len(data) / self.direction.rate
        if wait:
            self._delaying = True
            self.relay.reactor.callLater(wait, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        self._delaying = False
        if self.peer is not None and not self.peer.lost and not self.direction.blocked:
            self.peer.transport.write(data)
        self._forward_next()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.lost = True
        self.relay.connections.discard(self)
        if self.peer is not None and not self.peer.lost and not self.direction.blocked:
            self.peer.transport.loseConnection()


class Relay:
    """A relay to the port of one process."""

    def __init__(self, reactor: Any, target: Callable[[], int]) -> None:
        self.reactor, self.target = reactor, target
        self.forward, self.backward = Direction(), Direction()
        self.half_open = False
        self.connections: set[_RelayedConnection] = set()
        factory: Any = _ListenerFactory(self)
        self.port: Any = reactor.listenTCP(0, factory, 64, "127.0.0.1")
        self.number: int = self.port.getHost().port

    def accept(self) -> Protocol:
        client_side, server_side = (
            _RelayedConnection(self, self.forward),
            _RelayedConnection(self, self.backward),
        )

        def connected(_: object) -> None:
            client_side.peer, server_side.peer = server_side, client_side
            if client_side.lost:
                server_side.transport.loseConnection()
            client_side._forward_next()

        def refused(_: object) -> None:
            if not client_side.lost:
                client_side.transport.abortConnection()

        if not self.half_open and not self.forward.blocked:
            endpoint: Any = TCP4ClientEndpoint(self.reactor, "127.0.0.1", self.target(), DIAL_TIMEOUT)
            endpoint.connect(_DialFactory(server_side)).addCallbacks(connected, refused)
        return client_side

    def block(self, forward: bool, backward: bool) -> None:
        """Blocks one direction or both silently; open connections stay open without data."""
        self.forward.blocked, self.backward.blocked = forward, backward

    def repair(self) -> None:
        """Ends all faults; resets the connections if bytes may have been lost."""
        had_fault = self.forward.blocked or self.backward.blocked or self.half_open
        for direction in (self.forward, self.backward):
            direction.blocked, direction.delay, direction.rate = False, 0.0, 0.0
        self.half_open = False
        if had_fault:
            self.reset()

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def close(self) -> None:
        self.port.stopListening()
        self.reset()


class _ListenerFactory(Factory):
    noisy = False

    def __init__(self, relay: Relay) -> None:
        self.relay = relay

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.relay.accept()


class _DialFactory(Factory):
    noisy = False

    def __init__(self, connection: _RelayedConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.connection
