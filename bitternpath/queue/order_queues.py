"""First-in-first-out queues of unended messages by order key."""

from __future__ import annotations

from collections import deque


class OrderQueues:
    """Request ids of unended messages, by order key, in log order. Each operation is O(1) on average."""

    def __init__(self) -> None:
        """Begin without messages."""
        self._queues: dict[str, deque[str]] = {}
        self._removed: set[str] = set()  # ended while not at the head; dropped once they get there

    def append(self, key: str, request_id: str) -> None:
        """Add a message behind all others of its key."""
        self._queues.setdefault(key, deque()).append(request_id)

    def head(self, key: str) -> str | None:
        """Return the only message of a key that may be leased; None where none waits."""
        queue = self._queues.get(key)
        return queue[0] if queue else None

    def remove(self, key: str, request_id: str) -> None:
        """Take out a message that has ended, wherever in the queue it is."""
        self._removed.add(request_id)
        queue = self._queues.get(key)
        while queue and queue[0] in self._removed:
            self._removed.discard(queue.popleft())
        if not queue:
            self._queues.pop(key, None)
