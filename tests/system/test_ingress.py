"""What clients, pulling workers, the platform and the operator get from the HTTP servers of an edge node.

Connections are in memory and time is virtual, but for the tests of closing, which need real sockets.
"""

from __future__ import annotations

import socket
import unittest
from collections.abc import Iterable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.validation import parse_configuration
from bitternpath.ingress.channel import DRAINING_READ_TIMEOUT_S, FLUSH_TIMEOUT_S, LINGER_S
from bitternpath.ingress.client_api import LEASE_CALL_TIMEOUT_S, LOOKUP_TIMEOUT_S
from bitternpath.ingress.interfaces import (
    Acceptance,
    AcceptResult,
    FoundMessage,
    LeaseAnswer,
    LookupFailure,
    OperatorReply,
    PulledJob,
)
from bitternpath.ingress.pull_calls import PULL_GRACE_S
from bitternpath.ingress.servers import build_client_server, build_operator_server, build_readiness_server
from bitternpath.net.http1 import Response, ResponseReader
from bitternpath.transport.records import Header, Message, MessageState
from tests.system import Loopback

ROUTES = [
    {"name": "plain", "host": "a.example", "path_prefix": "/p/", "timeout_ms": 1000, "service": "s"},
    {
        "name": "full",
        "host": "a.example",
        "path_prefix": "/p/full/",
        "timeout_ms": 1000,
        "service": "s",
        "ordered": True,
        "callback_url": True,
    },
]
LIMITS = {
    "max_header_bytes": 1_000,
    "max_body_bytes": 2_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
HEAD = b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"


def routing(version: int = 5) -> RoutingTable:
    document = {"version": version, "routes": ROUTES, "services": [{"name": "s"}], "limits": LIMITS}
    return RoutingTable(parse_configuration(document))


def job(request_id: str = "r9", lease_id: str = "L1") -> PulledJob:
    message = Message(
        request_id, "PUT", "a.example", "/p/%41?q=\xe9", (), "k", "plain", 5, 0, "", "e", 0, b"\x00body"
    )
    return PulledJob(lease_id, message)


class FakePull:
    """A waiting pull whose end the test decides."""

    def __init__(self) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeNode:
    """An edge node whose results the test gives."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = routing()
        self.ready = True
        self.accepted: list[tuple[Message, int]] = []
        self.acceptances: list[Deferred[Acceptance]] = []
        self.found: Deferred[FoundMessage | LookupFailure] = Deferred()
        self.lookups: list[tuple[str, bool]] = []
        self.waiting_pulls: list[FakePull] = []
        self.pulls: list[tuple[str, str, int]] = []
        self.lease: LeaseAnswer | None = LeaseAnswer.ACKNOWLEDGED  # None: no response
        self.ends: list[tuple[str, str, int, str]] = []
        self.extensions: list[tuple[str, str]] = []
        self.orders: list[tuple[str, str, str, bytes]] = []
        self.reply: OperatorReply | None = OperatorReply(200, b'{"version":5}')  # None: no response
        self.late_reply: Deferred[OperatorReply] = Deferred()

    def is_ready(self) -> bool:
        return self.ready

    def routing(self) -> RoutingTable | None:
        return self.table

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        self.accepted.append((message, deadline_ms))
        self.acceptances.append(Deferred())
        return self.acceptances[-1]

    def find_message(self, message_id: str, *, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        self.lookups.append((message_id, wants_body))
        return self.found

    def pull(self, service: str, instance: str, wait_ms: int) -> FakePull:
        self.pulls.append((service, instance, wait_ms))
        self.waiting_pulls.append(FakePull())
        return self.waiting_pulls[-1]

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        self.ends.append((lease_id, request_id, status, stamp))
        return Deferred() if self.lease is None else succeed(self.lease)

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        self.extensions.append((lease_id, request_id))
        return Deferred() if self.lease is None else succeed(self.lease)

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        self.orders.append((method, path, if_match, body))
        return self.late_reply if self.reply is None else succeed(self.reply)


class _Handle:
    """The socket below a connection in memory: it holds what has come and isn't read."""

    unread = b""

    def recv(self, size: int, flags: int) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]


class _Wire:
    """A connection in memory that records what was written and how it was closed."""

    def __init__(self) -> None:
        self.handle = _Handle()
        self.written = bytearray()
        self.disconnecting = self.half_closed = self.aborted = False

    def getHandle(self) -> _Handle:
        return self.handle

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "10.0.0.1", 8069)

    getPeer = getHost

    def write(self, data: bytes) -> None:
        if not (self.disconnecting or self.half_closed or self.aborted):
            self.written.extend(data)

    def writeSequence(self, parts: Iterable[bytes]) -> None:
        self.write(b"".join(parts))

    def loseWriteConnection(self) -> None:
        self.half_closed = True

    def loseConnection(self) -> None:
        self.disconnecting = True

    def abortConnection(self) -> None:
        self.aborted = True


class Client:
    """One connection to a server, in memory."""

    def __init__(self, server: Any) -> None:
        self.channel = server.buildProtocol(None)
        self.wire = _Wire()
        self.channel.makeConnection(self.wire)

    def send(self, data: bytes, step: int = 0) -> Client:
        """Let the server read `data`, in chunks of `step` bytes if that isn't 0."""
        for at in range(0, len(data), step or len(data)):
            self.channel.dataReceived(data[at : at + (step or len(data))])
        return self

    def lose(self, clean: bool = False) -> None:
        self.channel.connectionLost(Failure(ConnectionDone() if clean else ConnectionLost()))

    def responses(self) -> list[Response]:
        """All responses so far; fails if the bytes are anything else."""
        reader = ResponseReader()
        reader.feed(bytes(self.wire.written))
        responses = []
        while (response := reader.next()) is not None:
            assert isinstance(response, Response)
            responses.append(response)
        if reader.begun:
            raise AssertionError(f"incomplete response: {self.wire.written!r}")
        return responses

    def statuses(self) -> list[int]:
        return [response.status for response in self.responses()]

    @property
    def closed(self) -> bool:
        """Whether the server sends no more."""
        return self.wire.disconnecting or self.wire.half_closed or self.wire.aborted


class ClientServerCase(unittest.TestCase):
    """A server for clients in virtual time."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.node = FakeNode()
        self.server = self.new_server()

    def new_server(self, max_connections: int = 100) -> Any:
        return build_client_server(
            self.node, self.clock, origin="edge-1", max_connections=max_connections, wall_ms=lambda: 77
        )

    def client(self) -> Client:
        return Client(self.server)

    def ask(self, data: bytes, step: int = 0) -> Client:
        return self.client().send(data, step)

    def accept(self, index: int = -1, message_id: str = "m-1") -> None:
        self.node.acceptances[index].callback(Acceptance(AcceptResult.ACCEPTED, message_id))


class TestAcceptance(ClientServerCase):
    """A message that is accepted, and what the node gets."""

    def test_all_fields_of_a_message(self) -> None:
        head = (
            b"PATCH /p/full/%2e%2e//a;b?q=%41&r HTTP/1.1\r\nHost: A.example:8069\r\nX-Request-Id: r1\r\n"
            b"X-Order-Key: k 1\r\nX-Delay-Ms: 1500\r\nX-Callback-Url: http://10.0.0.1:80/done?x=%20\r\n"
            b"X-Deadline-Ms: 2000\r\nX-Expect-Instance: i-1\r\nContent-Type: a/b\r\n"
            b"Accept: x\r\naccept: y\r\n"
            b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\n"
            b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"
        )
        self.ask(head + b"\x00\r\n\xff.")
        (message, wait_ms), *more = self.node.accepted
        forwarded = (Header("Content-Type", "a/b"), Header("Accept", "x"), Header("Accept", "y"))
        expected = Message(
            request_id="r1",
            method="PATCH",
            host="A.example:8069",
            target="/p/full/%2e%2e//a;b?q=%41&r",
            headers=forwarded,
            order_key="k 1",
            route="full",
            accepted_version=5,
            delay_ms=1500,
            callback_url="http://10.0.0.1:80/done?x=%20",
            origin="edge-1",
            accepted_wall_ms=77,
            body=b"\x00\r\n\xff.",
        )
        self.assertEqual((message, more), (expected, []))
        self.assertTrue(1500 <= wait_ms < 2000)

    def test_order_key_and_callback_only_where_the_route_has_them(self) -> None:
        self.ask(HEAD + b"X-Order-Key: k\r\nX-Callback-Url: http://h/\r\n\r\n")
        message = self.node.accepted[0][0]
        self.assertEqual((message.order_key, message.callback_url), ("", ""))
        self.assertEqual(message.headers, (Header("X-Order-Key", "k"),))

    def test_bodies_in_each_framing(self) -> None:
        table = [
            ("no body", b"\r\n", b""),
            ("empty", b"Content-Length: 0\r\n\r\n", b""),
            ("length", b"Content-Length: 4\r\n\r\nabcd", b"abcd"),
            ("largest", b"Content-Length: 2000\r\n\r\n" + b"x" * 2000, b"x" * 2000),
            (
                "chunks",
                b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nA;x=1\r\n0123456789\r\n0\r\n\r\n",
                b"ab0123456789",
            ),
            ("trailer", b"Transfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nX-T: 1\r\n\r\n", b"a"),
            (
                "largest in chunks",
                b"Transfer-Encoding: chunked\r\n\r\n7D0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n",
                b"x" * 2000,
            ),
        ]
        for name, rest, body in table:
            for step in (0, 1, 7):
                with self.subTest(name, step=step):
                    self.node.accepted.clear()
                    client = self.ask(HEAD + rest, step)
                    self.assertEqual([m.body for m, _ in self.node.accepted], [body])
                    self.accept()
                    self.assertEqual(client.statuses(), [202])
                    self.assertFalse(client.closed)

    @settings(max_examples=200, deadline=None)
    @given(
        target=st.binary(max_size=60),
        method=st.sampled_from([b"POST", b"get", b"HEAD", b"X-Y_1", b"OPTIONS"]),
    )
    def test_method_and_target_are_kept_byte_for_byte(self, target: bytes, method: bytes) -> None:
        self.setUp()
        target = b"/p/" + bytes(byte for byte in target if 0x20 < byte < 0x7F)
        self.ask(HEAD.replace(b"POST /p/x", method + b" " + target) + b"\r\n")
        (message, _), *more = self.node.accepted
        self.assertEqual((message.target.encode("latin-1"), message.method.encode()), (target, method))
        self.assertEqual(more, [])

    def test_form_bodies_are_not_parsed(self) -> None:
        for kind in (b"application/x-www-form-urlencoded", b"multipart/form-data; boundary=x"):
            with self.subTest(kind):
                self.node.accepted.clear()
                self.ask(HEAD + b"Content-Type: " + kind + b"\r\nContent-Length: 5\r\n\r\na=%zz")
                self.assertEqual([m.body for m, _ in self.node.accepted], [b"a=%zz"])

    def test_continue_is_sent_before_the_body(self) -> None:
        client = self.ask(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.assertEqual(client.statuses(), [100])
        client.send(b"ab")
        self.accept()
        self.assertEqual(client.statuses(), [100, 202])

    def test_response_for_each_result(self) -> None:
        table = [
            (Acceptance(AcceptResult.ACCEPTED, "s1-r1"), 202, {b"x-message-id": b"s1-r1"}),
            (Acceptance(AcceptResult.ACCEPTED), 202, {b"x-message-id": b"r1"}),
            (Acceptance(AcceptResult.REJECTED, retry_after_s=3), 503, {b"retry-after": b"3"}),
            (Acceptance(AcceptResult.REJECTED, retry_after_s=0), 503, {b"retry-after": b"1"}),
            (Acceptance(AcceptResult.UNKNOWN), 504, {}),
        ]
        for acceptance, status, headers in table:
            with self.subTest(acceptance):
                client = self.ask(HEAD + b"\r\n")
                self.assertEqual(client.responses(), [])
                self.node.acceptances[-1].callback(acceptance)
                (response,) = client.responses()
                self.assertEqual(response.status, status)
                self.assertLessEqual(headers.items(), response.headers.items())

    def test_node_that_fails_or_times_out_gives_504(self) -> None:
        client = self.ask(HEAD + b"\r\n")
        self.node.acceptances[-1].errback(RuntimeError("planned"))
        self.assertEqual(client.statuses(), [504])
        for header, deadline_s in (
            (b"", 1.0),
            (b"X-Deadline-Ms: 400\r\n", 0.4),
            (b"X-Deadline-Ms: 20\r\n", 0.1),
        ):
            with self.subTest(header):
                client = self.ask(HEAD + header + b"\r\n")
                self.clock.advance(deadline_s)
                self.assertEqual(client.statuses(), [504])
                self.accept()  # too late: no second response
                self.assertEqual(client.statuses(), [504])

    def test_client_that_disconnects_while_its_message_is_appended(self) -> None:
        for acceptance in AcceptResult:
            with self.subTest(acceptance):
                client = self.ask(HEAD + b"\r\n")
                client.lose()
                self.node.acceptances[-1].callback(Acceptance(acceptance, "m"))
                self.clock.advance(5)
                self.assertEqual(client.responses(), [])
        self.assertEqual(len(self.node.accepted), len(AcceptResult))

    def test_client_that_disconnects_before_its_message_is_complete(self) -> None:
        for data in (
            HEAD,
            HEAD + b"Content-Length: 3\r\n\r\nab",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        ):
            with self.subTest(data):
                self.ask(data).lose(clean=True)
                self.assertEqual(self.node.accepted, [])

    def test_client_that_half_closes_gets_its_response(self) -> None:
        client = self.ask(HEAD + b"\r\n")
        client.channel.readConnectionLost()
        self.assertFalse(client.closed)
        self.accept()
        self.assertEqual(client.statuses(), [202])
        self.assertTrue(client.closed)

    def test_messages_with_paths_like_those_of_calls(self) -> None:
        for line in (
            b"POST /message/r1",
            b"GET /pull/s",
            b"GET /message/a/b",
            b"GET /message/",
            b"GET /message",
        ):
            with self.subTest(line):
                client = self.ask(HEAD.replace(b"POST /p/x", line) + b"\r\n")
                self.assertEqual(client.statuses(), [404])
        self.assertEqual((self.node.lookups, self.node.pulls), ([], []))


class TestRejection(ClientServerCase):
    """Requests that are not accepted: one response, and the node is never called."""

    def assert_rejected(self, data: bytes, status: int, closed: bool) -> None:
        for step in (0, 1, 5):
            with self.subTest(data[:80], step=step):
                client = self.ask(data, step)
                self.assertEqual(client.statuses(), [status])
                self.assertEqual(client.closed, closed)
                self.assertEqual(self.node.accepted, [])
                client.lose()

    def test_headers(self) -> None:
        base = b"POST /p/full/ HTTP/1.1\r\nHost: a.example\r\n"
        table = [
            (base + b"\r\n", 400),
            (base + b"X-Request-Id:\r\n\r\n", 400),
            (base + b"X-Request-Id: a b\r\n\r\n", 400),
            (base + b"X-Request-Id: a\r\nX-Request-ID: b\r\n\r\n", 400),
            (base + b"X-Request-Id: " + b"a" * 129 + b"\r\n\r\n", 400),
            (HEAD + b"X-Delay-Ms: soon\r\n\r\n", 400),
            (HEAD + b"X-Delay-Ms: -1\r\n\r\n", 400),
            (HEAD + b"X-Delay-Ms: 1\r\nX-Delay-Ms: 2\r\n\r\n", 400),
            (HEAD + b"X-Deadline-Ms: 1e3\r\n\r\n", 400),
            (base + b"X-Request-Id: r\r\nX-Callback-Url: ftp://10.0.0.1/\r\n\r\n", 400),
            (base + b"X-Request-Id: r\r\nX-Callback-Url: http://a.example/\r\n\r\n", 400),
            (base + b"X-Request-Id: r\r\nX-Order-Key: a\r\nX-Order-Key: b\r\n\r\n", 400),
            (HEAD.replace(b"a.example", b"b.example") + b"\r\n", 404),
            (HEAD.replace(b"/p/x", b"/q/x") + b"\r\n", 404),
            (HEAD.replace(b"/p/x", b"/p") + b"\r\n", 404),
            (HEAD.replace(b"/p/x", b"http://a.example/p/x") + b"\r\n", 400),
            (HEAD.replace(b"/p/x", b"*") + b"\r\n", 400),
        ]
        for data, status in table:
            self.assert_rejected(data, status, closed=False)

    def test_without_a_configuration(self) -> None:
        self.node.table = None
        client = self.ask(HEAD + b"\r\n")
        (response,) = client.responses()
        self.assertEqual((response.status, response.headers[b"retry-after"]), (503, b"1"))

    def test_malformed_requests_get_one_response_and_nothing_after_them_is_read(self) -> None:
        smuggled = HEAD.replace(b"r1", b"smuggled") + b"\r\n"
        chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        body = b"Content-Length: 3\r\n\r\nabc"
        table = [
            ("both lengths", HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"),
            (
                "both lengths, reversed",
                HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            ("two lengths", HEAD + b"Content-Length: 3\r\nContent-Length: 5\r\n\r\nabc"),
            ("one length twice", HEAD + b"Content-Length: 3\r\n" + body),
            ("list of lengths", HEAD + b"Content-Length: 3, 3\r\n\r\nabc"),
            ("signed length", HEAD + b"Content-Length: +3\r\n\r\nabc"),
            ("negative length", HEAD + b"Content-Length: -3\r\n\r\nabc"),
            ("hexadecimal length", HEAD + b"Content-Length: 0x3\r\n\r\nabc"),
            ("empty length", HEAD + b"Content-Length:\r\n\r\nabc"),
            ("endless length", HEAD + b"Content-Length: " + b"9" * 500 + b"\r\n\r\nabc"),
            ("space before colon", HEAD + b"Content-Length : 3\r\n\r\nabc"),
            ("folded header", HEAD + b"X-A: b\r\n c\r\n" + body),
            ("folded length", HEAD + b"X-A: b\r\n\tContent-Length: 3\r\n\r\n"),
            ("folded first header", b"POST /p/x HTTP/1.1\r\n Host: a.example\r\nX-Request-Id: r\r\n\r\n"),
            ("bare line feed", HEAD + b"X-A: b\nContent-Length: 3\r\n\r\n"),
            ("bare carriage return", HEAD + b"X-A: b\rX-B: c\r\n\r\n"),
            ("null", HEAD + b"X-A: \x00\r\n\r\n"),
            ("no colon", HEAD + b"X-A\r\n\r\n"),
            ("empty name", HEAD + b": x\r\n\r\n"),
            ("identity", HEAD + b"Transfer-Encoding: identity\r\n" + body),
            ("gzip", HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            ("chunked twice", HEAD + b"Transfer-Encoding: chunked\r\n" + chunked[len(HEAD) :] + b"0\r\n\r\n"),
            ("chunked in 1.0", chunked.replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n"),
            ("chunk size", chunked + b"zz\r\nabc\r\n0\r\n\r\n"),
            ("signed chunk size", chunked + b"+3\r\nabc\r\n0\r\n\r\n"),
            ("prefixed chunk size", chunked + b"0x3\r\nabc\r\n0\r\n\r\n"),
            ("empty chunk size", chunked + b"\r\nabc\r\n0\r\n\r\n"),
            ("short chunk", chunked + b"4\r\nabc\r\n0\r\n\r\n"),
            ("long chunk", chunked + b"2\r\nabc\r\n0\r\n\r\n"),
            ("no host", b"POST /p/x HTTP/1.1\r\nX-Request-Id: r\r\n\r\n"),
            ("two hosts", HEAD + b"Host: b.example\r\n\r\n"),
            ("four words", HEAD.replace(b"/p/x", b"/p/x y") + b"\r\n"),
            ("two words", HEAD.replace(b" HTTP/1.1", b"") + b"\r\n"),
            ("other version", HEAD.replace(b"HTTP/1.1", b"HTTP/2.0") + b"\r\n"),
            ("bad method", HEAD.replace(b"POST", b"PO(T") + b"\r\n"),
            ("garbage", b"\x16\x03\x01\x02\x00\x01\r\n\r\n"),
        ]
        for name, data in table:
            with self.subTest(name):
                self.assert_rejected(data + smuggled, 400, closed=True)

    def test_sizes(self) -> None:
        over = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        table = [
            (HEAD + b"Content-Length: 2001\r\n\r\n" + b"x" * 2001, 413),
            (HEAD + b"Expect: 100-continue\r\nContent-Length: 2001\r\n\r\n", 413),
            (over + b"7D1\r\n" + b"x" * 2001 + b"\r\n0\r\n\r\n", 413),
            (over + b"3E8\r\n" + b"x" * 1000 + b"\r\n3E9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n", 413),
            (HEAD + b"X-A: " + b"x" * 1000 + b"\r\n\r\n", 431),
            (HEAD + b"X-A: " + b"x" * 20_000 + b"\r\n\r\n", 431),
            (HEAD + b"X-A: xxxxx\r\n" * 100 + b"\r\n", 431),
            (HEAD.replace(b"/p/x", b"/p/" + b"x" * 1000) + b"\r\n", 431),
            (b"x" * 20_000, 431),
        ]
        for data, status in table:
            self.assert_rejected(data, status, closed=True)

    def test_limits_are_those_in_force_at_the_request(self) -> None:
        client = self.ask(HEAD + b"Content-Length: 1500\r\n\r\n" + b"x" * 1500)
        self.accept()
        tighter = {**LIMITS, "max_body_bytes": 1000}
        document = {"version": 6, "routes": ROUTES, "services": [{"name": "s"}], "limits": tighter}
        self.node.table = RoutingTable(parse_configuration(document))
        client.send(HEAD + b"Content-Length: 1500\r\n\r\n")
        self.assertEqual(client.statuses(), [202, 413])

    def test_after_an_error_input_is_discarded_for_the_linger_time(self) -> None:
        client = self.ask(HEAD + b"Content-Length: 5000\r\n\r\n")
        self.assertTrue(client.wire.half_closed)
        self.assertFalse(client.wire.disconnecting)
        client.send(b"x" * 5000)
        self.assertEqual(client.statuses(), [413])
        self.clock.advance(LINGER_S)
        self.assertTrue(client.wire.aborted)


class TestPipelining(ClientServerCase):
    """Several requests on one connection."""

    def test_in_turn(self) -> None:
        first, second = HEAD + b"\r\n", HEAD.replace(b"r1", b"r2") + b"Content-Length: 2\r\n\r\nab"
        for step in (0, 1, 9):
            with self.subTest(step=step):
                self.node.accepted.clear()
                client = self.ask(first + second, step)
                self.assertEqual([m.request_id for m, _ in self.node.accepted], ["r1"])
                self.accept(message_id="one")
                self.assertEqual([m.request_id for m, _ in self.node.accepted], ["r1", "r2"])
                self.accept(message_id="two")
                names = [response.headers[b"x-message-id"] for response in client.responses()]
                self.assertEqual(names, [b"one", b"two"])
                self.assertFalse(client.closed)

    def test_many_requests_in_one_segment(self) -> None:
        unknown = HEAD.replace(b"/p/x", b"/q") + b"\r\n"
        client = self.ask(unknown * 500)
        self.assertEqual(client.statuses(), [404] * 500)

    def test_error_after_a_good_one(self) -> None:
        client = self.ask(HEAD + b"\r\n" + b"garbage\r\n\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202, 400])
        self.assertTrue(client.closed)

    def test_nothing_is_read_after_close(self) -> None:
        client = self.ask(HEAD + b"Connection: foo, Close\r\n\r\n" + HEAD + b"\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202])
        self.assertEqual(client.responses()[0].headers[b"connection"], b"close")
        self.assertTrue(client.closed)
        self.assertEqual(len(self.node.accepted), 1)

    def test_old_version_closes(self) -> None:
        client = self.ask(HEAD.replace(b"1.1", b"1.0") + b"\r\n")
        self.accept()
        self.assertTrue(client.closed)


class TestTimeouts(ClientServerCase):
    """Connections that are slow or idle."""

    def test_head_that_trickles(self) -> None:
        client = self.client()
        for byte in HEAD[:29]:
            client.send(bytes((byte,)))
            self.clock.advance(0.1)
        self.assertEqual(client.responses(), [])
        client.send(b"x")
        self.clock.advance(0.2)
        self.assertEqual(client.statuses(), [408])
        self.assertTrue(client.closed)
        self.assertEqual(self.node.accepted, [])

    def test_slow_body(self) -> None:
        client = self.ask(HEAD + b"Content-Length: 10\r\n\r\n")
        for _ in range(3):
            self.clock.advance(14.9)
            client.send(b"x")
        self.assertFalse(client.closed)
        self.clock.advance(15)
        self.assertEqual(client.statuses(), [408])

    def test_idle_connections(self) -> None:
        client = self.client()
        self.clock.advance(14.9)
        client.send(HEAD + b"\r\n")
        self.accept()
        self.clock.advance(14.9)
        self.assertFalse(client.closed)
        self.clock.advance(0.2)
        self.assertTrue(client.closed)
        self.assertEqual(client.statuses(), [202])

    def test_idle_connection_whose_next_request_has_come_is_not_closed(self) -> None:
        client = self.client()
        client.wire.handle.unread = HEAD
        self.clock.advance(15)
        self.assertFalse(client.closed)

    def test_no_idle_time_out_while_a_response_is_awaited(self) -> None:
        client = self.ask(b"POST /pull/s HTTP/1.1\r\nHost: a\r\nX-Instance-Id: i\r\nX-Wait-Ms: 29000\r\n\r\n")
        self.clock.advance(28)
        self.assertFalse(client.closed)

    def test_peer_that_reads_nothing_is_aborted(self) -> None:
        client = self.ask(HEAD + b"Connection: close\r\n\r\n")
        self.accept()
        self.assertFalse(client.wire.aborted)
        self.clock.advance(FLUSH_TIMEOUT_S)
        self.assertTrue(client.wire.aborted)

    def test_a_lost_connection_leaves_no_timer(self) -> None:
        for data in (b"", HEAD, HEAD + b"Content-Length: 4\r\n\r\n", b"garbage\r\n\r\n"):
            (self.ask(data) if data else self.client()).lose()
        self.assertEqual((self.clock.getDelayedCalls(), self.server.channels), ([], {}))

    def test_too_many_connections(self) -> None:
        self.server = self.new_server(max_connections=2)
        first = self.client()
        self.client()
        self.assertIsNone(self.server.buildProtocol(None))
        first.lose()
        self.assertIsNotNone(self.server.buildProtocol(None))


class TestShutdown(ClientServerCase):
    """Complete requests get their response; then every connection ends."""

    def test_idle_and_busy_connections(self) -> None:
        idle, busy = self.client(), self.ask(HEAD + b"\r\n")
        done = self.server.begin_shutdown()
        self.assertTrue(idle.closed)
        self.assertFalse(busy.closed)
        idle.lose(clean=True)
        self.accept()
        self.assertEqual(busy.responses()[0].headers[b"connection"], b"close")
        self.assertEqual(busy.statuses(), [202])
        self.assertTrue(busy.closed)
        self.assertFalse(done.called)
        busy.lose(clean=True)
        self.assertTrue(done.called)

    def test_partly_read_request(self) -> None:
        quick, slow = self.ask(HEAD), self.ask(HEAD + b"Content-Length: 4\r\n\r\nab")
        self.server.begin_shutdown()
        quick.send(b"\r\n")
        self.accept()
        self.assertEqual(quick.statuses(), [202])
        self.clock.advance(DRAINING_READ_TIMEOUT_S)
        self.assertEqual(slow.statuses(), [408])

    def test_pipelined_requests_all_get_a_response(self) -> None:
        client = self.ask((HEAD + b"\r\n") * 3)
        self.server.begin_shutdown()
        for _ in range(3):
            self.accept()
        self.assertEqual(client.statuses(), [202, 202, 202])
        self.assertTrue(client.closed)

    def test_request_that_has_come_but_is_not_read(self) -> None:
        client = self.client()
        client.wire.handle.unread = b"P"
        self.server.begin_shutdown()
        self.assertFalse(client.closed)
        client.wire.handle.unread = b""
        client.send(HEAD + b"\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202])
        self.assertTrue(client.closed)

    def test_new_connection_is_still_served(self) -> None:
        self.server.begin_shutdown()
        client = self.ask(HEAD + b"\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202])
        self.assertTrue(client.closed)

    def test_waiting_pulls_get_204(self) -> None:
        pull = b"POST /pull/s HTTP/1.1\r\nHost: a\r\nX-Instance-Id: i\r\nX-Wait-Ms: 9000\r\n\r\n"
        client = self.ask(pull)
        self.server.begin_shutdown()
        self.assertEqual(client.statuses(), [204])
        self.assertTrue(self.node.waiting_pulls[0].cancelled)
        self.assertTrue(client.closed)
        self.assertEqual(self.ask(pull).statuses(), [204])
        self.assertEqual(len(self.node.waiting_pulls), 1)

    def test_no_connection_at_all(self) -> None:
        self.assertTrue(self.server.begin_shutdown().called)


class TestMessageStates(ClientServerCase):
    """GET /message and /message-body."""

    def get(self, path: bytes) -> Client:
        return self.ask(b"GET " + path + b" HTTP/1.1\r\nHost: any thing\r\n\r\n")

    def test_states(self) -> None:
        found = FoundMessage
        table = [
            (found(MessageState.QUEUED, "", None), 200, b'{"state":"queued"}'),
            (found(MessageState.DONE, '3e.07."x', None), 200, b'{"state":"done","stamp":"3e.07.\\"x"}'),
            (found(MessageState.DEAD_LETTER, "", None), 200, b'{"state":"dead_letter"}'),
            (LookupFailure.UNKNOWN_MESSAGE, 404, b""),
            (LookupFailure.UNAVAILABLE, 503, b""),
        ]
        for result, status, body in table:
            with self.subTest(result):
                self.node.found = succeed(result)
                (response,) = self.get(b"/message/Ab.1_-").responses()
                self.assertEqual((response.status, response.body), (status, body))
                if status == 200:
                    self.assertEqual(response.headers[b"content-type"], b"application/json")
                self.assertEqual(b"retry-after" in response.headers, status == 503)
        self.assertEqual(set(self.node.lookups), {("Ab.1_-", False)})

    def test_bodies(self) -> None:
        found = FoundMessage
        table = [
            (found(MessageState.QUEUED, "", b"\x00\xff"), 200, b"\x00\xff"),
            (found(MessageState.DEAD_LETTER, "", b""), 200, b""),
            (found(MessageState.QUEUED, "", None), 503, b""),
            (found(MessageState.DONE, "s", None), 404, b""),
            (LookupFailure.UNKNOWN_MESSAGE, 404, b""),
            (LookupFailure.UNAVAILABLE, 503, b""),
        ]
        for result, status, body in table:
            with self.subTest(result):
                self.node.found = succeed(result)
                (response,) = self.get(b"/message-body/r1").responses()
                self.assertEqual((response.status, response.body), (status, body))
        self.assertEqual(set(self.node.lookups), {("r1", True)})

    def test_lookup_time_out(self) -> None:
        client = self.get(b"/message/r1")
        self.assertLess(LOOKUP_TIMEOUT_S, 1.8)
        self.clock.advance(LOOKUP_TIMEOUT_S)
        self.assertEqual(client.statuses(), [503])
        self.node.found.callback(LookupFailure.UNKNOWN_MESSAGE)
        self.assertEqual(client.statuses(), [503])

    def test_client_that_disconnects(self) -> None:
        client = self.get(b"/message/r1")
        client.lose()
        self.node.found.callback(FoundMessage(MessageState.QUEUED, "", None))
        self.clock.advance(5)
        self.assertEqual(client.responses(), [])

    def test_node_that_fails(self) -> None:
        client = self.get(b"/message/r1")
        self.node.found.errback(RuntimeError("planned"))
        self.assertEqual(client.statuses(), [503])


class TestPulls(ClientServerCase):
    """Calls of pulling workers."""

    def call(self, path: bytes, *headers: bytes) -> Client:
        lines = (b"POST " + path + b" HTTP/1.1", b"Host: a", *headers)
        return self.ask(b"\r\n".join(lines) + b"\r\n\r\n")

    def pull(self) -> Client:
        return self.call(b"/pull/huvo11a", b"X-Instance-Id: i-7", b"X-Wait-Ms: 1000")

    def test_job(self) -> None:
        client = self.pull()
        self.assertEqual(client.responses(), [])
        self.node.waiting_pulls[0].result.callback(job())
        (response,) = client.responses()
        expected = {
            b"x-request-id": b"r9",
            b"x-job-method": b"PUT",
            b"x-job-target": b"/p/%41?q=\xe9",
            b"x-lease-id": b"L1",
        }
        self.assertLessEqual(expected.items(), response.headers.items())
        self.assertEqual((response.status, response.body), (200, b"\x00body"))
        self.assertEqual(self.node.pulls, [("huvo11a", "i-7", 1000)])
        self.assertEqual(self.node.ends, [])

    def test_no_job(self) -> None:
        client = self.pull()
        self.node.waiting_pulls[0].result.callback(None)
        (response,) = client.responses()
        self.assertEqual((response.status, response.body), (204, b""))
        self.assertNotIn(b"transfer-encoding", response.headers)

    def test_node_that_exceeds_the_wait(self) -> None:
        client = self.pull()
        self.clock.advance(1.0 + PULL_GRACE_S)
        self.assertEqual(client.statuses(), [204])
        self.assertTrue(self.node.waiting_pulls[0].cancelled)
        self.node.waiting_pulls[0].result.callback(job())
        self.assertEqual(self.node.ends, [("L1", "r9", 503, "")])
        self.assertEqual(client.statuses(), [204])

    def test_worker_that_disconnects(self) -> None:
        for gone in ("lose", "half"):
            with self.subTest(gone):
                client = self.pull()
                if gone == "half":
                    client.channel.readConnectionLost()
                    self.assertTrue(client.closed)
                client.lose(clean=True)
                self.assertTrue(self.node.waiting_pulls[-1].cancelled)
                self.node.ends.clear()
                self.node.waiting_pulls[-1].result.callback(job())
                self.assertEqual(self.node.ends, [("L1", "r9", 503, "")])

    def test_bad_pulls(self) -> None:
        for headers in ((), (b"X-Wait-Ms: 5",), (b"X-Instance-Id: i", b"X-Wait-Ms: x")):
            with self.subTest(headers):
                self.assertEqual(self.call(b"/pull/s", *headers).statuses(), [400])
        self.assertEqual(self.node.pulls, [])

    def test_ends(self) -> None:
        lease, ok, stamp = b"X-Lease-Id: L", b"X-Job-Status: 200", b"X-Server-Stamp: s.1"
        table = [
            ((lease, ok, stamp), LeaseAnswer.ACKNOWLEDGED, 200, ("L", "r1", 200, "s.1")),
            ((lease, ok, stamp), LeaseAnswer.GONE, 409, ("L", "r1", 200, "s.1")),
            ((lease, ok, stamp), LeaseAnswer.UNAVAILABLE, 503, ("L", "r1", 200, "s.1")),
            ((lease, b"X-Job-Status: 500"), LeaseAnswer.ACKNOWLEDGED, 200, ("L", "r1", 500, "")),
            ((lease, b"X-Job-Status: 503"), LeaseAnswer.ACKNOWLEDGED, 200, ("L", "r1", 503, "")),
            ((lease, ok), None, 400, None),
            ((ok, stamp), None, 400, None),
            ((lease, stamp), None, 400, None),
            ((lease, stamp, b"X-Job-Status: fine"), None, 400, None),
        ]
        for headers, result, status, end in table:
            with self.subTest(headers, result=result):
                self.node.ends.clear()
                self.node.lease = result
                self.assertEqual(self.call(b"/job-end/r1", *headers).statuses(), [status])
                self.assertEqual(self.node.ends, [] if end is None else [end])

    def test_repeated_end_reaches_the_node_each_time(self) -> None:
        for _ in range(2):
            client = self.call(b"/job-end/r1", b"X-Lease-Id: L", b"X-Job-Status: 422")
            self.assertEqual(client.statuses(), [200])
        self.assertEqual(self.node.ends, [("L", "r1", 422, "")] * 2)

    def test_extensions(self) -> None:
        for result in LeaseAnswer:
            with self.subTest(result):
                self.node.lease = result
                client = self.call(b"/job-extend/r1", b"X-Lease-Id: L")
                self.assertEqual(client.statuses(), [result.value])
        self.assertEqual(self.call(b"/job-extend/r1").statuses(), [400])
        self.assertEqual(self.node.extensions, [("L", "r1")] * 3)

    def test_lease_call_time_out(self) -> None:
        self.node.lease = None
        client = self.call(b"/job-extend/r1", b"X-Lease-Id: L")
        self.clock.advance(LEASE_CALL_TIMEOUT_S)
        self.assertEqual(client.statuses(), [503])


class TestOperatorApi(unittest.TestCase):
    """The operator's calls."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.node = FakeNode()
        self.server = build_operator_server(self.node, self.clock)

    def call(self, line: bytes, body: bytes = b"", *headers: bytes) -> Client:
        lines = (line + b" HTTP/1.1", b"Host: a", b"Content-Length: %d" % len(body), *headers)
        return Client(self.server).send(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def test_calls_are_forwarded_unchanged(self) -> None:
        big = b"\x00{" * 500_000
        table = [
            ((b"PUT /config", big, b"If-Match: 5"), ("PUT", "/config", "5", big)),
            ((b"PATCH /config", b"{}", b'If-Match: "5"'), ("PATCH", "/config", '"5"', b"{}")),
            ((b"GET /config",), ("GET", "/config", "", b"")),
            ((b"POST /retire/storage-a.b-1", b"{}"), ("POST", "/retire/storage-a.b-1", "", b"{}")),
            ((b"GET /retire/x%2f..%20",), ("GET", "/retire/x%2f..%20", "", b"")),
        ]
        for call, order in table:
            with self.subTest(call[0]):
                self.node.orders.clear()
                (response,) = self.call(*call).responses()
                self.assertEqual((response.status, response.body), (200, b'{"version":5}'))
                self.assertEqual(response.headers[b"content-type"], b"application/json")
                self.assertEqual(self.node.orders, [order])

    def test_responses(self) -> None:
        for status in (200, 400, 404, 409, 412, 503):
            with self.subTest(status):
                self.node.reply = OperatorReply(status, b'{"a":1}')
                (response,) = self.call(b"GET /config").responses()
                self.assertEqual((response.status, response.body), (status, b'{"a":1}'))

    def test_other_paths_and_methods(self) -> None:
        table = [(b"GET /", 404), (b"GET /config/", 404), (b"GET //config", 404), (b"GET /retire/", 404)]
        table += [(b"GET /retire/a/b", 404), (b"GET /Config", 404), (b"POST /config", 405)]
        table += [(b"DELETE /config", 405), (b"PUT /retire/a", 405)]
        for line, status in table:
            with self.subTest(line):
                self.assertEqual(self.call(line).statuses(), [status])
        self.assertEqual(self.node.orders, [])

    def test_body_over_the_limit(self) -> None:
        data = b"PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: 16777217\r\n\r\n"
        self.assertEqual(Client(self.server).send(data).statuses(), [413])

    def test_node_that_times_out_or_fails(self) -> None:
        self.node.reply = None
        client = self.call(b"PUT /config", b"{}")
        self.clock.advance(10)
        self.assertEqual(client.statuses(), [503])
        self.node.late_reply.callback(OperatorReply(200, b""))
        self.assertEqual(client.statuses(), [503])
        self.node.late_reply = Deferred()
        client = self.call(b"PUT /config", b"{}")
        self.node.late_reply.errback(RuntimeError("planned"))
        self.assertEqual(client.statuses(), [500])


class TestReadiness(unittest.TestCase):
    def test_readiness(self) -> None:
        node = FakeNode()
        server = build_readiness_server(node, Clock())
        for ready, path, status in ((True, b"/readyz", 200), (False, b"/readyz", 503), (True, b"/", 404)):
            node.ready = ready
            client = Client(server).send(b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertEqual(client.statuses(), [status])


class TestSockets(unittest.TestCase):
    """Closing on real sockets, where a close with unread input resets the connection."""

    def setUp(self) -> None:
        self.loopback = Loopback()
        self.addCleanup(self.loopback.close)
        self.node = FakeNode()
        self.server = build_client_server(self.node, self.loopback.reactor, origin="e", max_connections=2)
        host, port = self.loopback.listen(self.server).split(":")
        self.address = (host, int(port))

    def connect(self) -> socket.socket:
        client = socket.create_connection(self.address)
        client.setblocking(False)
        self.addCleanup(client.close)
        return client

    def read_to_end(self, client: socket.socket) -> bytes:
        received = bytearray()

        def ended() -> bool:
            try:
                while data := client.recv(65536):
                    received.extend(data)
            except BlockingIOError:
                return False
            return True

        self.loopback.until(ended)
        return bytes(received)

    def test_error_response_arrives_although_the_client_is_still_sending(self) -> None:
        client = self.connect()
        client.send(HEAD + b"Content-Length: 9000000\r\n\r\n" + b"x" * 50_000)
        self.loopback.until(lambda: bool(self.server.channels))
        for _ in range(5):
            self.loopback.reactor.iterate(0)
            client.send(b"x" * 10_000)
        self.assertTrue(self.read_to_end(client).startswith(b"HTTP/1.1 413 "))
        client.close()
        self.loopback.until(lambda: not self.server.channels)

    def test_response_to_a_client_that_has_half_closed(self) -> None:
        client = self.connect()
        client.send(HEAD + b"\r\n")
        client.shutdown(socket.SHUT_WR)
        self.loopback.until(lambda: bool(self.node.acceptances))
        self.loopback.reactor.iterate(0)
        self.node.acceptances[0].callback(Acceptance(AcceptResult.ACCEPTED, "m"))
        self.assertTrue(self.read_to_end(client).startswith(b"HTTP/1.1 202 "))
        self.loopback.until(lambda: not self.server.channels)

    def test_shutdown(self) -> None:
        idle, busy = self.connect(), self.connect()
        busy.send(HEAD + b"\r\n")
        self.loopback.until(lambda: len(self.server.channels) == 2 and bool(self.node.acceptances))
        done = self.server.begin_shutdown()
        self.assertEqual(self.read_to_end(idle), b"")
        self.node.acceptances[0].callback(Acceptance(AcceptResult.ACCEPTED, "m"))
        self.assertIn(b"Connection: close", self.read_to_end(busy))
        self.loopback.result(done)

    def test_connections_over_the_limit_are_closed(self) -> None:
        for _ in range(2):
            self.connect()
        self.loopback.until(lambda: len(self.server.channels) == 2)
        self.assertEqual(self.read_to_end(self.connect()), b"")
