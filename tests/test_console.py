"""The console and the figures: callers on a clock of their own, and a real node under calls of every kind."""

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


class Wire(StringTransport):
    """Remembers what was done to it; `lost` tells the protocol."""

    aborted = shut = False
    tell: Callable[[], None] = staticmethod(lambda: None)

    def setTcpNoDelay(self, on: bool) -> None: ...

    def loseWriteConnection(self) -> None:
        self.shut = True

    def abortConnection(self) -> None:
        if not self.aborted:
            self.aborted = True
            self.tell()


class Desk:
    def __init__(self) -> None:
        self.reactor = MemoryReactorClock()
        routes = {
            b"/ops/readiness": (b"GET", lambda body: ConsoleResponse(200)),
            b"/ops/w/down": (b"POST", lambda body: ConsoleResponse(200, parse_id(body).encode())),
        }
        self.console = Console(self.reactor, ("127.0.0.1", 0), routes)

    def call(self, data: bytes = b"") -> tuple[ConsoleConnection, Wire]:
        caller, wire = ConsoleConnection(self.console), Wire()
        wire.tell = caller.connectionLost
        caller.makeConnection(wire)
        if data:
            caller.dataReceived(data)
        return caller, wire

    def status(self, data: bytes) -> int:
        _, wire = self.call(data)
        assert wire.shut and b"Connection: close" in wire.value()
        return int(wire.value().split()[1])


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (READY, 200),
        (READY + READY, 200),  # what comes after a call is not a second one
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
def test_a_call_gets_one_answer_in_the_turn_that_reads_it(call: bytes, status: int) -> None:
    assert Desk().status(call) == status


def test_a_call_in_pieces_is_one_call() -> None:
    caller, wire = Desk().call()
    for k in range(len(READY)):
        assert not wire.value()
        caller.dataReceived(READY[k : k + 1])
    caller.dataReceived(READY)
    assert wire.value().count(b"HTTP/1.1 200") == 1


def test_silent_callers_go_when_their_time_is_over_half_a_call_with_an_answer() -> None:
    desk = Desk()
    (_, silent), (_, half) = desk.call(), desk.call(READY[:9])
    desk.reactor.advance(CALL_TIMEOUT - 0.01)
    assert not silent.aborted and not half.value()
    desk.reactor.advance(0.02)
    assert silent.aborted and b" 408 " in half.value()
    desk.reactor.advance(1.0)
    assert half.aborted and not desk.console.unanswered and not desk.console.answered


def test_any_number_of_silent_callers_keeps_out_no_whole_call() -> None:
    desk = Desk()
    wires = []
    for k in range(10 * MAX_CONSOLE_CONNECTIONS):
        wires.append(desk.call(READY[: k % 9])[1])
        desk.reactor.advance(RECENT_CONNECTION_AGE / 50)
        assert desk.status(READY) == 200
        assert len(desk.console.unanswered) + len(desk.console.answered) <= MAX_CONSOLE_CONNECTIONS
    assert wires[0].aborted


def test_a_caller_that_has_just_come_is_not_the_one_to_go() -> None:
    desk = Desk()
    for _ in range(MAX_CONSOLE_CONNECTIONS):
        desk.call(READY)
        desk.reactor.advance(RECENT_CONNECTION_AGE)
    fresh, wire = desk.call()
    for _ in range(5):
        desk.call()
    assert not wire.aborted
    fresh.dataReceived(READY)
    assert b" 200 " in wire.value()


def test_figures_are_there_at_0_and_a_dropped_class_keeps_its_own() -> None:
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


def test_a_node_reports_what_its_clients_and_workers_saw(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True) as rig, ThreadPoolExecutor(8) as pool:
        assert rig.call_console("GET", "/ops/readiness")[0] == 200
        assert set(rig.statistics().values()) == {0, 1}  # one host listed
        assert {r[0] for r in pool.map(rig.submit, [f"a{k}" for k in range(30)])} == {200}
        assert rig.submit("bad", "/nothing")[0] == 404
        rig.endpoints[0].behavior = reset
        assert rig.submit("r", "/reminder")[0] == 500
        rig.endpoints[0].behavior = accept
        posts = rig.endpoints[0].posts
        open_ = pool.submit(rig.submit, "open")
        wait_until(lambda: rig.endpoints[0].posts > posts)
        told = rig.statistics()
        assert told["app.calls.lookup.success"] == 30 and told["app.calls.reminder.failure"] == 1
        assert told["app.backend_calls"] == rig.endpoints[0].posts == 32
        assert told["app.inflight"] == 1 and told["app.hosts_listed"] == 1
        rig.endpoints[0].send_callback("open", "done", result="r")
        assert open_.result()[0] == 200
        rig.reload("", "event=reload_failed")
        assert rig.statistics()["app.reconfig_failed"] == 1 and rig.statistics()["app.inflight"] == 0


def test_200_silent_callers_keep_out_no_call_and_no_job(tmp_path: Path) -> None:
    with running(tmp_path, done, console=True, sockets=128) as rig:
        host, _, port = rig.console.rpartition(":")
        silent = [socket.create_connection((host, int(port)), 20) for _ in range(200)]
        for k, sock in enumerate(silent):
            with contextlib.suppress(OSError):  # the ones that have been silent for longest are gone by now
                sock.sendall(READY[: k % 20])
        for k in range(40):
            assert rig.call_console("GET", "/ops/stats")[0] == 200
            assert rig.submit(f"j{k}")[0] == 200
        for sock in silent:
            sock.close()
