"""HTTP servers of the world's on loopback: of workers and of discovery, with the ways in which they fail."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.net import http1

BACKLOG = 64  # connections that wait to be accepted


class ServerConnection(Protocol):
    """A connection to one of the world's servers: whole requests in, answers out."""

    transport: Any

    def __init__(self, serve: Serve, connections: set[ServerConnection]) -> None:
        self.serve, self.open = serve, connections
        self.reader = http1.RequestReader()
        self.unresponsive = False  # its machine is silent

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
    """A server of the world's on a port of the system's choosing."""

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
        """The process dies: connections are reset, new ones refused."""
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
        """The machine is gone from the network: connections stay open and silent, new ones never come up."""
        for connection in self.connections:
            connection.unresponsive = True
        if self.port is not None:
            self.port.stopReading()
            self.port.socket.listen(0)  # what the kernel would accept is filled: it drops the next ones
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", self.number))
                self.backlog_fillers.append(sock)

    def restore(self) -> None:
        """Back again: what was open is reset."""
        if self.backlog_fillers and self.port is not None:
            for sock in self.backlog_fillers:
                sock.close()
            self.backlog_fillers.clear()
            self.port.socket.listen(BACKLOG)
            self.port.startReading()
        for connection in list(self.connections):
            if connection.unresponsive:
                connection.transport.abortConnection()
