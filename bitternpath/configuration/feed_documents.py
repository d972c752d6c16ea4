"""Compression of configuration documents in feed updates.

A document is sent to every node of the system, and its repetitive JSON compresses well.
"""

from __future__ import annotations

import zlib

from bitternpath.transport.errors import CodecError

MAX_DOCUMENT_BYTES = 64 << 20  # limits the memory that a corrupt update can allocate


def pack_document(document: bytes) -> bytes:
    """Compress a document (zlib) for `FeedUpdate.configuration`."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """Decompress the output of `pack_document`.

    Raises:
        CodecError: truncated, corrupt, or larger than `MAX_DOCUMENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise CodecError(f"can't decompress configuration: {error}") from error
    if not decompressor.eof:
        raise CodecError("configuration is truncated or too long")
    return document
