"""Every order of events within a small scope: the pure parts of the fleet, state after state.

Where runs and walks draw one order out of many, this tries all that fit a scope: how often timers ring, how
many changes, crashes and cuts. A state is what the processes are, what their disks hold and what is on the
way. What one process sends another comes in its order, as a connection has it, at any time or never; a cut
loses all that is on one way. With `shuffled` it comes in any order, and any of it may be lost. Two scopes,
because one of all would not end:

- `Consensus`: three stewards, of which two stand for election; the record is a log of entries.
- `Leases`: one steward that may end and come back, and two nodes whose clocks run apart by the drift
  stated; time passes in steps, whoever has been told of it or not.

Each state is checked by what is true in it, not by what a process thinks. (The small-scope idea: Jackson,
Software Abstractions, 2006.)
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterator
from copy import copy
from functools import partial
from typing import Any, Protocol, Self

import msgspec
from msgspec import Struct

from bitternpath.emulator.fleet import world
from bitternpath.fleet import audit
from bitternpath.fleet import messages as m
from bitternpath.fleet import plan as p
from bitternpath.fleet.agency import Agency, Who
from bitternpath.fleet.desk import Desk
from bitternpath.fleet.founding import founded
from bitternpath.replication.consensus import CHANGE, MEMBERS, Entry, Kept, Members, Raft, Role, Times, Write

Move = tuple[str, Callable[[Any], None]]  # its name, and what it does to a state


class State(Protocol):
    broken: str

    def copy(self) -> Self: ...
    def key(self) -> Hashable: ...
    def moves(self) -> Iterator[Move]: ...


Step = tuple[int, int, State]  # its number, by how many moves it was reached, and itself
Waiting = deque[Step]


class Found(Struct, frozen=True):
    """What came of a search."""

    states: int
    moves: int
    depth: int
    whole: bool  # nothing within the scope was left out
    broken: str = ""
    trail: tuple[str, ...] = ()  # the moves that lead there


def search(begin: State, most: int, next_: Callable[[Waiting], Step] = deque.popleft) -> Found:
    """All states that can be reached, at most so many; ends at the first broken one.

    Breadth-first, so that its trail is a shortest one; with `deque.pop` depth-first, and fewer are held."""
    seen = {hash(begin.key())}  # of 64 bits: two states of a million taken for one at 3 in 100 million
    came: list[tuple[int, str]] = [(-1, "")]  # per state: from which, by which move
    waiting: Waiting = deque([(0, 0, begin)])
    moves = deepest = 0
    while waiting:
        at, depth, state = next_(waiting)
        deepest = max(deepest, depth)
        for name, do in state.moves():
            after = state.copy()
            do(after)
            moves += 1
            if after.broken:
                return Found(len(seen), moves, depth + 1, False, after.broken, _trail(came, at, name))
            key = hash(after.key())
            if key not in seen:
                if len(seen) >= most:
                    return Found(len(seen), moves, deepest, False)
                seen.add(key)
                came.append((at, name))
                waiting.append((len(came) - 1, depth + 1, after))
    return Found(len(seen), moves, deepest, True)


def _trail(came: list[tuple[int, str]], at: int, last: str) -> tuple[str, ...]:
    names = [last]
    while at > 0:
        at, name = came[at]
        names.append(name)
    return tuple(reversed(names))


class Still:
    """A random source that always says the same: what it would draw is a move of the search."""

    @staticmethod
    def random() -> float:
        return 0.0

    @staticmethod
    def shuffle(values: list[Any]) -> None:
        """As they are."""


def _copied(value: Any) -> Any:
    """One level deeper than `copy`: processes change lists, sets, dicts and objects of theirs in place."""
    match value:
        case list():
            return [_copied(v) if isinstance(v, list) else v for v in value]
        case dict():
            return {k: copy(v) for k, v in value.items()}
        case set():
            return set(value)
    return value


def _twin(thing: Any) -> Any:
    """Another process in the same state."""
    twin = copy(thing)
    twin.__dict__.update({name: _copied(value) for name, value in thing.__dict__.items()})
    return twin


# ---- consensus


class Ways(Struct, frozen=True):
    """What is on the way from one process to another."""

    queues: tuple[tuple[tuple[str, str], tuple[tuple[bytes, Any], ...]], ...] = ()

    def with_(self, sender: str, to: str, said: Any) -> Ways:
        all_ = dict(self.queues)
        all_[sender, to] = (*all_.get((sender, to), ()), (_bytes(said), said))
        return Ways(tuple(sorted(all_.items(), key=lambda pair: pair[0])))

    def may_come(self, shuffled: bool) -> Iterator[tuple[str, str, Any, Ways]]:
        """What may come next: from whom, to whom, what; and what is on the way after that."""
        for at, ((sender, to), queue) in enumerate(self.queues):
            for k, (_, said) in enumerate(queue if shuffled else queue[:1]):
                rest = queue[:k] + queue[k + 1 :]
                kept = (((sender, to), rest),) if rest else ()
                yield sender, to, said, Ways(self.queues[:at] + kept + self.queues[at + 1 :])

    def cut(self) -> Iterator[tuple[str, str, Ways]]:
        """All that is on one way is lost: which, and what is left."""
        for at, ((sender, to), _) in enumerate(self.queues):
            yield sender, to, Ways(self.queues[:at] + self.queues[at + 1 :])

    def key(self, shuffled: bool) -> Hashable:
        told = ((pair, [content for content, _ in queue]) for pair, queue in self.queues)
        return tuple((pair, tuple(sorted(queue) if shuffled else queue)) for pair, queue in told)


_bytes = msgspec.msgpack.Encoder().encode


class Scope(Struct, frozen=True):
    """How often each may happen."""

    rings: int = 2  # timers of those that stand
    changes: int = 1
    crashes: int = 1
    cuts: int = 0
    slow_disks: bool = False  # else what is written is on disk at once
    shuffled: bool = False


class Member:
    """A steward's consensus, its disk, and the writes under way."""

    def __init__(self, raft: Raft, disk: Kept, writing: list[Write]) -> None:
        self.raft, self.disk, self.writing = raft, disk, writing

    def copy(self) -> Member:
        return Member(_twin(self.raft), world.kept_copy(self.disk), self.writing[:])

    def key(self) -> Hashable:
        raft, disk, done = self.raft, self.disk, self.raft._done
        age = raft.now - raft.heard < raft.times.election
        peers = tuple(
            (
                name,
                peer.next,
                peer.match,
                peer.round,
                peer.offset,
                raft.now - peer.heard < raft.times.election,
            )
            for name, peer in raft.peers.items()
        )
        return (
            raft.term, raft.vote, raft.role.value, raft.leader, tuple(raft.log), raft.commit, raft.told,
            raft.stable, frozenset(raft.votes), raft.round, raft.confirmed, raft.since, age, peers,
            raft._round_wanted, raft._cut, tuple((n - done, upto) for n, upto in raft._pending),
            tuple((n - done, to, said) for n, to, said in raft._held),
            disk.term, disk.vote, tuple(disk.entries),
            tuple((w.term, w.vote, w.cut, w.entries) for w in self.writing),
        )  # fmt: skip


class Consensus:
    """Three members; the first two stand for election when their timers ring."""

    NAMES = ("a", "b", "c")

    def __init__(self, scope: Scope) -> None:
        members = Entry(1, 1, MEMBERS, msgspec.msgpack.encode(Members(self.NAMES)))
        self.scope = scope
        self.left = {"ring": scope.rings, "change": scope.changes, "crash": scope.crashes}
        self.left["cut"] = scope.cuts
        self.members: dict[str, Member] = {}
        self.ways = Ways()
        self.leaders: dict[int, str] = {}  # term: who led in it
        self.agreed: dict[int, Entry] = {}
        self.broken = ""
        for name in self.NAMES:
            disk = Kept(term=1, entries=[members])
            self.members[name] = self._started(name, disk, 0.0)

    @staticmethod
    def _started(name: str, disk: Kept, now: float) -> Member:
        still: Any = Still()
        return Member(Raft(name, world.kept_copy(disk), still, now), disk, [])

    def copy(self) -> Consensus:
        twin = copy(self)
        twin.left, twin.leaders, twin.agreed = dict(self.left), dict(self.leaders), dict(self.agreed)
        twin.members = {name: member.copy() for name, member in self.members.items()}
        return twin

    def key(self) -> Hashable:
        return (
            tuple(self.left.values()),
            tuple(member.key() for member in self.members.values()),
            self.ways.key(self.scope.shuffled),
            tuple(self.leaders.items()),
            tuple(self.agreed),
        )

    def moves(self) -> Iterator[Move]:
        for sender, to, said, rest in self.ways.may_come(self.scope.shuffled):
            yield f"{sender} to {to}: {said}", partial(_deliver, sender=sender, to=to, said=said, rest=rest)
        if self.left["cut"]:
            for sender, to, rest in self.ways.cut():
                yield f"{sender} to {to}: cut", partial(_cut, rest=rest)
        for name, member in self.members.items():
            if member.writing:
                yield f"{name}: on disk", partial(_stored, name=name)
            if self.left["ring"] and name != self.NAMES[-1]:
                yield f"{name}: its timer rings", partial(_ring, name=name)
            if self.left["crash"] and member.raft.term > 1:
                yield f"{name}: ends and comes back", partial(_crash, name=name)
            if self.left["change"] and member.raft.role is Role.LEADER:
                yield f"{name}: a change", partial(_change, name=name)

    def settle(self, name: str) -> None:
        """What follows, held against the rules."""
        member = self.members[name]
        raft = member.raft
        out = raft.take(raft.now)
        member.writing += out.writes
        for to, said in out.send:
            self.ways = self.ways.with_(name, to, said)
        if raft.role is Role.LEADER and self.leaders.setdefault(raft.term, name) != name:
            self.broken = f"{name} and {self.leaders[raft.term]} lead in term {raft.term}"
        for entry in out.agreed:
            if self.agreed.setdefault(entry.index, entry) != entry:
                self.broken = f"entry {entry.index} is {self.agreed[entry.index]}, and {entry} for {name}"
        if member.writing and not self.scope.slow_disks:
            _stored(self, name)


def _deliver(state: Consensus, sender: str, to: str, said: Any, rest: Ways) -> None:
    state.ways = rest
    raft = state.members[to].raft
    raft.hear(raft.now, sender, said)
    state.settle(to)


def _cut(state: Consensus | Leases, rest: Ways) -> None:
    state.left["cut"] -= 1
    state.ways = rest


def _stored(state: Consensus, name: str) -> None:
    member = state.members[name]
    write = member.writing.pop(0)
    world.keep(member.disk, write)
    member.raft.stored(member.raft.now, write.number)
    state.settle(name)


def _ring(state: Consensus, name: str) -> None:
    state.left["ring"] -= 1
    raft = state.members[name].raft
    raft.tick(raft.alarm)
    state.settle(name)


def _crash(state: Consensus, name: str) -> None:
    state.left["crash"] -= 1
    member = state.members[name]
    state.members[name] = state._started(name, member.disk, member.raft.now)
    state.settle(name)


def _change(state: Consensus, name: str) -> None:
    state.left["change"] -= 1
    raft = state.members[name].raft
    raft.propose(raft.now, CHANGE, bytes([state.left["change"]]))
    state.settle(name)


# ---- leases


class LeaseScope(Struct, frozen=True):
    steps: int = 3  # of time
    changes: int = 2
    crashes: int = 1  # of the steward
    cuts: int = 0
    nodes: int = 2
    shuffled: bool = False


TERMS = p.Terms(lease=1.0, drift=0.1, catch_up=1.0)
STEP = 0.6  # s: a lease is over after two, whoever's clock is asked
RATES = (0.9, 1.1)  # the clocks of the nodes


class Leases:
    """A steward that leads from the start, and nodes that speak to it; its disk is quick."""

    def __init__(self, scope: LeaseScope) -> None:
        self.scope = scope
        self.left = {"time": scope.steps, "change": scope.changes, "crash": scope.crashes}
        self.left["cut"] = scope.cuts
        self.now = 0
        self.disk = founded("S", TERMS, "f")
        self.ways = Ways()
        self.versions = 0
        self.broken = ""
        self.begun = 0.0  # when the steward led, by its clock
        self.nodes: dict[str, Agency] = {}
        self.desk = self._desk()
        while self.desk.tenure is None or not self.desk.tenure.began:  # it leads, and nothing is on the way
            self.desk.tick(self.desk.alarm)
            self.settle()
        self.begun = self.desk.raft.now
        still: Any = Still()
        for k in range(scope.nodes):
            who = Who(f"n{k}", "b", "site", (1,))
            agency = Agency(who, ["S"], still, self.clock(k), lambda: 0.0, lambda plan: "")
            self.nodes[who.node] = agency
            agency.dial = None
            agency.up(self.clock(k), "S")
            self.said(who.node)

    def _desk(self) -> Desk:
        still: Any = Still()
        return Desk("S", world.kept_copy(self.disk), still, self.steward_clock(), lambda: 0.0, Times())

    def clock(self, node: int) -> float:
        return 100.0 * (node + 1) + RATES[node % len(RATES)] * STEP * self.now

    def steward_clock(self) -> float:
        return self.begun + STEP * self.now

    def copy(self) -> Leases:
        """Shares its processes until one is to change: see `own` and `own_node`."""
        twin = copy(self)
        twin.left, twin.nodes = dict(self.left), dict(self.nodes)
        return twin

    def own(self) -> Desk:
        """The steward, as one that this state may change."""
        self.disk = world.kept_copy(self.disk)
        desk: Desk = _twin(self.desk)
        self.desk = desk
        desk.raft = _twin(desk.raft)
        desk.record = p.record_from(p.record_bytes(desk.record))
        if desk.tenure is not None:
            desk.tenure = _twin(desk.tenure)
        return desk

    def own_node(self, name: str) -> Agency:
        agency: Agency = _twin(self.nodes[name])
        self.nodes[name] = agency
        agency.ledger = audit.Ledger("b")  # what it writes down decides nothing
        return agency

    def key(self) -> Hashable:
        desk, raft = self.desk, self.desk.raft
        tenure = desk.tenure
        watches = tuple(
            (key, w.until, w.acting, w.have, w.digest, w.sent, w.behind_since, w.ending)
            for key, w in (tenure.watches.items() if tenure is not None else ())
        )
        waiting = tuple(
            (w.at, w.came, _bytes(w.said)) for w in (*tenure.rounds, *tenure.entries.values())
        ) if tenure is not None else ()  # fmt: skip
        nodes = tuple(
            (a.fence, a._lost, a.until, a.plan.version, a.plan.digest, a.taken.version, a.taken.digest,
             a.connected, a.latest, a._renew_at, a._answer_by, a._dial_at,
             tuple((n.version, n.digest) for n in a._next))
            for a in self.nodes.values()
        )  # fmt: skip
        return (
            self.now, tuple(self.left.values()), tuple(e.data for e in raft.log), raft.term, raft.role.value,
            raft.commit, raft.stable, raft.last, raft.round, raft.confirmed, watches, waiting, nodes,
            self.ways.key(self.scope.shuffled),
            (tenure.began, tenure.releasing, tuple(tenure.joining.items())) if tenure is not None else (),
        )  # fmt: skip

    def moves(self) -> Iterator[Move]:
        for sender, to, said, rest in self.ways.may_come(self.scope.shuffled):
            yield f"{sender} to {to}: {said}", partial(_pass, sender=sender, to=to, said=said, rest=rest)
        if self.left["cut"]:
            for sender, to, rest in self.ways.cut():
                yield f"{sender} to {to}: cut", partial(_cut, rest=rest)
        if self.left["time"]:
            yield "time passes", _time_passes
        if self.left["change"]:
            yield "a change", _agreed
        if self.left["crash"]:
            yield "S: ends and comes back", _steward_crash
        if self.desk.alarm <= self.steward_clock():
            yield "S: its timer rings", _steward_ring
        for k, (name, agency) in enumerate(self.nodes.items()):
            if agency.alarm <= self.clock(k) or agency.dial is not None:
                yield f"{name}: its timer rings", partial(_node_ring, name=name)

    def settle(self) -> None:
        """The steward's effects, and what must hold in every state."""
        while True:
            effects = self.desk.take(self.steward_clock())
            for token, said in effects.replies:
                if token >= 0:
                    self.ways = self.ways.with_("S", f"n{token}", said)
            if not effects.writes:
                break
            for write in effects.writes:
                world.keep(self.disk, write)
                self.desk.stored(self.steward_clock(), write.number)
        self.check()

    def said(self, name: str) -> None:
        """A node's effects."""
        agency = self.nodes[name]
        sends, agency.sends = agency.sends, []
        agency.acts.clear()
        agency.ledger = audit.Ledger("b")
        for said in sends:
            if not isinstance(said, m.Acts):
                self.ways = self.ways.with_(name, "S", said)
        self.check()

    def check(self) -> None:
        """By true time: who could act now, on which version, and does the record still count it in?"""
        holders = {h.node: h.fence for h in self.desk.record.holders.values()}
        acting = {}
        for k, (name, agency) in enumerate(self.nodes.items()):
            if agency.fence and self.clock(k) < agency.until:
                acting[name] = agency.plan.version
                if holders.get(name, 0) < agency.fence and not self.catching_up:
                    self.broken = f"{name} may act under fence {agency.fence}, which is let go of"
        if acting and max(acting.values()) - min(acting.values()) > 1:
            self.broken = f"two versions apart: {acting}"

    @property
    def catching_up(self) -> bool:
        """A steward that has come back does not know its own record before it leads again."""
        return self.desk.tenure is None or not self.desk.tenure.began


def _pass(state: Leases, sender: str, to: str, said: Any, rest: Ways) -> None:
    state.ways = rest
    if to == "S":
        state.own().say(state.steward_clock(), int(sender[1:]), said)
        state.settle()
        return
    agency, k = state.own_node(to), int(to[1:])
    if agency.connected:
        agency.hear(state.clock(k), said)
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
    state.own().say(
        state.steward_clock(), -1, m.Ask(state.versions, m.Propose(f"c{state.versions}", "a", "b", change))
    )
    state.settle()


def _steward_crash(state: Leases) -> None:
    state.left["crash"] -= 1
    state.disk = world.kept_copy(state.disk)
    state.desk = state._desk()
    state.desk.tick(state.desk.alarm)  # alone, it may stand at once
    state.settle()


def _steward_ring(state: Leases) -> None:
    state.own().tick(state.steward_clock())
    state.settle()


def _node_ring(state: Leases, name: str) -> None:
    agency, k = state.own_node(name), int(name[1:])
    if agency.dial is not None:
        agency.dial, agency.hang_up = None, False
        agency.up(state.clock(k), "S")
    else:
        agency.tick(state.clock(k))
    state.said(name)


# From the smallest on. What each of the last ones costs stands in docs/results/fleet.md.
SCOPES: tuple[Scope | LeaseScope, ...] = (
    Scope(rings=1, changes=1, crashes=1),
    LeaseScope(steps=2, changes=0, crashes=1),
    Scope(rings=2, changes=0, crashes=0),
    Scope(rings=1, changes=1, crashes=1, slow_disks=True),
    LeaseScope(steps=1, changes=1, crashes=0),
    LeaseScope(steps=3, changes=0, crashes=0),
    Scope(rings=2, changes=0, crashes=1),
    Scope(rings=1, changes=1, crashes=1, cuts=1, slow_disks=True),
    Scope(rings=2, changes=0, crashes=0, slow_disks=True),
    LeaseScope(steps=1, changes=2, crashes=0),
    LeaseScope(steps=2, changes=1, crashes=0),
    LeaseScope(steps=1, changes=1, crashes=1),
    Scope(rings=2, changes=1, crashes=0),
)


def begun(scope: Scope | LeaseScope) -> State:
    """The first state of that scope."""
    return Leases(scope) if isinstance(scope, LeaseScope) else Consensus(scope)
