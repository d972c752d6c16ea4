"""Consensus servers, lease holders and operators in virtual time: separate clocks, failing links, slow disks.

The components under test are the real ones (`fleet/record_replica.py` and its dependencies,
`fleet/lease_holder.py`); only sockets and disks are emulated. A stalled process handles nothing until it
resumes; a crashed one restarts with what its disk had synced.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import msgspec
import xxhash
from msgspec import Struct

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.bootstrap import bootstrap_state
from bitternpath.balancer.fleet.lease_holder import LeaseHolder, ProcessIdentity
from bitternpath.balancer.fleet.record_replica import RecordReplica
from bitternpath.replication.records import MemberRole, PersistentState, RaftTiming, StorageWrite
from bitternpath.testing.emulator.clock import Scheduler
from bitternpath.testing.emulator.fleet.checker import FleetChecker

LINK_DELAY = 0.0002, 0.003  # s, usual range of the delay on a link
DISK_SYNC_TIME = 0.001, 0.01  # s, range of the time that a disk takes to sync
# s, ranges of the time that a node's disk takes: usual, and in 40% of the writes
FILE_WRITE_TIME, FILE_WRITE_STALL = (0.0002, 0.003), (0.05, 1.5)
ACT_INTERVAL = 0.25  # s between acts of a node
RELEASE = (1, 0, 0)  # software version that every process reports


class LocalClock:
    """A process's own clock, with an arbitrary origin and a constant drift."""

    def __init__(self, scheduler: Scheduler, random: Random, drift: float) -> None:
        self.scheduler = scheduler
        self.rate = 1.0 + drift * random.uniform(-1.0, 1.0)
        self.base = random.uniform(0.0, 1e6)

    def __call__(self) -> float:
        return self.base + self.rate * self.scheduler.now

    def to_world_time(self, local_span: float) -> float:
        """Converts a span of local time to true time."""
        return local_span / self.rate


class Host:
    """A process that can be stalled and killed."""

    def __init__(self, world: FleetWorld, name: str) -> None:
        self.world, self.name = world, name
        self.clock = LocalClock(world.scheduler, world.random, world.drift)
        self.incarnation = 0
        self.alive = self.stalled = False
        self.deferred: list[Callable[[], None]] = []
        self._alarm: Any = None
        self._alarm_at = float("inf")

    def deliver(self, incarnation: int, action: Callable[[], None]) -> None:
        """Runs an action in the process: now, after a stall, or never if that incarnation has ended."""
        if not self.alive or incarnation != self.incarnation:
            return
        if self.stalled:
            self.deferred.append(action)
        else:
            action()
            self.apply_effects()

    def stall(self) -> None:
        self.stalled = True

    def resume(self) -> None:
        if not self.stalled:
            return
        self.stalled = False
        deferred, self.deferred = self.deferred, []
        # After a stall, data waiting in its sockets may be read before its timers fire.
        if self.world.random.random() < 0.5:
            deferred.sort(key=lambda action: action == self.tick)
        for action in deferred:
            if self.alive:
                action()
                self.apply_effects()

    def kill(self) -> None:
        self.alive = self.stalled = False
        self.incarnation += 1
        self.deferred.clear()

    def apply_effects(self) -> None:
        """Carries out pending effects and sets the next alarm."""
        raise NotImplementedError

    def _set_alarm(self, alarm: float) -> None:
        """Schedules a tick for when the local clock shows `alarm`."""
        if alarm != self._alarm_at or self._alarm is None or not self._alarm.active():
            if self._alarm is not None:
                self._alarm.cancel()
            self._alarm_at, self._alarm = alarm, None
            if alarm != float("inf"):
                wait = max(self.clock.to_world_time(alarm - self.clock()), 1e-6)
                self._alarm = self.world.scheduler.callLater(wait, self.deliver, self.incarnation, self.tick)

    def tick(self) -> None:
        raise NotImplementedError


class ServerHost(Host):
    def __init__(self, world: FleetWorld, name: str, state: PersistentState) -> None:
        super().__init__(world, name)
        self.disk = state  # synced state
        self.disk_delay = 0.0  # s added to each write
        self._pending_writes: list[StorageWrite] = []
        self.replica: Any = None
        # token: the host at the other end and its incarnation
        self.connections: dict[int, tuple[Host, int]] = {}

    def start(self) -> None:
        self.alive = True
        self._pending_writes = []
        self.connections.clear()
        self.replica = RecordReplica(
            self.name, copy_state(self.disk), Random(self.world.random.random()), self.clock(),
            lambda: self.world.scheduler.now, self.world.times,
        )  # fmt: skip
        for name in self.world.servers:
            self.replica.identify_member(name)
        self.apply_effects()

    def kill(self) -> None:
        super().kill()
        for host, incarnation in self.connections.values():
            self.world.send(
                self.name, host.name,
                partial(
                    host.deliver, incarnation,
                    partial(host.connection_lost, self.name),  # type: ignore[attr-defined]
                ),
            )  # fmt: skip
        self.connections.clear()

    def tick(self) -> None:
        self.replica.tick(self.clock())

    def receive(self, sender: str, message: m.Consensus | m.ForwardedRequest | m.ForwardedReply) -> None:
        self.replica.receive(self.clock(), sender, message)

    def receive_request(
        self, host: Host, token: int, incarnation: int, message: m.ForwardableRequest
    ) -> None:
        self.connections[token] = host, incarnation
        self.replica.receive_request(self.clock(), token, message)

    def _stored(self) -> None:
        write = self._pending_writes.pop(0)
        apply_write(self.disk, write)
        if self._pending_writes:
            self._write()
        self.replica.write_completed(self.clock(), write.number)

    def _write(self) -> None:
        wait = self.world.random.uniform(*DISK_SYNC_TIME) + self.disk_delay
        self.world.scheduler.callLater(wait, self.deliver, self.incarnation, self._stored)

    def apply_effects(self) -> None:
        world, replica = self.world, self.replica
        effects = replica.take_effects(self.clock())
        for index, term, data in effects.committed:
            world.checker.applied(world.scheduler.now, self.name, index, term, data)
        for index, item in effects.items:
            world.checker.committed(world.scheduler.now, replica.record, index, item)
        if replica.raft.role is MemberRole.LEADER:
            world.checker.leader_seen(world.scheduler.now, self.name, replica.raft.term)
        if effects.writes:
            idle = not self._pending_writes
            self._pending_writes += effects.writes
            if idle:
                self._write()
        for to, message in effects.messages:
            destination = world.servers.get(to)
            if destination is not None:
                world.send(
                    self.name,
                    to,
                    partial(
                        destination.deliver,
                        destination.incarnation,
                        partial(destination.receive, self.name, message),
                    ),
                )
        for token, answer in effects.replies:
            if token in self.connections:
                host, incarnation = self.connections[token]
                world.send(
                    self.name, host.name,
                    partial(
                        host.deliver, incarnation,
                        partial(host.receive, token, answer),  # type: ignore[attr-defined]
                    ),
                )  # fmt: skip
        self._set_alarm(replica.next_timeout_at)


class NodeHost(Host):
    """A node's process; every second node has a folder in which its audit log is kept."""

    def __init__(self, world: FleetWorld, name: str, site: str) -> None:
        super().__init__(world, name)
        self.site = site
        self.has_folder = int(name[1:]) % 2 == 1  # whether its audit log is kept on disk
        self.audit_files: dict[str, list[audit.AuditEntry]] = {}
        self.disk_idle_at = 0.0  # s of the run at which its disk has finished all writes
        self.holder: Any = None
        self.token = 0
        self.server = ""

    def start(self) -> None:
        self.alive = True
        self.server = ""
        identity = ProcessIdentity(self.name, f"b{self.incarnation}", self.site, RELEASE)
        self.holder = LeaseHolder(
            identity, list(self.world.servers), Random(self.world.random.random()), self.clock(),
            lambda: self.world.scheduler.now, self.world.validate,
        )  # fmt: skip
        for boot, entries in self.audit_files.items():
            audit_log, problem = audit.restore_audit_log(boot, entries)
            assert not problem
            self.holder.earlier_audit_logs.append(audit_log)
        if self.has_folder:
            self.holder.audit_log.written_upto = 0
        self.apply_effects()
        self._schedule_act(self.incarnation)

    @property
    def process(self) -> str:
        return f"{self.name}#b{self.incarnation}"

    def _schedule_act(self, incarnation: int) -> None:
        """Acts about every `ACT_INTERVAL`; acts that were due during a stall follow at once after it."""
        if incarnation != self.incarnation:
            return
        self.world.scheduler.callLater(
            ACT_INTERVAL * self.world.random.uniform(0.5, 1.5), self._schedule_act, incarnation
        )
        self.deliver(incarnation, self.act)

    def act(self) -> None:
        if self.holder.holds_lease(self.clock()):
            now, holder = self.world.scheduler.now, self.holder
            self.world.checker.record_act(now, self.process, holder.plan, holder.fencing_token)
            self.world.check_versions()

    def tick(self) -> None:
        self.holder.tick(self.clock())

    def receive(self, token: int, message: m.ForwardableReply) -> None:
        if token == self.token:
            self.holder.receive(self.clock(), message)

    def connection_lost(self, server: str) -> None:
        if server == self.server:
            self.server = ""
            self.holder.connection_lost(self.clock())

    def _connect(self, server: str) -> None:
        """Connects to a server; the handshake takes a round trip."""
        self.world.last_token += 1
        token, incarnation, destination = self.world.last_token, self.incarnation, self.world.servers[server]

        def arrived() -> None:
            if destination.alive:
                self.world.send(
                    server,
                    self.name,
                    partial(self.deliver, incarnation, partial(self._connected, server, token)),
                )

        self.token = token
        self.world.send(self.name, server, arrived)
        # A connection without a reply is given up, and another server is tried.
        self.world.scheduler.callLater(1.0, self.deliver, incarnation, partial(self._dial_timed_out, token))

    def _connected(self, server: str, token: int) -> None:
        if token == self.token and not self.server:
            self.server = server
            self.holder.connection_made(self.clock(), server)

    def _dial_timed_out(self, token: int) -> None:
        if token == self.token and not self.server:
            self.holder.connection_lost(self.clock())

    def _entries_written(self, entries: list[audit.AuditEntry]) -> None:
        stored = self.audit_files.setdefault(self.holder.identity.boot, [])
        stored += entries
        self.holder.audit_written(self.clock(), len(stored))

    def apply_effects(self) -> None:
        holder, world = self.holder, self.world
        outgoing, holder.outgoing = holder.outgoing, []
        if outgoing and self.server:
            destination = world.servers[self.server]
            for message in outgoing:
                world.send(
                    self.name, self.server,
                    partial(
                        destination.deliver, destination.incarnation,
                        partial(destination.receive_request, self, self.token, self.incarnation, message),
                    ),
                )  # fmt: skip
        if not holder.connected_server:
            self.server = ""
        if holder.server_to_dial is not None:
            dial, holder.server_to_dial = holder.server_to_dial, None
            self._connect(dial)
        if holder.audit_log.fresh:
            entries, holder.audit_log.fresh = holder.audit_log.fresh, []
            if self.has_folder:
                write_time = world.random.uniform(
                    *(FILE_WRITE_TIME if world.random.random() < 0.6 else FILE_WRITE_STALL)
                )
                self.disk_idle_at = max(self.disk_idle_at, world.scheduler.now) + write_time
                world.scheduler.callLater(
                    self.disk_idle_at - world.scheduler.now,
                    self.deliver,
                    self.incarnation,
                    partial(self._entries_written, entries),
                )
        if holder.events:
            acts, holder.events = holder.events, []
            for act in acts:
                world.checker.record_audited_act(self.process, act.kind, act.version, act.fencing_token)
                if act.kind in ("joined", "acts"):
                    world.checker.record_act(
                        world.scheduler.now, self.process, holder.plan, act.fencing_token
                    )
            world.check_versions()
        self._set_alarm(holder.next_timeout_at)


class OperatorHost(Host):
    """An operator who submits changes and repeats each one with the same id until it is answered."""

    def __init__(self, world: FleetWorld, name: str) -> None:
        super().__init__(world, name)
        self.alive = True
        self.unanswered: dict[int, m.Command] = {}
        self.answers: list[tuple[m.Command, m.CommandReply]] = []
        self.last_number = 0

    def submit(self, command: m.Command) -> int:
        self.last_number += 1
        self.unanswered[self.last_number] = command
        self._send_request(self.last_number)
        return self.last_number

    def _send_request(self, number: int) -> None:
        command = self.unanswered.get(number)
        if command is None:
            return
        world = self.world
        server = world.random.choice(list(world.servers.values()))
        world.last_token += 1
        message = m.CommandRequest(number, command)
        request = partial(server.receive_request, self, world.last_token, 0, message)
        world.send(self.name, server.name, partial(server.deliver, server.incarnation, request))
        world.scheduler.callLater(0.7, self._send_request, number)

    def receive(self, token: int, answer: m.CommandReply) -> None:
        command = self.unanswered.get(answer.number)
        if command is None:
            return
        if not answer.ok and ("again" in answer.text or "leader" in answer.text):
            return
        del self.unanswered[answer.number]
        self.answers.append((command, answer))
        if answer.ok and isinstance(command, m.Propose):
            data = msgspec.msgpack.decode(answer.data)
            self.world.checker.change_acknowledged(self.world.scheduler.now, command.id, data["version"])

    def connection_lost(self, server: str) -> None:
        """The request is repeated by its timer."""

    def apply_effects(self) -> None:
        pass


class Link(Struct):
    """The faults of one direction of a link."""

    blocked: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    max_delay: float = 0.0  # s; the extra delay is drawn up to this value


class FleetWorld:
    """Servers, nodes and an operator, with the links between them."""

    def __init__(self, seed: int, server_count: int, nodes: int, terms: p.LeaseTerms, drift: float) -> None:
        self.random = Random(seed)
        self.scheduler = Scheduler()
        self.drift, self.terms, self.times = drift, terms, RaftTiming()
        self.checker = FleetChecker()
        self.links: dict[tuple[str, str], Link] = {}
        self.all_links = Link()
        self.trace = xxhash.xxh3_64()  # of all messages sent
        self.last_token = 0
        self.validate: Callable[[p.Plan], str] = lambda plan: ""
        names = [f"S{k}" for k in range(server_count)]
        self.servers = {
            name: ServerHost(
                self, name, bootstrap_state(name, terms, "f") if name == "S0" else PersistentState()
            )
            for name in names
        }
        self.nodes = {f"n{k}": NodeHost(self, f"n{k}", f"site{k % 3}") for k in range(nodes)}
        self.operator = OperatorHost(self, "operator")

    @property
    def hosts(self) -> list[Host]:
        return [*self.servers.values(), *self.nodes.values()]

    # ---- links

    def link(self, sender: str, to: str) -> Link:
        return self.links.setdefault((sender, to), Link())

    def send(self, sender: str, to: str, on_arrival: Callable[[], None]) -> None:
        random, defaults, link = self.random, self.all_links, self.links.get((sender, to))
        self.trace.update(f"{self.scheduler.now!r} {sender} {to}\n".encode())
        if link is not None and link.blocked:
            return
        loss, duplication, max_delay = defaults.loss, defaults.duplication, defaults.max_delay
        if link is not None:
            loss, duplication, max_delay = (
                max(loss, link.loss),
                max(duplication, link.duplication),
                max(max_delay, link.max_delay),
            )
        if loss and random.random() < loss:
            return
        for _ in range(2 if duplication and random.random() < duplication else 1):
            wait = random.uniform(*LINK_DELAY) + (random.random() * max_delay if max_delay else 0.0)
            self.scheduler.callLater(wait, on_arrival)

    # ---- running

    def start(self) -> None:
        """Bootstraps the fleet and adds the other servers one by one."""
        for server in self.servers.values():
            server.start()
        for node in self.nodes.values():
            node.start()
        wait = 0.5
        for name in list(self.servers)[1:]:
            self.scheduler.callLater(wait, self.operator.submit, m.ChangeMembers(add=name))
            wait += 0.5

    def leader(self) -> ServerHost | None:
        leaders = [s for s in self.servers.values() if s.alive and s.replica.raft.role is MemberRole.LEADER]
        return max(leaders, key=lambda s: int(s.replica.raft.term), default=None)

    def check_versions(self) -> None:
        """Passes the versions on which processes may act now to the checker."""
        versions: dict[str, int] = {}
        for node in self.nodes.values():
            holder = node.holder
            if node.alive and holder.fencing_token and node.clock() < holder.expires_at:
                versions[node.process] = holder.plan.version
        self.checker.check_versions_apart(self.scheduler.now, versions)

    def unsettled_reason(self) -> str:
        """What has not settled yet; empty if everything has."""
        leader = self.leader()
        if leader is None or not leader.replica.raft.has_committed_in_term:
            return "no leader"
        record = leader.replica.record
        if record.latest.version != record.released.version:
            return f"version {record.latest.version} is committed, {record.released.version} released"
        for node in self.nodes.values():
            holder = node.holder
            if (
                node.alive
                and not node.stalled
                and not (holder.fencing_token and node.clock() < holder.expires_at)
            ):
                return f"{node.name} has no lease: {holder.refusal}"
            if node.alive and holder.plan.version != record.released.version:
                return f"{node.name} acts on {holder.plan.version} of {record.released.version}"
            if (
                node.alive
                and not node.stalled
                and (holder.audit_log.unacknowledged or holder.earlier_audit_logs)
            ):
                return f"{node.name}: audit entries are not acknowledged"
        alive = {node.process for node in self.nodes.values() if node.alive}
        if dead := record.holders.keys() - alive:
            return f"{sorted(dead)[0]} has ended, but its lease has not"
        if self.operator.unanswered:
            return f"unanswered: {self.operator.unanswered}"
        return ""


def copy_state(state: PersistentState) -> PersistentState:
    return PersistentState(
        state.term, state.vote, state.snapshot, state.compacted_through, list(state.entries)
    )


def apply_write(state: PersistentState, write: StorageWrite) -> None:
    """Applies a write to the persistent state, as a disk does."""
    state.term, state.vote = write.term, write.vote
    if write.snapshot is not None:
        state.snapshot = write.snapshot
    if write.truncate_from is not None:
        state.entries = [entry for entry in state.entries if entry.index < write.truncate_from]
    state.entries += write.entries
    state.compacted_through = write.compacted_through
    state.entries = [entry for entry in state.entries if entry.index > write.compacted_through[0]]
