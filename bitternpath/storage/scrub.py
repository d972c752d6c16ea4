"""Reads files that were synced again, piece by piece, and checks them: damage is found while memory and the
other replicas still hold what the file held. Blocks; for the owner of the files."""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from bitternpath.storage.files import FileSystem
from bitternpath.storage.records import (
    SEGMENT_HEADER_BYTES,
    CorruptJournalError,
    decode_segment_header,
    read_frame,
)
from bitternpath.storage.snapshots import HEADER_BYTES, header_of

PIECE_BYTES = 256 << 10  # read at once: a batch that comes meanwhile waits a few milliseconds at most


class Check(Protocol):
    """Takes a file's bytes in order."""

    def add(self, piece: bytes) -> None:
        """The next ones."""

    def is_whole(self) -> bool:
        """Whether all of them were what was written."""


class SegmentCheck:
    """Whole records from the header to the end."""

    def __init__(self, path: str) -> None:
        self._path, self._rest = path, b""
        self._salt: int | None = None
        self._begun = False

    def add(self, piece: bytes) -> None:
        self._rest += piece
        if not self._begun and len(self._rest) >= SEGMENT_HEADER_BYTES:
            self._salt = decode_segment_header(self._rest)
            self._rest, self._begun = self._rest[SEGMENT_HEADER_BYTES:], True
        if self._salt is not None:
            self._rest = self._rest[self._whole_records(self._salt) :]

    def _whole_records(self, salt: int) -> int:
        offset = 0
        try:
            while (frame := read_frame(self._path, salt, self._rest, offset)) is not None:
                offset = frame.end
        except CorruptJournalError:
            pass  # what is left is no record
        return offset

    def is_whole(self) -> bool:
        return self._salt is not None and not self._rest


class SnapshotCheck:
    """A header that fits the data behind it."""

    def __init__(self) -> None:
        self._header, self._checksum, self._size = b"", 0, 0

    def add(self, piece: bytes) -> None:
        missing = HEADER_BYTES - len(self._header)
        self._header += piece[:missing]
        data = piece[missing:] if missing else piece
        self._checksum, self._size = zlib.crc32(data, self._checksum), self._size + len(data)

    def is_whole(self) -> bool:
        return self._header == header_of(self._checksum, self._size)


@dataclass(frozen=True, slots=True)
class Target:
    """A file, and up to where it was synced."""

    path: str
    size: int
    is_segment: bool


class Scrubber:
    """Goes round all files, a piece a step."""

    def __init__(self, files: FileSystem) -> None:
        self._files = files
        self._target: Target | None = None
        self._offset = 0
        self._next_after = ""  # path of the last one that was read whole
        self._check: Check = SnapshotCheck()

    def step(self, targets: Sequence[Target]) -> Target | None:
        """Read on; the file that was found damaged, if one was. `targets`: all files, in any order."""
        paths = {target.path for target in targets}
        if self._target is None or self._target.path not in paths:
            self._begin(targets)
        target = self._target
        if target is None:
            return None
        try:
            piece = self._files.read_range(
                target.path, self._offset, min(PIECE_BYTES, target.size - self._offset)
            )
        except OSError:
            piece = b""  # it can't be read: as bad as damaged
        self._check.add(piece)
        self._offset += len(piece)
        if piece and self._offset < target.size:
            return None
        damaged = self._offset < target.size or not self._check.is_whole()
        self._next_after = target.path
        self._target = None
        return target if damaged else None

    def _begin(self, targets: Sequence[Target]) -> None:
        """The next file by name, or the first one again."""
        ordered = sorted((target for target in targets if target.size), key=lambda target: target.path)
        later = [target for target in ordered if target.path > self._next_after]
        self._target = next(iter(later or ordered), None)
        self._offset = 0
        if self._target is not None:
            is_segment = self._target.is_segment
            self._check = SegmentCheck(self._target.path) if is_segment else SnapshotCheck()
