"""The data folder of a node as its role uses it, behind a protocol so that a simulation can give another."""

from __future__ import annotations

from contextlib import closing
from pathlib import Path
from typing import Any, Protocol

from bitternpath.storage.documents import CorruptDocumentError, load_document, remove_document, store_document
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.identity import (
    finish_quarantine,
    load_identity,
    quarantine_content,
    quarantine_folders,
)
from bitternpath.storage.journal import Journal, open_journal


class NodeDisk(Protocol):
    """Identity, journal and documents of one data folder. Every operation blocks, and may raise `OSError`."""

    def load_identity(self) -> str:
        """The disk's identity, drawn where it has none. Nothing is read of a disk before this."""

    def open_journal(self, reactor: Any, checkpoint_bytes: int) -> Journal:
        """Load the write-ahead log and start its runner; raises `CorruptJournalError`."""

    def read_document(self, name: str) -> bytes | None:
        """A document's content, None where there is none; raises `CorruptDocumentError`."""

    def write_document(self, name: str, content: bytes) -> None:
        """Replace a document; it is on disk when this returns."""

    def remove_document(self, name: str) -> None:
        """Remove a document; no error where it is missing."""

    def was_quarantined(self) -> bool:
        """Whether content of this disk was set aside as damaged: then it isn't in its first life."""

    def quarantine_content(self, max_bytes: int | None) -> str:
        """Set all content aside as damaged; the name of the folder that has it."""


class LocalDisk:
    """`NodeDisk` on the operating system's files."""

    def __init__(self, data_dir: Path) -> None:
        self._data_dir = data_dir

    def load_identity(self) -> str:
        finish_quarantine(self._data_dir)
        return load_identity(self._data_dir)

    def open_journal(self, reactor: Any, checkpoint_bytes: int) -> Journal:
        return open_journal(self._data_dir, reactor, checkpoint_bytes)

    def read_document(self, name: str) -> bytes | None:
        with closing(LocalFileSystem(self._data_dir)) as files:
            try:
                return load_document(files, name)
            except CorruptDocumentError as damage:
                path = self._data_dir / name
                raise CorruptDocumentError(path, damage.offset, damage.reason) from damage

    def write_document(self, name: str, content: bytes) -> None:
        with closing(LocalFileSystem(self._data_dir)) as files:
            store_document(files, name, content)

    def remove_document(self, name: str) -> None:
        with closing(LocalFileSystem(self._data_dir)) as files:
            remove_document(files, name)

    def was_quarantined(self) -> bool:
        return bool(quarantine_folders(self._data_dir))

    def quarantine_content(self, max_bytes: int | None) -> str:
        return quarantine_content(self._data_dir, max_bytes)
