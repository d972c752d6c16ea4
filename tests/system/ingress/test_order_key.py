"""A worker gets the sender's `X-Order-Key` byte for byte, however it gets the message (RULES, UNASKED)."""

from __future__ import annotations

import unittest

from twisted.internet.task import Clock

from bitternpath.delivery.requests import request_bytes
from bitternpath.delivery.results import WorkerTarget
from bitternpath.ingress.servers import build_client_server
from bitternpath.net.http1 import RequestReader, ResponseReader
from bitternpath.queue.commands import COMMANDS, AppendMessage
from bitternpath.queue.state import QueueState
from bitternpath.shards.results import Acceptance, AcceptResult, PulledJob
from bitternpath.transport.records import Message
from tests.system.ingress.server_case import Client, FakeNode

KEYS = (b"k", b"K", b"a  b", b"Order/7; x=1, y", b"\xe9\xff\x80", b"%41", b"key:with:colons", b"k" * 300)
PATHS = {"ordered": b"/p/full/x", "not ordered": b"/p/x"}


class OrderKeyCase(unittest.TestCase):
    """Passes a client's request through a replica's log and a snapshot to workers of each kind."""

    def setUp(self) -> None:
        self.node = FakeNode()
        self.server = build_client_server(
            self.node, Clock(), origin="e", max_connections=99, wall_ms=lambda: 0
        )

    def accepted(self, path: bytes, *headers: bytes) -> Message:
        lines = [b"POST %b HTTP/1.1" % path, b"Host: a.example", b"X-Request-Id: r1", *headers]
        Client(self.server).send(b"\r\n".join(lines) + b"\r\n\r\n")
        return self.stored(self.node.accepted[-1][0])

    def stored(self, message: Message) -> Message:
        state = QueueState(lambda: 0.0, lambda: 0)
        state.apply(1, COMMANDS.encode(AppendMessage(message)))
        restored = QueueState(lambda: 0.0, lambda: 0)
        restored.restore(state.snapshot())
        entry = restored.find("r1")
        assert entry is not None
        return entry.message

    def delivered(self, message: Message) -> list[bytes]:
        """The keys in the request that a listed worker or an endpoint receives."""
        reader = RequestReader()
        reader.feed(request_bytes(WorkerTarget("10.0.0.1:1", "i-1", 1), message, 1_000))
        head = reader.head()
        assert head is not None
        return [value for name, value in head.headers.items() if name == b"x-order-key"]

    def pulled(self, message: Message) -> list[bytes]:
        """The keys in the response that a pulling worker receives."""
        client = Client(self.server)
        client.send(b"POST /pull/s HTTP/1.1\r\nHost: h\r\nX-Instance-Id: i\r\nContent-Length: 0\r\n\r\n")
        self.node.waiting_pulls[-1].result.callback(PulledJob("L1", message))
        reader = ResponseReader()
        reader.feed(bytes(client.wire.written))
        head = reader.head()
        assert head is not None
        return [value for name, value in head.headers.items() if name == b"x-order-key"]


class OrderKeyTest(OrderKeyCase):
    """Keys are preserved, including their case and spaces."""

    def test_each_key_to_each_kind_of_worker(self) -> None:
        for kind, path in PATHS.items():
            for key in KEYS:
                with self.subTest(kind, key=key):
                    message = self.accepted(path, b"x-order-KEY: " + key)
                    self.assertEqual(self.delivered(message), [key])
                    self.assertEqual(self.pulled(message), [key])

    def test_a_key_named_by_the_connection_header(self) -> None:
        for kind, path in PATHS.items():
            with self.subTest(kind):
                message = self.accepted(path, b"X-Order-Key: k", b"Connection: x-order-key")
                self.assertEqual(self.delivered(message), [b"k"])
                self.assertEqual(self.pulled(message), [b"k"])

    def test_without_a_key_there_is_none(self) -> None:
        for path in PATHS.values():
            message = self.accepted(path)
            self.assertEqual(self.delivered(message) + self.pulled(message), [])

    def test_two_keys_are_rejected(self) -> None:
        client = Client(self.server)
        head = b"POST /p/full/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
        client.send(head + b"X-Order-Key: a\r\nX-Order-Key: b\r\n\r\n")
        self.assertEqual(client.statuses(), [400])


class MessageIdTest(OrderKeyCase):
    """A client gets `X-Message-Id` only where the id is valid (PROTOCOL, "Messages")."""

    def test_an_invalid_message_id_is_not_sent(self) -> None:
        for request_id, sent in ((b"r1", True), (b"r" * 64, True), (b"r" * 65, False), (b"a~b", False)):
            with self.subTest(request_id):
                client = Client(self.server)
                client.send(b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %b\r\n\r\n" % request_id)
                self.node.acceptances[-1].callback(Acceptance(AcceptResult.ACCEPTED, request_id.decode()))
                (response,) = client.responses()
                self.assertEqual(b"x-message-id" in response.headers, sent)


if __name__ == "__main__":
    unittest.main()
