"""Avro encoding of records, and frames on a connection."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from msgspec import Struct

from bitternpath.transport.codec import RecordCodec, RecordSet
from bitternpath.transport.errors import CodecError, TransportError
from bitternpath.transport.frames import HEADER, MAX_FRAME_BYTES, FrameBuffer, frame


class Colour(IntEnum):
    """Encoded as its number."""

    RED = 0
    BLUE = 7


@dataclass(frozen=True)
class Inner:
    """A record within another one."""

    colour: Colour


class Outer(Struct, frozen=True):
    """All types of fields."""

    number: int
    share: float
    flag: bool
    text: str
    data: bytes
    inner: Inner
    again: Inner  # the schema refers to the first one by name
    several: tuple[Inner, ...]
    names: tuple[str, ...]
    perhaps: Inner | None
    maybe: int | None


class Other(Struct, frozen=True):
    """Another record of the set."""

    number: int


@dataclass
class Unsupported:
    """Not a record: its field has no Avro type."""

    anything: dict[str, int]


RED = Inner(Colour.RED)
BLUE = Inner(Colour.BLUE)
FULL = Outer(-1, 0.5, True, "é", b"\0", RED, BLUE, (RED, BLUE), ("a", ""), RED, 3)
EMPTY = Outer(2**62, 0.0, False, "", b"", BLUE, RED, (), (), None, None)


class RecordCodecTest(unittest.TestCase):
    """Encoding of a single record class."""

    def test_round_trips(self) -> None:
        codec = RecordCodec(Outer)
        for value in (FULL, EMPTY):
            with self.subTest(value=value):
                decoded = codec.decode(codec.encode(value))
                self.assertEqual(decoded, value)
                self.assertIsInstance(decoded.inner.colour, Colour)

    def test_truncated_bytes_are_rejected(self) -> None:
        codec = RecordCodec(Outer)
        data = codec.encode(FULL)
        for length in range(len(data)):
            with self.subTest(length=length), self.assertRaises(CodecError):
                codec.decode(data[:length])

    def test_an_unknown_enum_number_is_rejected(self) -> None:
        with self.assertRaises(CodecError):
            RecordCodec(Inner).decode(b"\x02")

    def test_a_field_without_an_avro_type_is_rejected(self) -> None:
        with self.assertRaises(CodecError):
            RecordCodec(Unsupported).encode(Unsupported({}))

    def test_codec_errors_belong_to_the_transports_tree(self) -> None:
        self.assertTrue(issubclass(CodecError, TransportError))


class RecordSetTest(unittest.TestCase):
    """Encoding of several classes, distinguished by their index."""

    records = RecordSet(Outer, Other)

    def test_round_trips(self) -> None:
        for number, value in enumerate((FULL, Other(5))):
            with self.subTest(value=value):
                data = self.records.encode(value)
                self.assertEqual((data[0], self.records.decode(data)), (number, value))

    def test_unknown_numbers_are_rejected(self) -> None:
        for data in (b"", b"\x02", b"\xff\0"):
            with self.subTest(data=data), self.assertRaises(CodecError):
                self.records.decode(data)


class FrameTest(unittest.TestCase):
    """Splitting a stream into frames."""

    def feed_all(self, stream: bytes, step: int) -> list[Any]:
        buffer = FrameBuffer()
        frames: list[bytes] = []
        for start in range(0, len(stream), step):
            frames += buffer.feed(stream[start : start + step])
        return frames

    def test_frames_are_complete_whatever_the_pieces(self) -> None:
        payloads = [b"abc", b"", b"x" * 300]
        stream = b"".join(frame(payload) for payload in payloads)
        for step in (1, 2, 5, 100, len(stream)):
            with self.subTest(step=step):
                self.assertEqual(self.feed_all(stream, step), payloads)

    def test_a_frame_that_is_too_long_is_rejected_by_its_header(self) -> None:
        with self.assertRaises(CodecError):
            FrameBuffer().feed(HEADER.pack(MAX_FRAME_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
