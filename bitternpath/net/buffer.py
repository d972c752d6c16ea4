"""The one buffer of a connection."""

from __future__ import annotations

from struct import Struct
from typing import Any

COMPACTION_THRESHOLD = 4096  # consumed bytes at the front that are worth moving the rest for


class Buffer:
    """A bytearray that grows as it needs; what was taken is dropped from its front in place."""

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
        """Where `pattern` begins at or after `start`, from the first byte not taken; -1 if nowhere."""
        index = self._data.find(pattern, self._start + start)
        return index if index < 0 else index - self._start

    def peek(self, count: int) -> bytes:
        """The first `count` bytes, or all where there are fewer, without removing them."""
        return bytes(self._data[self._start : self._start + count])

    def unpack(self, struct: Struct) -> tuple[Any, ...]:
        """Remove what a struct takes, which must be there, and return its values."""
        values = struct.unpack_from(self._data, self._start)
        self._start += struct.size
        return values

    def take(self, count: int) -> bytes:
        """Remove and return the first `count` bytes, or all where there are fewer."""
        end = min(self._start + count, len(self._data))
        data = bytes(memoryview(self._data)[self._start : end])
        self._start = end
        return data
