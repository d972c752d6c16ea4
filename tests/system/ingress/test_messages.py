"""Messages from clients: which are accepted or rejected, and how, in memory and in virtual time."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.validation import parse_configuration
from bitternpath.ingress.channel import LINGER_S
from bitternpath.shards.results import Acceptance, AcceptResult
from bitternpath.transport.records import Header, Message
from tests.system.ingress.server_case import (
    HEAD,
    LIMITS,
    ROUTES,
    ClientServerCase,
)


class AcceptanceTest(ClientServerCase):
    """Messages that are accepted, and what the node receives."""

    def test_all_fields_of_a_message(self) -> None:
        head = (
            b"PATCH /p/full/%2e%2e//a;b?q=%41&r HTTP/1.1\r\nHost: A.example:8069\r\nX-Request-Id: r1\r\n"
            b"X-Order-Key: k 1\r\nX-Delay-Ms: 1500\r\nX-Callback-Url: http://10.0.0.1:80/done?x=%20\r\n"
            b"X-Deadline-Ms: 2000\r\nX-Expect-Instance: i-1\r\nContent-Type: a/b\r\n"
            b"Accept: x\r\naccept: y\r\n"
            b"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nKeep-Alive: 5\r\nUpgrade: h2c\r\n"
            b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\n"
        )
        self.send(head + b"\x00\r\n\xff.")
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
        self.send(HEAD + b"X-Order-Key: k\r\nX-Callback-Url: http://h/\r\n\r\n")
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
                    client = self.send(HEAD + rest, step)
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
        self.send(HEAD.replace(b"POST /p/x", method + b" " + target) + b"\r\n")
        (message, _), *more = self.node.accepted
        self.assertEqual((message.target.encode("latin-1"), message.method.encode()), (target, method))
        self.assertEqual(more, [])

    def test_form_bodies_are_not_parsed(self) -> None:
        for kind in (b"application/x-www-form-urlencoded", b"multipart/form-data; boundary=x"):
            with self.subTest(kind):
                self.node.accepted.clear()
                self.send(HEAD + b"Content-Type: " + kind + b"\r\nContent-Length: 5\r\n\r\na=%zz")
                self.assertEqual([m.body for m, _ in self.node.accepted], [b"a=%zz"])

    def test_continue_is_sent_before_the_body(self) -> None:
        client = self.send(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
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
                client = self.send(HEAD + b"\r\n")
                self.assertEqual(client.responses(), [])
                self.node.acceptances[-1].callback(acceptance)
                (response,) = client.responses()
                self.assertEqual(response.status, status)
                self.assertLessEqual(headers.items(), response.headers.items())

    def test_node_that_fails_or_times_out_gives_504(self) -> None:
        client = self.send(HEAD + b"\r\n")
        self.node.acceptances[-1].errback(RuntimeError("planned"))
        self.assertEqual(client.statuses(), [504])
        for header, deadline_s in (
            (b"", 1.0),
            (b"X-Deadline-Ms: 400\r\n", 0.4),
            (b"X-Deadline-Ms: 20\r\n", 0.1),
        ):
            with self.subTest(header):
                client = self.send(HEAD + header + b"\r\n")
                self.clock.advance(deadline_s)
                self.assertEqual(client.statuses(), [504])
                self.accept()  # too late: no second response
                self.assertEqual(client.statuses(), [504])

    def test_client_that_disconnects_while_its_message_is_appended(self) -> None:
        for acceptance in AcceptResult:
            with self.subTest(acceptance):
                client = self.send(HEAD + b"\r\n")
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
                self.send(data).lose(clean=True)
                self.assertEqual(self.node.accepted, [])

    def test_client_that_half_closes_gets_its_response(self) -> None:
        client = self.send(HEAD + b"\r\n")
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
                client = self.send(HEAD.replace(b"POST /p/x", line) + b"\r\n")
                self.assertEqual(client.statuses(), [404])
        self.assertEqual((self.node.lookups, self.node.pulls), ([], []))


class RejectionTest(ClientServerCase):
    """Requests that are rejected: a single response, and the node is never called."""

    def assert_rejected(self, data: bytes, status: int, closed: bool) -> None:
        for step in (0, 1, 5):
            with self.subTest(data[:80], step=step):
                client = self.send(data, step)
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
        client = self.send(HEAD + b"\r\n")
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
        client = self.send(HEAD + b"Content-Length: 1500\r\n\r\n" + b"x" * 1500)
        self.accept()
        tighter = {**LIMITS, "max_body_bytes": 1000}
        document = {"version": 6, "routes": ROUTES, "services": [{"name": "s"}], "limits": tighter}
        self.node.table = RoutingTable(parse_configuration(document))
        client.send(HEAD + b"Content-Length: 1500\r\n\r\n")
        self.assertEqual(client.statuses(), [202, 413])

    def test_after_an_error_input_is_discarded_for_the_linger_time(self) -> None:
        client = self.send(HEAD + b"Content-Length: 5000\r\n\r\n")
        self.assertTrue(client.wire.half_closed)
        self.assertFalse(client.wire.disconnecting)
        client.send(b"x" * 5000)
        self.assertEqual(client.statuses(), [413])
        self.clock.advance(LINGER_S)
        self.assertTrue(client.wire.aborted)


if __name__ == "__main__":
    unittest.main()
