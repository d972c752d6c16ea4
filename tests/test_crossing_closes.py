"""A client's close where it crosses an answer, the rest of a request, or the end of the node's loop.

Rows of docs/design/crossings.md, "Consumers that leave" and "Shutdown".
"""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import pytest
from rig import done, running
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from bitternpath.balancer.core.lifecycle import NEW_CONNECTIONS_UNTIL_MS, Lifecycle, Phase
from bitternpath.balancer.core.requests import AcceptedRequest
from bitternpath.balancer.http.client_connection import ClientConnection
from bitternpath.balancer.node_shutdown import FLUSH_DELAY, UNSENT_ANSWER_LIMIT, Shutdown
from bitternpath.net import http1

REQUEST = b"POST /lookup HTTP/1.1\r\nHost: x\r\nX-Call-Id: a\r\nContent-Length: 4\r\n\r\nbody"
ROUNDS = 3


class Transport(StringTransport):
    """What a connection writes. `dataBuffer`: what the socket hasn't taken, as a test says."""

    dataBuffer = b""

    def setTcpNoDelay(self, on: bool) -> None:
        """No socket."""


class Owner:
    """Stands for the listener, and for the broker and the handler behind it."""

    accepting = True

    def __init__(self) -> None:
        self.reactor = self.broker = self.handler = self.lifecycle = self.behavior = self
        self.keep_alive = True
        self.served: list[http1.Request] = []
        self.withdrawn: list[AcceptedRequest] = []
        self.closed: list[ClientConnection] = []

    def clock(self) -> float:
        return 0.0

    def serve(self, connection: ClientConnection, message: http1.Request) -> None:
        self.served.append(message)
        connection.request = AcceptedRequest("a", "lookup", 1000.0, connection, None)

    def withdraw(self, request: AcceptedRequest) -> None:
        self.withdrawn.append(request)

    def connection_closed(self, connection: ClientConnection) -> None:
        self.closed.append(connection)

    def __getattr__(self, name: str) -> Any:
        if name.startswith(("connection_", "mark_")):
            return lambda connection: None
        raise AttributeError(name)


def connected(owner: Owner) -> tuple[ClientConnection, Transport]:
    connection, transport = ClientConnection(owner), Transport()  # type: ignore[arg-type]
    connection.makeConnection(transport)  # type: ignore[arg-type]
    return connection, transport


@pytest.mark.parametrize("answer", ["served", "rejected", "failed"])
def test_an_answer_that_comes_after_the_close_is_dropped(answer: str) -> None:
    owner = Owner()
    connection, transport = connected(owner)
    connection.dataReceived(REQUEST)
    request = connection.request
    assert request is not None
    connection.connectionLost()
    assert owner.withdrawn == [request]
    arguments = {"served": (b"made",), "rejected": (10.0,), "failed": ()}[answer]
    getattr(connection, answer)(*arguments)
    assert transport.value() == b"" and connection.request is None
    assert owner.closed == [connection] and len(owner.served) == 1


def test_an_answer_that_comes_before_the_close_is_whole() -> None:
    owner = Owner()
    connection, transport = connected(owner)
    connection.dataReceived(REQUEST)
    connection.served(b"made")
    connection.connectionLost()
    assert transport.value().startswith(b"HTTP/1.1 200") and transport.value().endswith(b"made")
    assert owner.withdrawn == []


@pytest.mark.parametrize("cut", range(1, len(REQUEST)))
def test_a_request_whose_client_closes_before_its_last_byte_is_never_taken(cut: int) -> None:
    owner = Owner()
    connection, transport = connected(owner)
    connection.dataReceived(REQUEST[:cut])
    connection.connectionLost()
    connection.dataReceived(REQUEST[cut:])  # bytes that were read in the turn of the close
    assert owner.served == [] and owner.withdrawn == [] and transport.value() == b""


class Ending:
    """A node that is about to end: its one connection's answer is written, and not yet on the socket."""

    def __init__(self) -> None:
        self.reactor = Clock()
        self.broker = self.listener = self
        self.unanswered, self.in_progress = 0, dict[str, object]()
        self.on_idle: Any = None
        self.owner = Owner()
        self.owner.clock = self.clock  # type: ignore[method-assign]
        self.connection, self.transport = connected(self.owner)
        self.connections = [self.connection]
        self.ended: list[float] = []
        lifecycle = Lifecycle()
        lifecycle.phase = Phase.DRAINING
        shutdown = Shutdown(self.reactor, self.clock, lifecycle, self, self, self.end)  # type: ignore[arg-type]
        shutdown.begin()

    def clock(self) -> float:
        return float(self.reactor.seconds()) * 1000.0

    def end(self) -> None:
        self.ended.append(self.reactor.seconds())

    def answer_in_the_last_turn(self) -> float:
        """Answer just before the end is due, so that nothing is owed any more; the time."""
        due = (NEW_CONNECTIONS_UNTIL_MS / 1000.0) + 3 * FLUSH_DELAY
        self.reactor.advance(due - FLUSH_DELAY)  # idle: the end is planned
        self.reactor.advance(FLUSH_DELAY - 0.001)
        self.connection.dataReceived(REQUEST)
        self.connection.served(b"made")
        self.transport.dataBuffer = b"HTTP/1.1 200"
        self.reactor.advance(0.001)
        return due


def test_an_answer_given_in_the_turn_of_the_end_is_sent_before_it() -> None:
    # Guards: it was counted as served, and the reactor stopped before the socket had it.
    node = Ending()
    node.answer_in_the_last_turn()
    assert node.ended == []
    node.transport.dataBuffer = b""
    node.reactor.pump([FLUSH_DELAY] * 3)
    assert len(node.ended) == 1


def test_a_client_that_does_not_read_its_answer_does_not_hold_the_end_up_for_long() -> None:
    node = Ending()
    due = node.answer_in_the_last_turn()
    node.reactor.pump([0.05] * 60)
    assert len(node.ended) == 1
    assert UNSENT_ANSWER_LIMIT <= (node.ended[0] - due) * 1000.0 + 2 <= UNSENT_ANSWER_LIMIT + 300


def test_requests_that_meet_the_end_of_the_loop_are_answered_or_never_begun(tmp_path: Path) -> None:
    for attempt in range(ROUNDS):
        folder = tmp_path / str(attempt)
        folder.mkdir()
        with running(folder, done) as rig:
            assert rig.submit("first")[0] == 200
            rig.process.send_signal(signal.SIGTERM)
            answered = 1
            for number in range(100_000):
                try:
                    status = rig.submit(f"a{number}")[0]
                except OSError:  # refused, reset or closed: the process ends, or has ended
                    if rig.process.poll() is not None:
                        break
                    continue
                answered += status == 200
            assert rig.process.wait(20) == 0
            assert answered > 1 and rig.posts == answered
