"""Frames on a connection between two nodes: a length of four bytes, then one encoded record."""

from __future__ import annotations

import struct

from bitternpath.transport.codec import CodecError

HEADER = struct.Struct("!I")
MAX_FRAME_BYTES = 24 << 20  # a configuration of 16 MB with room for its envelope


class FrameBuffer:
    """Cuts received bytes into frames."""

    def __init__(self) -> None:
        self._received = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The frames that are complete now; raises `CodecError` where one is too long."""
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
    """`payload` with its length in front."""
    return HEADER.pack(len(payload)) + payload
