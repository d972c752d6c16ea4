"""Closing of connections on real sockets."""

from __future__ import annotations

import socket
import unittest

from bitternpath.ingress.servers import build_client_server
from bitternpath.shards.results import Acceptance, AcceptResult
from tests.system import Loopback
from tests.system.ingress.server_case import (
    HEAD,
    FakeNode,
)


class SocketTest(unittest.TestCase):
    """On real sockets, a close with unread input resets the connection."""

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


if __name__ == "__main__":
    unittest.main()
