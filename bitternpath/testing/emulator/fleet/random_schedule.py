"""Stewards under a scheduler that does its worst: any message may come next, again, or never; any timer may
ring; any disk may be done or not; any steward may end and come back with what was synced.

No time passes here but where a timer rings, so that a walk of some hundred steps meets what a day of virtual
time meets once. Besides the rules of the record it holds two proofs against what happened: no two leaders of
a term, and no lease granted to a request that came after a later leader had been chosen.
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
from bitternpath.testing.emulator.fleet.checker import Broken, FleetChecker

JUMP = 10.0  # s that pass for a steward whose timer rings
IN_FLIGHT = 40  # messages at once; the oldest are lost
# How often each thing happens, of all steps.
WEIGHTS = {
    "deliver": 70, "lose": 3, "twice": 4, "disk": 16, "ring": 4, "crash": 5, "change": 6, "renew": 6,
}  # fmt: skip


class Flying(Struct):
    sender: str
    to: str
    said: m.Consensus | m.ForwardedRequest | m.ForwardedReply


class One:
    """A steward in the scheduler's hands."""

    def __init__(self, name: str, kept: PersistentState) -> None:
        self.name, self.disk, self.now = name, kept, 0.0
        self.writing: list[StorageWrite] = []
        self.lives = 0
        self.replica: RecordReplica


class Walk:
    """One walk; `steps` taken so far are in `done`."""

    def __init__(self, seed: int, stewards: int = 3) -> None:
        self.random = Random(seed)
        self.checker = FleetChecker()
        self.flying: list[Flying] = []
        self.step = 0
        self.elected: dict[int, int] = {}  # term: the step in which its leader was chosen
        self.asked: dict[float, int] = {}  # a request's `sent`: the step in which it came to its steward
        self.sequence = 0
        names = [f"S{k}" for k in range(stewards)]
        members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members(tuple(names))))
        found = Entry(2, 1, EntryKind.COMMAND, p.encode_item(p.Bootstrap(p.LeaseTerms(), "f")))
        self.all = {name: One(name, PersistentState(term=1, entries=[members, found])) for name in names}
        for one in self.all.values():
            self._start(one)

    def _start(self, one: One) -> None:
        one.lives += 1
        one.writing = []
        kept = world.kept_copy(one.disk)
        random = Random(self.random.random())
        one.replica = RecordReplica(one.name, kept, random, one.now, lambda: 0.0, RaftTiming())
        self._settle(one)

    def run(self, steps: int) -> FleetChecker:
        kinds, weights = list(WEIGHTS), list(WEIGHTS.values())
        for _ in range(steps):
            self.step += 1
            getattr(self, f"_{self.random.choices(kinds, weights)[0]}")()
            if self.checker.broken:
                break
        return self.checker

    # ---- what may happen

    def _any(self) -> One:
        return self.random.choice(list(self.all.values()))

    def _take(self) -> Flying | None:
        return self.flying.pop(self.random.randrange(len(self.flying))) if self.flying else None

    def _deliver(self) -> None:
        flying = self._take()
        if flying is not None:
            one = self.all[flying.to]
            one.replica.receive(one.now, flying.sender, flying.said)
            self._settle(one)

    def _lose(self) -> None:
        self._take()

    def _twice(self) -> None:
        if self.flying:
            self.flying.append(self.random.choice(self.flying))

    def _disk(self) -> None:
        one = self._any()
        if one.writing:
            write = one.writing.pop(0)
            world.keep(one.disk, write)
            one.replica.write_completed(one.now, write.number)
            self._settle(one)

    def _ring(self) -> None:
        one = self._any()
        if one.replica.raft.role is MemberRole.LEADER and self.random.random() < 0.8:
            one.now = one.replica.next_timeout_at  # a heartbeat
        else:
            one.now += JUMP
        one.replica.tick(one.now)
        self._settle(one)

    def _crash(self) -> None:
        self._start(self._any())

    def _change(self) -> None:
        one = self._any()
        self.sequence += 1
        change = p.SetClass("lookup", {"aim": 1.0 + self.sequence})
        said = m.CommandRequest(self.sequence, m.Propose(f"c{self.sequence}", "a", "b", change))
        one.replica.receive_request(one.now, 1, said)
        self._settle(one)

    def _renew(self) -> None:
        one = self._any()
        self.sequence += 1
        node = self.random.choice("xy")
        record = one.replica.record
        holder = record.holders.get(f"{node}#b")
        self.asked[float(self.sequence)] = self.step
        said = m.RenewLease(
            node, "b", "site", (1,), "serve", float(self.sequence), holder.fencing_token if holder else 0,
            record.released.version, record.latest.version, record.latest.digest,
        )  # fmt: skip
        one.replica.receive_request(one.now, 2, said)
        self._settle(one)

    # ---- what follows

    def _settle(self, one: One) -> None:
        replica, step = one.replica, float(self.step)
        effects = replica.take_effects(one.now)
        for index, term, data in effects.committed:
            self.checker.applied(step, one.name, index, term, data)
        for index, item in effects.items:
            self.checker.agreed(step, replica.record, index, item)
        if replica.raft.role is MemberRole.LEADER:
            self.checker.leads(step, one.name, replica.raft.term)
            self.elected.setdefault(replica.raft.term, self.step)
        one.writing += effects.writes
        for to, said in effects.messages:
            if isinstance(said, m.ForwardedReply) and isinstance(said.reply, m.Lease):
                self._granted(one, said.reply)
            self.flying.append(Flying(one.name, to, said))
        for _, answer in effects.replies:
            if isinstance(answer, m.Lease) and replica.raft.role is MemberRole.LEADER:
                self._granted(one, answer)
        del self.flying[:-IN_FLIGHT]

    def _granted(self, one: One, lease: m.Lease) -> None:
        """A later leader takes all leases for granted by its election; was this one asked for before?"""
        came, term = self.asked[lease.sent], one.replica.raft.term
        for later, chosen in self.elected.items():
            if later > term and chosen < came:
                self.checker.broken.append(
                    Broken(
                        "granted", float(self.step),
                        f"{one.name}, leader of term {term}, renews what was asked for in step {came}; "
                        f"term {later} had its leader from step {chosen} on",
                    )
                )  # fmt: skip


def walk(seed: int, steps: int = 1500, stewards: int = 3) -> FleetChecker:
    """One walk from that seed."""
    return Walk(seed, stewards).run(steps)
