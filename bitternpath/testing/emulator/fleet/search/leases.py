"""Search states of leases: one server that may crash and restart, and nodes whose clocks drift apart."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import copy
from functools import partial
from typing import Any

from msgspec import Struct

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.bootstrap import bootstrap_state
from bitternpath.balancer.fleet.leadership import PendingRequest
from bitternpath.balancer.fleet.lease_holder import LeaseHolder, ProcessIdentity
from bitternpath.balancer.fleet.record_replica import RecordReplica
from bitternpath.replication.records import RaftTiming
from bitternpath.testing.emulator.fleet import world
from bitternpath.testing.emulator.fleet.search.explore import Move
from bitternpath.testing.emulator.fleet.search.states import (
    Channels,
    FixedRandom,
    copy_process,
    encode,
    lose_channel,
)


class LeaseScope(Struct, frozen=True):
    steps: int = 3  # steps of time
    changes: int = 2
    crashes: int = 1  # of the server
    cuts: int = 0
    nodes: int = 2
    shuffled: bool = False


TERMS = p.LeaseTerms(lease=1.0, drift=0.1, catch_up=1.0)
TIME_STEP = 0.6  # s: a lease ends within two steps by any of the clocks
RATES = (0.9, 1.1)  # rates of the nodes' clocks


class Leases:
    """A server that leads from the start, and nodes connected to it; disk writes complete at once."""

    def __init__(self, scope: LeaseScope) -> None:
        self.scope = scope
        self.remaining = {"time": scope.steps, "change": scope.changes, "crash": scope.crashes}
        self.remaining["cut"] = scope.cuts
        self.now = 0
        self.disk = bootstrap_state("S", TERMS, "f")
        self.channels = Channels()
        self.versions = 0
        self.violation = ""
        self.leader_since = 0.0  # s by the server's clock
        self.nodes: dict[str, LeaseHolder] = {}
        self.replica = self._new_replica()
        while self.catching_up:  # until the server leads and no message is in transit
            self.replica.tick(self.replica.next_timeout_at)
            self.apply_effects()
        self.leader_since = self.replica.raft.now
        fixed_random: Any = FixedRandom()
        for k in range(scope.nodes):
            identity = ProcessIdentity(f"n{k}", "b", "site", (1,))
            holder = LeaseHolder(
                identity, ["S"], fixed_random, self.node_clock(k), lambda: 0.0, lambda plan: ""
            )
            self.nodes[identity.node] = holder
            holder.server_to_dial = None
            holder.connection_made(self.node_clock(k), "S")
            self.apply_node_effects(identity.node)

    def _new_replica(self) -> RecordReplica:
        fixed_random: Any = FixedRandom()
        state, now = world.copy_state(self.disk), self.server_clock()
        return RecordReplica("S", state, fixed_random, now, lambda: 0.0, RaftTiming())

    def node_clock(self, node: int) -> float:
        return 100.0 * (node + 1) + RATES[node % len(RATES)] * TIME_STEP * self.now

    def server_clock(self) -> float:
        return self.leader_since + TIME_STEP * self.now

    def copy(self) -> Leases:
        """A copy that shares its processes; `mutable_server` and `mutable_node` copy them before a change."""
        clone = copy(self)
        clone.remaining, clone.nodes = dict(self.remaining), dict(self.nodes)
        return clone

    def mutable_server(self) -> RecordReplica:
        """Copies the server, so that this state may change it."""
        self.disk = world.copy_state(self.disk)
        replica: RecordReplica = copy_process(self.replica)
        self.replica = replica
        replica.raft = copy_process(replica.raft)
        replica.record = p.decode_record(p.encode_record(replica.record))
        if replica.leadership is not None:
            replica.leadership = copy_process(replica.leadership)
        return replica

    def mutable_node(self, name: str) -> LeaseHolder:
        holder: LeaseHolder = copy_process(self.nodes[name])
        self.nodes[name] = holder
        # the content of the audit log has no effect on leases
        holder.audit_log = audit.AuditLog("b")
        return holder

    def key(self) -> Hashable:
        replica, raft = self.replica, self.replica.raft
        leadership = replica.leadership
        holders = tuple(
            (
                key,
                held_lease.expires_at,
                held_lease.applied_version,
                held_lease.validated_version,
                held_lease.digest,
                held_lease.last_sent_at,
                held_lease.behind_since,
                held_lease.end_proposed,
            )
            for key, held_lease in (leadership.holders.items() if leadership is not None else ())
        )
        pending: list[PendingRequest] = []
        leadership_state: tuple[Hashable, ...] = ()
        if leadership is not None:
            pending = [*leadership.awaiting_round, *leadership.awaiting_entry.values()]
            leadership_state = (
                leadership.ready,
                leadership.release_index,
                tuple(leadership.proposed_starts.items()),
            )
        pending_requests = tuple(
            (pending_request.awaited, pending_request.received_at, encode(pending_request.request))
            for pending_request in pending
        )
        nodes = tuple(
            (node.fencing_token, node._last_expired_token, node.expires_at, node.plan.version,
             node.plan.digest, node.validated_plan.version, node.validated_plan.digest,
             node.connected_server, node.latest_version, node._renew_at, node._reply_due_at, node._dial_at,
             tuple((n.version, n.digest) for n in node._pending_plans))
            for node in self.nodes.values()
        )  # fmt: skip
        return (
            self.now, tuple(self.remaining.values()), tuple(e.data for e in raft.log.entries), raft.term,
            raft.role.value, raft.commit_index, raft.log.stable_index, raft.last_index, raft.heartbeat_round,
            raft.confirmed_round, holders, pending_requests, nodes,
            self.channels.key(self.scope.shuffled),
            leadership_state,
        )  # fmt: skip

    def moves(self) -> Iterator[Move]:
        for sender, to, message, next_channels in self.channels.deliverable(self.scope.shuffled):
            yield (
                f"{sender} to {to}: {message}",
                partial(_deliver, sender=sender, to=to, message=message, next_channels=next_channels),
            )
        if self.remaining["cut"]:
            for sender, to, next_channels in self.channels.losses():
                yield f"{sender} to {to}: messages lost", partial(lose_channel, next_channels=next_channels)
        if self.remaining["time"]:
            yield "time passes", _time_passes
        if self.remaining["change"]:
            yield "change proposed", _propose_change
        if self.remaining["crash"]:
            yield "S: crashes and restarts", _server_crash
        if self.replica.next_timeout_at <= self.server_clock():
            yield "S: timer fires", _server_timer
        for k, (name, holder) in enumerate(self.nodes.items()):
            if holder.next_timeout_at <= self.node_clock(k) or holder.server_to_dial is not None:
                yield f"{name}: timer fires", partial(_node_timer, name=name)

    def apply_effects(self) -> None:
        """Carries out the server's effects and checks the invariants."""
        while True:
            effects = self.replica.take_effects(self.server_clock())
            for token, message in effects.replies:
                if token >= 0:
                    self.channels = self.channels.with_message("S", f"n{token}", message)
            if not effects.writes:
                break
            for write in effects.writes:
                world.apply_write(self.disk, write)
                self.replica.write_completed(self.server_clock(), write.number)
        self.check_invariants()

    def apply_node_effects(self, name: str) -> None:
        """Carries out a node's effects and checks the invariants."""
        holder = self.nodes[name]
        sends, holder.outgoing = holder.outgoing, []
        holder.events.clear()
        holder.audit_log = audit.AuditLog("b")
        for message in sends:
            if not isinstance(message, m.AuditEntries):
                self.channels = self.channels.with_message(name, "S", message)
        self.check_invariants()

    def check_invariants(self) -> None:
        """Checks by true time which nodes may act, on which versions, and that the record still has their
        leases."""
        holders = {h.node: h.fencing_token for h in self.replica.record.holders.values()}
        acting = {}
        for k, (name, holder) in enumerate(self.nodes.items()):
            if holder.fencing_token and self.node_clock(k) < holder.expires_at:
                acting[name] = holder.plan.version
                if holders.get(name, 0) < holder.fencing_token and not self.catching_up:
                    self.violation = (
                        f"{name} may act under fencing token {holder.fencing_token}, which has ended"
                    )
        if acting and max(acting.values()) - min(acting.values()) > 1:
            self.violation = f"two versions apart: {acting}"

    @property
    def catching_up(self) -> bool:
        """Whether the server has restarted and doesn't lead again yet; until then it doesn't know its own
        record."""
        return self.replica.leadership is None or not self.replica.leadership.ready


def _deliver(state: Leases, sender: str, to: str, message: Any, next_channels: Channels) -> None:
    state.channels = next_channels
    if to == "S":
        state.mutable_server().receive_request(state.server_clock(), int(sender[1:]), message)
        state.apply_effects()
        return
    holder, k = state.mutable_node(to), int(to[1:])
    if holder.connected_server:
        holder.receive(state.node_clock(k), message)
        state.apply_node_effects(to)


def _time_passes(state: Leases) -> None:
    state.remaining["time"] -= 1
    state.now += 1
    state.check_invariants()


def _propose_change(state: Leases) -> None:
    """An operator's change reaches the server."""
    state.remaining["change"] -= 1
    state.versions += 1
    change = p.SetClass("lookup", {"aim": float(state.versions)})
    state.mutable_server().receive_request(
        state.server_clock(),
        -1,
        m.CommandRequest(state.versions, m.Propose(f"c{state.versions}", "a", "b", change)),
    )
    state.apply_effects()


def _server_crash(state: Leases) -> None:
    state.remaining["crash"] -= 1
    state.disk = world.copy_state(state.disk)
    state.replica = state._new_replica()
    state.replica.tick(state.replica.next_timeout_at)  # as the only voter it may stand for election at once
    state.apply_effects()


def _server_timer(state: Leases) -> None:
    state.mutable_server().tick(state.server_clock())
    state.apply_effects()


def _node_timer(state: Leases, name: str) -> None:
    holder, k = state.mutable_node(name), int(name[1:])
    if holder.server_to_dial is not None:
        holder.server_to_dial, holder.disconnect = None, False
        holder.connection_made(state.node_clock(k), "S")
    else:
        holder.tick(state.node_clock(k))
    state.apply_node_effects(name)
