"""Writes to a connection without a turn of the reactor in between.

Twisted keeps what a protocol writes until the reactor says that the socket takes it: two calls of
`epoll_ctl`, one of `epoll_wait` and a turn of the reactor for each record. Nearly always the socket takes it
at once. What waits when the reactor stops is lost.
"""

from __future__ import annotations

from typing import Any


def has_unsent(transport: Any) -> bool:
    """Whether bytes that were written wait for the socket to take them; False for simulated transports."""
    return bool(getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataLen", 0))


def write_now(transport: Any, data: bytes) -> None:
    """Hand `data` to the socket; what it doesn't take now goes the usual way, and so do errors.

    Falls back to `transport.write` where bytes wait already, as order matters, and for transports that have
    no such call (simulated ones).
    """
    write_some = getattr(transport, "writeSomeData", None)
    if write_some is None or has_unsent(transport) or not transport.connected:
        transport.write(data)
        return
    result = write_some(data)
    written = result if isinstance(result, int) else 0  # an error: the next write meets it in the reactor
    if written < len(data):
        transport.write(data[written:] if written else data)
