"""The watch on discovery: silences, openings that hang, lists that come in pieces, late or old."""

from __future__ import annotations

import json
import resource
import socket
from itertools import product
from pathlib import Path
from random import Random
from typing import Any

import pytest
from peers import Peer, message
from rig import Rig, done, running, wait_until
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.task import Clock as Reactor
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry, Listing
from bitternpath.balancer.http import discovery_subscription as module

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TOLD = 6.0  # s after which a change counts as told, whatever hung or failed


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def row(id: str, phase: str = "up", up: float = 0.0) -> dict[str, Any]:
    return {"id": id, "host_port": "h:1", "locality": "a", "phase": phase, "up_since_ms": up}


def told(revision: int, *rows: dict[str, Any], complete: bool = False, indent: int | None = None) -> bytes:
    lines = {"revision": revision, "complete": complete, "members": rows}
    return chunk(json.dumps(lines, indent=indent).encode() + b"\n")


class Line:
    """A connection of the watch in virtual time."""

    def __init__(self, reactor: Reactor, protocol: Any, dialled: Deferred[Any]) -> None:
        self.reactor, self.protocol, self.dialled, self.transport = (
            reactor,
            protocol,
            dialled,
            StringTransport(),
        )
        self.transport.abortConnection = self.cut  # type: ignore[attr-defined]
        self.up = False

    def comes_up(self) -> None:
        self.up = True
        self.protocol.makeConnection(self.transport)
        self.dialled.callback(self.protocol)

    def cut(self) -> None:
        if self.up:
            self.up = False
            self.reactor.callLater(0, self.protocol.connectionLost, Failure(ConnectionDone()))

    def says(self, data: bytes) -> None:
        if self.up:
            self.protocol.dataReceived(data)


class Scene:
    """A watch, and what becomes of each of its connections."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, failed: Any = None) -> None:
        self.reactor, self.lines = Reactor(), list[Line]()
        monkeypatch.setattr(module, "dial", self.dial)
        self.registry = EndpointRegistry(Listing(1, True, ()))
        self.subscription = module.DiscoverySubscription(
            self.reactor, self.registry, ("h", 1), Random(1), failed
        )

    def dial(self, reactor: Any, host: str, port: int, within: float, protocol: Any) -> Deferred[Any]:
        line = Line(self.reactor, protocol, Deferred())
        self.lines.append(line)
        return line.dialled

    def passes(self, until: float) -> None:
        while self.reactor.seconds() < until - 1e-9:
            self.reactor.advance(0.01)

    def next(self, by: float) -> Line:
        """The next connection that is tried; it has to be before that time."""
        count = len(self.lines)
        while len(self.lines) == count:
            assert self.reactor.seconds() < by, "no other watch was opened"
            self.reactor.advance(0.01)
        return self.lines[-1]


def refused(line: Line) -> None:
    line.dialled.errback(Failure(ConnectionRefusedError()))


def no_head(line: Line) -> None:
    line.comes_up()


def half_a_line(line: Line) -> None:
    line.comes_up()
    line.says(HEAD + told(2, row("a"))[:30])


def trickles(line: Line) -> None:
    half_a_line(line)
    for k in range(100):
        line.reactor.callLater(0.1 * k, line.says, b" ")


def is_reset(line: Line) -> None:
    line.comes_up()
    line.reactor.callLater(0.3, line.cut)


HANGS = [lambda line: None, refused, no_head, half_a_line, trickles, is_reset]


@pytest.mark.parametrize("moves", [False, True])
@pytest.mark.parametrize("ways", list(product(range(len(HANGS)), repeat=2)))
def test_a_subscription_that_fell_silent_is_replaced_in_time_though_two_others_hang(
    monkeypatch: pytest.MonkeyPatch, ways: tuple[int, int], moves: bool
) -> None:
    # Guards: each of them waited 5 s for any byte, one after the other.
    scene = Scene(monkeypatch)
    scene.subscription.start()
    scene.lines[0].comes_up()
    scene.lines[0].says(HEAD + told(1))
    scene.passes(1.0)  # silent from here on
    for way in ways:
        HANGS[way](scene.next(1.0 + TOLD))
        if moves:  # SIGHUP in the middle, each time to another place
            scene.subscription.set_address(("h", scene.subscription.address[1] + 1))
            HANGS[way](scene.lines[-1])
    line = scene.next(1.0 + TOLD)
    line.comes_up()
    line.says(HEAD + told(2, row("a", "draining")))
    assert scene.reactor.seconds() < 1.0 + TOLD and scene.registry.revision == 2
    scene.passes(scene.reactor.seconds() + 1.0)
    assert [each.up for each in scene.lines] == [each is line for each in scene.lines]


def test_subscriptions_that_fall_silent_in_turn_are_replaced_each_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    scene.subscription.start()
    line = scene.lines[0]
    for turn in range(4):
        line.comes_up()
        line.says(HEAD + told(2 + turn, row("a")))
        line = scene.next(scene.reactor.seconds() + TOLD)
    assert len(scene.lines) == 5


def test_a_subscription_that_only_lives_is_kept_and_one_late_line_costs_no_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(monkeypatch)
    scene.subscription.start()
    line = scene.lines[0]
    line.comes_up()
    line.says(HEAD + told(1))
    for k in range(1, 20):
        scene.passes(2.0 * k)
        line.says(chunk(b" \n" if k % 2 else b"\n"))
    assert len(scene.lines) == 1
    scene.next(100.0)
    line.says(told(2, row("a")))  # only late: what it tells still counts
    assert scene.registry.revision == 2 and line.up


def test_whoever_has_to_be_asked_is_asked_once_for_each_subscription_that_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked: list[float] = []
    scene = Scene(monkeypatch, lambda: asked.append(scene.reactor.seconds()))
    scene.subscription.start()
    scene.lines[0].comes_up()
    scene.lines[0].says(HEAD + told(1))
    scene.passes(20.0)
    assert len(asked) == 1 and asked[0] < 3.0 and len(scene.lines) == 1
    scene.lines[0].cut()
    scene.passes(21.0)
    assert len(asked) == 1
    scene.subscription.start()
    scene.passes(40.0)
    assert len(asked) == 2 and not any(line.up for line in scene.lines)


@pytest.mark.parametrize("piece", [1, 7, 64, 10_000])
def test_lists_may_be_indented_and_come_in_any_pieces(monkeypatch: pytest.MonkeyPatch, piece: int) -> None:
    scene = Scene(monkeypatch)
    scene.subscription.start()
    scene.lines[0].comes_up()
    data = HEAD + told(4, row('a"{', "up"), row("b]"), complete=True, indent=2) + chunk(b"\n")
    data += told(5, row("b]", "draining"), indent=1) + told(6, row("c"))
    for at in range(0, len(data), piece):
        scene.lines[0].says(data[at : at + piece])
    assert scene.registry.revision == 6 and list(scene.registry.endpoints) == ['a"{', "b]", "c"]
    assert scene.registry.serving("b]") is None and scene.lines[0].up


@pytest.mark.parametrize("bad", [b"{\n\n", b"}\n", b"nonsense\n", b'{"revision":9}}\n', b'{"members":[]}\n'])
def test_a_spoilt_list_ends_its_subscription_and_another_is_opened(
    monkeypatch: pytest.MonkeyPatch, bad: bytes
) -> None:
    scene = Scene(monkeypatch)
    scene.subscription.start()
    scene.lines[0].comes_up()
    scene.lines[0].says(HEAD + told(3, row("a")) + chunk(bad))
    line = scene.next(1.0)
    line.comes_up()
    assert b"index=3 " in line.transport.value() and not scene.lines[0].up


def test_discovery_that_counts_from_the_beginning_again_is_asked_for_the_whole_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards: all that it told from then on passed for old lines, drains too.
    scene = Scene(monkeypatch)
    scene.subscription.start()
    scene.lines[0].comes_up()
    scene.lines[0].says(HEAD + told(41, row("a"), row("b", "draining", 5.0), complete=True))
    scene.lines[0].says(told(3))  # one that lags and has nothing new does no harm
    assert scene.lines[0].up and scene.registry.revision == 41
    scene.lines[0].says(told(4, row("a", "draining")))
    line = scene.next(1.0)
    line.comes_up()
    assert b"index=0 " in line.transport.value()
    line.says(HEAD + told(4, row("a", "draining"), row("b", "up", 5.0), row("c"), complete=True))
    assert [id for id in "abc" if scene.registry.serving(id)] == ["c"]
    line.says(told(5, row("b", "up", 9.0)))
    assert scene.registry.serving("b")


def test_an_older_whole_list_brings_nobody_back_that_was_told_to_go() -> None:
    # Guards: discovery moved to one that lags, and jobs went to a worker whose drain was long told.
    def listing(revision: int, complete: bool, *rows: dict[str, Any]) -> Listing:
        return module.listing_from({"revision": revision, "complete": complete, "members": rows})

    registry = EndpointRegistry(listing(3, True, row("a"), row("b"), row("c"), row("d")))
    assert registry.apply(listing(4, False, row("a", "draining"), row("b", "removed")))
    assert registry.apply(listing(5, True, row("c"), row("a", "draining")))
    assert registry.apply(listing(3, True, row("a"), row("b"), row("c"), row("d")))
    assert [id for id in "abcd" if registry.serving(id)] == ["c"]
    assert registry.apply(listing(4, False, row("b", "up", 7.0)))  # it has started anew
    assert registry.apply(listing(6, True, row("a"), row("b", "draining", 7.0)))
    assert [id for id in "abcd" if registry.serving(id)] == ["a"]
    assert registry.endpoints["b"].state is m.WorkerState.DRAINING


# ---- on real connections


def granted(peer: Peer) -> tuple[socket.socket, bytes]:
    sock = peer.accept()
    return sock, message(sock)


def test_the_drain_that_a_silent_subscription_missed_is_heard_though_the_next_ones_hang(
    tmp_path: Path,
) -> None:
    with running(tmp_path, done, done) as rig, Peer() as peer:
        wait_until(lambda: rig.logged("event=endpoint_list_applied "))
        rig.reload(json.dumps(rig.config | {"discovery": peer.address}))
        sock, asked = granted(peer)
        assert b"index=1 " in asked
        sock.sendall(HEAD + told(1))  # and no more
        peer.accept()  # the next one gets no answer at all
        third, _ = granted(peer)
        third.sendall(HEAD + told(2, rig.endpoints[0].row())[:-40])  # and the one after that half a line
        fourth, _ = granted(peer)
        fourth.sendall(HEAD + told(2, {**rig.endpoints[0].row(), "phase": "draining"}))
        wait_until(lambda: rig.logged("event=endpoint_list_applied revision=2 "))
        assert all(rig.submit(f"a{k}")[1] == b"made by s-1" for k in range(5))


def test_a_process_takes_no_jobs_before_discovery_has_spoken_or_kept_silent(tmp_path: Path) -> None:
    # Guards: a new process sent jobs by the list of the one before, which lagged behind what discovery held.
    with running(tmp_path, done, done) as rig, Peer() as peer:
        rig.process.kill()
        rig.process.wait(20)
        rig.previous_processes.append(rig.process)
        rig.discovery.address = peer.address
        rig.file.write_text(json.dumps(rig.config | {"listen": rig.address, "discovery": peer.address}))
        rig.process = rig.spawn()
        sock, _ = granted(peer)
        with pytest.raises(ConnectionError):
            rig.socket()
        sock.sendall(HEAD + told(2, {**rig.endpoints[0].row(), "phase": "draining"}))
        assert rig.process.stderr is not None
        lines = iter(rig.process.stderr)
        assert any("event=endpoint_list_applied revision=2 " in line for line in lines)
        assert any("event=listening" in line for line in lines)
        assert rig.submit("a")[1] == b"made by s-1"


def test_a_process_serves_by_the_list_in_hand_where_discovery_keeps_silent(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig, Peer() as peer:
        rig.process.kill()
        rig.process.wait(20)
        rig.previous_processes.append(rig.process)
        rig.discovery.address = peer.address
        rig.start()
        peer.accept()
        assert rig.submit("a")[0] == 200 and ready(rig)


def test_discovery_is_reached_again_though_idle_clients_fill_the_descriptors(tmp_path: Path) -> None:
    with running(tmp_path, done, sockets=64) as rig:
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        rig.discovery.subscriptions.get(timeout=20)
        crowd = [rig.socket() for _ in range(80)]
        rig.discovery.changes.put(None)  # the watch ends
        rig.discovery.subscriptions.get(timeout=20)
        rig.change(rig.endpoints[0], "draining")
        rig.change(rig.endpoints[0], "up")
        assert rig.submit("a")[0] == 200 and ready(rig)
        for sock in crowd:
            sock.close()


def ready(rig: Rig) -> bool:
    return rig.raw(b"GET /ready HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 200")
