"""Frames out of bytes (specification 2.3 and 4.2) and what they carry. Pure.

Framing is ours. Methods, their arguments' types and properties are pamqp's classes, and it reads and writes
tables; only the loop over a method's arguments is ours, for pamqp's takes a fifth of a job's time. A scan
without copies checks that every length fits and that tables are neither deep nor full: pamqp copies what
is left of a table for each of its entries, so one of many entries would cost the square of its size.
"""

from __future__ import annotations

import struct
from typing import Any

from msgspec import Struct
from pamqp import commands, decode, encode, heartbeat
from pamqp.base import Frame as Method

from bitternpath.balancer.amqp.errors import FRAME_ERROR, NOT_IMPLEMENTED, SYNTAX_ERROR, HardError
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
        self._head: tuple[Any, ...] | None = None
        self.lost = False  # where frames begin is not known any more: nothing can be read

    def next(self) -> Raw | None:
        """The next whole frame, or None until more is fed; HardError 501 on what is none."""
        buffer = self.buffer
        if self._head is None:
            if len(buffer) < 7:
                return None
            kind, channel, size = self._head = buffer.unpack(_HEAD)
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
        payload = buffer.take(size + 1)
        if payload[-1] != END:
            self.lost = True
            raise HardError(FRAME_ERROR, f"frame of type {kind} does not end with 0xCE")
        self._head = None
        return Raw(kind, channel, payload[:-1])


# ---- what is inside

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


_INTEGERS = {"octet": struct.Struct(">B"), "short": struct.Struct(">H"), "long": _LONG}
_INTEGERS["longlong"] = struct.Struct(">Q")


def _values(data: bytes, at: int, types: list[str]) -> list[Any]:
    """Arguments of these types, which must fill the data exactly; ValueError says what is wrong.

    pamqp's own loop over them costs twice as much and does not see what is cut off; its types and its tables
    are used as they are."""
    end, bits, found = len(data), 0, list[Any]()
    for kind in types:
        if kind == "bit":
            at += bits % 8 == 0
            if at > end:
                raise ValueError("cut off")
            found.append(bool(data[at - 1] >> bits % 8 & 1))
            bits += 1
            continue
        bits = 0
        begin = at
        if kind == "shortstr":
            if at >= end:
                raise ValueError("cut off")
            at += 1 + data[at]
            found.append(data[begin + 1 : at].decode())
        elif kind in _INTEGERS:
            at += _INTEGERS[kind].size
            if at <= end:
                found.append(_INTEGERS[kind].unpack_from(data, begin)[0])
        elif kind == "table":
            at = scan_table(data, at, end)
            found.append(decode.field_table(data[begin:at])[1])
        elif kind == "longstr":
            at += 4 + _long(data, at, end)
            found.append(decode.long_str(data[begin:at])[1])
        else:
            at += 8
            found.append(decode.timestamp(data[begin:at])[1])
        if at > end:
            raise ValueError("cut off")
    if at != end:
        raise ValueError("longer or shorter than its arguments")
    return found


_METHODS: dict[int, Any] = dict(commands.INDEX_MAPPING)
_NAMES = {cls: cls.attributes() for cls in _METHODS.values()}
_TYPES = {cls: [cls.amqp_type(name) for name in names] for cls, names in _NAMES.items()}
_PROPERTIES = [(name, flag, getattr(Properties, "_" + name)) for name, flag in Properties.flags.items()]


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
        for name, value in zip(_NAMES[cls], _values(payload, 4, _TYPES[cls]), strict=True):
            setattr(method, name, value)
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
        given = [(name, kind) for name, flag, kind in _PROPERTIES if flags & flag]
        values = _values(payload, 14, [kind for _, kind in given])
        for (name, _), value in zip(given, values, strict=True):
            setattr(properties, name, value)
    except Exception as error:  # as above
        raise HardError(SYNTAX_ERROR, f"content header: {error}") from error
    return Content(class_id, size, properties)


def _short(text: str) -> bytes:
    data = text.encode()
    return bytes((len(data),)) + data  # ValueError beyond 255, as the wire has it


_ENCODERS: dict[str, Any] = {kind: form.pack for kind, form in _INTEGERS.items()}
_ENCODERS |= {
    "shortstr": _short,
    "longstr": encode.long_string,
    "table": encode.field_table,
    "timestamp": encode.timestamp,
}


def _frame(kind: int, channel: int, payload: bytes) -> bytes:
    return b"%b%b\xce" % (_HEAD.pack(kind, channel, len(payload)), payload)


def method_frame(channel: int, method: Method) -> bytes:
    """A method, marshalled by the plan that pamqp's class gives."""
    parts, bits, byte = [_LONG.pack(method.index)], 0, 0
    cls: Any = type(method)
    for name, kind in zip(_NAMES[cls], _TYPES[cls], strict=True):
        value = getattr(method, name)
        if kind == "bit":
            byte |= bool(value) << bits
            bits += 1
            continue
        if bits:
            parts.append(bytes((byte,)))
            bits = byte = 0
        parts.append(_ENCODERS[kind](value))
    if bits:
        parts.append(bytes((byte,)))
    return _frame(METHOD, channel, b"".join(parts))


def _header_frame(channel: int, size: int, properties: Any) -> bytes:
    flags, parts = 0, [b""]
    for name, flag, kind in _PROPERTIES:
        value = getattr(properties, name)
        if value is not None and value != "":
            flags |= flag
            parts.append(_ENCODERS[kind](value))
    parts[0] = _CONTENT.pack(commands.Basic.frame_id, 0, size, flags)
    return _frame(HEADER, channel, b"".join(parts))


def content_frames(channel: int, method: Method, properties: Any, data: bytes, frame_max: int) -> bytes:
    """A method with its content: header and as many body frames as the agreed size asks for."""
    parts = [method_frame(channel, method), _header_frame(channel, len(data), properties)]
    piece = frame_max - OVERHEAD
    parts += [_frame(BODY, channel, data[at : at + piece]) for at in range(0, len(data), piece)]
    return b"".join(parts)


HEARTBEAT_FRAME: bytes = heartbeat.Heartbeat().marshal()
