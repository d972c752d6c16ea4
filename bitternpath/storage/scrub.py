"""Checksum scrub: reads synced files again, chunk by chunk, and verifies them.

Corruption is found this way while memory and the other replicas still have the file's content. Blocks; for
the thread that owns the files.
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

CHUNK_BYTES = 256 << 10  # read at once: a batch that arrives meanwhile waits a few milliseconds at most


class FileVerifier(Protocol):
    """Verifies one file, whose bytes it gets in order."""

    def update(self, chunk: bytes) -> None:
        """Take the next bytes."""

    def is_intact(self) -> bool:
        """Whether all bytes so far are what was written."""


class SegmentVerifier:
    """Expects a segment's header and intact records up to the end."""

    def __init__(self, path: str) -> None:
        """Begin with the file at `path`, which errors name."""
        self._path = path
        self._unverified = b""
        self._salt: int | None = None
        self._header_read = False

    def update(self, chunk: bytes) -> None:
        """Take the next bytes; the rest of a record that isn't complete yet waits for the next chunk."""
        self._unverified += chunk
        if not self._header_read and len(self._unverified) >= SEGMENT_HEADER_BYTES:
            self._salt = decode_segment_header(self._unverified)
            self._unverified = self._unverified[SEGMENT_HEADER_BYTES:]
            self._header_read = True
        if self._salt is not None:
            self._unverified = self._unverified[self._intact_bytes(self._salt) :]

    def _intact_bytes(self, salt: int) -> int:
        offset = 0
        with suppress(CorruptJournalError):  # then what is left is no record
            while (frame := read_frame(self._path, salt, self._unverified, offset)) is not None:
                offset = frame.end
        return offset

    def is_intact(self) -> bool:
        """Whether there was a header, and nothing but records behind it."""
        return self._salt is not None and not self._unverified


class SnapshotVerifier:
    """Expects a snapshot's header that fits the data behind it."""

    def __init__(self) -> None:
        """Begin with a file."""
        self._header = b""
        self._checksum = 0
        self._size = 0

    def update(self, chunk: bytes) -> None:
        """Take the next bytes, those of the header first."""
        missing = SNAPSHOT_HEADER_BYTES - len(self._header)
        self._header += chunk[:missing]
        data = chunk[missing:] if missing else chunk
        self._checksum = zlib.crc32(data, self._checksum)
        self._size += len(data)

    def is_intact(self) -> bool:
        """Whether the header has the checksum and the length of the data."""
        return self._header == encode_snapshot_header(self._checksum, self._size)


@dataclass(frozen=True, slots=True)
class ScrubTarget:
    """A file to be verified.

    Attributes:
        path: the file.
        size: bytes up to which it was synced.
        is_segment: a segment, else a snapshot.
    """

    path: str
    size: int
    is_segment: bool

    def verifier(self) -> FileVerifier:
        """Make the verifier for the kind of file."""
        return SegmentVerifier(self.path) if self.is_segment else SnapshotVerifier()


class Scrubber:
    """Verifies all files in turn, ordered by path, one chunk a step."""

    def __init__(self, files: FileSystem) -> None:
        """Begin with the first file by path."""
        self._files = files
        self._target: ScrubTarget | None = None  # being read
        self._verifier: FileVerifier = SnapshotVerifier()  # of the target
        self._offset = 0  # in the target
        self._last_verified = ""  # path

    def step(self, targets: Sequence[ScrubTarget]) -> ScrubTarget | None:
        """Read one chunk.

        Args:
            targets: all files that there are now, in any order.

        Returns:
            The file that this step found to be corrupt; a file that can't be read counts as that.
        """
        paths = {target.path for target in targets}
        if self._target is None or self._target.path not in paths:
            self._begin_next(targets)
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

    def _begin_next(self, targets: Sequence[ScrubTarget]) -> None:
        """Choose the next file by path; behind the last one, the first one again."""
        ordered = sorted((target for target in targets if target.size), key=lambda target: target.path)
        later = [target for target in ordered if target.path > self._last_verified]
        self._target = next(iter(later or ordered), None)
        self._offset = 0
        if self._target is not None:
            self._verifier = self._target.verifier()
