"""The requests that receivers of call-backs get, and the results of their responses, on loopback sockets."""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from bitternpath.delivery.callback_client import (
    CALL_TIMEOUT_S,
    MAX_CALLS_PER_RECEIVER,
    QUEUE_TIMEOUT_S,
    CallbackClient,
)
from bitternpath.delivery.results import CallbackResult
from bitternpath.net.http1 import Request, RequestReader
from bitternpath.transport.records import MessageState
from tests.system import Loopback

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Receiver(Protocol):
    """A connection to a receiver; it records requests, and the test sends the responses."""

    transport: Any
    connections: list[Receiver]
    requests: list[tuple[Receiver, Request]]  # all requests in order of arrival

    def connectionMade(self) -> None:
        self.reader = RequestReader()
        self.lost = False
        Receiver.connections.append(self)

    def dataReceived(self, data: bytes) -> None:
        self.reader.feed(data)
        while (request := self.reader.next()) is not None:
            assert isinstance(request, Request)
            Receiver.requests.append((self, request))

    def connectionLost(self, reason: object = None) -> None:
        self.lost = True


class ReceiverCase(unittest.TestCase):
    """A receiver on a loopback socket, and a client whose timers the test can fire."""

    def setUp(self) -> None:
        Receiver.connections = []
        Receiver.requests = []
        self.loopback = Loopback()
        self.addCleanup(self.loopback.close)
        self.address = self.loopback.listen_with(Receiver)
        self.client = CallbackClient(self.loopback.reactor)

    def notify(self, path: str = "/done") -> list[CallbackResult]:
        results: list[CallbackResult] = []
        notified: Deferred[CallbackResult] = self.client.notify(
            f"http://{self.address}{path}", "r1", MessageState.DONE, "s.1"
        )
        notified.addCallback(results.append)
        return results

    def request(self, index: int = 0) -> Request:
        self.loopback.until(lambda: len(Receiver.requests) > index)
        return Receiver.requests[index][1]

    def respond(self, data: bytes, index: int = 0) -> None:
        Receiver.requests[index][0].transport.write(data)

    def fire_timers(self, seconds: float) -> None:
        """Fire the timers that were set for `seconds`."""
        now = self.loopback.reactor.seconds()
        for call in self.loopback.reactor.getDelayedCalls():
            if abs(call.getTime() - now - seconds) < seconds / 2:
                call.reset(0)


class RequestTest(ReceiverCase):
    """The request that a receiver gets."""

    def test_documents(self) -> None:
        table = [
            (MessageState.DONE, "3e.07", {"id": "r1", "state": "done", "stamp": "3e.07"}),
            (MessageState.DEAD_LETTER, "", {"id": "r1", "state": "dead_letter", "stamp": None}),
        ]
        for index, (state, stamp, document) in enumerate(table):
            with self.subTest(state):
                url = f"http://{self.address}/done/a?b=c"
                notified = self.client.notify(url, "r1", state, stamp)
                request = self.request(index)
                self.assertEqual((request.method, request.target), (b"POST", b"/done/a?b=c"))
                self.assertEqual(request.headers[b"content-type"], b"application/json")
                self.assertEqual(request.headers[b"host"], self.address.encode())
                self.assertEqual(json.loads(request.body), document)
                self.respond(OK, index)
                self.assertIs(self.loopback.result(notified), CallbackResult.ACKNOWLEDGED)


class ResponseTest(ReceiverCase):
    """The results of responses."""

    def test_statuses(self) -> None:
        table = [
            (b"200 OK", CallbackResult.ACKNOWLEDGED),
            (b"400 Bad Request", CallbackResult.REJECTED),
            (b"201 Created", CallbackResult.FAILED),
            (b"204 No Content", CallbackResult.FAILED),
            (b"303 See Other", CallbackResult.FAILED),
            (b"307 Temporary Redirect", CallbackResult.FAILED),
            (b"404 Not Found", CallbackResult.FAILED),
            (b"429 Too Many Requests", CallbackResult.FAILED),
            (b"500 Internal Server Error", CallbackResult.FAILED),
            (b"503 Service Unavailable", CallbackResult.FAILED),
        ]
        for index, (status, expected) in enumerate(table):
            with self.subTest(status):
                results = self.notify()
                self.request(index)
                location = b"Location: http://%b/other\r\n" % self.address.encode()
                body = b"" if status.startswith(b"204") else b"Content-Length: 0\r\n"
                self.respond(b"HTTP/1.1 " + status + b"\r\n" + location + body + b"\r\n", index)
                self.loopback.until(lambda results=results: bool(results))  # type: ignore[misc]
                self.assertEqual(results, [expected])
        self.assertEqual(len(Receiver.requests), len(table))  # no redirect was followed, no request repeated

    def test_a_connection_is_used_again(self) -> None:
        for index in range(3):
            results = self.notify()
            self.request(index)
            self.respond(OK, index)
            self.loopback.until(lambda results=results: bool(results))  # type: ignore[misc]
        self.assertEqual(len(Receiver.connections), 1)

    def test_incomplete_and_malformed_responses(self) -> None:
        table = [b"", b"HTTP/1.1 200", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", b"garbage\r\n\r\n"]
        for index, data in enumerate(table):
            with self.subTest(data):
                results = self.notify()
                self.request(index)
                self.respond(data, index)
                Receiver.requests[index][0].transport.loseConnection()
                self.loopback.until(lambda results=results: bool(results))  # type: ignore[misc]
                self.assertEqual(results, [CallbackResult.FAILED])

    def test_no_receiver(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            url = f"http://127.0.0.1:{unused.getsockname()[1]}/done"
            notified = self.client.notify(url, "r1", MessageState.DONE, "s")
            self.assertIs(self.loopback.result(notified), CallbackResult.FAILED)

    def test_bad_urls(self) -> None:
        urls = ("", "http://", "ftp://127.0.0.1/x", "http://127.0.0.1:port/", "nonsense", "http://[::1/")
        urls += ("http://localhost/", "http://127.0.0.1:99999/", "http://999.0.0.1/", "http://127.0.0.1/a b")
        for url in urls:
            with self.subTest(url):
                notified = self.client.notify(url, "r1", MessageState.DONE, "s")
                self.assertIs(self.loopback.result(notified), CallbackResult.FAILED)


class TimeoutTest(ReceiverCase):
    """Receivers that are slow or have the maximum number of calls in flight."""

    def test_receiver_that_times_out(self) -> None:
        for index, partial_response in enumerate((b"", b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nab")):
            with self.subTest(partial_response):
                results = self.notify()
                self.request(index)
                self.respond(partial_response, index)
                for _ in range(5):
                    self.loopback.reactor.iterate(0)
                self.assertEqual(results, [])
                self.fire_timers(CALL_TIMEOUT_S)
                self.loopback.until(lambda index=index: Receiver.requests[index][0].lost)  # type: ignore[misc]
                self.assertEqual(len(results), 1)

    def test_calls_in_flight_to_one_receiver_are_limited(self) -> None:
        all_results = [self.notify() for _ in range(MAX_CALLS_PER_RECEIVER + 2)]
        self.loopback.until(lambda: len(Receiver.connections) == MAX_CALLS_PER_RECEIVER)
        for index in range(MAX_CALLS_PER_RECEIVER + 2):
            self.request(index)
            open_connections = [each for each in Receiver.connections if not each.lost]
            self.assertLessEqual(len(open_connections), MAX_CALLS_PER_RECEIVER)
            self.respond(OK, index)
            self.loopback.until(lambda index=index: sum(map(bool, all_results)) > index)  # type: ignore[misc]
        self.assertEqual(all_results, [[CallbackResult.ACKNOWLEDGED]] * (MAX_CALLS_PER_RECEIVER + 2))

    def test_wait_for_a_full_receiver_times_out(self) -> None:
        for _ in range(MAX_CALLS_PER_RECEIVER):
            self.notify()
        self.loopback.until(lambda: len(Receiver.connections) == MAX_CALLS_PER_RECEIVER)
        results = self.notify()
        self.fire_timers(QUEUE_TIMEOUT_S)
        self.loopback.until(lambda: bool(results))
        self.assertEqual(results, [CallbackResult.FAILED])

    def test_one_full_receiver_does_not_delay_another(self) -> None:
        for _ in range(MAX_CALLS_PER_RECEIVER):
            self.notify()
        self.loopback.until(lambda: len(Receiver.connections) == MAX_CALLS_PER_RECEIVER)
        self.address = self.loopback.listen_with(Receiver)
        results = self.notify()
        self.request(MAX_CALLS_PER_RECEIVER)
        self.respond(OK, MAX_CALLS_PER_RECEIVER)
        self.loopback.until(lambda: bool(results))
        self.assertEqual(results, [CallbackResult.ACKNOWLEDGED])
