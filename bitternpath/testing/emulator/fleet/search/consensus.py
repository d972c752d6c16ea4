"""Search states of the consensus of three servers, of which two stand for election."""

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
from bitternpath.testing.emulator.fleet.search.states import Channels, FixedRandom, copy_process, lose_channel


class Scope(Struct, frozen=True):
    """How often each kind of event may occur."""

    rings: int = 2  # election and heartbeat timeouts of the servers that stand for election
    changes: int = 1
    crashes: int = 1
    cuts: int = 0
    slow_disks: bool = False  # otherwise each write completes at once
    shuffled: bool = False


class Member:
    """A server's consensus state, its disk, and its pending writes."""

    def __init__(self, raft: Raft, disk: PersistentState, pending_writes: list[StorageWrite]) -> None:
        self.raft, self.disk, self.pending_writes = raft, disk, pending_writes

    def copy(self) -> Member:
        return Member(copy_process(self.raft), world.copy_state(self.disk), self.pending_writes[:])

    def key(self) -> Hashable:
        raft, disk, completed = self.raft, self.disk, self.raft.log.last_write_completed
        contact_is_recent = raft.now - raft.last_contact < raft.timing.election_timeout
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
            raft.confirmed_round, raft.term_start_index, contact_is_recent, peers,
            raft.heartbeat_round_requested, raft.log.truncate_from,
            tuple((n - completed, upto) for n, upto in raft.log.unfinished_writes),
            tuple((n - completed, to, message) for n, to, message in raft.messages_awaiting_write),
            disk.term, disk.vote, tuple(disk.entries),
            tuple((w.term, w.vote, w.truncate_from, w.entries) for w in self.pending_writes),
        )  # fmt: skip


class Consensus:
    """Three members; only the first two stand for election."""

    NAMES = ("a", "b", "c")

    def __init__(self, scope: Scope) -> None:
        members = Entry(1, 1, EntryKind.MEMBERS, msgspec.msgpack.encode(Members(self.NAMES)))
        self.scope = scope
        self.remaining = {"ring": scope.rings, "change": scope.changes, "crash": scope.crashes}
        self.remaining["cut"] = scope.cuts
        self.members: dict[str, Member] = {}
        self.channels = Channels()
        self.leaders: dict[int, str] = {}  # term: leader
        self.committed: dict[int, Entry] = {}
        self.violation = ""
        for name in self.NAMES:
            disk = PersistentState(term=1, entries=[members])
            self.members[name] = self._start_member(name, disk, 0.0)

    @staticmethod
    def _start_member(name: str, disk: PersistentState, now: float) -> Member:
        fixed_random: Any = FixedRandom()
        return Member(Raft(name, world.copy_state(disk), fixed_random, now), disk, [])

    def copy(self) -> Consensus:
        clone = copy(self)
        clone.remaining, clone.leaders, clone.committed = (
            dict(self.remaining),
            dict(self.leaders),
            dict(self.committed),
        )
        clone.members = {name: member.copy() for name, member in self.members.items()}
        return clone

    def key(self) -> Hashable:
        return (
            tuple(self.remaining.values()),
            tuple(member.key() for member in self.members.values()),
            self.channels.key(self.scope.shuffled),
            tuple(self.leaders.items()),
            tuple(self.committed),
        )

    def moves(self) -> Iterator[Move]:
        for sender, to, message, next_channels in self.channels.deliverable(self.scope.shuffled):
            yield (
                f"{sender} to {to}: {message}",
                partial(_deliver, sender=sender, to=to, message=message, next_channels=next_channels),
            )
        if self.remaining["cut"]:
            for sender, to, next_channels in self.channels.losses():
                yield f"{sender} to {to}: messages lost", partial(lose_channel, next_channels=next_channels)
        for name, member in self.members.items():
            if member.pending_writes:
                yield f"{name}: write completed", partial(_stored, name=name)
            if self.remaining["ring"] and name != self.NAMES[-1]:
                yield f"{name}: timer fires", partial(_timer, name=name)
            if self.remaining["crash"] and member.raft.term > 1:
                yield f"{name}: crashes and restarts", partial(_crash, name=name)
            if self.remaining["change"] and member.raft.role is MemberRole.LEADER:
                yield f"{name}: change proposed", partial(_change, name=name)

    def apply_effects(self, name: str) -> None:
        """Carries out a member's effects and checks the rules."""
        member = self.members[name]
        raft = member.raft
        effects = raft.take_effects(raft.now)
        member.pending_writes += effects.writes
        for to, message in effects.messages:
            self.channels = self.channels.with_message(name, to, message)
        if raft.role is MemberRole.LEADER and self.leaders.setdefault(raft.term, name) != name:
            self.violation = f"{name} and {self.leaders[raft.term]} lead in term {raft.term}"
        for entry in effects.committed:
            if self.committed.setdefault(entry.index, entry) != entry:
                self.violation = (
                    f"entry {entry.index} is {self.committed[entry.index]}, and {entry} for {name}"
                )
        if member.pending_writes and not self.scope.slow_disks:
            _stored(self, name)


def _deliver(state: Consensus, sender: str, to: str, message: Any, next_channels: Channels) -> None:
    state.channels = next_channels
    raft = state.members[to].raft
    raft.receive(raft.now, sender, message)
    state.apply_effects(to)


def _stored(state: Consensus, name: str) -> None:
    member = state.members[name]
    write = member.pending_writes.pop(0)
    world.apply_write(member.disk, write)
    member.raft.write_completed(member.raft.now, write.number)
    state.apply_effects(name)


def _timer(state: Consensus, name: str) -> None:
    state.remaining["ring"] -= 1
    raft = state.members[name].raft
    raft.tick(raft.next_timeout_at)
    state.apply_effects(name)


def _crash(state: Consensus, name: str) -> None:
    state.remaining["crash"] -= 1
    member = state.members[name]
    state.members[name] = state._start_member(name, member.disk, member.raft.now)
    state.apply_effects(name)


def _change(state: Consensus, name: str) -> None:
    state.remaining["change"] -= 1
    raft = state.members[name].raft
    raft.propose(raft.now, EntryKind.COMMAND, bytes([state.remaining["change"]]))
    state.apply_effects(name)
