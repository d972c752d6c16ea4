"""The subscription to discovery: timeouts, hanging attempts, and fragmented, late or outdated lists."""

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
UPDATE_DEADLINE = 6.0  # s within which a change must be applied, whatever hung or failed


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def row(id: str, phase: str = "up", up: float = 0.0) -> dict[str, Any]:
    return {"id": id, "host_port": "h:1", "locality": "a", "phase": phase, "up_since_ms": up}


def list_message(
    revision: int, *rows: dict[str, Any], complete: bool = False, indent: int | None = None
) -> bytes:
    document = {"revision": revision, "complete": complete, "members": rows}
    return chunk(json.dumps(document, indent=indent).encode() + b"\n")


class FakeConnection:
    """A connection of the subscription in virtual time."""

    def __init__(self, reactor: Reactor, protocol: Any, dialled: Deferred[Any]) -> None:
        self.reactor, self.protocol, self.dialled, self.transport = (
            reactor,
            protocol,
            dialled,
            StringTransport(),
        )
        self.transport.abortConnection = self.close  # type: ignore[attr-defined]
        self.open = False

    def establish(self) -> None:
        self.open = True
        self.protocol.makeConnection(self.transport)
        self.dialled.callback(self.protocol)

    def close(self) -> None:
        if self.open:
            self.open = False
            self.reactor.callLater(0, self.protocol.connectionLost, Failure(ConnectionDone()))

    def receive(self, data: bytes) -> None:
        if self.open:
            self.protocol.dataReceived(data)


class SubscriptionHarness:
    """A subscription and all connections that it opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, failed: Any = None) -> None:
        self.reactor, self.connections = Reactor(), list[FakeConnection]()
        monkeypatch.setattr(module, "dial", self.dial)
        self.registry = EndpointRegistry(Listing(1, True, ()))
        self.subscription = module.DiscoverySubscription(
            self.reactor, self.registry, ("h", 1), Random(1), failed
        )

    def dial(self, reactor: Any, host: str, port: int, within: float, protocol: Any) -> Deferred[Any]:
        connection = FakeConnection(self.reactor, protocol, Deferred())
        self.connections.append(connection)
        return connection.dialled

    def advance_to(self, until: float) -> None:
        while self.reactor.seconds() < until - 1e-9:
            self.reactor.advance(0.01)

    def next(self, by: float) -> FakeConnection:
        """Wait for the next connection attempt, which must start before `by`."""
        count = len(self.connections)
        while len(self.connections) == count:
            assert self.reactor.seconds() < by, "no other subscription was opened"
            self.reactor.advance(0.01)
        return self.connections[-1]


def refused(connection: FakeConnection) -> None:
    connection.dialled.errback(Failure(ConnectionRefusedError()))


def without_head(connection: FakeConnection) -> None:
    connection.establish()


def partial_line(connection: FakeConnection) -> None:
    connection.establish()
    connection.receive(HEAD + list_message(2, row("a"))[:30])


def trickling(connection: FakeConnection) -> None:
    partial_line(connection)
    for k in range(100):
        connection.reactor.callLater(0.1 * k, connection.receive, b" ")


def reset_later(connection: FakeConnection) -> None:
    connection.establish()
    connection.reactor.callLater(0.3, connection.close)


FAILURES = [lambda connection: None, refused, without_head, partial_line, trickling, reset_later]


@pytest.mark.parametrize("changes_address", [False, True])
@pytest.mark.parametrize("failures", list(product(range(len(FAILURES)), repeat=2)))
def test_silent_subscription_is_replaced_in_time_despite_two_failed_attempts(
    monkeypatch: pytest.MonkeyPatch, failures: tuple[int, int], changes_address: bool
) -> None:
    # Guards against a timeout of 5 s for any byte per attempt, with attempts only one after the other.
    harness = SubscriptionHarness(monkeypatch)
    harness.subscription.start()
    harness.connections[0].establish()
    harness.connections[0].receive(HEAD + list_message(1))
    harness.advance_to(1.0)  # no messages from here on
    for failure in failures:
        FAILURES[failure](harness.next(1.0 + UPDATE_DEADLINE))
        if changes_address:  # a SIGHUP in between changes the address each time
            harness.subscription.set_address(("h", harness.subscription.address[1] + 1))
            FAILURES[failure](harness.connections[-1])
    connection = harness.next(1.0 + UPDATE_DEADLINE)
    connection.establish()
    connection.receive(HEAD + list_message(2, row("a", "draining")))
    assert harness.reactor.seconds() < 1.0 + UPDATE_DEADLINE and harness.registry.revision == 2
    harness.advance_to(harness.reactor.seconds() + 1.0)
    assert [each.open for each in harness.connections] == [each is connection for each in harness.connections]


def test_successive_silent_subscriptions_are_replaced_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SubscriptionHarness(monkeypatch)
    harness.subscription.start()
    connection = harness.connections[0]
    for turn in range(4):
        connection.establish()
        connection.receive(HEAD + list_message(2 + turn, row("a")))
        connection = harness.next(harness.reactor.seconds() + UPDATE_DEADLINE)
    assert len(harness.connections) == 5


def test_keep_alive_lines_keep_a_subscription_and_a_late_message_is_applied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = SubscriptionHarness(monkeypatch)
    harness.subscription.start()
    connection = harness.connections[0]
    connection.establish()
    connection.receive(HEAD + list_message(1))
    for k in range(1, 20):
        harness.advance_to(2.0 * k)
        connection.receive(chunk(b" \n" if k % 2 else b"\n"))
    assert len(harness.connections) == 1
    harness.next(100.0)
    connection.receive(list_message(2, row("a")))  # a late message is still applied
    assert harness.registry.revision == 2 and connection.open


def test_on_failure_is_called_once_per_failed_subscription(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failure_times: list[float] = []
    harness = SubscriptionHarness(monkeypatch, lambda: failure_times.append(harness.reactor.seconds()))
    harness.subscription.start()
    harness.connections[0].establish()
    harness.connections[0].receive(HEAD + list_message(1))
    harness.advance_to(20.0)
    assert len(failure_times) == 1 and failure_times[0] < 3.0 and len(harness.connections) == 1
    harness.connections[0].close()
    harness.advance_to(21.0)
    assert len(failure_times) == 1
    harness.subscription.start()
    harness.advance_to(40.0)
    assert len(failure_times) == 2 and not any(connection.open for connection in harness.connections)


@pytest.mark.parametrize("step", [1, 7, 64, 10_000])
def test_indented_and_fragmented_lists_are_parsed(monkeypatch: pytest.MonkeyPatch, step: int) -> None:
    harness = SubscriptionHarness(monkeypatch)
    harness.subscription.start()
    harness.connections[0].establish()
    data = HEAD + list_message(4, row('a"{', "up"), row("b]"), complete=True, indent=2) + chunk(b"\n")
    data += list_message(5, row("b]", "draining"), indent=1) + list_message(6, row("c"))
    for at in range(0, len(data), step):
        harness.connections[0].receive(data[at : at + step])
    assert harness.registry.revision == 6 and list(harness.registry.endpoints) == ['a"{', "b]", "c"]
    assert harness.registry.serving("b]") is None and harness.connections[0].open


@pytest.mark.parametrize("bad", [b"{\n\n", b"}\n", b"nonsense\n", b'{"revision":9}}\n', b'{"members":[]}\n'])
def test_malformed_list_ends_the_subscription_and_another_is_opened(
    monkeypatch: pytest.MonkeyPatch, bad: bytes
) -> None:
    harness = SubscriptionHarness(monkeypatch)
    harness.subscription.start()
    harness.connections[0].establish()
    harness.connections[0].receive(HEAD + list_message(3, row("a")) + chunk(bad))
    connection = harness.next(1.0)
    connection.establish()
    assert b"index=3 " in connection.transport.value() and not harness.connections[0].open


def test_reset_revisions_cause_a_request_for_the_complete_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against ignoring all later changes, drains included, as outdated.
    harness = SubscriptionHarness(monkeypatch)
    harness.subscription.start()
    harness.connections[0].establish()
    harness.connections[0].receive(
        HEAD + list_message(41, row("a"), row("b", "draining", 5.0), complete=True)
    )
    harness.connections[0].receive(list_message(3))  # a lagging server without changes is accepted
    assert harness.connections[0].open and harness.registry.revision == 41
    harness.connections[0].receive(list_message(4, row("a", "draining")))
    connection = harness.next(1.0)
    connection.establish()
    assert b"index=0 " in connection.transport.value()
    connection.receive(
        HEAD + list_message(4, row("a", "draining"), row("b", "up", 5.0), row("c"), complete=True)
    )
    assert [id for id in "abc" if harness.registry.serving(id)] == ["c"]
    connection.receive(list_message(5, row("b", "up", 9.0)))
    assert harness.registry.serving("b")


def test_outdated_complete_list_does_not_restore_draining_or_removed_workers() -> None:
    # Guards against jobs sent to a draining worker after discovery moved to a server that lags.
    def listing(revision: int, complete: bool, *rows: dict[str, Any]) -> Listing:
        return module.listing_from({"revision": revision, "complete": complete, "members": rows})

    registry = EndpointRegistry(listing(3, True, row("a"), row("b"), row("c"), row("d")))
    assert registry.apply(listing(4, False, row("a", "draining"), row("b", "removed")))
    assert registry.apply(listing(5, True, row("c"), row("a", "draining")))
    assert registry.apply(listing(3, True, row("a"), row("b"), row("c"), row("d")))
    assert [id for id in "abcd" if registry.serving(id)] == ["c"]
    assert registry.apply(listing(4, False, row("b", "up", 7.0)))  # it was restarted
    assert registry.apply(listing(6, True, row("a"), row("b", "draining", 7.0)))
    assert [id for id in "abcd" if registry.serving(id)] == ["a"]
    assert registry.endpoints["b"].state is m.WorkerState.DRAINING


# ---- on real sockets


def accept_subscription(peer: Peer) -> tuple[socket.socket, bytes]:
    sock = peer.accept()
    return sock, message(sock)


def test_drain_missed_by_a_silent_subscription_is_applied_despite_failed_attempts(
    tmp_path: Path,
) -> None:
    with running(tmp_path, done, done) as rig, Peer() as peer:
        wait_until(lambda: rig.logged("event=endpoint_list_applied "))
        rig.reload(json.dumps(rig.config | {"discovery": peer.address}))
        sock, subscription_request = accept_subscription(peer)
        assert b"index=1 " in subscription_request
        sock.sendall(HEAD + list_message(1))  # and nothing else
        peer.accept()  # the second attempt gets no response
        third, _ = accept_subscription(peer)
        third.sendall(
            HEAD + list_message(2, rig.endpoints[0].row())[:-40]
        )  # the third attempt gets part of a line
        fourth, _ = accept_subscription(peer)
        fourth.sendall(HEAD + list_message(2, {**rig.endpoints[0].row(), "phase": "draining"}))
        wait_until(lambda: rig.logged("event=endpoint_list_applied revision=2 "))
        assert all(rig.submit(f"a{k}")[1] == b"made by s-1" for k in range(5))


def test_new_process_accepts_no_jobs_before_the_first_message_or_timeout(tmp_path: Path) -> None:
    # Guards against a new process that uses the list of the previous one, which was behind discovery.
    with running(tmp_path, done, done) as rig, Peer() as peer:
        rig.process.kill()
        rig.process.wait(20)
        rig.previous_processes.append(rig.process)
        rig.discovery.address = peer.address
        rig.file.write_text(json.dumps(rig.config | {"listen": rig.address, "discovery": peer.address}))
        rig.process = rig.spawn()
        sock, _ = accept_subscription(peer)
        with pytest.raises(ConnectionError):
            rig.socket()
        sock.sendall(HEAD + list_message(2, {**rig.endpoints[0].row(), "phase": "draining"}))
        assert rig.process.stderr is not None
        lines = iter(rig.process.stderr)
        assert any("event=endpoint_list_applied revision=2 " in line for line in lines)
        assert any("event=listening" in line for line in lines)
        assert rig.submit("a")[1] == b"made by s-1"


def test_process_serves_with_the_known_list_if_discovery_is_silent(tmp_path: Path) -> None:
    with running(tmp_path, done) as rig, Peer() as peer:
        rig.process.kill()
        rig.process.wait(20)
        rig.previous_processes.append(rig.process)
        rig.discovery.address = peer.address
        rig.start()
        peer.accept()
        assert rig.submit("a")[0] == 200 and ready(rig)


def test_discovery_reconnects_while_idle_clients_fill_the_descriptors(tmp_path: Path) -> None:
    with running(tmp_path, done, sockets=64) as rig:
        resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        rig.discovery.subscriptions.get(timeout=20)
        idle_clients = [rig.socket() for _ in range(80)]
        rig.discovery.changes.put(None)  # ends the subscription
        rig.discovery.subscriptions.get(timeout=20)
        rig.change(rig.endpoints[0], "draining")
        rig.change(rig.endpoints[0], "up")
        assert rig.submit("a")[0] == 200 and ready(rig)
        for sock in idle_clients:
            sock.close()


def ready(rig: Rig) -> bool:
    return rig.raw(b"GET /ready HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 200")
