"""Three stewards' consensus, of which two stand for election; the record is a log of entries."""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from copy import copy
from functools import partial
from typing import Any

import msgspec
from msgspec import Struct

from bitternpath.replication.consensus import Raft
from bitternpath.replication.records import (
    Entry,
    EntryKind,
    MemberRole,
    Members,
    PersistentState,
    StorageWrite,
)
from bitternpath.testing.emulator.fleet import world
from bitternpath.testing.emulator.fleet.search.explore import Move
from bitternpath.testing.emulator.fleet.search.states import Channels, FixedRandom, copied, cut


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

    def __init__(self, raft: Raft, disk: PersistentState, writing: list[StorageWrite]) -> None:
        self.raft, self.disk, self.writing = raft, disk, writing

    def copy(self) -> Member:
        return Member(copied(self.raft), world.kept_copy(self.disk), self.writing[:])

    def key(self) -> Hashable:
        raft, disk, done = self.raft, self.disk, self.raft.log.last_write_completed
        age = raft.now - raft.last_contact < raft.timing.election_timeout
        peers = tuple(
            (
                name,
                peer.next_index,
                peer.match_index,
                peer.answered_round,
                peer.outgoing_snapshot.offset if peer.outgoing_snapshot is not None else None,
                raft.now - peer.last_contact < raft.timing.election_timeout,
            )
            for name, peer in raft.peers.items()
        )
        return (
            raft.term, raft.vote, raft.role.value, raft.leader, tuple(raft.log.entries), raft.commit_index,
            raft.last_applied, raft.log.stable_index, frozenset(raft.votes), raft.heartbeat_round,
            raft.confirmed_round, raft.term_start_index, age, peers,
            raft.heartbeat_round_requested, raft.log.truncate_from,
            tuple((n - done, upto) for n, upto in raft.log.unfinished_writes),
            tuple((n - done, to, said) for n, to, said in raft.messages_awaiting_write),
            disk.term, disk.vote, tuple(disk.entries),
            tuple((w.term, w.vote, w.truncate_from, w.entries) for w in self.writing),
        )  # fmt: skip


class Consensus:
    """Three members; the first two stand for election when their timers ring."""

    NAMES = ("a", "b", "c")

    def __init__(self, scope: Scope) -> None:
        members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members(self.NAMES)))
        self.scope = scope
        self.left = {"ring": scope.rings, "change": scope.changes, "crash": scope.crashes}
        self.left["cut"] = scope.cuts
        self.members: dict[str, Member] = {}
        self.channels = Channels()
        self.leaders: dict[int, str] = {}  # term: who led in it
        self.agreed: dict[int, Entry] = {}
        self.broken = ""
        for name in self.NAMES:
            disk = PersistentState(term=1, entries=[members])
            self.members[name] = self._started(name, disk, 0.0)

    @staticmethod
    def _started(name: str, disk: PersistentState, now: float) -> Member:
        fixed: Any = FixedRandom()
        return Member(Raft(name, world.kept_copy(disk), fixed, now), disk, [])

    def copy(self) -> Consensus:
        twin = copy(self)
        twin.left, twin.leaders, twin.agreed = dict(self.left), dict(self.leaders), dict(self.agreed)
        twin.members = {name: member.copy() for name, member in self.members.items()}
        return twin

    def key(self) -> Hashable:
        return (
            tuple(self.left.values()),
            tuple(member.key() for member in self.members.values()),
            self.channels.key(self.scope.shuffled),
            tuple(self.leaders.items()),
            tuple(self.agreed),
        )

    def moves(self) -> Iterator[Move]:
        for sender, to, said, rest in self.channels.deliverable(self.scope.shuffled):
            yield f"{sender} to {to}: {said}", partial(_deliver, sender=sender, to=to, said=said, rest=rest)
        if self.left["cut"]:
            for sender, to, rest in self.channels.cut():
                yield f"{sender} to {to}: cut", partial(cut, rest=rest)
        for name, member in self.members.items():
            if member.writing:
                yield f"{name}: on disk", partial(_stored, name=name)
            if self.left["ring"] and name != self.NAMES[-1]:
                yield f"{name}: its timer rings", partial(_ring, name=name)
            if self.left["crash"] and member.raft.term > 1:
                yield f"{name}: ends and comes back", partial(_crash, name=name)
            if self.left["change"] and member.raft.role is MemberRole.LEADER:
                yield f"{name}: a change", partial(_change, name=name)

    def settle(self, name: str) -> None:
        """What follows, held against the rules."""
        member = self.members[name]
        raft = member.raft
        out = raft.take_effects(raft.now)
        member.writing += out.writes
        for to, said in out.messages:
            self.channels = self.channels.with_message(name, to, said)
        if raft.role is MemberRole.LEADER and self.leaders.setdefault(raft.term, name) != name:
            self.broken = f"{name} and {self.leaders[raft.term]} lead in term {raft.term}"
        for entry in out.committed:
            if self.agreed.setdefault(entry.index, entry) != entry:
                self.broken = f"entry {entry.index} is {self.agreed[entry.index]}, and {entry} for {name}"
        if member.writing and not self.scope.slow_disks:
            _stored(self, name)


def _deliver(state: Consensus, sender: str, to: str, said: Any, rest: Channels) -> None:
    state.channels = rest
    raft = state.members[to].raft
    raft.receive(raft.now, sender, said)
    state.settle(to)


def _stored(state: Consensus, name: str) -> None:
    member = state.members[name]
    write = member.writing.pop(0)
    world.keep(member.disk, write)
    member.raft.write_completed(member.raft.now, write.number)
    state.settle(name)


def _ring(state: Consensus, name: str) -> None:
    state.left["ring"] -= 1
    raft = state.members[name].raft
    raft.tick(raft.next_timeout_at)
    state.settle(name)


def _crash(state: Consensus, name: str) -> None:
    state.left["crash"] -= 1
    member = state.members[name]
    state.members[name] = state._started(name, member.disk, member.raft.now)
    state.settle(name)


def _change(state: Consensus, name: str) -> None:
    state.left["change"] -= 1
    raft = state.members[name].raft
    raft.propose(raft.now, EntryKind.COMMAND, bytes([state.left["change"]]))
    state.settle(name)
