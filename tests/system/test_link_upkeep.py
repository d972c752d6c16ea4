"""Writes of links without a turn of the reactor, and who asks whom for a sign of life."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from twisted.internet.main import CONNECTION_LOST
from twisted.internet.task import Clock

from bitternpath.net.writing import write_now
from bitternpath.transport.frames import FrameBuffer
from bitternpath.transport.hub import LOOK_S, NodeHub
from bitternpath.transport.links import (
    ANSWER_LIMIT_S,
    ASK_AFTER_S,
    ASK_AWAITED_AFTER_S,
    ASK_SOON_AFTER_S,
    SILENCE_LIMIT_S,
    Link,
)
from bitternpath.transport.messages import RECORDS
from bitternpath.transport.node_messages import Hello, NodeDescriptor, NodeKind, Ping, Pong
from bitternpath.transport.shard_messages import StateRequest

ME = NodeDescriptor("edge-1", "10.0.0.1:1", NodeKind.EDGE, "north", False, "", 1, 0)


class Socket:
    """A transport of Twisted's kind whose socket takes `room` bytes."""

    def __init__(self, room: int = 1 << 20) -> None:
        self.room, self.connected = room, True
        self.dataBuffer, self._tempDataLen = b"", 0
        self.sent = self.buffered = b""
        self.aborted = False

    def writeSomeData(self, data: bytes) -> Any:
        if self.room < 0:
            return CONNECTION_LOST
        taken = data[: self.room]
        self.sent += taken
        self.room -= len(taken)
        return len(taken)

    def write(self, data: bytes) -> None:
        self.buffered += data
        self._tempDataLen += len(data)

    def getHandle(self) -> None:
        return None

    def abortConnection(self) -> None:
        self.aborted = True

    def records(self) -> list[Any]:
        """What was sent since the last call."""
        data, self.sent = self.sent, b""
        return [RECORDS.decode(payload) for payload in FrameBuffer().feed(data)]


class Writes(unittest.TestCase):
    """Bytes go out whole and in order, whatever the socket takes."""

    def test_what_the_socket_takes_needs_no_reactor(self) -> None:
        socket = Socket()
        write_now(socket, b"abc")
        self.assertEqual((socket.sent, socket.buffered), (b"abc", b""))

    def test_the_rest_goes_the_usual_way_and_what_follows_behind_it(self) -> None:
        socket = Socket(room=2)
        write_now(socket, b"abcd")
        socket.room = 100
        write_now(socket, b"ef")
        self.assertEqual((socket.sent, socket.buffered), (b"ab", b"cdef"))

    def test_an_error_is_left_to_the_reactor(self) -> None:
        socket = Socket(room=-1)
        write_now(socket, b"abc")
        self.assertEqual((socket.sent, socket.buffered), (b"", b"abc"))


class Nobody:
    """A handler that hears nothing."""

    def link_opened(self, link: Link) -> None:
        """Ignored."""

    def link_closed(self, link: Link) -> None:
        """Ignored."""

    def received(self, link: Link, record: Any) -> None:
        """Ignored."""


class SignsOfLife(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.hub = NodeHub(self.clock, Nobody(), lambda: ME, Random(1))

    def link(self, dialled: str) -> tuple[Link, Socket]:
        link, socket = Link(self.hub, dialled), Socket()
        link.transport = socket
        link.connectionMade()
        self.assertEqual([type(record) for record in socket.records()], [Hello])
        return link, socket

    def advance(self, seconds: float) -> None:
        self.clock.pump([0.05] * round(seconds / 0.05))

    def test_records_of_a_turn_go_out_in_one_write_at_its_end(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.send(Ping(1))
        link.send(Ping(2))
        self.assertEqual(socket.sent, b"")
        self.hub.flush()
        self.assertEqual(socket.records(), [Ping(1), Ping(2)])
        self.clock.advance(0)
        self.assertEqual(socket.sent, b"")

    def test_the_end_that_dialled_asks_and_the_other_does_not(self) -> None:
        _, dialled = self.link("10.0.0.2:1")
        _, accepted = self.link("")
        self.advance(ASK_AFTER_S + LOOK_S)
        self.assertIn(Ping(0), dialled.records())
        self.assertEqual(accepted.records(), [])

    def test_it_asks_where_it_hears_much_but_says_nothing(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        asked = 0
        for _ in range(round(SILENCE_LIMIT_S / 0.05)):
            link.dataReceived(_framed(Pong(0)))
            self.advance(0.05)
            asked += socket.records().count(Ping(0))
        self.assertGreaterEqual(asked, 2)  # before the other end gives up

    def test_a_feeds_follower_is_heard_twice_a_second(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.ask_after_s = ASK_SOON_AFTER_S
        self.advance(4 * LOOK_S + 0.05)
        self.assertGreaterEqual(socket.records().count(Ping(0)), 4)

    def test_it_asks_sooner_while_an_answer_is_awaited(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.request(lambda number: StateRequest(number, "g", "r", False)).addErrback(lambda _: None)
        self.advance(ASK_AWAITED_AFTER_S + LOOK_S)
        self.assertIn(Ping(0), socket.records())

    def test_a_silent_end_is_given_up_by_the_one_that_asks(self) -> None:
        _, socket = self.link("10.0.0.2:1")
        self.advance(ASK_AFTER_S + ANSWER_LIMIT_S - 0.1)
        self.assertFalse(socket.aborted)
        self.advance(2 * LOOK_S + 0.2)
        self.assertTrue(socket.aborted)

    def test_sooner_while_an_answer_is_awaited(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        link.request(lambda number: StateRequest(number, "g", "r", False)).addErrback(lambda _: None)
        self.advance(ASK_AWAITED_AFTER_S + ANSWER_LIMIT_S + 2 * LOOK_S + 0.1)
        self.assertTrue(socket.aborted)

    def test_a_link_that_was_at_rest_is_not_given_up_when_an_answer_is_awaited(self) -> None:
        link, socket = self.link("10.0.0.2:1")
        for _ in range(4):
            self.advance(ASK_AFTER_S - 0.1)
            link.request(lambda number: StateRequest(number, "g", "r", False)).addErrback(lambda _: None)
            self.advance(LOOK_S + 0.1)
            link.dataReceived(_framed(Pong(0)))
        self.assertFalse(socket.aborted)

    def test_a_silent_end_is_given_up_by_the_one_that_was_dialled(self) -> None:
        _, socket = self.link("")
        self.advance(SILENCE_LIMIT_S - 0.1)
        self.assertFalse(socket.aborted)
        self.advance(LOOK_S + 0.2)
        self.assertTrue(socket.aborted)

    def test_two_questions_fit_into_the_limit_of_the_end_that_was_dialled(self) -> None:
        self.assertGreater(SILENCE_LIMIT_S, 2 * (ASK_AFTER_S + LOOK_S))


def _framed(record: Any) -> bytes:
    data = RECORDS.encode(record)
    return len(data).to_bytes(4, "big") + data


if __name__ == "__main__":
    unittest.main()
