"""Ports for processes that are started later, and again."""

from __future__ import annotations

import socket


class ReservedPort:
    """A port of loopback that the system gives to nobody else while it is held, though nobody listens there.

    A port that is only looked up and let go may be given to another process before its own one listens:
    to another run beside this one, or as the near end of any connection. A bound socket that does not
    listen keeps it, and leaves it to whoever binds that very port with SO_REUSEADDR (Linux, socket(7))."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.number = int(self._socket.getsockname()[1])

    def close(self) -> None:
        self._socket.close()
