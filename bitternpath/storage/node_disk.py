"""Access of a node's role to its data directory, behind a protocol that simulations implement."""

from __future__ import annotations

from contextlib import closing
from pathlib import Path
from typing import Protocol

from bitternpath.net.reactor import ThreadCallReactor
from bitternpath.storage.documents import load_document, remove_document, store_document
from bitternpath.storage.errors import CorruptDocumentError
from bitternpath.storage.files import LocalFileSystem
from bitternpath.storage.identity import load_identity
from bitternpath.storage.journal import Journal, open_journal
from bitternpath.storage.quarantine import finish_quarantine, quarantine_content, quarantine_directories


class NodeDisk(Protocol):
    """Identity, journal and documents of a data directory. All operations block and may raise `OSError`."""

    def load_identity(self) -> str:
        """Return the disk's identity, or generate it if there is none.

        Must be called before any other read. Raises `CorruptJournalError`.
        """

    def open_journal(self, reactor: ThreadCallReactor, checkpoint_bytes: int) -> Journal:
        """Load the write-ahead log and start its writer; raises `CorruptJournalError`.

        `checkpoint_bytes` is the total size of all segments above which a checkpoint is written.
        """

    def read_document(self, name: str) -> bytes | None:
        """Return a document's content, or None if it doesn't exist; raises `CorruptDocumentError`."""

    def write_document(self, name: str, content: bytes) -> None:
        """Replace a document; it is durable when this returns."""

    def remove_document(self, name: str) -> None:
        """Remove a document durably; no error if it doesn't exist."""

    def was_quarantined(self) -> bool:
        """Whether content of this disk was ever quarantined, so that the disk isn't new."""

    def quarantine_content(self, max_bytes: int | None) -> str:
        """Quarantine all content as corrupt, and delete it if it is larger than `max_bytes`.

        Returns the name of the quarantine directory.
        """


class LocalDisk:
    """`NodeDisk` on the operating system's files."""

    def __init__(self, data_dir: Path) -> None:
        """Create a disk with that data directory. Opens no files."""
        self._data_dir = data_dir

    def load_identity(self) -> str:
        """See `NodeDisk`. Completes an interrupted quarantine first."""
        finish_quarantine(self._data_dir)
        return load_identity(self._data_dir)

    def open_journal(self, reactor: ThreadCallReactor, checkpoint_bytes: int) -> Journal:
        """See `NodeDisk`."""
        return open_journal(self._data_dir, reactor, checkpoint_bytes)

    def read_document(self, name: str) -> bytes | None:
        """See `NodeDisk`. The error reports the document's path including the data directory."""
        with closing(LocalFileSystem(self._data_dir)) as files:
            try:
                return load_document(files, name)
            except CorruptDocumentError as error:
                path = self._data_dir / name
                raise CorruptDocumentError(path, error.offset, error.reason) from error

    def write_document(self, name: str, content: bytes) -> None:
        """See `NodeDisk`."""
        with closing(LocalFileSystem(self._data_dir)) as files:
            store_document(files, name, content)

    def remove_document(self, name: str) -> None:
        """See `NodeDisk`."""
        with closing(LocalFileSystem(self._data_dir)) as files:
            remove_document(files, name)

    def was_quarantined(self) -> bool:
        """See `NodeDisk`."""
        return bool(quarantine_directories(self._data_dir))

    def quarantine_content(self, max_bytes: int | None) -> str:
        """See `NodeDisk`."""
        return quarantine_content(self._data_dir, max_bytes)
