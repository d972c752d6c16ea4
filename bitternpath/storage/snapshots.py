"""Snapshot files: one for each version, written aside, synced and renamed before a record names it."""

from __future__ import annotations

import struct
import zlib
from urllib.parse import quote

from bitternpath.replication.records import Snapshot
from bitternpath.storage.files import FileSystem
from bitternpath.storage.records import CorruptJournalError, SnapshotReference

FOLDER = "snapshots"
_SUFFIX = ".snap"
_DRAFT_SUFFIX = ".new"
_MAGIC = b"BTSN"
_VERSION = 1
_HEADER = struct.Struct("<4sIIQ")  # magic, format version, CRC-32 of the data, its length
HEADER_BYTES = _HEADER.size


class SnapshotFiles:
    """The folder of snapshots. Its files' sizes are known without a look at the disk."""

    def __init__(self, files: FileSystem) -> None:
        self._files = files
        self._sizes: dict[str, int] = {}
        self.bytes_used = 0  # of all snapshot files; another thread may read it
        self.largest = 0  # bytes of the largest one
        files.make_directory(FOLDER)
        for name in files.list_names(FOLDER):
            self._sizes[name] = files.size(f"{FOLDER}/{name}")
        self._count()

    def write(self, group: str, snapshot: Snapshot) -> None:
        """The file is on disk when this returns; may be repeated after an `OSError`."""
        name = file_name(group, snapshot.index, snapshot.term)
        draft = f"{FOLDER}/{name}{_DRAFT_SUFFIX}"
        header = header_of(zlib.crc32(snapshot.data), len(snapshot.data))
        self._sizes[name + _DRAFT_SUFFIX] = len(header) + len(snapshot.data)
        self._count()
        self._files.truncate(draft, 0)
        self._files.write_at(draft, 0, header)
        self._files.write_at(draft, len(header), snapshot.data)
        self._files.sync(draft)
        self._files.rename(draft, f"{FOLDER}/{name}")
        self._files.sync_directory(FOLDER)
        self._sizes[name] = self._sizes.pop(name + _DRAFT_SUFFIX)
        self._count()

    def read(self, group: str, reference: SnapshotReference) -> Snapshot:
        """The snapshot that a record names; raises `CorruptJournalError`."""
        if not reference.size:
            return Snapshot(reference.index, reference.term, reference.members, b"")
        name = file_name(group, reference.index, reference.term)
        path = f"{FOLDER}/{name}"
        if name not in self._sizes:
            raise CorruptJournalError(path, 0, "the snapshot is missing")
        content = self._files.read(path)
        data = content[_HEADER.size :]
        if len(data) != reference.size:
            raise CorruptJournalError(
                path, 0, f"{len(data)} bytes of data where {reference.size} were written"
            )
        if content[: _HEADER.size] != header_of(zlib.crc32(data), len(data)):
            raise CorruptJournalError(path, 0, "the checksum or the version doesn't match")
        return Snapshot(reference.index, reference.term, reference.members, data)

    def remove_drafts(self) -> None:
        """Remove what is left of files that the disk refused."""
        for name in [name for name in self._sizes if name.endswith(_DRAFT_SUFFIX)]:
            self._files.remove(f"{FOLDER}/{name}")
            del self._sizes[name]
        self._count()

    @property
    def sizes(self) -> dict[str, int]:
        """Lengths of the files that are whole, by path."""
        return {f"{FOLDER}/{name}": size for name, size in self._sizes.items() if name.endswith(_SUFFIX)}

    def keep_only(self, names: set[str]) -> None:
        """Remove all files but these. A file that can't be removed stays for the next time."""
        for name in [name for name in self._sizes if name not in names]:
            self._files.remove(f"{FOLDER}/{name}")
            del self._sizes[name]
        self._count()

    def _count(self) -> None:
        self.bytes_used = sum(self._sizes.values())
        self.largest = max(self._sizes.values(), default=0)


def header_of(checksum: int, size: int) -> bytes:
    """The first bytes of a file with that many bytes of data behind them."""
    return _HEADER.pack(_MAGIC, _VERSION, checksum, size)


def file_name(group: str, index: int, term: int) -> str:
    """Name of a snapshot's file; characters that a file name may not have are percent-encoded."""
    return f"{quote(group, safe='')}-{index}-{term}{_SUFFIX}"
