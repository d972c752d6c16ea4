"""What waits to be written to a connection, and how much of it has left. Pure.

A message that was never handed to the system never arrived: only what still waits here may be taken back,
or be said not to have run. Pieces are handed over one at a time, so that it is known when each has
left."""

from __future__ import annotations

from collections import deque
from typing import Any

PIECE = 64 * 1024  # bytes handed to the system at a time, or one entry where it is longer


class Entry:
    """Bytes that belong together, and whose they are."""

    __slots__ = ("data", "handed", "mark")

    def __init__(self, data: bytes, mark: Any = None) -> None:
        self.data, self.mark = data, mark
        self.handed = False  # to the system, which may write it any time


class Outbox:
    """The entries of one connection, in order."""

    __slots__ = ("_handed", "_handed_size", "_waiting", "size")

    def __init__(self) -> None:
        self._waiting: deque[Entry] = deque()
        self._handed: list[Any] = []  # marks of the piece that is on its way
        self._handed_size = 0
        self.size = 0  # bytes that have not left yet

    def add(self, data: bytes, mark: Any = None) -> Entry:
        entry = Entry(data, mark)
        self._waiting.append(entry)
        self.size += len(data)
        return entry

    def withdraw(self, entry: Entry) -> bool:
        """Take an entry back; False where it is too late."""
        if entry.handed:
            return False
        self.size -= len(entry.data)
        entry.data, entry.mark = b"", None
        return True

    def take(self) -> bytes:
        """The next piece, which counts as handed over; empty where nothing waits."""
        parts, size = [], 0
        while self._waiting and (not size or size + len(self._waiting[0].data) <= PIECE):
            entry = self._waiting.popleft()
            entry.handed = True
            parts.append(entry.data)
            size += len(entry.data)
            if entry.mark is not None:
                self._handed.append(entry.mark)
        self._handed_size += size
        return b"".join(parts)

    def written(self) -> list[Any]:
        """All that was handed over has left: the marks that were in it."""
        marks, self._handed = self._handed, []
        self.size -= self._handed_size
        self._handed_size = 0
        return marks
