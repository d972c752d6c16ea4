"""The receive buffer of a connection."""

from __future__ import annotations

from struct import Struct
from typing import Any

COMPACTION_THRESHOLD = 4096  # consumed bytes from which the remaining bytes are moved to the start


class Buffer:
    """A growing bytearray with a read position; consumed bytes are deleted in place."""

    __slots__ = ("_data", "_start")

    def __init__(self) -> None:
        self._data = bytearray()
        self._start = 0

    def __len__(self) -> int:
        return len(self._data) - self._start

    def append(self, data: bytes) -> None:
        if self._start >= COMPACTION_THRESHOLD or self._start == len(self._data):
            del self._data[: self._start]
            self._start = 0
        self._data += data

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Index of `pattern` at or after `start`, relative to the first unread byte; -1 if not found."""
        index = self._data.find(pattern, self._start + start)
        return index if index < 0 else index - self._start

    def peek(self, count: int) -> bytes:
        """Return up to `count` bytes without removing them."""
        return bytes(self._data[self._start : self._start + count])

    def unpack(self, struct: Struct) -> tuple[Any, ...]:
        """Remove the bytes of a struct, all of which must be buffered, and return its values."""
        values = struct.unpack_from(self._data, self._start)
        self._start += struct.size
        return values

    def take(self, count: int) -> bytes:
        """Remove and return up to `count` bytes."""
        end = min(self._start + count, len(self._data))
        data = bytes(memoryview(self._data)[self._start : end])
        self._start = end
        return data
