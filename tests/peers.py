"""Peers on loopback that do as a test says, byte by byte: they hold, cut and send at a named point."""

from __future__ import annotations

import select
import socket
from types import TracebackType


class Peer:
    """A listener whose connections the test accepts, reads and writes itself."""

    def __init__(self, backlog: int = 16) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=backlog)
        self.listener.settimeout(20)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.accepted: list[socket.socket] = []

    def accept(self) -> socket.socket:
        made, _ = self.listener.accept()
        made.settimeout(20)
        self.accepted.append(made)
        return made

    def asked(self) -> tuple[socket.socket, bytes]:
        """The next message on any connection, and that; those that end without one are passed over."""
        silent = list(self.accepted)
        while True:
            ready = select.select([self.listener, *silent], [], [], 20)[0]
            assert ready, "nobody asks"
            for sock in ready:
                if sock is self.listener:
                    silent.append(self.accept())
                elif got := message(sock):
                    return sock, got
                else:
                    silent.remove(sock)

    def __enter__(self) -> Peer:
        return self

    def __exit__(self, kind: type[BaseException] | None, error: object, trace: TracebackType | None) -> None:
        for sock in (*self.accepted, self.listener):
            sock.close()


class Crowded(Peer):
    """One that no new connection comes up at until the crowd in front of it is let in."""

    def __init__(self) -> None:
        super().__init__(backlog=0)
        self.crowd: list[socket.socket] = []
        while not self.crowd or select.select([], self.crowd[-1:], [], 0.2)[1]:
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.listener.getsockname())
            self.crowd.append(sock)
        self.crowd.pop().close()  # this one did not come up

    def let_in(self) -> None:
        for _ in self.crowd:
            self.accept()
        for sock in self.crowd:
            sock.close()


def message(sock: socket.socket) -> bytes:
    """One message with a length and its body; what has come where the other side closes before its end."""
    data = b""
    while b"\r\n\r\n" not in data and (more := sock.recv(1)):
        data += more
    lengths = [line for line in data.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    left = int(lengths[0].partition(b":")[2]) if lengths else 0
    while left > 0 and (more := sock.recv(left)):
        data, left = data + more, left - len(more)
    return data


def ended(sock: socket.socket) -> bool:
    """Whether the other side ends the connection, in order or not, without another byte."""
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def answer(sock: socket.socket, status: int, *headers: str) -> None:
    lines = [f"HTTP/1.1 {status} x", "Content-Length: 0", *headers]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
