"""Connections of clients: pipelining, time-outs, limits and shutdown, in memory and in virtual time."""

from __future__ import annotations

import unittest

from bitternpath.ingress.channel import DRAINING_READ_TIMEOUT_S, FLUSH_TIMEOUT_S
from tests.system.ingress.server_case import (
    HEAD,
    ClientServerCase,
)


class PipeliningTest(ClientServerCase):
    """Several requests on one connection."""

    def test_in_turn(self) -> None:
        first, second = HEAD + b"\r\n", HEAD.replace(b"r1", b"r2") + b"Content-Length: 2\r\n\r\nab"
        for step in (0, 1, 9):
            with self.subTest(step=step):
                self.node.accepted.clear()
                client = self.send(first + second, step)
                self.assertEqual([m.request_id for m, _ in self.node.accepted], ["r1"])
                self.accept(message_id="one")
                self.assertEqual([m.request_id for m, _ in self.node.accepted], ["r1", "r2"])
                self.accept(message_id="two")
                names = [response.headers[b"x-message-id"] for response in client.responses()]
                self.assertEqual(names, [b"one", b"two"])
                self.assertFalse(client.closed)

    def test_many_requests_in_one_segment(self) -> None:
        unknown = HEAD.replace(b"/p/x", b"/q") + b"\r\n"
        client = self.send(unknown * 500)
        self.assertEqual(client.statuses(), [404] * 500)

    def test_error_after_a_good_one(self) -> None:
        client = self.send(HEAD + b"\r\n" + b"garbage\r\n\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202, 400])
        self.assertTrue(client.closed)

    def test_nothing_is_read_after_close(self) -> None:
        client = self.send(HEAD + b"Connection: foo, Close\r\n\r\n" + HEAD + b"\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202])
        self.assertEqual(client.responses()[0].headers[b"connection"], b"close")
        self.assertTrue(client.closed)
        self.assertEqual(len(self.node.accepted), 1)

    def test_old_version_closes(self) -> None:
        client = self.send(HEAD.replace(b"1.1", b"1.0") + b"\r\n")
        self.accept()
        self.assertTrue(client.closed)


class TimeoutTest(ClientServerCase):
    """Connections that are slow or idle."""

    def test_slow_head(self) -> None:
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
        client = self.send(HEAD + b"Content-Length: 10\r\n\r\n")
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

    def test_idle_connection_with_an_unread_request_is_not_closed(self) -> None:
        client = self.client()
        client.wire.handle.unread = HEAD
        self.clock.advance(15)
        self.assertFalse(client.closed)

    def test_no_idle_time_out_while_a_response_is_awaited(self) -> None:
        client = self.send(
            b"POST /pull/s HTTP/1.1\r\nHost: a\r\nX-Instance-Id: i\r\nX-Wait-Ms: 29000\r\n\r\n"
        )
        self.clock.advance(28)
        self.assertFalse(client.closed)

    def test_peer_that_reads_nothing_is_aborted(self) -> None:
        client = self.send(HEAD + b"Connection: close\r\n\r\n")
        self.accept()
        self.assertFalse(client.wire.aborted)
        self.clock.advance(FLUSH_TIMEOUT_S)
        self.assertTrue(client.wire.aborted)

    def test_a_lost_connection_leaves_no_timer(self) -> None:
        for data in (b"", HEAD, HEAD + b"Content-Length: 4\r\n\r\n", b"garbage\r\n\r\n"):
            (self.send(data) if data else self.client()).lose()
        self.assertEqual((self.clock.getDelayedCalls(), self.server.channels), ([], {}))

    def test_too_many_connections(self) -> None:
        self.server = self.new_server(max_connections=2)
        first = self.client()
        self.client()
        self.assertIsNone(self.server.buildProtocol(None))
        first.lose()
        self.assertIsNotNone(self.server.buildProtocol(None))


class ShutdownTest(ClientServerCase):
    """Complete requests get their response, then every connection is closed."""

    def test_idle_and_busy_connections(self) -> None:
        idle, busy = self.client(), self.send(HEAD + b"\r\n")
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
        quick, slow = self.send(HEAD), self.send(HEAD + b"Content-Length: 4\r\n\r\nab")
        self.server.begin_shutdown()
        quick.send(b"\r\n")
        self.accept()
        self.assertEqual(quick.statuses(), [202])
        self.clock.advance(DRAINING_READ_TIMEOUT_S)
        self.assertEqual(slow.statuses(), [408])

    def test_pipelined_requests_all_get_a_response(self) -> None:
        client = self.send((HEAD + b"\r\n") * 3)
        self.server.begin_shutdown()
        for _ in range(3):
            self.accept()
        self.assertEqual(client.statuses(), [202, 202, 202])
        self.assertTrue(client.closed)

    def test_request_that_has_arrived_but_is_not_read(self) -> None:
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
        client = self.send(HEAD + b"\r\n")
        self.accept()
        self.assertEqual(client.statuses(), [202])
        self.assertTrue(client.closed)

    def test_waiting_pulls_get_204(self) -> None:
        pull = b"POST /pull/s HTTP/1.1\r\nHost: a\r\nX-Instance-Id: i\r\nX-Wait-Ms: 9000\r\n\r\n"
        client = self.send(pull)
        self.server.begin_shutdown()
        self.assertEqual(client.statuses(), [204])
        self.assertTrue(self.node.waiting_pulls[0].cancelled)
        self.assertTrue(client.closed)
        self.assertEqual(self.send(pull).statuses(), [204])
        self.assertEqual(len(self.node.waiting_pulls), 1)

    def test_no_connection_at_all(self) -> None:
        self.assertTrue(self.server.begin_shutdown().called)


if __name__ == "__main__":
    unittest.main()
