"""First-in-first-out queues of the messages of each order key."""

from __future__ import annotations

from collections import deque


class OrderQueues:
    """Request ids of queued messages by order key, in log order. Each operation is O(1) on average."""

    def __init__(self) -> None:
        """Create empty queues."""
        self._queues: dict[str, deque[str]] = {}
        self._removed: set[str] = set()  # ids that ended behind the head; dropped when they reach the head

    def append(self, key: str, request_id: str) -> None:
        """Add a message at the end of its key's queue."""
        self._queues.setdefault(key, deque()).append(request_id)

    def head(self, key: str) -> str | None:
        """Return the first message of a key, the only one that may be leased, or None."""
        queue = self._queues.get(key)
        return queue[0] if queue else None

    def remove(self, key: str, request_id: str) -> None:
        """Remove a message that has ended, at any position in its queue."""
        self._removed.add(request_id)
        queue = self._queues.get(key)
        while queue and queue[0] in self._removed:
            self._removed.discard(queue.popleft())
        if not queue:
            self._queues.pop(key, None)
