"""Writes to a connection immediately, without waiting for a reactor turn.

Twisted buffers writes until the reactor reports that the socket is writable: two calls of `epoll_ctl`, one of
`epoll_wait` and a reactor turn for each record. Nearly always the socket accepts the data immediately. Data
still buffered when the reactor stops is lost.
"""

from __future__ import annotations

from typing import Any


def has_unsent(transport: Any) -> bool:
    """Whether written bytes are still buffered in the transport; False for simulated transports."""
    return bool(getattr(transport, "dataBuffer", b"") or getattr(transport, "_tempDataLen", 0))


def write_now(transport: Any, data: bytes) -> None:
    """Write `data` to the socket; the rest of a partial write, and errors, go through `transport.write`.

    Uses only `transport.write` if bytes are buffered already, to keep their order, and for transports without
    `writeSomeData` (simulated ones).
    """
    write_some = getattr(transport, "writeSomeData", None)
    if write_some is None or has_unsent(transport) or not transport.connected:
        transport.write(data)
        return
    result = write_some(data)
    written = (
        result if isinstance(result, int) else 0
    )  # an error: the next write reports it through the reactor
    if written < len(data):
        transport.write(data[written:] if written else data)
