"""A client's close concurrent with a response, the rest of a request, or the shutdown of the node.

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
    """Records written data. `dataBuffer` simulates data not yet passed to the socket."""

    dataBuffer = b""

    def setTcpNoDelay(self, on: bool) -> None:
        """Do nothing: there is no socket."""


class StubListener:
    """A stub for the listener, its broker and its handler."""

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


def connected(listener: StubListener) -> tuple[ClientConnection, Transport]:
    connection, transport = ClientConnection(listener), Transport()  # type: ignore[arg-type]
    connection.makeConnection(transport)  # type: ignore[arg-type]
    return connection, transport


@pytest.mark.parametrize("answer", ["served", "rejected", "failed"])
def test_response_after_the_close_is_dropped(answer: str) -> None:
    listener = StubListener()
    connection, transport = connected(listener)
    connection.dataReceived(REQUEST)
    request = connection.request
    assert request is not None
    connection.connectionLost()
    assert listener.withdrawn == [request]
    arguments = {"served": (b"made",), "rejected": (10.0,), "failed": ()}[answer]
    getattr(connection, answer)(*arguments)
    assert transport.value() == b"" and connection.request is None
    assert listener.closed == [connection] and len(listener.served) == 1


def test_response_before_the_close_is_complete() -> None:
    listener = StubListener()
    connection, transport = connected(listener)
    connection.dataReceived(REQUEST)
    connection.served(b"made")
    connection.connectionLost()
    assert transport.value().startswith(b"HTTP/1.1 200") and transport.value().endswith(b"made")
    assert listener.withdrawn == []


@pytest.mark.parametrize("cut", range(1, len(REQUEST)))
def test_request_truncated_by_a_close_is_not_accepted(cut: int) -> None:
    listener = StubListener()
    connection, transport = connected(listener)
    connection.dataReceived(REQUEST[:cut])
    connection.connectionLost()
    connection.dataReceived(REQUEST[cut:])  # bytes read in the same turn as the close
    assert listener.served == [] and listener.withdrawn == [] and transport.value() == b""


class ShutdownHarness:
    """A node that shuts down while the response on its connection is not on the socket yet."""

    def __init__(self) -> None:
        self.reactor = Clock()
        self.broker = self.listener = self
        self.unanswered, self.in_progress = 0, dict[str, object]()
        self.on_idle: Any = None
        self.stub_listener = StubListener()
        self.stub_listener.clock = self.clock  # type: ignore[method-assign]
        self.connection, self.transport = connected(self.stub_listener)
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

    def respond_before_shutdown(self) -> float:
        """Write a response just before the shutdown is due, and return the time at which it is due."""
        due = (NEW_CONNECTIONS_UNTIL_MS / 1000.0) + 3 * FLUSH_DELAY
        self.reactor.advance(due - FLUSH_DELAY)  # idle: the shutdown is scheduled
        self.reactor.advance(FLUSH_DELAY - 0.001)
        self.connection.dataReceived(REQUEST)
        self.connection.served(b"made")
        self.transport.dataBuffer = b"HTTP/1.1 200"
        self.reactor.advance(0.001)
        return due


def test_response_written_in_the_last_turn_is_sent_before_exit() -> None:
    # Guards against stopping the reactor before a response counted as served reaches the socket.
    node = ShutdownHarness()
    node.respond_before_shutdown()
    assert node.ended == []
    node.transport.dataBuffer = b""
    node.reactor.pump([FLUSH_DELAY] * 3)
    assert len(node.ended) == 1


def test_client_that_does_not_read_delays_the_exit_for_a_limited_time() -> None:
    node = ShutdownHarness()
    due = node.respond_before_shutdown()
    node.reactor.pump([0.05] * 60)
    assert len(node.ended) == 1
    assert UNSENT_ANSWER_LIMIT <= (node.ended[0] - due) * 1000.0 + 2 <= UNSENT_ANSWER_LIMIT + 300


def test_requests_during_shutdown_are_answered_or_never_started(tmp_path: Path) -> None:
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
                except OSError:  # refused, reset or closed: the process is exiting or has exited
                    if rig.process.poll() is not None:
                        break
                    continue
                answered += status == 200
            assert rig.process.wait(20) == 0
            assert answered > 1 and rig.posts == answered
