"""Reused connections from the emulator to a node, with one request at a time on each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.net import http1

DIAL_TIMEOUT = 3  # s


class ClientConnection(Protocol):
    """A connection to a node: one request at a time."""

    transport: Any

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.reader = http1.ResponseReader()
        self.on_response: Callable[[http1.Response | None], None] | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def send(self, data: bytes, on_response: Callable[[http1.Response | None], None]) -> None:
        self.on_response = on_response
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except http1.HttpError:
            self.transport.abortConnection()
            return
        if isinstance(message, http1.Response) and self.on_response is not None:
            on_response, self.on_response = self.on_response, None
            if message.keep_alive:
                self.pool.idle.append(self)
            else:
                self.transport.loseConnection()
            on_response(message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        on_response, self.on_response = self.on_response, None
        if on_response is not None:
            on_response(None)


class ConnectionPool:
    """Reused connections to one node."""

    def __init__(self, reactor: Any, port: Callable[[], int]) -> None:
        self.reactor, self.port = reactor, port
        self.idle: list[ClientConnection] = []

    def send(
        self, data: bytes, on_response: Callable[[http1.Response | None], None],
        on_refused: Callable[[], None], on_connected: Callable[[ClientConnection], None],
    ) -> None:  # fmt: skip
        if self.idle:
            connection = self.idle.pop()
            on_connected(connection)
            connection.send(data, on_response)
            return
        factory: Any = Factory.forProtocol(lambda: ClientConnection(self))
        factory.noisy = False
        dialing = TCP4ClientEndpoint(self.reactor, "127.0.0.1", self.port(), DIAL_TIMEOUT).connect(factory)

        def connected(connection: Any) -> None:
            on_connected(connection)
            connection.send(data, on_response)

        dialing.addCallbacks(connected, lambda failure: on_refused())

    def close(self) -> None:
        for connection in list(self.idle):
            connection.transport.abortConnection()
        self.idle.clear()
