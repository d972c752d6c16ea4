"""The emulator's HTTP servers on loopback, for workers and discovery, with their failure modes."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.net import http1

BACKLOG = 64  # connections waiting to be accepted


class ServerConnection(Protocol):
    """A server-side connection: reads complete requests, writes responses."""

    transport: Any

    def __init__(self, serve: Serve, connections: set[ServerConnection]) -> None:
        self.serve, self.open = serve, connections
        self.reader = http1.RequestReader()
        self.unresponsive = False  # whether its machine is unreachable

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.open.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.unresponsive:
            return
        self.reader.feed(data)
        try:
            while isinstance(message := self.reader.next(), http1.Request):
                self.serve(self, message)
        except http1.HttpError:
            self.transport.abortConnection()

    def answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        if self.transport.connected and not self.unresponsive:
            self.transport.write(http1.response(status, b"", headers))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open.discard(self)


Serve = Callable[[ServerConnection, http1.Request], None]


class Server(Factory):
    """A server on a port that the system chooses."""

    noisy = False

    def __init__(self, reactor: Any, serve: Serve) -> None:
        self.serve = serve
        self.connections: set[ServerConnection] = set()
        self.reactor = reactor
        self.backlog_fillers: list[socket.socket] = []
        self.port: Any = reactor.listenTCP(0, self, BACKLOG, "127.0.0.1")
        self.number: int = self.port.getHost().port

    def buildProtocol(self, addr: Any) -> Protocol:
        return ServerConnection(self.serve, self.connections)

    def close(self) -> None:
        """The process dies: open connections are reset and new ones refused."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def open(self) -> None:
        if self.port is None:
            self.port = self.reactor.listenTCP(self.number, self, BACKLOG, "127.0.0.1")
        self.restore()

    def go_silent(self) -> None:
        """The machine becomes unreachable: open connections stay silent, new ones are never established."""
        for connection in self.connections:
            connection.unresponsive = True
        if self.port is not None:
            self.port.stopReading()
            # with its backlog filled, the kernel drops further connection attempts
            self.port.socket.listen(0)
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", self.number))
                self.backlog_fillers.append(sock)

    def restore(self) -> None:
        """The machine is reachable again: connections from before are reset."""
        if self.backlog_fillers and self.port is not None:
            for sock in self.backlog_fillers:
                sock.close()
            self.backlog_fillers.clear()
            self.port.socket.listen(BACKLOG)
            self.port.startReading()
        for connection in list(self.connections):
            if connection.unresponsive:
                connection.transport.abortConnection()
