"""Documents: small files with a checksum, replaced as one.

A document is written as a draft, synced, renamed, and its directory synced, so that after a loss of power
the old content or the new one is there, complete. A file is a header (magic, format version, length, CRC-32
of the content; big-endian) and the content.
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
    """Read a document's content, without making it durable; None where there is no file.

    For a reader that doesn't act on it; see `load_document`. Raises `CorruptDocumentError` and `OSError`.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return decode_document(path, data)


def decode_document(path: Path, data: bytes) -> bytes:
    """Return the content of a file that holds `data`; raises `CorruptDocumentError`, which names `path`."""
    if len(data) < HEADER_BYTES:
        raise CorruptDocumentError(path, 0, f"{len(data)} bytes, less than the header")
    magic, version, length, checksum = _HEADER.unpack_from(data)
    content = data[HEADER_BYTES:]
    if magic != _MAGIC or version != FORMAT_VERSION:
        raise CorruptDocumentError(path, 0, f"format {version}, this release reads {FORMAT_VERSION}")
    if len(content) != length or zlib.crc32(content) != checksum:
        raise CorruptDocumentError(path, HEADER_BYTES, "the checksum doesn't match")
    return content


def encode_document(content: bytes) -> bytes:
    """Encode the file of a document."""
    return _HEADER.pack(_MAGIC, FORMAT_VERSION, len(content), zlib.crc32(content)) + content


def load_document(files: FileSystem, name: str) -> bytes | None:
    """Read a document's content for a node that will act on it; None where there is no file.

    The directory is synced first: the process that wrote the document may have died before its own sync, and
    what a node has acted on must not be lost with the power. Raises `CorruptDocumentError` and `OSError`.
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
    """Remove a document durably; no error where it is missing. Raises `OSError`."""
    files.remove(name)
    files.sync_directory("")
