"""Framing of records on a connection between two nodes: a length of four bytes, then one encoded record."""

from __future__ import annotations

import struct

from bitternpath.transport.errors import CodecError

HEADER = struct.Struct("!I")  # length of the record, without the header
MAX_FRAME_BYTES = 24 << 20  # of a record: a configuration of 16 MiB with room for its envelope


class FrameBuffer:
    """Cuts a stream of received bytes into frames."""

    def __init__(self) -> None:
        """Nothing received yet."""
        self._received = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; the records that are complete now, still encoded.

        Raises:
            CodecError: a frame is longer than `MAX_FRAME_BYTES`. The stream can't be read on.
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
    """One frame: `payload`, an encoded record, with its length in front."""
    return HEADER.pack(len(payload)) + payload
