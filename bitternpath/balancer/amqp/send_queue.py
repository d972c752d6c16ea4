"""Queue of bytes to be written to a connection, with confirmation of what was written. No I/O.

An entry that was never submitted to the transport cannot have reached the peer: only such an entry can be
withdrawn, and only its request is known not to have run. Chunks are submitted one at a time, so that the
completion of each write is known.
"""

from __future__ import annotations

from collections import deque
from typing import Any

MAX_CHUNK_SIZE = 64 * 1024  # bytes submitted at a time; a longer entry is a chunk of its own


class Entry:
    """Bytes that are written together, and a context object that `chunk_written` returns."""

    __slots__ = ("context", "data", "submitted")

    def __init__(self, data: bytes, context: Any = None) -> None:
        self.data, self.context = data, context
        self.submitted = False  # to the transport, which may write it any time


class SendQueue:
    """Entries of one connection, in order of sending."""

    __slots__ = ("_submitted_contexts", "_submitted_size", "_waiting", "size")

    def __init__(self) -> None:
        self._waiting: deque[Entry] = deque()
        self._submitted_contexts: list[Any] = []  # contexts of the chunk that is being written
        self._submitted_size = 0
        self.size = 0  # bytes that are not written yet

    def add(self, data: bytes, context: Any = None) -> Entry:
        entry = Entry(data, context)
        self._waiting.append(entry)
        self.size += len(data)
        return entry

    def withdraw(self, entry: Entry) -> bool:
        """Remove an entry; False if it was submitted already."""
        if entry.submitted:
            return False
        self.size -= len(entry.data)
        entry.data, entry.context = b"", None
        return True

    def next_chunk(self) -> bytes:
        """Return the next chunk and mark its entries as submitted; empty if none waits."""
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
        """Record that the submitted chunk was written; returns the contexts of its entries."""
        contexts, self._submitted_contexts = self._submitted_contexts, []
        self.size -= self._submitted_size
        self._submitted_size = 0
        return contexts
