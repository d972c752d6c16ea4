"""Writes of links without a reactor turn, and when each end of a link pings."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from twisted.internet.main import CONNECTION_LOST
from twisted.internet.task import Clock

from bitternpath.net.writing import write_now
from bitternpath.transport.frames import FrameBuffer
from bitternpath.transport.hub import CHECK_INTERVAL_S, NodeHub
from bitternpath.transport.link_liveness import (
    PEER_TIMEOUT_S,
    PING_AWAITING_RESPONSE_S,
    PING_IDLE_S,
    PING_SUBSCRIBED_S,
    PONG_TIMEOUT_S,
)
from bitternpath.transport.links import Link
from bitternpath.transport.messages import RECORDS
from bitternpath.transport.node_messages import Hello, NodeDescriptor, NodeKind, Ping, Pong
from bitternpath.transport.shard_messages import StateRequest

THIS_NODE = NodeDescriptor("edge-1", "10.0.0.1:1", NodeKind.EDGE, "north", False, "", 1, 0)


class Socket:
    """A transport like Twisted's whose socket accepts `capacity` bytes."""

    def __init__(self, capacity: int = 1 << 20) -> None:
        self.capacity, self.connected = capacity, True
        self.dataBuffer, self._tempDataLen = b"", 0
        self.sent = self.buffered = b""
        self.aborted = False

    def writeSomeData(self, data: bytes) -> Any:
        if self.capacity < 0:
            return CONNECTION_LOST
        accepted = data[: self.capacity]
        self.sent += accepted
        self.capacity -= len(accepted)
        return len(accepted)

    def write(self, data: bytes) -> None:
        self.buffered += data
        self._tempDataLen += len(data)

    def getHandle(self) -> None:
        return None

    def abortConnection(self) -> None:
        self.aborted = True

    def records(self) -> list[Any]:
        """The records that were sent since the last call."""
        data, self.sent = self.sent, b""
        return [RECORDS.decode(payload) for payload in FrameBuffer().feed(data)]


class WriteTest(unittest.TestCase):
    """All bytes are sent in order, however many the socket accepts."""

    def test_bytes_that_the_socket_accepts_need_no_reactor(self) -> None:
        socket = Socket()
        write_now(socket, b"abc")
        self.assertEqual((socket.sent, socket.buffered), (b"abc", b""))

    def test_the_rest_is_buffered_and_what_follows_is_behind_it(self) -> None:
        socket = Socket(capacity=2)
        write_now(socket, b"abcd")
        socket.capacity = 100
        write_now(socket, b"ef")
        self.assertEqual((socket.sent, socket.buffered), (b"ab", b"cdef"))

    def test_an_error_is_left_to_the_reactor(self) -> None:
        socket = Socket(capacity=-1)
        write_now(socket, b"abc")
        self.assertEqual((socket.sent, socket.buffered), (b"", b"abc"))


class IgnoringHandler:
    """A handler that ignores everything."""

    def link_opened(self, link: Link) -> None:
        """Ignored."""

    def link_closed(self, link: Link) -> None:
        """Ignored."""

    def received(self, link: Link, record: Any) -> None:
        """Ignored."""


class LinkLivenessTest(unittest.TestCase):
    """Pings and time-outs."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.hub = NodeHub(self.clock, IgnoringHandler(), lambda: THIS_NODE, Random(1))

    def link(self, dialled: str) -> tuple[Link, Socket]:
        link, socket = Link(self.hub, dialled), Socket()
        link.transport = socket
        link.connectionMade()
        self.assertEqual([type(record) for record in socket.records()], [Hello])
        return link, socket

    def advance(self, seconds: float) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))

    def test_records_of_one_turn_are_written_at_its_end(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.send(Ping(1))
        link.send(Ping(2))
        self.assertEqual(socket.sent, b"")
        self.hub.flush()
        self.assertEqual(socket.records(), [Ping(1), Ping(2)])
        self.clock.advance(0)
        self.assertEqual(socket.sent, b"")

    def test_only_the_end_that_dialled_pings(self) -> None:
        _, dialled = self.link("10.0.0.2:1")
        _, accepted = self.link("")
        self.advance(PING_IDLE_S + CHECK_INTERVAL_S)
        self.assertIn(Ping(0), dialled.records())
        self.assertEqual(accepted.records(), [])

    def test_it_pings_while_it_receives_much_but_sends_nothing(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        pings = 0
        for _ in range(round(PEER_TIMEOUT_S / 0.05)):
            link.dataReceived(_framed(Pong(0)))
            self.advance(0.05)
            pings += socket.records().count(Ping(0))
        self.assertGreaterEqual(pings, 2)  # before the other end's time-out

    def test_a_feed_subscriber_pings_twice_a_second(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.ping_after_s = PING_SUBSCRIBED_S
        self.advance(4 * CHECK_INTERVAL_S + 0.05)
        self.assertGreaterEqual(socket.records().count(Ping(0)), 4)

    def test_it_pings_sooner_while_a_response_is_awaited(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.request(lambda number: StateRequest(number, "g", "r", False)).addErrback(lambda _: None)
        self.advance(PING_AWAITING_RESPONSE_S + CHECK_INTERVAL_S)
        self.assertIn(Ping(0), socket.records())

    def test_an_unresponsive_peer_is_dropped_by_the_end_that_pings(self) -> None:
        _, socket = self.link("10.0.0.2:1")
        self.advance(PING_IDLE_S + PONG_TIMEOUT_S - 0.1)
        self.assertFalse(socket.aborted)
        self.advance(2 * CHECK_INTERVAL_S + 0.2)
        self.assertTrue(socket.aborted)

    def test_an_unresponsive_peer_is_dropped_sooner_while_a_response_is_awaited(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.request(lambda number: StateRequest(number, "g", "r", False)).addErrback(lambda _: None)
        self.advance(PING_AWAITING_RESPONSE_S + PONG_TIMEOUT_S + 2 * CHECK_INTERVAL_S + 0.1)
        self.assertTrue(socket.aborted)

    def test_an_idle_link_is_not_dropped_when_a_response_is_awaited(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        for _ in range(4):
            self.advance(PING_IDLE_S - 0.1)
            link.request(lambda number: StateRequest(number, "g", "r", False)).addErrback(lambda _: None)
            self.advance(CHECK_INTERVAL_S + 0.1)
            link.dataReceived(_framed(Pong(0)))
        self.assertFalse(socket.aborted)

    def test_an_unresponsive_peer_is_dropped_by_the_end_that_was_dialled(self) -> None:
        _, socket = self.link("")
        self.advance(PEER_TIMEOUT_S - 0.1)
        self.assertFalse(socket.aborted)
        self.advance(CHECK_INTERVAL_S + 0.2)
        self.assertTrue(socket.aborted)

    def test_the_timeout_of_the_end_that_was_dialled_covers_two_pings(self) -> None:
        self.assertGreater(PEER_TIMEOUT_S, 2 * (PING_IDLE_S + CHECK_INTERVAL_S))


def _framed(record: Any) -> bytes:
    data = RECORDS.encode(record)
    return len(data).to_bytes(4, "big") + data


if __name__ == "__main__":
    unittest.main()
