"""Ports for processes that are started later and restarted."""

from __future__ import annotations

import socket


class ReservedPort:
    """A loopback port that the system assigns to nobody else while it is reserved, though nobody listens on
    it.

    A port that is only looked up and released can be assigned to another process before the intended one
    listens: to a concurrent run, or as the local end of any connection. A bound socket that does not
    listen keeps it, and still lets a process bind that very port with SO_REUSEADDR (Linux, socket(7)).
    """

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.number = int(self._socket.getsockname()[1])

    def close(self) -> None:
        self._socket.close()
