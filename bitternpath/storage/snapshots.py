"""Snapshot files, one per snapshot.

A file is written as a draft, synced and renamed before a record references the snapshot. Its content is a
header (magic, format version, CRC-32 of the data, length of the data; little-endian) followed by the data.
"""

from __future__ import annotations

import struct
import zlib
from urllib.parse import quote

from bitternpath.replication.records import Snapshot
from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.files import FileSystem
from bitternpath.storage.records import SnapshotReference

DIRECTORY = "snapshots"
FORMAT_VERSION = 1
_SUFFIX = ".snap"
_DRAFT_SUFFIX = ".new"  # appended to the complete file name
_MAGIC = b"BTSN"
_HEADER = struct.Struct("<4sIIQ")  # magic, format version, CRC-32 of the data, length of the data
HEADER_BYTES = _HEADER.size


class SnapshotFiles:
    """The directory of snapshots, with the sizes of its files cached in memory.

    Attributes:
        bytes_used: total size of all files; safe to read from another thread.
        largest_bytes: size of the largest file; safe to read from another thread.
    """

    def __init__(self, files: FileSystem) -> None:
        """Create the directory if it doesn't exist, and list its files. Raises `OSError`."""
        self._files = files
        self._sizes: dict[str, int] = {}
        self.bytes_used = 0
        self.largest_bytes = 0
        files.make_directory(DIRECTORY)
        for name in files.list_names(DIRECTORY):
            self._sizes[name] = files.size(f"{DIRECTORY}/{name}")
        self._update_totals()

    def write(self, group: str, snapshot: Snapshot) -> None:
        """Write a snapshot; it is durable when this returns. May be retried after an `OSError`."""
        name = file_name(group, snapshot.index, snapshot.term)
        draft_name = name + _DRAFT_SUFFIX
        draft = f"{DIRECTORY}/{draft_name}"
        header = encode_header(zlib.crc32(snapshot.data), len(snapshot.data))
        self._sizes[draft_name] = len(header) + len(snapshot.data)
        self._update_totals()
        self._files.truncate(draft, 0)
        self._files.write_at(draft, 0, header)
        self._files.write_at(draft, len(header), snapshot.data)
        self._files.sync(draft)
        self._files.rename(draft, f"{DIRECTORY}/{name}")
        self._files.sync_directory(DIRECTORY)
        self._sizes[name] = self._sizes.pop(draft_name)
        self._update_totals()

    def read(self, group: str, reference: SnapshotReference) -> Snapshot:
        """Read the snapshot that a record references.

        Raises:
            CorruptJournalError: the file is missing or corrupt.
            OSError: the file can't be read.
        """
        if not reference.size:
            return Snapshot(reference.index, reference.term, reference.members, b"")
        name = file_name(group, reference.index, reference.term)
        path = f"{DIRECTORY}/{name}"
        if name not in self._sizes:
            raise CorruptJournalError(path, 0, "the snapshot is missing")
        content = self._files.read(path)
        data = content[HEADER_BYTES:]
        if len(data) != reference.size:
            reason = f"{len(data)} bytes of data where {reference.size} were written"
            raise CorruptJournalError(path, 0, reason)
        if content[:HEADER_BYTES] != encode_header(zlib.crc32(data), len(data)):
            raise CorruptJournalError(path, 0, "the checksum or the version doesn't match")
        return Snapshot(reference.index, reference.term, reference.members, data)

    @property
    def sizes(self) -> dict[str, int]:
        """Sizes of all files but drafts, by path."""
        return {f"{DIRECTORY}/{name}": size for name, size in self._sizes.items() if name.endswith(_SUFFIX)}

    def remove_drafts(self) -> None:
        """Remove the drafts of snapshots that couldn't be written. Raises `OSError`."""
        self._remove([name for name in self._sizes if name.endswith(_DRAFT_SUFFIX)])

    def remove_except(self, names: set[str]) -> None:
        """Remove all files except `names`. Raises `OSError`; the next call retries the remaining removals."""
        self._remove([name for name in self._sizes if name not in names])

    def _remove(self, names: list[str]) -> None:
        for name in names:
            self._files.remove(f"{DIRECTORY}/{name}")
            del self._sizes[name]
        self._update_totals()

    def _update_totals(self) -> None:
        self.bytes_used = sum(self._sizes.values())
        self.largest_bytes = max(self._sizes.values(), default=0)


def encode_header(checksum: int, size: int) -> bytes:
    """Encode a file header. `checksum` is the CRC-32 of the data, `size` its length in bytes."""
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, checksum, size)


def file_name(group: str, index: int, term: int) -> str:
    """Return the name of a snapshot's file; special characters in the group's name are percent-encoded."""
    return f"{quote(group, safe='')}-{index}-{term}{_SUFFIX}"
