"""Small files with a checksum: one whole document each, written aside, synced, renamed, folder synced."""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

from bitternpath.storage.files import FileSystem

FORMAT_VERSION = 1
DRAFT_SUFFIX = ".draft"
_HEADER = struct.Struct("!4sIII")  # magic, format, length, CRC32 of the content
_MAGIC = b"BTPD"
HEADER_BYTES = _HEADER.size


class CorruptDocumentError(Exception):
    """A file that isn't what was written; the text names it."""

    def __init__(self, file: Path, offset: int, reason: str) -> None:
        super().__init__(f"{file} at offset {offset}: {reason}")
        self.file, self.offset, self.reason = file, offset, reason


def read_document(path: Path) -> bytes | None:
    """The content; None where there is no file. Raises `CorruptDocumentError`."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return decode_document(path, data)


def decode_document(path: Path, data: bytes) -> bytes:
    """The content of a file that holds `data`; raises `CorruptDocumentError`."""
    if len(data) < _HEADER.size:
        raise CorruptDocumentError(path, 0, f"{len(data)} bytes are no whole header")
    magic, version, length, checksum = _HEADER.unpack_from(data)
    content = data[_HEADER.size :]
    if magic != _MAGIC or version != FORMAT_VERSION:
        raise CorruptDocumentError(path, 0, f"format {version}, this release reads {FORMAT_VERSION}")
    if len(content) != length or zlib.crc32(content) != checksum:
        raise CorruptDocumentError(path, HEADER_BYTES, "the checksum doesn't match")
    return content


def encode_document(content: bytes) -> bytes:
    """What the file of a document holds."""
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, len(content), zlib.crc32(content)) + content


def load_document(files: FileSystem, name: str) -> bytes | None:
    """As `read_document`, of a node that will act on it: what was read stays, also after a loss of power.
    The process that wrote it may have died before it synced the folder."""
    try:
        data = files.read(name)
    except FileNotFoundError:
        return None
    files.sync_directory("")
    return decode_document(Path(name), data)


def store_document(files: FileSystem, name: str, content: bytes) -> None:
    """Replace a document; it is on disk when this returns. Raises `OSError`."""
    draft = name + DRAFT_SUFFIX
    files.truncate(draft, 0)
    files.write_at(draft, 0, encode_document(content))
    files.sync(draft)
    files.rename(draft, name)
    files.sync_directory("")


def remove_document(files: FileSystem, name: str) -> None:
    """Remove a document for good; no error where it is missing. Raises `OSError`."""
    files.remove(name)
    files.sync_directory("")


def sync_directory(folder: Path) -> None:
    """Make names that were made, renamed or removed in a folder last."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
