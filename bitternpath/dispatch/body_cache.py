"""Bodies of messages that this node has accepted, kept for their first lease."""

from __future__ import annotations

from bitternpath.transport.records import Message


class BodyCache:
    """Bodies by request id, bounded by their total size; the oldest are dropped first.

    An owner that grants the first lease to the node that accepted the message omits the body
    (`LeaseGrant.body_omitted`), which saves sending it back. A body that has been dropped meanwhile costs a
    second lease, with the body.
    """

    def __init__(self, max_bytes: int) -> None:
        self._bodies: dict[str, bytes] = {}
        self._max_bytes = max_bytes
        self._bytes = 0

    def add(self, message: Message) -> None:
        """Keep the body of a message, and drop the oldest bodies while there are too many bytes."""
        self._bodies[message.request_id] = message.body
        self._bytes += len(message.body)
        while self._bytes > self._max_bytes and self._bodies:
            oldest = next(iter(self._bodies))
            self._bytes -= len(self._bodies.pop(oldest))

    def pop(self, request_id: str) -> bytes | None:
        """The body, which is removed from the cache; None where it isn't there."""
        body = self._bodies.pop(request_id, None)
        if body is not None:
            self._bytes -= len(body)
        return body
