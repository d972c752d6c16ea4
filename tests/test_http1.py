"""Tables of messages for the HTTP/1.1 parsers, passed in one piece and byte by byte."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bitternpath.net.buffer import COMPACTION_THRESHOLD, Buffer
from bitternpath.net.http1 import (
    BODY_LIMIT,
    HEAD_LIMIT,
    HttpError,
    Message,
    Reader,
    RequestReader,
    Response,
    ResponseReader,
    request,
    response,
)
from bitternpath.net.http1 import Request as HttpRequest

POST = b"POST /a?b=1 HTTP/1.1\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def parse_in_steps(reader: Reader, data: bytes, step: int) -> Iterator[Message]:
    for at in range(0, len(data), step):
        reader.feed(data[at : at + step])
        while (message := reader.next()) is not None:
            yield message


VALID_REQUESTS = [
    ("no body", b"GET /ready HTTP/1.1\r\n\r\n", [(b"GET", b"/ready", b"", True)]),
    ("bare line feeds", b"GET / HTTP/1.1\nA: b\n\n", [(b"GET", b"/", b"", True)]),
    ("leading empty lines", b"\r\n\r\nGET / HTTP/1.1\r\n\r\n", [(b"GET", b"/", b"", True)]),
    ("length", POST + b"Content-Length: 3\r\n\r\nabc", [(b"POST", b"/a?b=1", b"abc", True)]),
    ("length zero", POST + b"content-length: 0\r\n\r\n", [(b"POST", b"/a?b=1", b"", True)]),
    ("chunked", CHUNKED + b"2;x=y\r\nab\r\nA\r\n0123456789\r\n0\r\nT: v\r\n\r\n", [(b"POST", b"/a?b=1", b"ab0123456789", True)]),
    ("last chunk only", CHUNKED + b"0\r\n\r\n", [(b"POST", b"/a?b=1", b"", True)]),
    ("close", b"GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", [(b"GET", b"/", b"", False)]),
    ("HTTP/1.0", b"GET / HTTP/1.0\r\n\r\n", [(b"GET", b"/", b"", False)]),
    ("HTTP/1.0 keep-alive", b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", [(b"GET", b"/", b"", True)]),
    (
        "pipelined",
        CHUNKED + b"1\r\nz\r\n0\r\n\r\n" + POST + b"Content-Length: 2\r\n\r\nhiGET /x HTTP/1.1\r\n\r\n",
        [(b"POST", b"/a?b=1", b"z", True), (b"POST", b"/a?b=1", b"hi", True), (b"GET", b"/x", b"", True)],
    ),
    ("largest body", POST + b"Content-Length: %d\r\n\r\n" % BODY_LIMIT + b"x" * BODY_LIMIT, [(b"POST", b"/a?b=1", b"x" * BODY_LIMIT, True)]),
]  # fmt: skip


@pytest.mark.parametrize("step", [1, 7, 1 << 20])
@pytest.mark.parametrize(
    ("data", "expected"), [c[1:] for c in VALID_REQUESTS], ids=[c[0] for c in VALID_REQUESTS]
)
def test_requests(data: bytes, expected: list[tuple[object, ...]], step: int) -> None:
    reader = RequestReader()
    messages = [m for m in parse_in_steps(reader, data, step) if isinstance(m, HttpRequest)]
    assert [(m.method, m.target, m.body, m.keep_alive) for m in messages] == expected
    assert not reader.has_partial_message


MALFORMED_REQUESTS = [
    (400, b"nonsense\r\n\r\n"),
    (400, b"GET  / HTTP/1.1\r\n\r\n"),
    (400, b"GET / HTTP/2.0\r\n\r\n"),
    (400, b"GET http://a/ HTTP/1.1\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\nA : b\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"),
    (400, b"GET / HTTP/1.1\r\nA: \x00\r\n\r\n"),
    (400, POST + b"Content-Length: -1\r\n\r\n"),
    (400, POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    (400, POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
    (400, POST + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
    (400, POST + b"Content-Length: 1, 1\r\n\r\nx"),
    (400, POST + b"Content-Length: +1\r\n\r\nx"),
    (400, POST + b"Content-Length:\r\n\r\n"),
    (400, POST + b"Content-Length: 0x1\r\n\r\nx"),
    (400, POST + b"Content-Length: 99999999999999999999\r\n\r\n"),
    (400, POST + b"Content-Length : 1\r\n\r\nx"),
    (400, POST + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    (400, b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    (400, POST + b"X-Call-Id: a\r\nx-call-id: b\r\nContent-Length: 0\r\n\r\n"),
    (400, POST + b"X-Budget-Ms: 5\r\nX-Budget-Ms: 5\r\nContent-Length: 0\r\n\r\n"),
    (400, POST + b"X-Call-Info: \xff\r\nContent-Length: 0\r\n\r\n"),
    (400, b"GET /\xff HTTP/1.1\r\n\r\n"),
    (400, b"GET /#x HTTP/1.1\r\n\r\n"),
    (400, CHUNKED + b"1\nx\r\n0\r\n\r\n"),
    (400, CHUNKED + b"1\r\nx\n0\r\n\r\n"),
    (400, CHUNKED + b"g\r\n"),
    (400, CHUNKED + b"-1\r\n"),
    (400, CHUNKED + b"1\r\nab\r\n"),
    (400, CHUNKED + b"1" * 2000),
    (411, POST + b"\r\n"),
    (413, POST + b"Content-Length: %d\r\n\r\n" % (BODY_LIMIT + 1)),
    (413, CHUNKED + b"%x\r\n" % (BODY_LIMIT + 1)),
    (413, CHUNKED + (b"8000\r\n" + b"x" * 0x8000 + b"\r\n") * 3),
    (431, POST + b"A: " + b"x" * HEAD_LIMIT),
    (431, POST + b"A: b\r\n" * (HEAD_LIMIT // 6)),
    (501, POST + b"Transfer-Encoding: chunked, chunked\r\n\r\n"),
    (501, POST + b"Transfer-Encoding: identity\r\n\r\n"),
    (501, POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n"),
]


@pytest.mark.parametrize("step", [1, 1 << 20])
@pytest.mark.parametrize(("status", "data"), MALFORMED_REQUESTS)
def test_malformed_requests(status: int, data: bytes, step: int) -> None:
    with pytest.raises(HttpError) as error:
        list(parse_in_steps(RequestReader(), data, step))
    assert error.value.status == status


RESPONSES = [
    (b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\nok", [(202, b"ok", True)]),
    (b"HTTP/1.1 204\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", [(204, b"", True), (503, b"", True)]),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
     [(100, b"", True), (200, b"a", True)]),
    (b"HTTP/1.1 200 OK\r\n\r\nup to the end", [(200, b"up to the end", False)]),
]  # fmt: skip


@pytest.mark.parametrize("step", [1, 1 << 20])
@pytest.mark.parametrize(("data", "expected"), RESPONSES)
def test_responses(data: bytes, expected: list[tuple[object, ...]], step: int) -> None:
    reader = ResponseReader()
    messages: list[Message | None] = list(parse_in_steps(reader, data, step))
    messages.append(reader.finish_at_close())
    assert [(m.status, m.body, m.keep_alive) for m in messages if isinstance(m, Response)] == expected


@pytest.mark.parametrize("step", [1, 1 << 20])
def test_serialized_messages_can_be_parsed(step: int) -> None:
    (parsed_request,) = parse_in_steps(
        RequestReader(), request(b"POST", b"/x?y", [(b"Host", b"h")], b"body"), step
    )
    assert isinstance(parsed_request, HttpRequest) and (
        parsed_request.target,
        parsed_request.body,
        parsed_request.headers[b"host"],
    ) == (
        b"/x?y",
        b"body",
        b"h",
    )
    (parsed_response,) = parse_in_steps(
        ResponseReader(), response(429, b"no", ((b"Retry-After", b"1"),), False), step
    )
    assert isinstance(parsed_response, Response) and (
        parsed_response.status,
        parsed_response.body,
        parsed_response.keep_alive,
    ) == (429, b"no", False)


def test_buffer_returns_appended_bytes_and_frees_consumed_ones() -> None:
    buffer = Buffer()
    for k in range(100):
        buffer.append(bytes([k]) * COMPACTION_THRESHOLD)
        assert buffer.find(bytes([k])) == 0
        assert buffer.take(COMPACTION_THRESHOLD) == bytes([k]) * COMPACTION_THRESHOLD
    assert len(buffer) == 0 and len(buffer._data) <= 2 * COMPACTION_THRESHOLD
