"""A consensus server's process: a replica of the record with its disk, peer links and a listener (Twisted).

Input is passed to the replica, and the resulting effects are carried out in the same turn, except for writes:
a separate thread does them in batches, and the replica is notified when they are on disk. A disk error ends
the process: a server that can't store its vote must not answer.
"""

from __future__ import annotations

import secrets
import signal
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure
from twisted.python.threadpool import ThreadPool

from bitternpath.balancer.config.operator import Fleet
from bitternpath.balancer.config.platform import Address, address
from bitternpath.balancer.fleet import clock
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.bootstrap import bootstrap_state
from bitternpath.balancer.fleet.connection import FleetConnection
from bitternpath.balancer.fleet.record_replica import Effects, RecordReplica
from bitternpath.balancer.fleet.store import DamagedError, Store, StoreError, quarantine_folder
from bitternpath.net.sockets import dial
from bitternpath.replication.records import MemberRole, PersistentState, RaftTiming, StorageWrite

log = structlog.get_logger(part="consensus_server")

CONNECT_TIMEOUT = 1.0  # s
FIRST_BACKOFF, MAX_BACKOFF = 0.1, 1.0  # s before another attempt to connect to a peer
MAX_CONNECTIONS = 1024  # open at a time; beyond that the one silent for longest is aborted


def server_addresses(fleet: Fleet) -> dict[str, Address]:
    """Return the consensus servers' addresses by name."""
    return {
        name: address(host_port) for name, _, host_port in (each.partition("=") for each in fleet.stewards)
    }


def open_store(folder: Path, name: str, bootstrap_terms: p.LeaseTerms | None) -> tuple[Store, Any]:
    """Open the server's folder and read its state.

    A damaged folder is quarantined and replaced if other voters have the record. StoreError is raised if it
    is the only copy, or can't be used. With `bootstrap_terms` a new folder bootstraps a fleet.
    """
    try:
        store = Store(folder, name)
    except DamagedError as error:
        raise StoreError(f"{error}: move it away if other servers have the record") from error
    try:
        persistent_state = store.read()
    except DamagedError as error:
        voters = store.state.voters
        store.close()
        if voters <= 1:
            raise StoreError(f"{error}: it is the fleet's only copy; restore an undamaged one") from error
        moved_to = quarantine_folder(folder)
        log.error("record_quarantined", why=error, moved_to=str(moved_to))
        store = Store(folder, name)
        persistent_state = store.read()
    if bootstrap_terms is not None and persistent_state == PersistentState():
        persistent_state = bootstrap_state(store.me, bootstrap_terms, secrets.token_hex(8))
        write = StorageWrite(
            0,
            persistent_state.term,
            persistent_state.vote,
            None,
            tuple(persistent_state.entries),
            None,
            persistent_state.compacted_through,
        )
        store.write([write], voters=1)
    return store, persistent_state


class PeerLink:
    """The link to another server: it reconnects forever, and messages that can't be sent are dropped."""

    def __init__(self, server: ConsensusServer, name: str, address: Address) -> None:
        self.server, self.name, self.address = server, name, address
        self.connection: FleetConnection | None = None
        self.backoff = FIRST_BACKOFF

    def connect(self) -> None:
        server = self.server
        connection = FleetConnection(server.reactor, server.hello, self._receive, self._lost)
        connecting = dial(server.reactor, *self.address, CONNECT_TIMEOUT, connection)
        connecting.addErrback(lambda failure: self._reconnect_later())

    def _reconnect_later(self) -> None:
        self.server.reactor.callLater(self.backoff * (0.5 + self.server.random.random()), self.connect)
        self.backoff = min(2 * self.backoff, MAX_BACKOFF)

    def _receive(self, connection: FleetConnection, message: m.FleetMessage) -> None:
        if isinstance(message, m.Hello):
            if message.role != "steward" or message.name.partition(".")[0] != self.name:
                connection.abort(f"peer is not the server {self.name}")
                return
            self.connection, self.backoff = connection, FIRST_BACKOFF
            self.server.identify_member(message.name)

    def _lost(self, connection: FleetConnection) -> None:
        if self.connection is connection:
            self.connection = None
            self.server.replica.member_ids.pop(self.name, None)  # the next peer may be a new incarnation
        self._reconnect_later()

    def send(self, member_id: str, message: m.FleetMessage) -> None:
        connection = self.connection
        if (
            connection is not None
            and connection.peer is not None
            and connection.peer.name == member_id
            and not connection.paused
        ):
            connection.send(message)


class ConsensusServer:
    """The replica with its store, links, connections and timer."""

    def __init__(
        self, reactor: Any, fleet: Fleet, store: Store, persistent_state: Any, timing: RaftTiming
    ) -> None:
        self.reactor, self.fleet, self.store = reactor, fleet, store
        self.random = Random()
        self.replica = RecordReplica(store.me, persistent_state, Random(), clock.elapsed(), time.time, timing)
        self.links = {
            name: PeerLink(self, name, peer_address)
            for name, peer_address in server_addresses(fleet).items()
            if name != fleet.name
        }
        self.connections: dict[int, FleetConnection] = {}  # accepted ones, by token
        self._tokens = 0
        self.disk_thread = ThreadPool(1, 1, name="disk")
        self._writes_in_progress: list[StorageWrite] = []
        self._queued_writes: list[StorageWrite] = []
        self._timer: Any = None
        self._effects_scheduled = False
        self.port: Any = None
        self.exit_code = 0
        self.role = MemberRole.FOLLOWER

    def start(self) -> None:
        host, port = (
            address(self.fleet.listen) if self.fleet.listen else server_addresses(self.fleet)[self.fleet.name]
        )
        self.port = self.reactor.listenTCP(port, _ServerFactory(self), 128, host)
        self.disk_thread.start()
        for link in self.links.values():
            link.connect()
        bound = self.port.getHost()
        members = self.replica.raft.members.all
        log.info("listening", name=self.store.me, address=f"{bound.host}:{bound.port}", members=len(members))
        if self.store.me not in members:
            log.info("not_a_fleet_member", do=f"bitternpath fleet members add {self.fleet.name}")
        self.schedule_effects()

    @property
    def hello(self) -> m.Hello:
        return m.Hello(m.PROTOCOL_VERSION, self.replica.record.fleet, "steward", self.store.me)

    # ---- connections

    def accept(self) -> Protocol:
        self._tokens += 1
        token = self._tokens

        def receive(connection: FleetConnection, message: m.FleetMessage) -> None:
            self._receive(token, connection, message)

        def lost(connection: FleetConnection) -> None:
            self.connections.pop(token, None)

        connection = self.connections[token] = FleetConnection(self.reactor, self.hello, receive, lost)
        while len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            self.connections.pop(oldest).abort("too many connections")
        return connection

    def _receive(self, token: int, connection: FleetConnection, message: m.FleetMessage) -> None:
        assert connection.peer is not None
        now = clock.elapsed()
        if connection.peer.role == "steward":
            if isinstance(message, m.Hello):
                self.identify_member(message.name)
            elif isinstance(message, m.Consensus | m.ForwardedRequest | m.ForwardedReply):
                self.replica.receive(now, connection.peer.name, message)
            else:
                connection.abort(f"unexpected message from a consensus server: {type(message).__name__}")
        elif isinstance(message, m.ForwardableRequest):
            self.connections[token] = self.connections.pop(token)  # most recently active last
            self.replica.receive_request(now, token, message)
        elif not isinstance(message, m.Hello):
            connection.abort(f"message allowed to consensus servers only: {type(message).__name__}")
        self.schedule_effects()

    def identify_member(self, member_id: str) -> None:
        self.replica.identify_member(member_id)

    # ---- effects

    def schedule_effects(self) -> None:
        """Process the replica's effects once, after the current input."""
        if not self._effects_scheduled:
            self._effects_scheduled = True
            self.reactor.callLater(0, self._process_effects)

    def _process_effects(self) -> None:
        self._effects_scheduled = False
        now = clock.elapsed()
        effects = self.replica.take_effects(now)
        self._execute(effects)
        if self.replica.raft.role is not self.role:
            old_role, self.role = self.role, self.replica.raft.role
            log.info("role_changed", old=old_role.value, new=self.role.value, term=self.replica.raft.term)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self.reactor.callLater(max(self.replica.next_timeout_at - now, 0.0), self._tick)

    def _execute(self, effects: Effects) -> None:
        self._queued_writes += effects.writes
        self._write()
        for member_id, message in effects.messages:
            link = self.links.get(member_id.partition(".")[0])
            if link is not None:
                link.send(member_id, message)
        for token, reply in effects.replies:
            connection = self.connections.get(token)
            if connection is not None:
                connection.send(reply)

    def _tick(self) -> None:
        self.replica.tick(clock.elapsed())
        self.schedule_effects()

    def _write(self) -> None:
        if self._writes_in_progress or not self._queued_writes:
            return
        self._writes_in_progress, self._queued_writes = self._queued_writes, []
        voters = len(self.replica.raft.members.voters)
        writing: Any = deferToThreadPool(
            self.reactor, self.disk_thread, self.store.write, self._writes_in_progress, voters
        )
        writing.addCallbacks(self._write_completed, self._write_failed)

    def _write_completed(self, _: None) -> None:
        number = self._writes_in_progress[-1].number
        self._writes_in_progress = []
        self.replica.write_completed(clock.elapsed(), number)
        self._write()
        self.schedule_effects()

    def _write_failed(self, failure: Failure) -> None:
        log.error("record_write_failed", folder=str(self.store.folder), why=failure.getErrorMessage())
        self.exit_code = 1
        self.stop()

    def stop(self) -> None:
        if self.reactor.running:
            self.reactor.stop()

    def close(self) -> None:
        self.disk_thread.stop()
        self.store.close()


class _ServerFactory(Factory):
    noisy = False

    def __init__(self, server: ConsensusServer) -> None:
        self.server = server

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return self.server.accept()


def run(fleet: Fleet, bootstrap: bool, reactor: Any = None, timing: RaftTiming | None = None) -> int:
    """Run a server until it is stopped and return the exit code; StoreError if its folder can't be used."""
    if reactor is None:
        from twisted.internet import reactor as installed

        reactor = installed
    terms = p.LeaseTerms(fleet.lease, fleet.drift, fleet.catch_up) if bootstrap else None
    store, persistent_state = open_store(Path(fleet.folder), fleet.name, terms)
    server = ConsensusServer(reactor, fleet, store, persistent_state, timing or RaftTiming())

    def on_signal(number: int, frame: object) -> None:
        reactor.callFromThread(server.stop)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    start: Callable[[], None] = server.start
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    server.close()
    log.info("stopped")
    return server.exit_code


__all__ = ["StoreError", "run", "server_addresses"]
