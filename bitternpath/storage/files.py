"""File system operations of the storage package, behind a protocol.

Tests and simulations use an implementation that loses, tears and rejects writes
(`testing/simulation/file_system.py`). All paths are relative to the data directory, with `/` as separator;
the empty path is the data directory itself.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol

FILE_MODE = 0o600  # the files contain client messages, which only the service's user may read


class FileSystem(Protocol):
    """File system operations that the storage package uses. All of them block and may raise `OSError`."""

    def make_directory(self, directory: str) -> None:
        """Create a directory if it doesn't exist, and make its name durable."""

    def list_names(self, directory: str) -> list[str]:
        """Return the sorted names of the files in a directory."""

    def read(self, path: str) -> bytes:
        """Return the content of a file."""

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """Return `size` bytes starting at `offset`, or fewer if the file ends before."""

    def size(self, path: str) -> int:
        """Return the size of a file in bytes."""

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        """Write all of `data`; creates the file if it doesn't exist. A failed write may be partial."""

    def truncate(self, path: str, size: int) -> None:
        """Set the size of a file in bytes; creates the file if it doesn't exist."""

    def sync(self, path: str) -> None:
        """Make the content of a file durable, so that it survives a power loss."""

    def sync_directory(self, directory: str) -> None:
        """Make all additions, renames and removals of names in a directory durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; replaces an existing file with the new name."""

    def remove(self, path: str) -> None:
        """Remove a file; no error if it doesn't exist."""

    def close(self) -> None:
        """Close all files."""


class LocalFileSystem:
    """`FileSystem` on the operating system's files.

    A file is opened by the first write, truncation or sync, and closed when it is renamed or removed, or by
    `close`.
    """

    def __init__(self, data_dir: Path) -> None:
        """Create a file system with `data_dir` as root. Opens no files."""
        self._root = data_dir
        self._descriptors: dict[str, int] = {}

    def make_directory(self, directory: str) -> None:
        """See `FileSystem`.

        The parent of an existing directory is synced, too: the process that created the directory may have
        been killed before its own sync.
        """
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
    """Make all additions, renames and removals of names in a directory durable. Raises `OSError`."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
