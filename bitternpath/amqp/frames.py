"""Frames out of bytes (specification 2.3 and 4.2) and what they carry. Pure.

Framing is ours; what is inside methods, properties and tables is read and written by pamqp. Before that, a
scan without copies checks that every length fits and that tables are neither deep nor full: pamqp copies what
is left of a table for each of its entries, so one of many entries would cost the square of its size.
"""

from __future__ import annotations

import struct
from typing import Any

from msgspec import Struct
from pamqp import body, commands, frame, header, heartbeat
from pamqp.base import Frame as Method

from bitternpath.amqp.errors import FRAME_ERROR, NOT_IMPLEMENTED, SYNTAX_ERROR, HardError
from bitternpath.net.buffer import Buffer

METHOD, HEADER, BODY, HEARTBEAT = 1, 2, 3, 8
KINDS = frozenset((METHOD, HEADER, BODY, HEARTBEAT))
END = 0xCE
OVERHEAD = 8  # bytes of a frame round its payload
PROTOCOL = b"AMQP\x00\x00\x09\x01"

FIRST_FRAME_MAX = 8192  # bytes, until the peers have agreed (at least 4096 by specification 4.2.1)
ARGUMENTS_LIMIT = 8192  # bytes of a method or of properties; longer ones have no honest use
TABLE_DEPTH = 8  # tables and arrays inside one another
TABLE_ENTRIES = 256  # of a table with all in it

_HEAD = struct.Struct(">BHI")
_LONG = struct.Struct(">I")
_CONTENT = struct.Struct(">HHQH")  # class, weight, body size, property flags

Properties = commands.Basic.Properties
NO_PROPERTIES = Properties()


class Raw(Struct):
    """A frame whose payload has not been looked into."""

    kind: int
    channel: int
    payload: bytes


class FrameReader:
    """Takes frames out of the one buffer of a connection."""

    __slots__ = ("_head", "buffer", "frame_max", "lost")

    def __init__(self, buffer: Buffer) -> None:
        self.buffer, self.frame_max = buffer, FIRST_FRAME_MAX
        self._head: tuple[int, int, int] | None = None
        self.lost = False  # where frames begin is not known any more: nothing can be read

    def next(self) -> Raw | None:
        """The next whole frame, or None until more is fed; HardError 501 on what is none."""
        buffer = self.buffer
        if self._head is None:
            if len(buffer) < 7:
                return None
            kind, channel, size = self._head = _HEAD.unpack(buffer.take(7))
            if kind not in KINDS:
                self.lost = True
                raise HardError(FRAME_ERROR, f"frame type {kind}; allowed are 1, 2, 3 and 8")
            if size + OVERHEAD > self.frame_max:
                self.lost = True
                raise HardError(
                    FRAME_ERROR, f"frame of {size + OVERHEAD} bytes; at most {self.frame_max} are allowed"
                )
        kind, channel, size = self._head
        if len(buffer) <= size:
            return None
        payload = buffer.take(size)
        if buffer.take(1)[0] != END:
            self.lost = True
            raise HardError(FRAME_ERROR, f"frame of type {kind} does not end with 0xCE")
        self._head = None
        return Raw(kind, channel, payload)


# ---- what is inside

_FIXED = {"octet": 1, "short": 2, "long": 4, "longlong": 8, "timestamp": 8}
_FIELDS = {  # sizes of table values by their type octet (errata of RabbitMQ to specification 4.2.5.5)
    b: size
    for types, size in ((b"tbB", 1), (b"su", 2), (b"Iif", 4), (b"lLdT", 8), (b"D", 5), (b"V\x00", 0))
    for b in types
}  # fmt: skip


def _long(data: bytes, at: int, end: int) -> int:
    if at + 4 > end:
        raise ValueError("a length is cut off")
    size: int = _LONG.unpack_from(data, at)[0]
    if at + 4 + size > end:
        raise ValueError("a length exceeds what there is")
    return size


def scan_table(data: bytes, at: int, end: int) -> int:
    """Check the table at `at`, which must end by `end`; where it ends. ValueError says what is wrong."""
    entries = 0
    size = _long(data, at, end)
    # What is being read, outermost first: where it ends, and whether its entries have names.
    inside = [(at + 4 + size, True)]
    at += 4
    while inside:
        limit, named = inside[-1]
        if at == limit:
            inside.pop()
            continue
        entries += 1
        if entries > TABLE_ENTRIES:
            raise ValueError(f"a table of more than {TABLE_ENTRIES} entries")
        if named:
            at += 1 + data[at]
        if at >= limit:
            raise ValueError("a name exceeds its table")
        kind = data[at]
        at += 1
        if kind in _FIELDS:
            at += _FIELDS[kind]
        elif kind in b"Sx":
            at += 4 + _long(data, at, limit)
        elif kind in b"FA":
            size = _long(data, at, limit)
            at += 4
            inside.append((at + size, kind == ord("F")))
            if len(inside) > TABLE_DEPTH:
                raise ValueError(f"tables more than {TABLE_DEPTH} deep")
        else:
            raise ValueError(f"unknown field type {bytes([kind])!r}")
        if at > limit:
            raise ValueError("a value exceeds its table")
    return at


def _scan(data: bytes, at: int, types: list[str]) -> None:
    """Check that arguments of these types fill the data exactly."""
    end, bits = len(data), 0
    for kind in types:
        if kind == "bit":
            at += bits % 8 == 0
            bits += 1
            continue
        bits = 0
        if kind in _FIXED:
            at += _FIXED[kind]
        elif at >= end:
            raise ValueError("cut off")
        elif kind == "shortstr":
            at += 1 + data[at]
        elif kind == "longstr":
            at += 4 + _long(data, at, end)
        else:
            at = scan_table(data, at, end)
        if at > end:
            raise ValueError("cut off")
    if at != end:
        raise ValueError("longer or shorter than its arguments")


_METHODS: dict[int, Any] = dict(commands.INDEX_MAPPING)
_TYPES = {cls: [cls.amqp_type(name) for name in cls.attributes()] for cls in _METHODS.values()}
_PROPERTIES = [(flag, getattr(Properties, "_" + name)) for name, flag in Properties.flags.items()]


def ids(method: Method | type[Method]) -> tuple[int, int]:
    """The numbers of a method's class and of itself."""
    return method.index >> 16, method.index & 0xFFFF


def method_from(payload: bytes) -> Method:
    """The method that a frame carries; HardError 502 or 540 where it carries none."""
    if len(payload) < 4:
        raise HardError(SYNTAX_ERROR, "method frame without a method")
    if len(payload) > ARGUMENTS_LIMIT:
        raise HardError(
            SYNTAX_ERROR, f"method of {len(payload)} bytes; at most {ARGUMENTS_LIMIT} are allowed"
        )
    index: int = _LONG.unpack_from(payload)[0]
    cls = _METHODS.get(index)
    if cls is None:
        number = index >> 16, index & 0xFFFF
        raise HardError(NOT_IMPLEMENTED, f"class {number[0]} has no method {number[1]} here", number)
    method: Method = cls.__new__(cls)
    try:
        _scan(payload, 4, _TYPES[cls])
        method.unmarshal(payload[4:])
    except Exception as error:  # pamqp has no one error for what it cannot read
        raise HardError(SYNTAX_ERROR, f"{cls.name}: {error}", ids(cls)) from error
    return method


class Content(Struct):
    """What a content header says."""

    class_id: int
    size: int
    properties: Any


def content_from(payload: bytes) -> Content:
    """The content header that a frame carries; HardError 502 where it carries none."""
    if not 14 <= len(payload) <= ARGUMENTS_LIMIT:
        raise HardError(
            SYNTAX_ERROR, f"content header of {len(payload)} bytes; 14 to {ARGUMENTS_LIMIT} allowed"
        )
    class_id, _, size, flags = _CONTENT.unpack_from(payload)
    if flags & 3:
        raise HardError(SYNTAX_ERROR, "content header with property flags that no property has")
    properties = Properties()
    try:
        _scan(payload, 14, [kind for flag, kind in _PROPERTIES if flags & flag])
        properties.unmarshal(flags, payload[14:])
    except Exception as error:  # as above
        raise HardError(SYNTAX_ERROR, f"content header: {error}") from error
    return Content(class_id, size, properties)


def method_frame(channel: int, method: Method) -> bytes:
    return frame.marshal(method, channel)


def content_frames(channel: int, method: Method, properties: Any, data: bytes, frame_max: int) -> bytes:
    """A method with its content: header and as many body frames as the agreed size asks for."""
    parts = [
        frame.marshal(method, channel),
        frame.marshal(header.ContentHeader(0, len(data), properties), channel),
    ]
    piece = frame_max - OVERHEAD
    for at in range(0, len(data), piece):
        parts.append(frame.marshal(body.ContentBody(data[at : at + piece]), channel))
    return b"".join(parts)


HEARTBEAT_FRAME: bytes = heartbeat.Heartbeat().marshal()
