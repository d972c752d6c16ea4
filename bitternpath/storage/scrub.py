"""Checksum scrub: rereads synced files in chunks and verifies them.

This detects corruption while the file's content still exists in memory and on other replicas. All operations
block and must run in the thread that owns the files.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.files import FileSystem
from bitternpath.storage.record_format import SEGMENT_HEADER_BYTES, decode_segment_header, read_frame
from bitternpath.storage.snapshots import HEADER_BYTES as SNAPSHOT_HEADER_BYTES
from bitternpath.storage.snapshots import encode_header as encode_snapshot_header

CHUNK_BYTES = 256 << 10  # a batch that arrives during the read of a chunk is delayed by a few milliseconds


class FileVerifier(Protocol):
    """Verifies the content of one file incrementally."""

    def update(self, chunk: bytes) -> None:
        """Process the next bytes of the file."""

    def is_intact(self) -> bool:
        """Whether all bytes processed so far form a valid file."""


class SegmentVerifier:
    """Verifies that a segment consists of a header and intact records."""

    def __init__(self, path: str) -> None:
        """Create a verifier; `path` is the file's path for error messages."""
        self._path = path
        self._unverified = b""
        self._salt: int | None = None
        self._header_read = False

    def update(self, chunk: bytes) -> None:
        """Process the next bytes; an incomplete record is buffered until the next chunk."""
        self._unverified += chunk
        if not self._header_read and len(self._unverified) >= SEGMENT_HEADER_BYTES:
            self._salt = decode_segment_header(self._unverified)
            self._unverified = self._unverified[SEGMENT_HEADER_BYTES:]
            self._header_read = True
        if self._salt is not None:
            self._unverified = self._unverified[self._intact_bytes(self._salt) :]

    def _intact_bytes(self, salt: int) -> int:
        offset = 0
        with suppress(CorruptJournalError):  # the remaining bytes then count as unverified
            while (frame := read_frame(self._path, salt, self._unverified, offset)) is not None:
                offset = frame.end
        return offset

    def is_intact(self) -> bool:
        """Whether the header is intact and only intact records follow it."""
        return self._salt is not None and not self._unverified


class SnapshotVerifier:
    """Verifies that a snapshot's header matches its data."""

    def __init__(self) -> None:
        """Create a verifier that has processed no bytes."""
        self._header = b""
        self._checksum = 0
        self._size = 0

    def update(self, chunk: bytes) -> None:
        """Process the next bytes, starting with the header."""
        missing = SNAPSHOT_HEADER_BYTES - len(self._header)
        self._header += chunk[:missing]
        data = chunk[missing:] if missing else chunk
        self._checksum = zlib.crc32(data, self._checksum)
        self._size += len(data)

    def is_intact(self) -> bool:
        """Whether the header matches the checksum and the length of the data."""
        return self._header == encode_snapshot_header(self._checksum, self._size)


@dataclass(frozen=True, slots=True)
class ScrubTarget:
    """A file to be verified.

    Attributes:
        path: path of the file, relative to the data directory.
        size: synced size in bytes.
        is_segment: whether the file is a segment; otherwise it is a snapshot.
    """

    path: str
    size: int
    is_segment: bool

    def verifier(self) -> FileVerifier:
        """Return a new verifier for this type of file."""
        return SegmentVerifier(self.path) if self.is_segment else SnapshotVerifier()


class Scrubber:
    """Verifies all files in the order of their paths, repeatedly, one chunk per step."""

    def __init__(self, files: FileSystem) -> None:
        """Create a scrubber that starts with the first file by path."""
        self._files = files
        self._target: ScrubTarget | None = None  # the file being verified
        self._verifier: FileVerifier = SnapshotVerifier()  # replaced for each target
        self._offset = 0  # offset of the next chunk in the target
        self._last_verified = ""  # path of the last file that was verified completely

    def step(self, targets: Sequence[ScrubTarget]) -> ScrubTarget | None:
        """Read and verify one chunk.

        Args:
            targets: all current files, in any order.

        Returns:
            The file if this step found it corrupt or unreadable, else None.
        """
        paths = {target.path for target in targets}
        if self._target is None or self._target.path not in paths:
            self._select_next(targets)
        target = self._target
        if target is None:
            return None
        chunk = self._read_chunk(target)
        self._verifier.update(chunk)
        self._offset += len(chunk)
        if chunk and self._offset < target.size:
            return None
        is_corrupt = self._offset < target.size or not self._verifier.is_intact()
        self._last_verified = target.path
        self._target = None
        return target if is_corrupt else None

    def _read_chunk(self, target: ScrubTarget) -> bytes:
        size = min(CHUNK_BYTES, target.size - self._offset)
        try:
            return self._files.read_range(target.path, self._offset, size)
        except OSError:
            return b""

    def _select_next(self, targets: Sequence[ScrubTarget]) -> None:
        """Select the next file by path, and the first file after the last."""
        ordered = sorted((target for target in targets if target.size), key=lambda target: target.path)
        later = [target for target in ordered if target.path > self._last_verified]
        self._target = next(iter(later or ordered), None)
        self._offset = 0
        if self._target is not None:
            self._verifier = self._target.verifier()
