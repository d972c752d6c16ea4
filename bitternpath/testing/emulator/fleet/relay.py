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

DIAL_TIMEOUT = 3  # s
CHUNK_INTERVAL = 0.05  # s between pieces where a direction is slowed


class Direction(Struct):
    """What happens to bytes on the way; nothing, unless told."""

    blocked: bool = False
    delay: float = 0.0  # s
    rate: float = 0.0  # bytes a second; 0: as they come


class _RelayedConnection(Protocol):
    """One end of a relayed connection."""

    transport: Any

    def __init__(self, relay: Relay, direction: Direction) -> None:
        self.relay, self.direction = relay, direction  # the direction of what is read here
        self.peer: _RelayedConnection | None = None
        self._pending: list[bytes] = []
        self._delaying = False
        self.lost = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.relay.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.direction.blocked:
            return  # and with a piece lost the rest of it is of no use either
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
    """From one process to the port of another."""

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
        """Silently, in one direction or both; what is open stays open and dead."""
        self.forward.blocked, self.backward.blocked = forward, backward

    def repair(self) -> None:
        """All is well again; connections that lost bytes are reset, as their ends will find out."""
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
