"""Documents: small files with a checksum that are replaced atomically.

A document is written as a draft, which is synced and renamed; then the directory is synced. So after a power
loss the file has either the complete old content or the complete new content. A file consists of a header
(magic, format version, length, CRC-32 of the content; big-endian) and the content.
"""

from __future__ import annotations

import struct
import zlib
from pathlib import Path

from bitternpath.storage.errors import CorruptDocumentError
from bitternpath.storage.files import FileSystem

FORMAT_VERSION = 1
DRAFT_SUFFIX = ".draft"
_HEADER = struct.Struct("!4sIII")  # magic, format version, length, CRC-32 of the content
_MAGIC = b"BTPD"
HEADER_BYTES = _HEADER.size


def read_document(path: Path) -> bytes | None:
    """Read a document's content without making it durable; None if there is no file.

    Only for callers that take no action based on the content; others use `load_document`. Raises
    `CorruptDocumentError` and `OSError`.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return decode_document(path, data)


def decode_document(path: Path, data: bytes) -> bytes:
    """Decode the bytes of a document's file. Raises `CorruptDocumentError`, which reports `path`."""
    if len(data) < HEADER_BYTES:
        raise CorruptDocumentError(path, 0, f"{len(data)} bytes, shorter than the header")
    magic, version, length, checksum = _HEADER.unpack_from(data)
    content = data[HEADER_BYTES:]
    if magic != _MAGIC or version != FORMAT_VERSION:
        raise CorruptDocumentError(path, 0, f"format {version}, this release reads {FORMAT_VERSION}")
    if len(content) != length or zlib.crc32(content) != checksum:
        raise CorruptDocumentError(path, HEADER_BYTES, "the checksum doesn't match")
    return content


def encode_document(content: bytes) -> bytes:
    """Encode the bytes of a document's file."""
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, len(content), zlib.crc32(content)) + content


def load_document(files: FileSystem, name: str) -> bytes | None:
    """Read a document's content and make it durable; None if there is no file.

    The directory is synced before this returns: the process that wrote the document may have been killed
    before its own sync, and content on which a node has acted must not be lost in a power loss. Raises
    `CorruptDocumentError` and `OSError`.
    """
    try:
        data = files.read(name)
    except FileNotFoundError:
        return None
    files.sync_directory("")
    return decode_document(Path(name), data)


def store_document(files: FileSystem, name: str, content: bytes) -> None:
    """Replace a document; it is durable when this returns. Raises `OSError`."""
    draft = name + DRAFT_SUFFIX
    files.truncate(draft, 0)
    files.write_at(draft, 0, encode_document(content))
    files.sync(draft)
    files.rename(draft, name)
    files.sync_directory("")


def remove_document(files: FileSystem, name: str) -> None:
    """Remove a document durably; no error if it doesn't exist. Raises `OSError`."""
    files.remove(name)
    files.sync_directory("")
