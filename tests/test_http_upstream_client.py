"""The upstream client without sockets: proof that a call never ran, and reuse of connections."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock as Reactor
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import AcceptedRequest, UpstreamCall
from bitternpath.balancer.core.statistics import Statistics
from bitternpath.balancer.http.upstream_client import DUPLICATE_RESPONSE_WAIT, HttpUpstreamClient
from bitternpath.balancer.http.upstream_connection import Connection
from bitternpath.net.http1 import Request
from bitternpath.net.sockets import Sockets

ROW = Endpoint("s0", "127.0.0.1:1", "z", "k", 0, m.WorkerState.SERVING, 1.0, 5.0)
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
REJECTED = b"HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


class Transport(StringTransport):  # type: ignore[misc]
    """A transport whose writes complete when the test calls `written`."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        super().registerProducer(producer, streaming)
        producer.resumeProducing()

    def setTcpNoDelay(self, on: bool) -> None: ...

    def getHandle(self) -> Any:
        return self

    unread: bytes | None = None  # first byte received but not read; b"" at end of input

    def recv(self, size: int, flags: int) -> bytes:
        if self.unread is None:
            raise BlockingIOError
        return self.unread

    def written(self) -> None:
        if self.producer is not None:
            self.producer.resumeProducing()


class ClientHarness:
    """An upstream client whose connections the test opens and closes."""

    def __init__(self) -> None:
        self.outcomes: list[m.AttemptOutcome | str] = []
        self.now = 1e6
        self.registry = EndpointRegistry(Listing(1, True, (ROW,)))
        self.statistics = Statistics()
        clock: Any = lambda: self.now  # noqa: E731
        self.reactor = Reactor()
        self.client = HttpUpstreamClient(self.reactor, clock, self.registry, Sockets(64), 250.0, 10_000.0)
        self.client.broker = self  # type: ignore[assignment]
        self.client._dial = self.dial  # type: ignore[method-assign]
        self.client.apply_listing(Listing(1, True, (ROW,)))

    def dial(self, pool: Any) -> bool:
        pool.dials += 1
        return True

    def call_ended(self, call: UpstreamCall, outcome: m.AttemptOutcome) -> None:
        self.outcomes.append(outcome)

    def may_start(self, call: UpstreamCall) -> bool:
        return not call.finished

    def call_unusable(self, call: UpstreamCall) -> None:
        self.outcomes.append("unusable")

    def call(self) -> UpstreamCall:
        payload = Request({}, b"body", True, b"POST", b"/job")
        call = UpstreamCall(AcceptedRequest("a", "job", 2e6, self, payload), 0, "s0", 1e6, 2e6)  # type: ignore[arg-type]
        self.client.start(call, ROW)
        return call

    def wait_for_duplicate_response(self) -> None:
        """Advance past the time in which a faulty endpoint may respond a second time."""
        self.reactor.advance(DUPLICATE_RESPONSE_WAIT)

    def connect(self) -> tuple[Connection, Transport]:
        connection, wire = Connection(self.client, self.client.pools[ROW.host_port]), Transport()
        connection.makeConnection(wire)
        self.client.connection_opened(connection)
        return connection, wire

    def connection_after_call(self) -> tuple[Connection, Transport]:
        """A connection that has just connection_after_call an accepted call."""
        self.call()
        connection, wire = self.connect()
        wire.written()
        connection.dataReceived(ACCEPTED)
        return connection, wire


@pytest.mark.parametrize(
    ("written", "answer", "expected"),
    [
        (False, b"", [m.AttemptOutcome.NO_CONNECTION]),  # lost before the last byte was written: never ran
        (True, b"", [m.AttemptOutcome.RESET]),
        (True, ACCEPTED[:20], [m.AttemptOutcome.RESET]),
        (True, ACCEPTED, []),  # the call-backs report the outcome
        (True, b"HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", [m.AttemptOutcome.FULL]),
        (True, b"HTTP/1.1 504 x\r\nX-Rejected: 1\r\n\r\n", [m.AttemptOutcome.FULL]),
        (True, b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", [m.AttemptOutcome.ERROR]),
        (True, b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", [m.AttemptOutcome.ERROR]),
        (True, b"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", ["unusable"]),
        (True, b"nonsense\r\n\r\n", [m.AttemptOutcome.RESET]),
        (
            False,
            b"HTTP/1.1 503 x\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
            [m.AttemptOutcome.NO_CONNECTION],
        ),
    ],
)
def test_outcome_of_a_call_when_its_connection_ends(
    written: bool, answer: bytes, expected: list[m.AttemptOutcome | str]
) -> None:
    harness = ClientHarness()
    harness.call()
    connection, wire = harness.connect()
    assert wire.value().endswith(b"Content-Length: 4\r\n\r\nbody")
    if written:
        wire.written()
    connection.dataReceived(answer)
    connection.connectionLost()
    assert harness.outcomes == expected
    assert not harness.client.pools[ROW.host_port].busy


def test_call_is_not_sent_if_its_endpoint_starts_draining_during_the_dial() -> None:
    # Guards against sending a call whose endpoint started draining after the dispatcher chose it.
    harness = ClientHarness()
    harness.call()
    harness.registry.apply(Listing(2, False, (replace(ROW, state=m.WorkerState.DRAINING),)))
    _, wire = harness.connect()
    assert harness.outcomes == [m.AttemptOutcome.NO_CONNECTION] and wire.value() == b""


def test_call_is_not_sent_after_its_start_deadline() -> None:
    # Guards against sending a retry after its start deadline because it waited for a connection.
    harness = ClientHarness()
    harness.call().start_deadline = harness.now + 100.0
    harness.now += 101.0
    _, wire = harness.connect()
    assert harness.outcomes == [m.AttemptOutcome.NO_CONNECTION] and wire.value() == b""


@pytest.mark.parametrize("second", [ACCEPTED, REJECTED, b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"])
def test_duplicate_response_is_not_matched_to_the_next_call(second: bytes) -> None:
    # Guards against taking a second response for that to the next call, which was running and was sent again.
    harness = ClientHarness()
    connection, wire = harness.connection_after_call()
    harness.reactor.advance(DUPLICATE_RESPONSE_WAIT / 2)
    wire.clear()
    harness.call()
    assert wire.value() == b"" and harness.client.pools[ROW.host_port].dials == 1
    connection.dataReceived(second)
    assert harness.outcomes == [] and wire.disconnecting
    _, other = harness.connect()
    assert other.value().startswith(b"POST /job")


@pytest.mark.parametrize("unread", [b"", b"H"])
def test_connection_with_unread_input_carries_no_call(unread: bytes) -> None:
    # Guards against reusing a connection that was closed during the current batch: the call on it was reset.
    harness = ClientHarness()
    _, wire = harness.connection_after_call()
    harness.wait_for_duplicate_response()
    wire.unread = unread
    wire.clear()
    harness.call()
    assert wire.value() == b"" and harness.client.pools[ROW.host_port].dials == 1


@pytest.mark.parametrize("rested", [True, False])
def test_connections_to_a_restarted_process_are_closed(rested: bool) -> None:
    # Guards against a reset of the next call on such a connection, which fails jobs that must not run twice.
    harness = ClientHarness()
    connection, wire = harness.connection_after_call()
    if rested:
        harness.wait_for_duplicate_response()
    pool = harness.client.pools[ROW.host_port]
    assert pool.idle == [connection] * rested
    harness.client.apply_listing(Listing(2, False, (replace(ROW, up_since=9.0),)))
    assert wire.disconnecting and not pool.idle
    harness.wait_for_duplicate_response()
    assert not pool.idle


def test_free_connection_carries_a_call_that_waits_for_a_dial() -> None:
    harness = ClientHarness()
    harness.call()
    connection, wire = harness.connect()
    wire.written()
    harness.call()
    wire.clear()
    connection.dataReceived(ACCEPTED)
    harness.wait_for_duplicate_response()
    assert (
        wire.value().startswith(b"POST /job HTTP/1.1\r\n") and not harness.client.pools[ROW.host_port].waiting
    )


@pytest.mark.parametrize(("idle", "reused"), [(400.0, True), (600.0, False)])
def test_early_closes_shorten_the_idle_time_for_reuse(idle: float, reused: bool) -> None:
    # Guards against reusing connections idle for longer than endpoints really allow: the calls were reset.
    harness = ClientHarness()
    pair = []
    for _ in range(2):
        harness.call()
        pair.append(harness.connect())
    for connection, wire in pair:
        wire.written()
        connection.dataReceived(ACCEPTED)
    harness.wait_for_duplicate_response()
    pool = harness.client.pools[ROW.host_port]
    assert len(pool.idle) == 2
    harness.now += 1000.0
    # An orderly close: the endpoint closes idle connections after 1 s, not after the configured 10 s.
    pair[0][0].connectionLost()
    harness.now += idle - 1000.0
    wire = pair[1][1]
    wire.clear()
    harness.call()
    assert wire.value().startswith(b"POST") == reused and pool.dials == (0 if reused else 1)


def test_connections_are_not_reused_while_reused_ones_are_reset_more_often() -> None:
    # Guards against losing every second call where a middlebox resets reused connections.
    harness = ClientHarness()
    client, pool = harness.client, None

    def round(reset: bool) -> None:
        nonlocal pool
        harness.call()
        pool = client.pools[ROW.host_port]
        connection = pool.idle[-1] if pool.idle else None
        if pool.waiting:
            connection, wire = harness.connect()
            wire.written()
        else:
            connection = reused[0]
            connection.transport.written()
        if reset:
            connection.connectionLost(Failure(ConnectionLost()))
        else:
            connection.dataReceived(ACCEPTED)
            harness.wait_for_duplicate_response()
            reused[0] = connection

    reused: list[Any] = [None]
    for reset in (False, True, False, True):
        round(reset)
    assert harness.outcomes == [m.AttemptOutcome.RESET, m.AttemptOutcome.RESET]
    round(False)
    assert pool is not None and not pool.idle and client.reuse.resets[True] > client.reuse.resets[False]
    for _ in range(100):
        client._sweep()
    round(False)
    assert len(pool.idle) == 1
