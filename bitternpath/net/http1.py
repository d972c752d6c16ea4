"""Parses and serializes HTTP/1.1 messages. Pure: no I/O, no clock."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from http import HTTPStatus

from bitternpath.net.buffer import Buffer

HEAD_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024
CHUNK_LINE_LIMIT = 1024  # bytes of a chunk-size line or trailer field line

Headers = dict[bytes, bytes]

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(
    rb"/[\x21\x22\x24-\x7e]*"
)  # origin-form in ASCII without a fragment, which every server accepts
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) (\S+) HTTP/1\.([01])")
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: .*)?")
_DIGITS = re.compile(rb"[0-9]{1,12}")
_HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")
_FIELD_VALUE = re.compile(rb"[\t\x20-\x7e]*")
# Fields for framing, type and identity of a message. If one is repeated, recipients may use different values.
SINGLETON_FIELDS = frozenset(
    b"content-length transfer-encoding host content-type x-call-id x-call-class x-route-hash x-budget-ms"
    b" x-again x-call-info".split()
)
# Hop-by-hop fields (RFC 9110, 7.6.1), and fields that every sender generates itself.
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer upgrade"
    b" transfer-encoding content-length host expect".split()
)
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class HttpError(Exception):
    """Malformed input; `status` is the status code of a server's response to it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """The common part of requests and responses. Field names are in lower case."""

    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Request(Message):
    method: bytes = b"GET"
    target: bytes = b"/"

    @property
    def path(self) -> bytes:
        return self.target.partition(b"?")[0]


@dataclass(slots=True)
class Response(Message):
    status: int = 200


class _BodyReader:
    """Decodes a message body incrementally."""

    __slots__ = ("limit", "mode", "remaining", "size")

    def __init__(self, mode: str, remaining: int, limit: int | None) -> None:
        self.mode = mode  # "length", "close", "done"; for chunked bodies "size", "chunk", "end", "trailer"
        self.remaining, self.limit, self.size = remaining, limit, 0
        if mode == "length":
            self.count(remaining)
            self.mode = "length" if remaining else "done"

    def count(self, length: int) -> None:
        self.size += length
        if self.limit is not None and self.size > self.limit:
            raise HttpError(413, "body too large")

    def read(self, buffer: Buffer) -> bytes:
        """Remove and return the part of the body that is in the buffer."""
        chunks = []
        while self.mode != "done":
            if self.mode in ("length", "chunk"):
                data = buffer.take(self.remaining)
                self.remaining -= len(data)
                chunks.append(data)
                if self.remaining:
                    break
                self.mode = "done" if self.mode == "length" else "end"
            elif self.mode == "close":
                chunks.append(buffer.take(len(buffer)))
                self.count(len(chunks[-1]))
                break
            elif not self._read_chunk_line(buffer):
                break
        return b"".join(chunks)

    def _read_chunk_line(self, buffer: Buffer) -> bool:
        """Read one line of the chunked coding; False if it is incomplete."""
        index = buffer.find(b"\n")
        if index < 0 or index > CHUNK_LINE_LIMIT:
            if max(index, len(buffer)) > CHUNK_LINE_LIMIT:
                raise HttpError(400, "chunk line too long")
            return False
        raw_line = buffer.take(index + 1)
        if not raw_line.endswith(b"\r\n"):
            raise HttpError(400, "chunk line without CR LF")
        line = _strip_line_ending(raw_line[:-1])
        if self.mode == "size":
            size = line.partition(b";")[0].rstrip(b" \t")
            if not _HEX.fullmatch(size):
                raise HttpError(400, "bad chunk size")
            self.remaining = int(size, 16)
            self.count(self.remaining)
            self.mode = "chunk" if self.remaining else "trailer"
        elif self.mode == "end":
            if line:
                raise HttpError(400, "chunk longer than its size")
            self.mode = "size"
        elif not line:
            self.mode = "done"
        else:
            self.count(len(line))
        return True


class Reader:
    """Parses the messages of one direction of a connection incrementally."""

    def __init__(self, body_limit: int | None = BODY_LIMIT) -> None:
        self.buffer = Buffer()
        self.body_limit = body_limit
        self._scanned = self._head_size = 0  # bytes searched for a line end; head bytes consumed
        self._lines: list[bytes] = []
        self._message: Message | None = None
        self._body: _BodyReader | None = None
        self._body_data: list[bytes] = []

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has been read."""
        return self._message is not None or bool(self._lines) or len(self.buffer) > 0

    def feed(self, data: bytes) -> None:
        self.buffer.append(data)

    def head(self) -> Message | None:
        """The message whose body follows, or None until its head is complete."""
        if self._message is None:
            lines = self._head_lines()
            if lines is not None:
                self._message, self._body = self.parse_head(lines)
        return self._message

    def read_body(self) -> bytes:
        """The part of the body received since the last call, for streaming bodies."""
        return self._body.read(self.buffer) if self._body else b""

    def incomplete_message(self) -> Message | None:
        """The message whose head is complete and whose body is not, if any."""
        return self._message

    @property
    def body_complete(self) -> bool:
        """Whether the body that `read_body` returns is complete."""
        return self._body is not None and self._body.mode == "done"

    def next(self) -> Message | None:
        """The next complete message, or None if more input is needed."""
        message, body = self.head(), self._body
        if message is None or body is None:
            return None
        data = body.read(self.buffer)
        if data:
            self._body_data.append(data)
        return self._finish(message) if body.mode == "done" else None

    def finish_at_close(self) -> Message | None:
        """Return the message whose body is delimited by the close of the connection, if any."""
        if self._message is not None and self._body is not None and self._body.mode == "close":
            return self._finish(self._message)
        return None

    def _finish(self, message: Message) -> Message:
        message.body = b"".join(self._body_data)
        self._message, self._body, self._body_data = None, None, []
        return message

    def _head_lines(self) -> list[bytes] | None:
        """The lines of a complete head, else None. Accepts bare LF line ends and leading empty lines."""
        buffer = self.buffer
        while (index := buffer.find(b"\n", self._scanned)) >= 0:
            line, self._scanned = _strip_line_ending(buffer.take(index + 1)[:-1]), 0
            self._head_size += index + 1
            if self._head_size > HEAD_LIMIT:
                break
            if line:
                self._lines.append(line)
            elif self._lines:
                lines, self._lines, self._head_size = self._lines, [], 0
                return lines
        self._scanned = len(buffer)
        if self._head_size + len(buffer) > HEAD_LIMIT:
            raise HttpError(431, "head too large")
        return None

    def parse_head(self, lines: list[bytes]) -> tuple[Message, _BodyReader]:
        raise NotImplementedError

    def _body_framing(self, headers: Headers, default_mode: str, minor: bytes) -> _BodyReader:
        transfer_coding, length = headers.get(b"transfer-encoding"), headers.get(b"content-length")
        if transfer_coding is not None:
            if length is not None or minor == b"0":
                raise HttpError(400, "conflicting lengths")
            if transfer_coding.lower() != b"chunked":
                raise HttpError(501, "unknown transfer coding")
            return _BodyReader("size", 0, self.body_limit)
        if length is None:
            return _BodyReader(default_mode, 0, self.body_limit)
        if not _DIGITS.fullmatch(length):
            raise HttpError(400, "bad length")
        return _BodyReader("length", int(length), self.body_limit)


class RequestReader(Reader):
    def parse_head(self, lines: list[bytes]) -> tuple[Message, _BodyReader]:
        match = _REQUEST_LINE.fullmatch(lines[0])
        if match is None:
            raise HttpError(400, "bad request line")
        method, target, minor = match.groups()
        if not _TARGET.fullmatch(target):
            raise HttpError(400, "bad target")
        headers = _parse_headers(lines[1:])
        if method in (b"POST", b"PUT", b"PATCH") and not headers.keys() & {
            b"content-length",
            b"transfer-encoding",
        }:
            raise HttpError(411, "length required")
        body = self._body_framing(headers, "length", minor)
        return Request(headers, b"", _is_persistent(headers, minor), method, target), body


class ResponseReader(Reader):
    def parse_head(self, lines: list[bytes]) -> tuple[Message, _BodyReader]:
        match = _STATUS_LINE.fullmatch(lines[0])
        if match is None:
            raise HttpError(400, "bad status line")
        minor, status = match[1], int(match[2])
        headers = _parse_headers(lines[1:])
        bodiless = status < 200 or status in (204, 304)
        body = _BodyReader("length", 0, None) if bodiless else self._body_framing(headers, "close", minor)
        keep_alive = _is_persistent(headers, minor) and body.mode != "close"
        return Response(headers, b"", keep_alive, status), body


def _strip_line_ending(line: bytes) -> bytes:
    line = line.removesuffix(b"\r")
    if _CONTROL_CHARACTER.search(line):
        raise HttpError(400, "control character")
    return line


def _parse_headers(lines: list[bytes]) -> Headers:
    headers: Headers = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise HttpError(400, "bad header")
        name, value = name.lower(), value.strip(b" \t")
        if name in SINGLETON_FIELDS and (name in headers or not _FIELD_VALUE.fullmatch(value)):
            raise HttpError(400, "header repeated or not in ASCII")
        headers[name] = headers[name] + b"," + value if name in headers else value
    return headers


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """The header fields that a gateway forwards: neither hop-by-hop nor listed in Connection."""
    connection_options = {name.strip().lower() for name in headers.get(b"connection", b"").split(b",")}
    return [
        header
        for header in headers.items()
        if header[0] not in HOP_BY_HOP and header[0] not in connection_options
    ]


def _is_persistent(headers: Headers, minor: bytes) -> bool:
    options = {option.strip().lower() for option in headers.get(b"connection", b"").split(b",")}
    return b"close" not in options and (minor == b"1" or b"keep-alive" in options)


def request(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    lines = [b"%b %b HTTP/1.1" % (method, target), *(b"%b: %b" % header for header in headers)]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def response(
    status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = (), keep_alive: bool = True
) -> bytes:
    lines = [b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())]
    if status != 204:
        lines.append(b"Content-Length: %d" % len(body))
    lines += [b"%b: %b" % header for header in headers]
    if not keep_alive:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
