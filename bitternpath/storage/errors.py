"""Errors of the storage package.

A `CorruptionError` is caused by a disk fault or by an outside change of the files. It isn't transient: the
content is lost. Operations that fail in the operating system (full or failing disk) raise `OSError`; a retry
may succeed.
"""

from __future__ import annotations

from pathlib import Path


class StorageError(Exception):
    """Base class of the errors that the storage package defines."""


class CorruptionError(StorageError):
    """The content of a file differs from what was written. Not retriable.

    Attributes:
        file: path of the file, either absolute or relative to the data directory.
        offset: offset in bytes up to which the file is intact.
        reason: description of the corruption, for the log.
    """

    def __init__(self, file: str | Path, offset: int, reason: str) -> None:
        """Create an error whose message has the file, the offset and the reason."""
        super().__init__(f"{file} at offset {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class CorruptJournalError(CorruptionError):
    """A segment, a snapshot or the identity is corrupt: the replicas on this disk count as lost."""


class CorruptDocumentError(CorruptionError):
    """A document's header or checksum is invalid."""
