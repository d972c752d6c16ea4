"""The operator's calls and the readiness probe, in memory and in virtual time."""

from __future__ import annotations

import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.ingress.interfaces import OperatorReply
from bitternpath.ingress.servers import build_operator_server, build_readiness_server
from tests.system.ingress.server_case import (
    Client,
    FakeNode,
)


class OperatorApiTest(unittest.TestCase):
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
        for call, expected in table:
            with self.subTest(call[0]):
                self.node.operator_calls.clear()
                (response,) = self.call(*call).responses()
                self.assertEqual((response.status, response.body), (200, b'{"version":5}'))
                self.assertEqual(response.headers[b"content-type"], b"application/json")
                self.assertEqual(self.node.operator_calls, [expected])

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
        self.assertEqual(self.node.operator_calls, [])

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


class ReadinessTest(unittest.TestCase):
    def test_readiness(self) -> None:
        node = FakeNode()
        server = build_readiness_server(node, Clock())
        for ready, path, status in ((True, b"/readyz", 200), (False, b"/readyz", 503), (True, b"/", 404)):
            node.ready = ready
            client = Client(server).send(b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertEqual(client.statuses(), [status])


if __name__ == "__main__":
    unittest.main()
