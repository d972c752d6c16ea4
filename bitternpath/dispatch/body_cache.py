"""Cache of the bodies of messages that this node has accepted, for their first lease."""

from __future__ import annotations

from bitternpath.transport.records import Message


class BodyCache:
    """Bodies by request id, bounded by their total size; the oldest are evicted first.

    An owner that grants the first lease to the node that accepted the message omits the body
    (`LeaseGrant.body_omitted`), which saves sending it back. If the body has been evicted by then, the
    message needs a second lease, with the body.
    """

    def __init__(self, max_bytes: int) -> None:
        self._bodies: dict[str, bytes] = {}
        self._max_bytes = max_bytes
        self._bytes = 0

    def add(self, message: Message) -> None:
        """Add the body of a message, and evict the oldest bodies until the total size fits."""
        self._bodies[message.request_id] = message.body
        self._bytes += len(message.body)
        while self._bytes > self._max_bytes and self._bodies:
            oldest = next(iter(self._bodies))
            self._bytes -= len(self._bodies.pop(oldest))

    def pop(self, request_id: str) -> bytes | None:
        """Remove and return a body; None if it isn't in the cache."""
        body = self._bodies.pop(request_id, None)
        if body is not None:
            self._bytes -= len(body)
        return body
