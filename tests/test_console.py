"""The console and the statistics: connections on a virtual clock, and requests to a real node."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from rig import accept, done, reset, running, wait_until
from twisted.internet.testing import MemoryReactorClock, StringTransport

from bitternpath.balancer.core.statistics import Statistics
from bitternpath.balancer.http.console import (
    CALL_TIMEOUT,
    MAX_CONSOLE_CONNECTIONS,
    RECENT_CONNECTION_AGE,
    Console,
    ConsoleConnection,
    ConsoleResponse,
    parse_id,
)

READY = b"GET /ops/readiness HTTP/1.1\r\n\r\n"


class FakeTransport(StringTransport):
    """A transport that records its closes; `on_abort` notifies the protocol."""

    aborted = write_closed = False
    on_abort: Callable[[], None] = staticmethod(lambda: None)

    def setTcpNoDelay(self, on: bool) -> None: ...

    def loseWriteConnection(self) -> None:
        self.write_closed = True

    def abortConnection(self) -> None:
        if not self.aborted:
            self.aborted = True
            self.on_abort()


class ConsoleHarness:
    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        routes = {
            b"/ops/readiness": (b"GET", lambda body: ConsoleResponse(200)),
            b"/ops/w/down": (b"POST", lambda body: ConsoleResponse(200, parse_id(body).encode())),
        }
        self.console = Console(self.reactor, ("127.0.0.1", 0), routes)

    def call(self, data: bytes = b"") -> tuple[ConsoleConnection, FakeTransport]:
        connection, wire = ConsoleConnection(self.console), FakeTransport()
        wire.on_abort = connection.connectionLost
        connection.makeConnection(wire)
        if data:
            connection.dataReceived(data)
        return connection, wire

    def status(self, data: bytes) -> int:
        _, wire = self.call(data)
        assert wire.write_closed and b"Connection: close" in wire.value()
        return int(wire.value().split()[1])


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (READY, 200),
        (READY + READY, 200),  # input after a request is not a second request
        (b"GET /ops/readiness?x=1 HTTP/1.0\r\n\r\n", 200),
        (b"GET /ops HTTP/1.1\r\n\r\n", 404),
        (b"GET /lookup HTTP/1.1\r\n\r\n", 404),
        (b"POST /ops/readiness HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /ops/w/down HTTP/1.1\r\n\r\n", 405),
        (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
        (b"GET /ops/readiness\r\n\r\n", 400),
        (b"POST /ops/w/down HTTP/1.1\r\n\r\n", 411),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 400),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 3\r\n\r\na b", 400),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 4\r\n\r\nw-1\n", 200),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 2\r\n\r\n\xc3\xa9", 400),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 201\r\n\r\n" + b"w" * 201, 400),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413),
        (b"POST /ops/w/down HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 20000, 431),
    ],
)
def test_request_is_answered_in_the_turn_that_reads_it(call: bytes, status: int) -> None:
    assert ConsoleHarness().status(call) == status


def test_fragmented_request_is_one_request() -> None:
    connection, wire = ConsoleHarness().call()
    for k in range(len(READY)):
        assert not wire.value()
        connection.dataReceived(READY[k : k + 1])
    connection.dataReceived(READY)
    assert wire.value().count(b"HTTP/1.1 200") == 1


def test_silent_connections_are_closed_and_partial_requests_get_408() -> None:
    harness = ConsoleHarness()
    (_, silent), (_, partial) = harness.call(), harness.call(READY[:9])
    harness.reactor.advance(CALL_TIMEOUT - 0.01)
    assert not silent.aborted and not partial.value()
    harness.reactor.advance(0.02)
    assert silent.aborted and b" 408 " in partial.value()
    harness.reactor.advance(1.0)
    assert partial.aborted and not harness.console.unanswered and not harness.console.answered


def test_silent_connections_do_not_block_complete_requests() -> None:
    harness = ConsoleHarness()
    wires = []
    for k in range(10 * MAX_CONSOLE_CONNECTIONS):
        wires.append(harness.call(READY[: k % 9])[1])
        harness.reactor.advance(RECENT_CONNECTION_AGE / 50)
        assert harness.status(READY) == 200
        assert len(harness.console.unanswered) + len(harness.console.answered) <= MAX_CONSOLE_CONNECTIONS
    assert wires[0].aborted


def test_recent_connections_are_not_closed_at_the_limit() -> None:
    harness = ConsoleHarness()
    for _ in range(MAX_CONSOLE_CONNECTIONS):
        harness.call(READY)
        harness.reactor.advance(RECENT_CONNECTION_AGE)
    newest, wire = harness.call()
    for _ in range(5):
        harness.call()
    assert not wire.aborted
    newest.dataReceived(READY)
    assert b" 200 " in wire.value()


def test_counters_start_at_0_and_survive_the_removal_of_a_class() -> None:
    statistics = Statistics()
    statistics.add_classes(["a"])
    statistics.register(["backend_calls"], {"inflight": lambda: 3})
    statistics.count_outcome("a", "served")
    statistics.count_outcome("a", "rejected")
    statistics.add_classes(["b"])
    statistics.add_classes(["a"])
    assert statistics.lines().splitlines() == [
        "app.calls.a.success:1|c", "app.calls.a.busy:1|c", "app.calls.a.failure:0|c",
        "app.calls.b.success:0|c", "app.calls.b.busy:0|c", "app.calls.b.failure:0|c",
        "app.backend_calls:0|c", "app.inflight:3|g",
    ]  # fmt: skip


def test_statistics_match_the_outcomes_at_clients_and_workers(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig, ThreadPoolExecutor(8) as pool:
        assert rig.call_console("GET", "/ops/readiness")[0] == 200
        assert set(rig.statistics().values()) == {0, 1}  # one endpoint listed
        assert {r[0] for r in pool.map(rig.submit, [f"a{k}" for k in range(30)])} == {200}
        assert rig.submit("bad", "/nothing")[0] == 404
        rig.endpoints[0].behavior = reset
        assert rig.submit("r", "/reminder")[0] == 500
        rig.endpoints[0].behavior = accept
        posts = rig.endpoints[0].posts
        open_request = pool.submit(rig.submit, "open")
        wait_until(lambda: rig.endpoints[0].posts > posts)
        statistics = rig.statistics()
        assert statistics["app.calls.lookup.success"] == 30 and statistics["app.calls.reminder.failure"] == 1
        assert statistics["app.backend_calls"] == rig.endpoints[0].posts == 32
        assert statistics["app.inflight"] == 1 and statistics["app.hosts_listed"] == 1
        rig.endpoints[0].send_callback("open", "done", result="r")
        assert open_request.result()[0] == 200
        rig.reload("", "event=reload_failed")
        assert rig.statistics()["app.reconfig_failed"] == 1 and rig.statistics()["app.inflight"] == 0


def test_200_silent_connections_block_neither_console_nor_jobs(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True, sockets=128) as rig:
        host, _, port = rig.console.rpartition(":")
        silent = [socket.create_connection((host, int(port)), 20) for _ in range(200)]
        for k, sock in enumerate(silent):
            with contextlib.suppress(OSError):  # the oldest silent connections are closed by now
                sock.sendall(READY[: k % 20])
        for k in range(40):
            assert rig.call_console("GET", "/ops/stats")[0] == 200
            assert rig.submit(f"j{k}")[0] == 200
        for sock in silent:
            sock.close()
