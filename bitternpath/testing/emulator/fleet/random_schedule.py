"""Consensus servers under a random scheduler: any message may be delivered next, again, or never; any timer
may fire; any disk write may complete; any server may crash and restart with what was synced.

Time passes only when a timer fires, so that some hundred steps meet what happens once in a day of virtual
time. Besides the rules of the record, two properties are checked: no two leaders in a term, and no lease
granted to a request that arrived after a later leader had been elected.
"""

from __future__ import annotations

from random import Random

import msgspec
from msgspec import Struct

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.record_replica import RecordReplica
from bitternpath.replication.records import (
    Entry,
    EntryKind,
    MemberRole,
    Members,
    PersistentState,
    RaftTiming,
    StorageWrite,
)
from bitternpath.testing.emulator.fleet import world
from bitternpath.testing.emulator.fleet.checker import FleetChecker, FleetViolation

TIMER_ADVANCE = 10.0  # s that pass for a server when its timer fires
MAX_IN_FLIGHT = 40  # messages in flight; beyond this the oldest are lost
# Relative frequency of each kind of step.
WEIGHTS = {
    "deliver": 70, "drop": 3, "duplicate": 4, "disk": 16, "timer": 4, "crash": 5, "change": 6, "renew": 6,
}  # fmt: skip


class InFlightMessage(Struct):
    sender: str
    to: str
    message: m.Consensus | m.ForwardedRequest | m.ForwardedReply


class ScheduledServer:
    """A server under the control of the scheduler."""

    def __init__(self, name: str, state: PersistentState) -> None:
        self.name, self.disk, self.now = name, state, 0.0
        self.pending_writes: list[StorageWrite] = []
        self.incarnation = 0
        self.replica: RecordReplica


class RandomSchedule:
    """One random schedule, and the checks of its steps."""

    def __init__(self, seed: int, server_count: int = 3) -> None:
        self.random = Random(seed)
        self.checker = FleetChecker()
        self.in_flight: list[InFlightMessage] = []
        self.step = 0
        self.elected: dict[int, int] = {}  # term: the step in which its leader was elected
        # `sent` of a request: the step in which it reached its server
        self.received_in_step: dict[float, int] = {}
        self.sequence = 0
        names = [f"S{k}" for k in range(server_count)]
        members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members(tuple(names))))
        bootstrap = Entry(2, 1, EntryKind.COMMAND, p.encode_item(p.Bootstrap(p.LeaseTerms(), "f")))
        self.servers = {
            name: ScheduledServer(name, PersistentState(term=1, entries=[members, bootstrap]))
            for name in names
        }
        for server in self.servers.values():
            self._start(server)

    def _start(self, server: ScheduledServer) -> None:
        server.incarnation += 1
        server.pending_writes = []
        state = world.copy_state(server.disk)
        random = Random(self.random.random())
        server.replica = RecordReplica(server.name, state, random, server.now, lambda: 0.0, RaftTiming())
        self._apply_effects(server)

    def run(self, steps: int) -> FleetChecker:
        kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
        for _ in range(steps):
            self.step += 1
            getattr(self, f"_{self.random.choices(kinds, weights)[0]}")()
            if self.checker.violations:
                break
        return self.checker

    # ---- steps

    def _random_server(self) -> ScheduledServer:
        return self.random.choice(list(self.servers.values()))

    def _pop_message(self) -> InFlightMessage | None:
        return self.in_flight.pop(self.random.randrange(len(self.in_flight))) if self.in_flight else None

    def _deliver(self) -> None:
        in_flight = self._pop_message()
        if in_flight is not None:
            server = self.servers[in_flight.to]
            server.replica.receive(server.now, in_flight.sender, in_flight.message)
            self._apply_effects(server)

    def _drop(self) -> None:
        self._pop_message()

    def _duplicate(self) -> None:
        if self.in_flight:
            self.in_flight.append(self.random.choice(self.in_flight))

    def _disk(self) -> None:
        server = self._random_server()
        if server.pending_writes:
            write = server.pending_writes.pop(0)
            world.apply_write(server.disk, write)
            server.replica.write_completed(server.now, write.number)
            self._apply_effects(server)

    def _timer(self) -> None:
        server = self._random_server()
        if server.replica.raft.role is MemberRole.LEADER and self.random.random() < 0.8:
            server.now = server.replica.next_timeout_at  # usually a heartbeat
        else:
            server.now += TIMER_ADVANCE
        server.replica.tick(server.now)
        self._apply_effects(server)

    def _crash(self) -> None:
        self._start(self._random_server())

    def _change(self) -> None:
        server = self._random_server()
        self.sequence += 1
        change = p.SetClass("lookup", {"aim": 1.0 + self.sequence})
        message = m.CommandRequest(self.sequence, m.Propose(f"c{self.sequence}", "a", "b", change))
        server.replica.receive_request(server.now, 1, message)
        self._apply_effects(server)

    def _renew(self) -> None:
        server = self._random_server()
        self.sequence += 1
        node = self.random.choice("xy")
        record = server.replica.record
        holder = record.holders.get(f"{node}#b")
        self.received_in_step[float(self.sequence)] = self.step
        message = m.RenewLease(
            node, "b", "site", (1,), "serve", float(self.sequence), holder.fencing_token if holder else 0,
            record.released.version, record.latest.version, record.latest.digest,
        )  # fmt: skip
        server.replica.receive_request(server.now, 2, message)
        self._apply_effects(server)

    # ---- effects

    def _apply_effects(self, server: ScheduledServer) -> None:
        replica, step = server.replica, float(self.step)
        effects = replica.take_effects(server.now)
        for index, term, data in effects.committed:
            self.checker.applied(step, server.name, index, term, data)
        for index, item in effects.items:
            self.checker.committed(step, replica.record, index, item)
        if replica.raft.role is MemberRole.LEADER:
            self.checker.leader_seen(step, server.name, replica.raft.term)
            self.elected.setdefault(replica.raft.term, self.step)
        server.pending_writes += effects.writes
        for to, message in effects.messages:
            if isinstance(message, m.ForwardedReply) and isinstance(message.reply, m.Lease):
                self._check_grant(server, message.reply)
            self.in_flight.append(InFlightMessage(server.name, to, message))
        for _, answer in effects.replies:
            if isinstance(answer, m.Lease) and replica.raft.role is MemberRole.LEADER:
                self._check_grant(server, answer)
        del self.in_flight[:-MAX_IN_FLIGHT]

    def _check_grant(self, server: ScheduledServer, lease: m.Lease) -> None:
        """A later leader assumes that all leases granted before its election have ended: reports a grant to a
        request that arrived after it."""
        received_step, term = self.received_in_step[lease.sent], server.replica.raft.term
        for later_term, elected_step in self.elected.items():
            if later_term > term and elected_step < received_step:
                self.checker.violations.append(
                    FleetViolation(
                        "granted", float(self.step),
                        f"{server.name}, leader of term {term}, renews a lease requested in step "
                        f"{received_step}; term {later_term} had a leader from step {elected_step} on",
                    )
                )  # fmt: skip


def run_schedule(seed: int, steps: int = 1500, server_count: int = 3) -> FleetChecker:
    """Runs one schedule from a seed."""
    return RandomSchedule(seed, server_count).run(steps)
