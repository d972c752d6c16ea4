"""Framing of records on a connection between two nodes: four bytes of length, then one encoded record."""

from __future__ import annotations

import struct

from bitternpath.transport.errors import CodecError

HEADER = struct.Struct("!I")  # length of the record, excluding the header
MAX_FRAME_BYTES = 24 << 20  # maximum size of a record: a configuration of 16 MiB and its envelope


class FrameBuffer:
    """Splits a stream of received bytes into frames."""

    def __init__(self) -> None:
        """Create an empty buffer."""
        self._received = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the records that are complete now, still encoded.

        Raises:
            CodecError: a frame is longer than `MAX_FRAME_BYTES`; the rest of the stream can't be decoded.
        """
        self._received += data
        frames: list[bytes] = []
        offset = 0
        available = len(self._received)
        while available - offset >= HEADER.size:
            (length,) = HEADER.unpack_from(self._received, offset)
            if length > MAX_FRAME_BYTES:
                raise CodecError(f"a frame of {length} bytes")
            end = offset + HEADER.size + length
            if end > available:
                break
            frames.append(bytes(self._received[offset + HEADER.size : end]))
            offset = end
        if offset:
            del self._received[:offset]
        return frames


def frame(payload: bytes) -> bytes:
    """Frame `payload`, an encoded record: prefix it with its length."""
    return HEADER.pack(len(payload)) + payload
