"""File system operations of the storage package, behind a protocol.

Tests and simulations replace it by one that loses, tears and refuses writes
(`testing/simulation/file_system.py`). All paths are relative to the data directory, with `/` between
directory and name; the empty path is the data directory itself.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600  # messages of clients are readable by the service's user only


class FileSystem(Protocol):
    """What the storage package needs of a file system. Every operation blocks and may raise `OSError`."""

    def make_directory(self, directory: str) -> None:
        """Make a directory where it is missing, and make its name durable."""

    def list_names(self, directory: str) -> list[str]:
        """Return the sorted names of the files in a directory."""

    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """Return `size` bytes from the offset on, or fewer up to the end of the file."""

    def size(self, path: str) -> int:
        """Return the length of a file in bytes."""

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        """Write all of `data`, to a new file where there is none. After an error any part may be written."""

    def truncate(self, path: str, size: int) -> None:
        """Set the length of a file in bytes; the file is made where it is missing."""

    def sync(self, path: str) -> None:
        """Make what was written to a file durable: it survives a loss of power."""

    def sync_directory(self, directory: str) -> None:
        """Make names that were added, renamed and removed in a directory durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, in place of a file of that name."""

    def remove(self, path: str) -> None:
        """Remove a file; no error where it is missing."""

    def close(self) -> None:
        """Close all files."""


class LocalFileSystem:
    """`FileSystem` on the operating system's files.

    A file that was written to stays open until it is renamed or removed, or until `close`.
    """

    def __init__(self, data_dir: Path) -> None:
        """Open no file yet; `data_dir` is the root of all paths."""
        self._root = data_dir
        self._descriptors: dict[str, int] = {}

    def make_directory(self, directory: str) -> None:
        """See `FileSystem`. One that exists is synced too: its maker may have died before its sync."""
        path = self._root / directory
        path.mkdir(parents=True, exist_ok=True)
        fsync_directory(path.parent)

    def list_names(self, directory: str) -> list[str]:
        """See `FileSystem`."""
        return sorted(os.listdir(self._root / directory))

    def read(self, path: str) -> bytes:
        """See `FileSystem`."""
        return (self._root / path).read_bytes()

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """See `FileSystem`."""
        with (self._root / path).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def size(self, path: str) -> int:
        """See `FileSystem`."""
        return os.stat(self._root / path).st_size

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        """See `FileSystem`."""
        descriptor = self._descriptor(path)
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, path: str, size: int) -> None:
        """See `FileSystem`."""
        os.ftruncate(self._descriptor(path), size)

    def sync(self, path: str) -> None:
        """See `FileSystem`."""
        os.fdatasync(self._descriptor(path))

    def sync_directory(self, directory: str) -> None:
        """See `FileSystem`."""
        fsync_directory(self._root / directory)

    def rename(self, old: str, new: str) -> None:
        """See `FileSystem`."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self._root / old, self._root / new)

    def remove(self, path: str) -> None:
        """See `FileSystem`."""
        self._close_file(path)
        (self._root / path).unlink(missing_ok=True)

    def close(self) -> None:
        """See `FileSystem`."""
        for path in list(self._descriptors):
            self._close_file(path)

    def _descriptor(self, path: str) -> int:
        descriptor = self._descriptors.get(path)
        if descriptor is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            descriptor = os.open(self._root / path, flags, FILE_MODE)
            self._descriptors[path] = descriptor
        return descriptor

    def _close_file(self, path: str) -> None:
        descriptor = self._descriptors.pop(path, None)
        if descriptor is not None:
            os.close(descriptor)


def fsync_directory(directory: Path) -> None:
    """Make names that were added, renamed or removed in a directory durable. Raises `OSError`."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
