"""Compression of configuration documents in feed updates.

A document is sent to every node of the system, and its JSON repeats itself.
"""

from __future__ import annotations

import zlib

from bitternpath.transport.errors import CodecError

MAX_DOCUMENT_BYTES = 64 << 20  # of a decompressed document: bounds what a damaged update can allocate


def pack_document(document: bytes) -> bytes:
    """Compress a document (zlib) for `FeedUpdate.configuration`."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """Decompress what `pack_document` made.

    Raises:
        CodecError: truncated, damaged, or larger than `MAX_DOCUMENT_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise CodecError(f"a configuration that can't be unpacked: {error}") from error
    if not decompressor.eof:
        raise CodecError("a configuration that is cut or too long")
    return document
