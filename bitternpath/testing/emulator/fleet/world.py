"""Stewards, agents and operators in virtual time: own clocks, links that fail, disks that are slow.

The parts under test are the real ones (`fleet/record_replica.py` with what it rests on,
`fleet/lease_holder.py`); only sockets and disks are played. A process that is stalled hears nothing and does
nothing until it goes on; one that crashes comes back with what its disk had synced.
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

QUICK = 0.0002, 0.003  # s on the way, usually
SYNC = 0.001, 0.01  # s that a disk takes
WRITE, HELD_UP = (0.0002, 0.003), (0.05, 1.5)  # s that a node's disk takes, mostly and often
ACT_EVERY = 0.25  # s between acts of a node
RELEASE = (1, 0, 0)


class Local:
    """A clock of one process's own: it runs at a rate, from any value."""

    def __init__(self, later: Scheduler, random: Random, drift: float) -> None:
        self.later = later
        self.rate = 1.0 + drift * random.uniform(-1.0, 1.0)
        self.base = random.uniform(0.0, 1e6)

    def __call__(self) -> float:
        return self.base + self.rate * self.later.now

    def real(self, span: float) -> float:
        """How much of the world's time such a span takes."""
        return span / self.rate


class Host:
    """A process that can be stalled and killed."""

    def __init__(self, world: FleetWorld, name: str) -> None:
        self.world, self.name = world, name
        self.clock = Local(world.later, world.random, world.drift)
        self.life = 0
        self.up = self.stalled = False
        self.asleep: list[Callable[[], None]] = []
        self._alarm: Any = None
        self._alarm_at = float("inf")

    def do(self, life: int, what: Callable[[], None]) -> None:
        """Something comes to this process: at once, when it goes on, or never."""
        if not self.up or life != self.life:
            return
        if self.stalled:
            self.asleep.append(what)
        else:
            what()
            self.settle()

    def stall(self) -> None:
        self.stalled = True

    def resume(self) -> None:
        if not self.stalled:
            return
        self.stalled = False
        asleep, self.asleep = self.asleep, []
        # What waits in its sockets may be read before its timers ring.
        if self.world.random.random() < 0.5:
            asleep.sort(key=lambda what: what == self.tick)
        for what in asleep:
            if self.up:
                what()
                self.settle()

    def kill(self) -> None:
        self.up = self.stalled = False
        self.life += 1
        self.asleep.clear()

    def settle(self) -> None:
        """Carry out what follows; then be called at the next alarm."""
        raise NotImplementedError

    def _ring_at(self, alarm: float) -> None:
        """Be ticked when the own clock shows that."""
        if alarm != self._alarm_at or self._alarm is None or not self._alarm.active():
            if self._alarm is not None:
                self._alarm.cancel()
            self._alarm_at, self._alarm = alarm, None
            if alarm != float("inf"):
                wait = max(self.clock.real(alarm - self.clock()), 1e-6)
                self._alarm = self.world.later.callLater(wait, self.do, self.life, self.tick)

    def tick(self) -> None:
        raise NotImplementedError


class StewardHost(Host):
    def __init__(self, world: FleetWorld, name: str, kept: PersistentState) -> None:
        super().__init__(world, name)
        self.disk = kept  # what is synced
        self.slow_disk = 0.0  # s added to each write
        self._writing: list[StorageWrite] = []
        self.replica: Any = None
        self.connections: dict[
            int, tuple[Host, int]
        ] = {}  # token: who is at the other end, and in which life

    def start(self) -> None:
        self.up = True
        self._writing = []
        self.connections.clear()
        self.replica = RecordReplica(
            self.name, kept_copy(self.disk), Random(self.world.random.random()), self.clock(),
            lambda: self.world.later.now, self.world.times,
        )  # fmt: skip
        for name in self.world.stewards:
            self.replica.identify_member(name)
        self.settle()

    def kill(self) -> None:
        super().kill()
        for host, life in self.connections.values():
            self.world.send(self.name, host.name, partial(host.do, life, partial(host.cut_off, self.name)))  # type: ignore[attr-defined]
        self.connections.clear()

    def tick(self) -> None:
        self.replica.tick(self.clock())

    def receive(self, sender: str, said: m.Consensus | m.ForwardedRequest | m.ForwardedReply) -> None:
        self.replica.receive(self.clock(), sender, said)

    def receive_request(self, host: Host, token: int, life: int, said: m.ForwardableRequest) -> None:
        self.connections[token] = host, life
        self.replica.receive_request(self.clock(), token, said)

    def _stored(self) -> None:
        write = self._writing.pop(0)
        keep(self.disk, write)
        if self._writing:
            self._write()
        self.replica.write_completed(self.clock(), write.number)

    def _write(self) -> None:
        wait = self.world.random.uniform(*SYNC) + self.slow_disk
        self.world.later.callLater(wait, self.do, self.life, self._stored)

    def settle(self) -> None:
        world, replica = self.world, self.replica
        effects = replica.take_effects(self.clock())
        for index, term, data in effects.committed:
            world.checker.applied(world.later.now, self.name, index, term, data)
        for index, item in effects.items:
            world.checker.agreed(world.later.now, replica.record, index, item)
        if replica.raft.role is MemberRole.LEADER:
            world.checker.leads(world.later.now, self.name, replica.raft.term)
        if effects.writes:
            idle = not self._writing
            self._writing += effects.writes
            if idle:
                self._write()
        for to, said in effects.messages:
            other = world.stewards.get(to)
            if other is not None:
                world.send(
                    self.name, to, partial(other.do, other.life, partial(other.receive, self.name, said))
                )
        for token, answer in effects.replies:
            if token in self.connections:
                host, life = self.connections[token]
                world.send(
                    self.name, host.name, partial(host.do, life, partial(host.receive, token, answer))  # type: ignore[attr-defined]
                )  # fmt: skip
        self._ring_at(replica.next_timeout_at)


class NodeHost(Host):
    """A process of a node; every other one has a folder in which its audit lasts."""

    def __init__(self, world: FleetWorld, name: str, site: str) -> None:
        super().__init__(world, name)
        self.site = site
        self.keeps = int(name[1:]) % 2 == 1  # whether it has a folder that lasts
        self.folder: dict[str, list[audit.AuditEntry]] = {}
        self.disk_free = 0.0  # when its disk has done all that it was given
        self.holder: Any = None
        self.token = 0
        self.steward = ""

    def start(self) -> None:
        self.up = True
        self.steward = ""
        who = ProcessIdentity(self.name, f"b{self.life}", self.site, RELEASE)
        self.holder = LeaseHolder(
            who, list(self.world.stewards), Random(self.world.random.random()), self.clock(),
            lambda: self.world.later.now, self.world.check,
        )  # fmt: skip
        for boot, lines in self.folder.items():
            audit_log, why = audit.restore_audit_log(boot, lines)
            assert not why
            self.holder.earlier_audit_logs.append(audit_log)
        if self.keeps:
            self.holder.audit_log.written_upto = 0
        self.settle()
        self._act(self.life)

    @property
    def process(self) -> str:
        return f"{self.name}#b{self.life}"

    def _act(self, life: int) -> None:
        """Something that the fleet's word is needed for, every so often; after a stall, at once and often."""
        if life != self.life:
            return
        self.world.later.callLater(ACT_EVERY * self.world.random.uniform(0.5, 1.5), self._act, life)
        self.do(life, self.act)

    def act(self) -> None:
        if self.holder.holds_lease(self.clock()):
            now, holder = self.world.later.now, self.holder
            self.world.checker.act(now, self.process, holder.plan, holder.fencing_token)
            self.world.look()

    def tick(self) -> None:
        self.holder.tick(self.clock())

    def receive(self, token: int, said: m.ForwardableReply) -> None:
        if token == self.token:
            self.holder.receive(self.clock(), said)

    def cut_off(self, steward: str) -> None:
        if steward == self.steward:
            self.steward = ""
            self.holder.connection_lost(self.clock())

    def _connect(self, steward: str) -> None:
        """The handshake goes there and back."""
        self.world.tokens += 1
        token, life, other = self.world.tokens, self.life, self.world.stewards[steward]

        def arrived() -> None:
            if other.up:
                self.world.send(steward, self.name, partial(self.do, life, partial(self._up, steward, token)))

        self.token = token
        self.world.send(self.name, steward, arrived)
        # Nobody may be there, or nothing come back: it is tried elsewhere.
        self.world.later.callLater(1.0, self.do, life, partial(self._dialled_in_vain, token))

    def _up(self, steward: str, token: int) -> None:
        if token == self.token and not self.steward:
            self.steward = steward
            self.holder.connection_made(self.clock(), steward)

    def _dialled_in_vain(self, token: int) -> None:
        if token == self.token and not self.steward:
            self.holder.connection_lost(self.clock())

    def _wrote(self, lines: list[audit.AuditEntry]) -> None:
        kept = self.folder.setdefault(self.holder.identity.boot, [])
        kept += lines
        self.holder.audit_written(self.clock(), len(kept))

    def settle(self) -> None:
        holder, world = self.holder, self.world
        sends, holder.outgoing = holder.outgoing, []
        if sends and self.steward:
            other = world.stewards[self.steward]
            for said in sends:
                world.send(
                    self.name, self.steward,
                    partial(
                        other.do, other.life,
                        partial(other.receive_request, self, self.token, self.life, said),
                    ),
                )  # fmt: skip
        if not holder.connected_server:
            self.steward = ""
        if holder.server_to_dial is not None:
            dial, holder.server_to_dial = holder.server_to_dial, None
            self._connect(dial)
        if holder.audit_log.fresh:
            lines, holder.audit_log.fresh = holder.audit_log.fresh, []
            if self.keeps:
                takes = world.random.uniform(*(WRITE if world.random.random() < 0.6 else HELD_UP))
                self.disk_free = max(self.disk_free, world.later.now) + takes
                world.later.callLater(
                    self.disk_free - world.later.now, self.do, self.life, partial(self._wrote, lines)
                )
        if holder.events:
            acts, holder.events = holder.events, []
            for act in acts:
                world.checker.did(self.process, act.kind, act.version, act.fencing_token)
                if act.kind in ("joined", "acts"):
                    world.checker.act(world.later.now, self.process, holder.plan, act.fencing_token)
            world.look()
        self._ring_at(holder.next_timeout_at)


class OperatorHost(Host):
    """Somebody who types changes, and asks again with the same id until there is an answer."""

    def __init__(self, world: FleetWorld, name: str) -> None:
        super().__init__(world, name)
        self.up = True
        self.open: dict[int, m.Command] = {}
        self.answers: list[tuple[m.Command, m.CommandReply]] = []
        self.numbers = 0

    def type(self, command: m.Command) -> int:
        self.numbers += 1
        self.open[self.numbers] = command
        self._ask(self.numbers)
        return self.numbers

    def _ask(self, number: int) -> None:
        command = self.open.get(number)
        if command is None:
            return
        world = self.world
        steward = world.random.choice(list(world.stewards.values()))
        world.tokens += 1
        said = m.CommandRequest(number, command)
        ask = partial(steward.receive_request, self, world.tokens, 0, said)
        world.send(self.name, steward.name, partial(steward.do, steward.life, ask))
        world.later.callLater(0.7, self._ask, number)

    def receive(self, token: int, answer: m.CommandReply) -> None:
        command = self.open.get(answer.number)
        if command is None:
            return
        if not answer.ok and ("again" in answer.text or "leader" in answer.text):
            return
        del self.open[answer.number]
        self.answers.append((command, answer))
        if answer.ok and isinstance(command, m.Propose):
            data = msgspec.msgpack.decode(answer.data)
            self.world.checker.answered(self.world.later.now, command.id, data["version"])

    def cut_off(self, steward: str) -> None:
        """Its question is asked again in time."""

    def settle(self) -> None:
        pass


class Link(Struct):
    """What goes wrong on the way from one process to another."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0  # s, drawn up to it


class FleetWorld:
    """So many stewards and nodes, and what happens to them."""

    def __init__(self, seed: int, stewards: int, nodes: int, terms: p.LeaseTerms, drift: float) -> None:
        self.random = Random(seed)
        self.later = Scheduler()
        self.drift, self.terms, self.times = drift, terms, RaftTiming()
        self.checker = FleetChecker()
        self.links: dict[tuple[str, str], Link] = {}
        self.everywhere = Link()
        self.trace = xxhash.xxh3_64()  # of all that was on the way
        self.tokens = 0
        self.check: Callable[[p.Plan], str] = lambda plan: ""
        names = [f"S{k}" for k in range(stewards)]
        self.stewards = {
            name: StewardHost(
                self, name, bootstrap_state(name, terms, "f") if name == "S0" else PersistentState()
            )
            for name in names
        }
        self.nodes = {f"n{k}": NodeHost(self, f"n{k}", f"site{k % 3}") for k in range(nodes)}
        self.operator = OperatorHost(self, "operator")

    @property
    def hosts(self) -> list[Host]:
        return [*self.stewards.values(), *self.nodes.values()]

    # ---- the way

    def link(self, sender: str, to: str) -> Link:
        return self.links.setdefault((sender, to), Link())

    def send(self, sender: str, to: str, arrive: Callable[[], None]) -> None:
        random, any_, link = self.random, self.everywhere, self.links.get((sender, to))
        self.trace.update(f"{self.later.now!r} {sender} {to}\n".encode())
        if link is not None and link.cut:
            return
        loss, twice, late = any_.loss, any_.twice, any_.late
        if link is not None:
            loss, twice, late = max(loss, link.loss), max(twice, link.twice), max(late, link.late)
        if loss and random.random() < loss:
            return
        for _ in range(2 if twice and random.random() < twice else 1):
            wait = random.uniform(*QUICK) + (random.random() * late if late else 0.0)
            self.later.callLater(wait, arrive)

    # ---- a run

    def start(self) -> None:
        """Found the fleet, and add its other stewards one by one."""
        for steward in self.stewards.values():
            steward.start()
        for node in self.nodes.values():
            node.start()
        wait = 0.5
        for name in list(self.stewards)[1:]:
            self.later.callLater(wait, self.operator.type, m.ChangeMembers(add=name))
            wait += 0.5

    def leader(self) -> StewardHost | None:
        leads = [s for s in self.stewards.values() if s.up and s.replica.raft.role is MemberRole.LEADER]
        return max(leads, key=lambda s: int(s.replica.raft.term), default=None)

    def look(self) -> None:
        """Who could act now, and on what."""
        holding: dict[str, int] = {}
        for node in self.nodes.values():
            holder = node.holder
            if node.up and holder.fencing_token and node.clock() < holder.expires_at:
                holding[node.process] = holder.plan.version
        self.checker.hold(self.later.now, holding)

    def settled(self) -> str:
        """Empty where all that lives is in order; else what is not."""
        leader = self.leader()
        if leader is None or not leader.replica.raft.has_committed_in_term:
            return "no leader"
        record = leader.replica.record
        if record.latest.version != record.released.version:
            return f"version {record.latest.version} is agreed, {record.released.version} released"
        for node in self.nodes.values():
            holder = node.holder
            if (
                node.up
                and not node.stalled
                and not (holder.fencing_token and node.clock() < holder.expires_at)
            ):
                return f"{node.name} has no lease: {holder.refusal}"
            if node.up and holder.plan.version != record.released.version:
                return f"{node.name} acts on {holder.plan.version} of {record.released.version}"
            if (
                node.up
                and not node.stalled
                and (holder.audit_log.unacknowledged or holder.earlier_audit_logs)
            ):
                return f"{node.name}: lines of its audit are not heard of"
        alive = {node.process for node in self.nodes.values() if node.up}
        if dead := record.holders.keys() - alive:
            return f"{sorted(dead)[0]} has ended, and its lease is not over yet"
        if self.operator.open:
            return f"unanswered: {self.operator.open}"
        return ""


def kept_copy(kept: PersistentState) -> PersistentState:
    return PersistentState(kept.term, kept.vote, kept.snapshot, kept.compacted_through, list(kept.entries))


def keep(kept: PersistentState, write: StorageWrite) -> None:
    """Do a write, as a disk does."""
    kept.term, kept.vote = write.term, write.vote
    if write.snapshot is not None:
        kept.snapshot = write.snapshot
    if write.truncate_from is not None:
        kept.entries = [entry for entry in kept.entries if entry.index < write.truncate_from]
    kept.entries += write.entries
    kept.compacted_through = write.compacted_through
    kept.entries = [entry for entry in kept.entries if entry.index > write.compacted_through[0]]
