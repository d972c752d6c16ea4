"""Compression of configuration documents in feed updates."""

from __future__ import annotations

import zlib

from bitternpath.transport.codec import CodecError

MOST_DOCUMENT_BYTES = 64 << 20  # of a configuration, unpacked


def pack_document(document: bytes) -> bytes:
    """A configuration as `FeedUpdate` carries it: its JSON repeats itself, and each node gets all of it."""
    return zlib.compress(document)


def unpack_document(packed: bytes) -> bytes:
    """What `pack_document` was given; raises `CodecError`."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise CodecError(f"a configuration that can't be unpacked: {error}") from error
    if not unpacker.eof:
        raise CodecError("a configuration that is cut or too long")
    return document
