"""Errors of the storage package.

A `CorruptionError` is a fault of the disk, or of whoever changed its files: reading again doesn't help, and
the content has to be given up. Operations that the operating system refuses (a full or failing disk) raise
`OSError` as they are; these may succeed when they are repeated.
"""

from __future__ import annotations

from pathlib import Path


class StorageError(Exception):
    """Base class of the package's own errors."""


class CorruptionError(StorageError):
    """A file doesn't hold what was written to it. Not retriable.

    Attributes:
        file: the file's path, relative to the data directory or absolute, as the reader knew it.
        offset: byte in the file up to which it is intact.
        reason: what is wrong there, for the log.
    """

    def __init__(self, file: str | Path, offset: int, reason: str) -> None:
        """Describe the damage; the error's text has all three."""
        super().__init__(f"{file} at offset {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class CorruptJournalError(CorruptionError):
    """A segment, a snapshot or the identity is corrupt: the replicas on this disk count as lost."""


class CorruptDocumentError(CorruptionError):
    """A document is corrupt."""
