"""One steward that may end and come back, and two nodes whose clocks run apart by the drift stated."""

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
from bitternpath.testing.emulator.fleet.search.states import Channels, FixedRandom, copied, cut, encoded


class LeaseScope(Struct, frozen=True):
    steps: int = 3  # of time
    changes: int = 2
    crashes: int = 1  # of the steward
    cuts: int = 0
    nodes: int = 2
    shuffled: bool = False


TERMS = p.LeaseTerms(lease=1.0, drift=0.1, catch_up=1.0)
STEP = 0.6  # s: a lease is over after two, whoever's clock is asked
RATES = (0.9, 1.1)  # the clocks of the nodes


class Leases:
    """A steward that leads from the start, and nodes that speak to it; its disk is quick."""

    def __init__(self, scope: LeaseScope) -> None:
        self.scope = scope
        self.left = {"time": scope.steps, "change": scope.changes, "crash": scope.crashes}
        self.left["cut"] = scope.cuts
        self.now = 0
        self.disk = bootstrap_state("S", TERMS, "f")
        self.channels = Channels()
        self.versions = 0
        self.broken = ""
        self.begun = 0.0  # when the steward led, by its clock
        self.nodes: dict[str, LeaseHolder] = {}
        self.replica = self._new_replica()
        while self.catching_up:  # until it leads, and nothing is on the way
            self.replica.tick(self.replica.next_timeout_at)
            self.settle()
        self.begun = self.replica.raft.now
        fixed: Any = FixedRandom()
        for k in range(scope.nodes):
            who = ProcessIdentity(f"n{k}", "b", "site", (1,))
            holder = LeaseHolder(who, ["S"], fixed, self.clock(k), lambda: 0.0, lambda plan: "")
            self.nodes[who.node] = holder
            holder.server_to_dial = None
            holder.connection_made(self.clock(k), "S")
            self.said(who.node)

    def _new_replica(self) -> RecordReplica:
        fixed: Any = FixedRandom()
        kept, now = world.kept_copy(self.disk), self.steward_clock()
        return RecordReplica("S", kept, fixed, now, lambda: 0.0, RaftTiming())

    def clock(self, node: int) -> float:
        return 100.0 * (node + 1) + RATES[node % len(RATES)] * STEP * self.now

    def steward_clock(self) -> float:
        return self.begun + STEP * self.now

    def copy(self) -> Leases:
        """Shares its processes until one is to change: see `own` and `own_node`."""
        twin = copy(self)
        twin.left, twin.nodes = dict(self.left), dict(self.nodes)
        return twin

    def own(self) -> RecordReplica:
        """The steward, as one that this state may change."""
        self.disk = world.kept_copy(self.disk)
        replica: RecordReplica = copied(self.replica)
        self.replica = replica
        replica.raft = copied(replica.raft)
        replica.record = p.decode_record(p.encode_record(replica.record))
        if replica.leadership is not None:
            replica.leadership = copied(replica.leadership)
        return replica

    def own_node(self, name: str) -> LeaseHolder:
        holder: LeaseHolder = copied(self.nodes[name])
        self.nodes[name] = holder
        holder.audit_log = audit.AuditLog("b")  # what it writes down decides nothing
        return holder

    def key(self) -> Hashable:
        replica, raft = self.replica, self.replica.raft
        leadership = replica.leadership
        holders = tuple(
            (
                key,
                w.expires_at,
                w.applied_version,
                w.validated_version,
                w.digest,
                w.last_sent_at,
                w.behind_since,
                w.end_proposed,
            )
            for key, w in (leadership.holders.items() if leadership is not None else ())
        )
        pending: list[PendingRequest] = []
        own: tuple[Hashable, ...] = ()
        if leadership is not None:
            pending = [*leadership.awaiting_round, *leadership.awaiting_entry.values()]
            own = (leadership.ready, leadership.release_index, tuple(leadership.proposed_starts.items()))
        waiting = tuple((each.awaited, each.received_at, encoded(each.request)) for each in pending)
        nodes = tuple(
            (a.fencing_token, a._last_expired_token, a.expires_at, a.plan.version, a.plan.digest,
             a.validated_plan.version, a.validated_plan.digest, a.connected_server, a.latest_version,
             a._renew_at, a._reply_due_at, a._dial_at,
             tuple((n.version, n.digest) for n in a._pending_plans))
            for a in self.nodes.values()
        )  # fmt: skip
        return (
            self.now, tuple(self.left.values()), tuple(e.data for e in raft.log.entries), raft.term,
            raft.role.value, raft.commit_index, raft.log.stable_index, raft.last_index, raft.heartbeat_round,
            raft.confirmed_round, holders, waiting, nodes,
            self.channels.key(self.scope.shuffled),
            own,
        )  # fmt: skip

    def moves(self) -> Iterator[Move]:
        for sender, to, said, rest in self.channels.deliverable(self.scope.shuffled):
            yield f"{sender} to {to}: {said}", partial(_pass, sender=sender, to=to, said=said, rest=rest)
        if self.left["cut"]:
            for sender, to, rest in self.channels.cut():
                yield f"{sender} to {to}: cut", partial(cut, rest=rest)
        if self.left["time"]:
            yield "time passes", _time_passes
        if self.left["change"]:
            yield "a change", _agreed
        if self.left["crash"]:
            yield "S: ends and comes back", _steward_crash
        if self.replica.next_timeout_at <= self.steward_clock():
            yield "S: its timer rings", _steward_ring
        for k, (name, holder) in enumerate(self.nodes.items()):
            if holder.next_timeout_at <= self.clock(k) or holder.server_to_dial is not None:
                yield f"{name}: its timer rings", partial(_node_ring, name=name)

    def settle(self) -> None:
        """The steward's effects, and what must hold in every state."""
        while True:
            effects = self.replica.take_effects(self.steward_clock())
            for token, said in effects.replies:
                if token >= 0:
                    self.channels = self.channels.with_message("S", f"n{token}", said)
            if not effects.writes:
                break
            for write in effects.writes:
                world.keep(self.disk, write)
                self.replica.write_completed(self.steward_clock(), write.number)
        self.check()

    def said(self, name: str) -> None:
        """A node's effects."""
        holder = self.nodes[name]
        sends, holder.outgoing = holder.outgoing, []
        holder.events.clear()
        holder.audit_log = audit.AuditLog("b")
        for said in sends:
            if not isinstance(said, m.AuditEntries):
                self.channels = self.channels.with_message(name, "S", said)
        self.check()

    def check(self) -> None:
        """By true time: who could act now, on which version, and does the record still count it in?"""
        holders = {h.node: h.fencing_token for h in self.replica.record.holders.values()}
        acting = {}
        for k, (name, holder) in enumerate(self.nodes.items()):
            if holder.fencing_token and self.clock(k) < holder.expires_at:
                acting[name] = holder.plan.version
                if holders.get(name, 0) < holder.fencing_token and not self.catching_up:
                    self.broken = f"{name} may act under fence {holder.fencing_token}, which is let go of"
        if acting and max(acting.values()) - min(acting.values()) > 1:
            self.broken = f"two versions apart: {acting}"

    @property
    def catching_up(self) -> bool:
        """A steward that has come back does not know its own record before it leads again."""
        return self.replica.leadership is None or not self.replica.leadership.ready


def _pass(state: Leases, sender: str, to: str, said: Any, rest: Channels) -> None:
    state.channels = rest
    if to == "S":
        state.own().receive_request(state.steward_clock(), int(sender[1:]), said)
        state.settle()
        return
    holder, k = state.own_node(to), int(to[1:])
    if holder.connected_server:
        holder.receive(state.clock(k), said)
        state.said(to)


def _time_passes(state: Leases) -> None:
    state.left["time"] -= 1
    state.now += 1
    state.check()


def _agreed(state: Leases) -> None:
    """An operator's command comes to the steward."""
    state.left["change"] -= 1
    state.versions += 1
    change = p.SetClass("lookup", {"aim": float(state.versions)})
    state.own().receive_request(
        state.steward_clock(),
        -1,
        m.CommandRequest(state.versions, m.Propose(f"c{state.versions}", "a", "b", change)),
    )
    state.settle()


def _steward_crash(state: Leases) -> None:
    state.left["crash"] -= 1
    state.disk = world.kept_copy(state.disk)
    state.replica = state._new_replica()
    state.replica.tick(state.replica.next_timeout_at)  # alone, it may stand at once
    state.settle()


def _steward_ring(state: Leases) -> None:
    state.own().tick(state.steward_clock())
    state.settle()


def _node_ring(state: Leases, name: str) -> None:
    holder, k = state.own_node(name), int(name[1:])
    if holder.server_to_dial is not None:
        holder.server_to_dial, holder.disconnect = None, False
        holder.connection_made(state.clock(k), "S")
    else:
        holder.tick(state.clock(k))
    state.said(name)
