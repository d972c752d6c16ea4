"""One replica group's part of a process: consensus, state machine, and who waits for what."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

import msgspec
from twisted.internet.defer import Deferred

from bitternpath.replication.bandwidth import TransferBudget
from bitternpath.replication.consensus import Out, Raft
from bitternpath.replication.interfaces import GroupListener, NotOwnerError, OutcomeUnknownError, StateMachine
from bitternpath.replication.messages import AppendEntriesResponse, Message, RequestVote
from bitternpath.replication.records import (
    Entry,
    EntryKind,
    MemberRole,
    Members,
    PersistentState,
    RaftTiming,
    StorageWrite,
)

COMPACTION_BYTES = 8 << 20  # of entries applied since the last snapshot
HOST_COMPACTION_BYTES = 32 << 20  # likewise, of all groups together: entries are also kept in memory
DISK_PARTS = 8  # entries of all groups between snapshots take one part of a disk, or twice that (`GROWTH`)
COMPACTION_ENTRIES = 20_000  # likewise
KEPT_ENTRIES = 256  # left before a snapshot, for followers that are a little behind
COMPACTION_SPREAD = 0.25  # the bounds grow by up to this share, so that replicas don't compact together
ENTRY_OVERHEAD_BYTES = 64  # of an entry besides its data, roughly
GROWTH = 2  # entries between snapshots may exceed their bound by this where the state is large
CAUGHT_UP_ENTRIES = 64  # a learner that lacks no more than these is close to the leader


@dataclass(frozen=True, slots=True)
class CompactionBounds:
    """When entries are replaced by a snapshot. `host_size` is shared by all groups of a process."""

    size: int = COMPACTION_BYTES
    host_size: int = HOST_COMPACTION_BYTES
    entries: int = COMPACTION_ENTRIES
    kept: int = KEPT_ENTRIES


def bounds_for_disk(size: int) -> CompactionBounds:
    """Bounds for a disk of that many bytes, which also holds the entries: twice over in a checkpoint, and
    beside each group's old and new snapshot. 0: of no known size."""
    host_size = min(HOST_COMPACTION_BYTES, size // DISK_PARTS) if size else HOST_COMPACTION_BYTES
    return CompactionBounds(size=min(COMPACTION_BYTES, host_size), host_size=host_size)


@dataclass(slots=True)
class _Proposal:
    command: bytes
    result: Deferred[object]


@dataclass(slots=True)
class _Barrier:
    """`heartbeat_round`: the one that a majority must answer."""

    result: Deferred[None]
    heartbeat_round: int = 0


@dataclass(slots=True)
class Effects:
    """What a flush of a group gives the host to do, in this order."""

    writes: list[StorageWrite] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)


class ReplicaGroup:
    """A member of one group. Time is an argument; the host does the writes and sends the messages."""

    def __init__(
        self,
        member_id: str,
        kept: PersistentState,
        machine: StateMachine,
        listener: GroupListener,
        random: Random,
        now: float,
        timing: RaftTiming,
        bounds: CompactionBounds,
        budget: TransferBudget | None = None,
    ) -> None:
        self.raft = Raft(member_id, kept, random, now, timing, budget)
        self._machine, self._listener, self._bounds = machine, listener, bounds
        self._times = timing
        self._proposals: list[_Proposal] = []
        self._outstanding: deque[tuple[int, _Proposal]] = deque()  # by index, of this ownership
        self._new_barriers: list[_Barrier] = []
        self._barriers: deque[_Barrier] = deque()
        self._applied = kept.snapshot.index
        self._size = 0  # bytes of entries applied since the last snapshot
        self._snapshot_size = len(kept.snapshot.data)
        self._random = random
        self._stretch = 1.0 + random.random() * COMPACTION_SPREAD
        self.size_bound = bounds.size  # the host lowers it where it has many groups
        self.owned_epoch = 0  # 0: not the owner
        self.tombstone_generation: int | None = None  # generation at which an earlier state here was given up
        self._members_seen: tuple[int, int, bool, tuple[str, ...]] = (0, 0, False, ())
        if kept.snapshot.index:
            machine.restore(kept.snapshot.data)

    # ---- inputs

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Take a consensus message. Whoever may not vote gives nobody an answer on that."""
        if isinstance(message, RequestVote) and not self._may_vote():
            return
        self.raft.receive(now, sender, message)

    def _may_vote(self) -> bool:
        """Not while it knows of no members. Nor, where the state that it voted with before was given up,
        until its log holds members that name it again: an older candidate may take it for what it was."""
        members = self.raft.members
        if self.tombstone_generation is None:
            return bool(members.voters)
        return members.generation > self.tombstone_generation and self.raft.member_id in members.voters

    def propose(self, command: bytes) -> Deferred[object]:
        """Queue a command for the next flush."""
        proposal = _Proposal(command, Deferred())
        self._proposals.append(proposal)
        return proposal.result

    def read_barrier(self) -> Deferred[None]:
        """Queue a read index for the next flush."""
        barrier = _Barrier(Deferred())
        self._new_barriers.append(barrier)
        return barrier.result

    def change_members(self, now: float, members: Members) -> bool:
        """Propose other members; False where that can't be now. One voter more or fewer at a time."""
        if not self._is_safe_change(now, members):
            return False
        return self.raft.propose(now, EntryKind.MEMBERS, msgspec.msgpack.encode(members)) is not None

    def _is_safe_change(self, now: float, members: Members) -> bool:
        voters, old = set(members.voters), set(self.raft.members.voters)
        if not voters or len(voters | set(members.learners)) != len(members.all):
            return False
        if len(voters ^ old) > 1 or members.generation < self.raft.members.generation:
            return False
        return all(self.caught_up(name) for name in voters - old)

    def transfer_leadership(self, now: float, to: str = "") -> bool:
        """Pass leadership to a voter that was heard lately: `to`, or the one that has most of the log."""
        peers = [
            (peer.match_index, name)
            for name, peer in self.raft.peers.items()
            if name in self.raft.members.voters and now - peer.last_contact < self._times.election_timeout
        ]
        wanted = [each for each in peers if to in ("", each[1])]
        return bool(wanted) and self.raft.transfer_leadership(now, max(wanted)[1])

    # ---- views

    @property
    def is_owner(self) -> bool:
        """Whether this replica leads, and has applied all that was committed before."""
        return self.raft.ready and self.raft.term == self.owned_epoch

    def caught_up(self, member: str) -> bool:
        """Whether a member lacks little of what is committed; only a leader knows. Little is a few entries,
        or what was committed in the last heartbeats: under traffic some are always on the way (T 4.2.1)."""
        peer = self.raft.peers.get(member) if self.raft.ready else None
        if peer is None or not peer.match_index or peer.transfer is not None:
            return False
        least = min(self.raft.commit_index - CAUGHT_UP_ENTRIES, self.raft.committed_before)
        return peer.match_index >= max(least, self.raft.term_start_index)

    def unresponsive_for(self, now: float, member: str) -> float:
        """Seconds since a member was heard; infinite where this replica doesn't lead or doesn't know it."""
        peer = self.raft.peers.get(member)
        return now - peer.last_contact if peer is not None else float("inf")

    def hears_quorum(self, now: float) -> bool:
        """Whether this owner has heard a majority so lately that, as far as it knows, nobody else leads."""
        voters = self.raft.members.voters
        heard = sum(
            name == self.raft.member_id or self.unresponsive_for(now, name) < self._times.election_timeout
            for name in voters
        )
        return self.is_owner and 2 * heard > len(voters)

    def members_progressed(self) -> bool:
        """Whether, since the last call, this replica became owner, or as such saw a change of members
        committed or a learner catch up."""
        seen: tuple[int, int, bool, tuple[str, ...]] = (0, 0, False, ())
        if self.is_owner:
            learners = tuple(filter(self.caught_up, self.raft.members.learners))
            seen = (self.owned_epoch, self.raft.log.members_index, self.raft.may_change_members, learners)
        before, self._members_seen = self._members_seen, seen
        return seen != before and self.is_owner

    # ---- effects

    def flush(self, now: float) -> Effects:
        """All that follows from the inputs so far. Calls the state machine and the listener."""
        self._put_proposals(now)
        self._put_barriers()
        effects = Effects()
        while True:
            out = self.raft.take_effects(now)
            effects.writes += out.writes
            effects.messages += out.messages
            self._apply(out)
            self._update_ownership()
            self._answer_barriers()
            if not self._compact():
                break
        effects.messages = without_repeated_answers(effects.messages)
        return effects

    def _put_proposals(self, now: float) -> None:
        proposals, self._proposals = self._proposals, []
        if not proposals:
            return
        first = None
        if self.is_owner:
            first = self.raft.propose_many(now, [proposal.command for proposal in proposals])
        if first is None:
            for proposal in proposals:
                proposal.result.errback(NotOwnerError())
        else:
            self._outstanding.extend(enumerate(proposals, first))

    def _put_barriers(self) -> None:
        barriers, self._new_barriers = self._new_barriers, []
        for barrier in barriers:
            if self.is_owner:
                barrier.heartbeat_round = self.raft.request_heartbeat_round()
                self._barriers.append(barrier)
            else:
                barrier.result.errback(NotOwnerError())

    def _apply(self, out: Out) -> None:
        if out.restore is not None:
            self._machine.restore(out.restore.data)
            self._applied, self._size = out.restore.index, 0
            self._snapshot_size = len(out.restore.data)
        for entry in out.committed:
            self._applied = entry.index
            self._size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if entry.kind == EntryKind.COMMAND:
                self._apply_command(entry)

    def _apply_command(self, entry: Entry) -> None:
        result = self._machine.apply(entry.index, entry.data)
        if self._outstanding and self._outstanding[0][0] == entry.index and entry.term == self.owned_epoch:
            self._outstanding.popleft()[1].result.callback(result)
        self._listener.applied(entry.index, entry.data, result)

    def _update_ownership(self) -> None:
        owned = self.raft.term if self.raft.ready else 0
        if owned == self.owned_epoch:
            return
        if self.owned_epoch:
            self._lose_ownership()
        self.owned_epoch = owned
        if owned:
            self._listener.became_owner(owned)

    def _lose_ownership(self) -> None:
        self.owned_epoch = 0
        outstanding, self._outstanding = self._outstanding, deque()
        barriers, self._barriers = self._barriers, deque()
        for _, proposal in outstanding:
            proposal.result.errback(OutcomeUnknownError())
        for barrier in barriers:
            barrier.result.errback(NotOwnerError())
        self._listener.lost_ownership()

    def _answer_barriers(self) -> None:
        while self._barriers and self._barriers[0].heartbeat_round <= self.raft.confirmed_round:
            self._barriers.popleft().result.callback(None)

    def _compact(self) -> bool:
        """Replace old entries by a snapshot where there are many; whether it did."""
        entries = self._applied - self.raft.snapshot.index
        size = self._entries_bound * self._stretch
        if entries <= self._bounds.entries * self._stretch and self._size <= size:
            return False
        data = self._machine.snapshot()
        self.raft.compact(self._applied, data, self._kept_entries())
        self._size, self._snapshot_size = 0, len(data)
        self._stretch = 1.0 + self._random.random() * COMPACTION_SPREAD
        return True

    @property
    def _entries_bound(self) -> int:
        """Bytes of entries between snapshots. It grows with the state, so that writing snapshots costs little
        more than writing entries, up to a bound: the disk holds them all until there is a checkpoint."""
        return max(self.size_bound, min(self._snapshot_size, GROWTH * self.size_bound))

    def _kept_entries(self) -> int:
        """How many entries stay: few, and not more than a quarter of the bound on bytes; or as many as peers
        still need that answer, within the bound or the state's size: a transfer ends if entries are written
        no faster than snapshots are sent."""
        few = self._last_entries(self._bounds.kept, self.size_bound // 4)
        if self.raft.role is not MemberRole.LEADER:
            return few
        needed = self._applied + 1 - self.raft.needed_index
        return max(few, self._last_entries(needed, max(self.size_bound, self._snapshot_size)))

    def _last_entries(self, most: int, most_bytes: int) -> int:
        """How many of the applied entries, from the last one back, stay within both bounds."""
        log, kept, size = self.raft.log.entries, 0, 0
        applied = self._applied - self.raft.log.before[0]  # number of applied ones in the log
        while kept < min(most, applied):
            size += len(log[applied - kept - 1].data)
            if size > most_bytes:
                break
            kept += 1
        return kept

    def close(self) -> None:
        """Whoever waits gets an error; nothing comes of later inputs."""
        proposals, self._proposals = self._proposals, []
        barriers, self._new_barriers = self._new_barriers, []
        for proposal in proposals:
            proposal.result.errback(NotOwnerError())
        for barrier in barriers:
            barrier.result.errback(NotOwnerError())
        if self.owned_epoch:
            self._lose_ownership()


def without_repeated_answers(messages: Sequence[tuple[str, Message]]) -> list[tuple[str, Message]]:
    """Of consecutive positive answers to one leader in one term only the last: it covers those before it."""
    kept: list[tuple[str, Message]] = []
    for receiver, message in messages:
        if kept and isinstance(message, AppendEntriesResponse) and message.ok:
            before_receiver, before = kept[-1]
            if (
                before_receiver == receiver
                and isinstance(before, AppendEntriesResponse)
                and before.ok
                and before.term == message.term
            ):
                index, last_round = (
                    max(before.index, message.index),
                    max(before.heartbeat_round, message.heartbeat_round),
                )
                kept[-1] = (receiver, AppendEntriesResponse(message.term, True, index, last_round))
                continue
        kept.append((receiver, message))
    return kept
