"""The pool without sockets: what proves that a call never ran, and which connections are used."""

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


class Wire(StringTransport):  # type: ignore[misc]
    """A transport that the test lets write, as the system would."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        super().registerProducer(producer, streaming)
        producer.resumeProducing()

    def setTcpNoDelay(self, on: bool) -> None: ...

    def getHandle(self) -> Any:
        return self

    come: bytes | None = None  # what the system has and nobody has read

    def recv(self, size: int, flags: int) -> bytes:
        if self.come is None:
            raise BlockingIOError
        return self.come

    def written(self) -> None:
        if self.producer is not None:
            self.producer.resumeProducing()


class Bench:
    """A pool whose connections the test makes and breaks."""

    def __init__(self) -> None:
        self.ends: list[m.AttemptOutcome | str] = []
        self.now = 1e6
        self.registry = EndpointRegistry(Listing(1, True, (ROW,)))
        self.statistics = Statistics()
        clock: Any = lambda: self.now  # noqa: E731
        self.reactor = Reactor()
        self.pool = HttpUpstreamClient(self.reactor, clock, self.registry, Sockets(64), 250.0, 10_000.0)
        self.pool.broker = self  # type: ignore[assignment]
        self.pool._dial = self.dial  # type: ignore[method-assign]
        self.pool.apply_listing(Listing(1, True, (ROW,)))

    def dial(self, line: Any) -> bool:
        line.dials += 1
        return True

    def call_ended(self, call: UpstreamCall, how: m.AttemptOutcome) -> None:
        self.ends.append(how)

    def may_start(self, call: UpstreamCall) -> bool:
        return not call.finished

    def call_unusable(self, call: UpstreamCall) -> None:
        self.ends.append("unusable")

    def call(self) -> UpstreamCall:
        payload = Request({}, b"body", True, b"POST", b"/job")
        call = UpstreamCall(AcceptedRequest("a", "job", 2e6, self, payload), 0, "s0", 1e6, 2e6)  # type: ignore[arg-type]
        self.pool.start(call, ROW)
        return call

    def rest(self) -> None:
        """The time in which a spoilt endpoint may answer a second time goes by."""
        self.reactor.advance(DUPLICATE_RESPONSE_WAIT)

    def connect(self) -> tuple[Connection, Wire]:
        connection, wire = Connection(self.pool, self.pool.pools[ROW.host_port]), Wire()
        connection.makeConnection(wire)
        self.pool.connection_opened(connection)
        return connection, wire

    def carried(self) -> tuple[Connection, Wire]:
        """A connection that has just carried a call, which was accepted."""
        self.call()
        connection, wire = self.connect()
        wire.written()
        connection.dataReceived(ACCEPTED)
        return connection, wire


@pytest.mark.parametrize(
    ("written", "answer", "want"),
    [
        (False, b"", [m.AttemptOutcome.NO_CONNECTION]),  # a break before the last byte is written: never ran
        (True, b"", [m.AttemptOutcome.RESET]),
        (True, ACCEPTED[:20], [m.AttemptOutcome.RESET]),
        (True, ACCEPTED, []),  # call-backs tell the rest
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
def test_what_becomes_of_a_call_when_its_connection_ends(
    written: bool, answer: bytes, want: list[m.AttemptOutcome | str]
) -> None:
    bench = Bench()
    bench.call()
    connection, wire = bench.connect()
    assert wire.value().endswith(b"Content-Length: 4\r\n\r\nbody")
    if written:
        wire.written()
    connection.dataReceived(answer)
    connection.connectionLost()
    assert bench.ends == want
    assert not bench.pool.pools[ROW.host_port].busy


def test_a_call_whose_endpoint_drains_while_it_dials_is_not_sent() -> None:
    # Guards: the drain was told between the module's choice and the first byte.
    bench = Bench()
    bench.call()
    bench.registry.apply(Listing(2, False, (replace(ROW, state=m.WorkerState.DRAINING),)))
    _, wire = bench.connect()
    assert bench.ends == [m.AttemptOutcome.NO_CONNECTION] and wire.value() == b""


def test_a_call_that_waits_for_a_connection_past_its_time_to_begin_is_not_sent() -> None:
    # Guards: a repeat was chosen inside the window in which it is dropped, and went out after it.
    bench = Bench()
    bench.call().start_deadline = bench.now + 100.0
    bench.now += 101.0
    _, wire = bench.connect()
    assert bench.ends == [m.AttemptOutcome.NO_CONNECTION] and wire.value() == b""


@pytest.mark.parametrize("second", [ACCEPTED, REJECTED, b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"])
def test_a_second_answer_some_ms_late_is_not_taken_for_that_to_the_next_call(second: bytes) -> None:
    # Guards: "never ran" passed for proven of a call that was just being carried out, and it was sent again.
    bench = Bench()
    connection, wire = bench.carried()
    bench.reactor.advance(DUPLICATE_RESPONSE_WAIT / 2)
    wire.clear()
    bench.call()
    assert wire.value() == b"" and bench.pool.pools[ROW.host_port].dials == 1
    connection.dataReceived(second)
    assert bench.ends == [] and wire.disconnecting
    _, other = bench.connect()
    assert other.value().startswith(b"POST /job")


@pytest.mark.parametrize("come", [b"", b"H"])
def test_a_connection_that_ends_or_speaks_before_anybody_has_heard_it_carries_no_call(come: bytes) -> None:
    # Guards: a close that came while the batch was worked on made the call on it a reset.
    bench = Bench()
    _, wire = bench.carried()
    bench.rest()
    wire.come = come
    wire.clear()
    bench.call()
    assert wire.value() == b"" and bench.pool.pools[ROW.host_port].dials == 1


@pytest.mark.parametrize("rested", [True, False])
def test_connections_to_a_process_that_has_started_anew_are_closed(rested: bool) -> None:
    # Guards: the next call on one would have ended as a reset, which costs jobs that must not run twice.
    bench = Bench()
    connection, wire = bench.carried()
    if rested:
        bench.rest()
    line = bench.pool.pools[ROW.host_port]
    assert line.idle == [connection] * rested
    bench.pool.apply_listing(Listing(2, False, (replace(ROW, up_since=9.0),)))
    assert wire.disconnecting and not line.idle
    bench.rest()
    assert not line.idle


def test_a_freed_connection_takes_the_call_that_waits_for_a_dial() -> None:
    bench = Bench()
    bench.call()
    connection, wire = bench.connect()
    wire.written()
    bench.call()
    wire.clear()
    connection.dataReceived(ACCEPTED)
    bench.rest()
    assert wire.value().startswith(b"POST /job HTTP/1.1\r\n") and not bench.pool.pools[ROW.host_port].waiting


@pytest.mark.parametrize(("idle", "reused"), [(400.0, True), (600.0, False)])
def test_endpoints_that_close_early_have_their_connections_used_again_only_while_fresh(
    idle: float, reused: bool
) -> None:
    # Guards: connections idle for longer than endpoints really allow were used again, and the calls reset.
    bench = Bench()
    pair = []
    for _ in range(2):
        bench.call()
        pair.append(bench.connect())
    for connection, wire in pair:
        wire.written()
        connection.dataReceived(ACCEPTED)
    bench.rest()
    line = bench.pool.pools[ROW.host_port]
    assert len(line.idle) == 2
    bench.now += 1000.0
    pair[0][
        0
    ].connectionLost()  # in good order: the endpoint holds idle ones for 1 s, not for the 10 s it says
    bench.now += idle - 1000.0
    wire = pair[1][1]
    wire.clear()
    bench.call()
    assert wire.value().startswith(b"POST") == reused and line.dials == (0 if reused else 1)


def test_kept_connections_are_not_used_while_calls_on_them_are_reset_more_than_on_new_ones() -> None:
    # Guards: where something between resets kept connections, each second call on one was lost.
    bench = Bench()
    pool, line = bench.pool, None

    def round(reset: bool) -> None:
        nonlocal line
        bench.call()
        line = pool.pools[ROW.host_port]
        connection = line.idle[-1] if line.idle else None
        if line.waiting:
            connection, wire = bench.connect()
            wire.written()
        else:
            connection = reused[0]
            connection.transport.written()
        if reset:
            connection.connectionLost(Failure(ConnectionLost()))
        else:
            connection.dataReceived(ACCEPTED)
            bench.rest()
            reused[0] = connection

    reused: list[Any] = [None]
    for reset in (False, True, False, True):
        round(reset)
    assert bench.ends == [m.AttemptOutcome.RESET, m.AttemptOutcome.RESET]
    round(False)
    assert line is not None and not line.idle and pool.reuse.resets[True] > pool.reuse.resets[False]
    for _ in range(100):
        pool._sweep()
    round(False)
    assert len(line.idle) == 1
