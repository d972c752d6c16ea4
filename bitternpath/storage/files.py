"""File operations of the write-ahead log, behind a protocol so that tests can lose, tear and refuse writes.

All paths are relative to the data directory, with `/` between folder and name.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class FileSystem(Protocol):
    """What the journal asks of a disk. Every operation blocks and may raise `OSError`."""

    def make_directory(self, folder: str) -> None:
        """Make it where it is missing, and persist its name."""

    def list_names(self, folder: str) -> list[str]:
        """Names of the files in a folder."""

    def read(self, path: str) -> bytes:
        """The whole file."""

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        """That many bytes from the offset on, or up to the end of the file."""

    def size(self, path: str) -> int:
        """Length in bytes."""

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        """Write all of `data`; the file is made where it is missing. After an error any part may be there."""

    def truncate(self, path: str, size: int) -> None:
        """Set the length."""

    def sync(self, path: str) -> None:
        """What was written to the file survives a loss of power."""

    def sync_directory(self, folder: str) -> None:
        """Names made, renamed and removed in the folder survive a loss of power."""

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of a file that has it."""

    def remove(self, path: str) -> None:
        """Remove a file; no error where it is missing."""

    def close(self) -> None:
        """Close all files."""


class LocalFileSystem:
    """`FileSystem` on the operating system's files. What is written stays open until renamed or removed."""

    def __init__(self, data_dir: Path) -> None:
        self._root = data_dir
        self._open: dict[str, int] = {}

    def make_directory(self, folder: str) -> None:
        path = self._root / folder
        path.mkdir(parents=True, exist_ok=True)
        self._sync_directory(path.parent)  # also one that is there: its maker may have died before its sync

    def list_names(self, folder: str) -> list[str]:
        return sorted(os.listdir(self._root / folder))

    def read(self, path: str) -> bytes:
        return (self._root / path).read_bytes()

    def read_range(self, path: str, offset: int, size: int) -> bytes:
        with (self._root / path).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def size(self, path: str) -> int:
        return os.stat(self._root / path).st_size

    def write_at(self, path: str, offset: int, data: bytes) -> None:
        descriptor = self._descriptor(path)
        view = memoryview(data)
        while view:
            written = os.pwrite(descriptor, view, offset)
            offset += written
            view = view[written:]

    def truncate(self, path: str, size: int) -> None:
        os.ftruncate(self._descriptor(path), size)

    def sync(self, path: str) -> None:
        os.fdatasync(self._descriptor(path))

    def sync_directory(self, folder: str) -> None:
        self._sync_directory(self._root / folder)

    def rename(self, old: str, new: str) -> None:
        self._forget(old)
        self._forget(new)
        os.rename(self._root / old, self._root / new)

    def remove(self, path: str) -> None:
        self._forget(path)
        (self._root / path).unlink(missing_ok=True)

    def close(self) -> None:
        for path in list(self._open):
            self._forget(path)

    def _descriptor(self, path: str) -> int:
        descriptor = self._open.get(path)
        if descriptor is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
            descriptor = self._open[path] = os.open(self._root / path, flags, 0o600)
        return descriptor

    def _forget(self, path: str) -> None:
        descriptor = self._open.pop(path, None)
        if descriptor is not None:
            os.close(descriptor)

    @staticmethod
    def _sync_directory(path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
