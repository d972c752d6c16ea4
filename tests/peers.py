"""Peers on loopback whose connections a test accepts, reads and writes byte by byte."""

from __future__ import annotations

import select
import socket
from types import TracebackType


class Peer:
    """A listener whose connections are controlled by the test."""

    def __init__(self, backlog: int = 16) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.settimeout(20)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepted: list[socket.socket] = []

    def accept(self) -> socket.socket:
        connection, _ = self.listener.accept()
        connection.settimeout(20)
        self.accepted.append(connection)
        return connection

    def next_message(self) -> tuple[socket.socket, bytes]:
        """The connection with the next message, and the message; skips connections closed without one."""
        pending = list(self.accepted)
        while True:
            ready = select.select([self.listener, *pending], [], [], 20)[0]
            assert ready, "no message within 20 s"
            for sock in ready:
                if sock is self.listener:
                    pending.append(self.accept())
                elif received := message(sock):
                    return sock, received
                else:
                    pending.remove(sock)

    def __enter__(self) -> Peer:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: TracebackType | None) -> None:
        for sock in (*self.accepted, self.listener):
            sock.close()


class FullBacklogPeer(Peer):
    """A listener with a full backlog: new connections are established after `accept_queued`."""

    def __init__(self) -> None:
        super().__init__(backlog=0)
        self.queued: list[socket.socket] = []
        while not self.queued or select.select([], self.queued[-1:], [], 0.2)[1]:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.queued.append(sock)
        self.queued.pop().close()  # not established: the backlog is full

    def accept_queued(self) -> None:
        for _ in self.queued:
            self.accept()
        for sock in self.queued:
            sock.close()


def message(sock: socket.socket) -> bytes:
    """Read one message with Content-Length; a partial one if the peer closes early."""
    data = b""
    while b"\r\n\r\n" not in data and (data_received := sock.recv(1)):
        data += data_received
    lengths = [line for line in data.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    remaining = int(lengths[0].partition(b":")[2]) if lengths else 0
    while remaining > 0 and (data_received := sock.recv(remaining)):
        data, remaining = data + data_received, remaining - len(data_received)
    return data


def is_closed(sock: socket.socket) -> bool:
    """Whether the peer closes or resets the connection without sending another byte."""
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def respond(sock: socket.socket, status: int, *headers: str) -> None:
    lines = [f"HTTP/1.1 {status} x", "Content-Length: 0", *headers]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
