"""What waits to be written to a connection, and how much of it has left. Pure.

A message that was never handed to the system never arrived: only what still waits here may be taken back,
or be said not to have run. Pieces are handed over one at a time, so that it is known when each has
left."""

from __future__ import annotations

from collections import deque
from typing import Any

MAX_CHUNK_SIZE = 64 * 1024  # bytes handed to the system at a time, or one entry where it is longer


class Entry:
    """Bytes that belong together, and whose they are."""

    __slots__ = ("context", "data", "submitted")

    def __init__(self, data: bytes, context: Any = None) -> None:
        self.data, self.context = data, context
        self.submitted = False  # to the system, which may write it any time


class SendQueue:
    """The entries of one connection, in order."""

    __slots__ = ("_submitted_contexts", "_submitted_size", "_waiting", "size")

    def __init__(self) -> None:
        self._waiting: deque[Entry] = deque()
        self._submitted_contexts: list[Any] = []  # marks of the piece that is on its way
        self._submitted_size = 0
        self.size = 0  # bytes that have not left yet

    def add(self, data: bytes, context: Any = None) -> Entry:
        entry = Entry(data, context)
        self._waiting.append(entry)
        self.size += len(data)
        return entry

    def withdraw(self, entry: Entry) -> bool:
        """Take an entry back; False where it is too late."""
        if entry.submitted:
            return False
        self.size -= len(entry.data)
        entry.data, entry.context = b"", None
        return True

    def next_chunk(self) -> bytes:
        """The next piece, which counts as handed over; empty where nothing waits."""
        chunk, size = [], 0
        while self._waiting and (not size or size + len(self._waiting[0].data) <= MAX_CHUNK_SIZE):
            entry = self._waiting.popleft()
            entry.submitted = True
            chunk.append(entry.data)
            size += len(entry.data)
            if entry.context is not None:
                self._submitted_contexts.append(entry.context)
        self._submitted_size += size
        return b"".join(chunk)

    def chunk_written(self) -> list[Any]:
        """All that was handed over has left: the marks that were in it."""
        contexts, self._submitted_contexts = self._submitted_contexts, []
        self.size -= self._submitted_size
        self._submitted_size = 0
        return contexts
