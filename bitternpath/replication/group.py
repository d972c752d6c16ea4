"""A member of one replica group in a process: consensus, state machine, and pending requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec
from twisted.internet.defer import Deferred

from bitternpath.replication import peer_status
from bitternpath.replication.compaction import CompactionBounds, CompactionSchedule
from bitternpath.replication.consensus import Raft, RaftEffects
from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.interfaces import GroupListener, StateMachine
from bitternpath.replication.member import RaftOptions
from bitternpath.replication.messages import Message, RequestVote
from bitternpath.replication.pending_requests import PendingProposals, PendingReads
from bitternpath.replication.records import (
    Entry,
    EntryKind,
    MemberRole,
    Members,
    PersistentState,
    RoleChangeCause,
    StorageWrite,
)
from bitternpath.replication.response_coalescing import coalesce_append_responses

_COMMAND_KIND = int(EntryKind.COMMAND)  # looking up an enum member costs time for each entry


@dataclass(frozen=True, slots=True)
class MemberIdentity:
    """The member id of a replica, and the persistent state that it starts with.

    `tombstone_generation` is the membership generation at which an earlier state of the group was removed
    from this disk; None if that never happened.
    """

    member_id: str
    state: PersistentState
    tombstone_generation: int | None = None


@dataclass(frozen=True, slots=True)
class GroupApplication:
    """The application that a group replicates: its state machine and the listener for the group's events."""

    machine: StateMachine
    listener: GroupListener


@dataclass(frozen=True, slots=True)
class GroupOptions:
    """Options of a group."""

    raft: RaftOptions = field(default_factory=RaftOptions)
    bounds: CompactionBounds = field(default_factory=CompactionBounds)


@dataclass(slots=True)
class GroupEffects:
    """Actions for the host after a flush of a group: the writes first, then the messages."""

    writes: list[StorageWrite] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)


class RoleTransition(NamedTuple):
    """A change of a member's role since the previous flush, and its cause."""

    old: MemberRole
    new: MemberRole
    cause: RoleChangeCause


class MembershipProgress(NamedTuple):
    """The owner's view of its group's membership. Each change of it calls for another reconciliation."""

    owned_epoch: int = 0
    members_index: int = 0
    may_change_members: bool = False
    caught_up_learners: tuple[str, ...] = ()


class ReplicaGroup:
    """A member of one group. The host passes in the time, performs the writes and sends the messages."""

    def __init__(
        self,
        identity: MemberIdentity,
        application: GroupApplication,
        random: Random,
        now: float,
        options: GroupOptions,
    ) -> None:
        """Start from the persistent state. `random` draws election timeouts and compaction jitter."""
        state = identity.state
        self.raft = Raft(identity.member_id, state, random, now, options.raft)
        self.compaction = CompactionSchedule(options.bounds, random, len(state.snapshot.data))
        self.owned_epoch = 0  # term in which this replica owns the group; 0 if it doesn't
        self._machine = application.machine
        self._listener = application.listener
        self._tombstone_generation = identity.tombstone_generation
        self._proposals = PendingProposals()
        self._reads = PendingReads()
        # Last index applied to the state machine; `raft.last_applied` is the last one returned by consensus.
        self._machine_applied_index = state.snapshot.index
        self._last_role = self.raft.role
        self._last_membership_progress = MembershipProgress()
        if state.snapshot.index:
            self._machine.restore(state.snapshot.data)

    # ---- inputs

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a consensus message. A member that may not vote doesn't answer vote requests."""
        if isinstance(message, RequestVote) and not self._may_vote():
            return
        self.raft.receive(now, sender, message)

    def _may_vote(self) -> bool:
        """Whether this member may vote: it must know the membership.

        If its earlier state was removed from this disk, it may only vote once its log contains a later
        membership that names it. Otherwise it could vote for an outdated candidate that still counts it as
        the voter that it was before.
        """
        members = self.raft.members
        if self._tombstone_generation is None:
            return bool(members.voters)
        return members.generation > self._tombstone_generation and self.raft.member_id in members.voters

    def propose(self, command: bytes) -> Deferred[object]:
        """Queue a command for the next flush; see `ReplicaHost.propose`."""
        return self._proposals.add(command)

    def read_barrier(self) -> Deferred[None]:
        """Queue a read index for the next flush; see `ReplicaHost.read_barrier`."""
        return self._reads.add()

    def change_members(self, now: float, members: Members) -> bool:
        """Propose a membership that adds or removes at most one voter. Returns False if it isn't possible."""
        if not self._is_safe_change(members):
            return False
        return self.raft.propose(now, EntryKind.MEMBERS, msgspec.msgpack.encode(members)) is not None

    def _is_safe_change(self, members: Members) -> bool:
        voters = set(members.voters)
        old_voters = set(self.raft.members.voters)
        if not voters or len(voters | set(members.learners)) != len(members.all):
            return False
        if len(voters ^ old_voters) > 1 or members.generation < self.raft.members.generation:
            return False
        return all(self.caught_up(name) for name in voters - old_voters)

    def transfer_leadership(self, now: float, to: str = "") -> bool:
        """Start to transfer leadership to a voter that responded recently.

        The target is `to`, or if empty the voter with the most complete log. Returns whether the transfer
        started.
        """
        target = peer_status.transfer_candidate(self.raft, now, to)
        return target is not None and self.raft.transfer_leadership(now, target)

    # ---- views

    @property
    def is_owner(self) -> bool:
        """Whether this replica leads and has applied all entries committed in earlier terms."""
        return self.raft.has_committed_in_term and self.raft.term == self.owned_epoch

    def caught_up(self, member: str) -> bool:
        """Whether a member has almost all committed entries; False if this replica doesn't lead."""
        return peer_status.is_caught_up(self.raft, member)

    def unresponsive_for(self, now: float, member: str) -> float:
        """Seconds since a member last responded; infinite if it is unknown or this replica doesn't lead."""
        return peer_status.unresponsive_for(self.raft, now, member)

    def has_active_quorum(self, now: float) -> bool:
        """Whether this replica owns the group and a majority responded within an election timeout."""
        return self.is_owner and peer_status.has_active_quorum(self.raft, now)

    def membership_progressed(self) -> bool:
        """Whether the membership has to be reconciled again.

        This is the case if, since the last call, this replica became the owner, or if it is the owner and a
        membership was committed or a learner caught up.
        """
        progress = MembershipProgress()
        if self.is_owner:
            progress = MembershipProgress(
                self.owned_epoch,
                self.raft.log.members_index,
                self.raft.may_change_members,
                tuple(filter(self.caught_up, self.raft.members.learners)),
            )
        previous = self._last_membership_progress
        self._last_membership_progress = progress
        return progress != previous and self.is_owner

    def role_transition(self) -> RoleTransition | None:
        """The change of this member's role since the last call; None if there was none."""
        old = self._last_role
        new = self.raft.role
        if old is new:
            return None
        self._last_role = new
        return RoleTransition(old, new, self.raft.role_cause)

    # ---- effects

    def flush(self, now: float) -> GroupEffects:
        """Process all inputs so far; calls the state machine and the listener."""
        self._propose_queued(now)
        self._start_reads()
        effects = GroupEffects()
        while True:
            raft_effects = self.raft.take_effects(now)
            effects.writes += raft_effects.writes
            effects.messages += raft_effects.messages
            self._apply(raft_effects)
            self._update_ownership()
            self._reads.confirmed(self.raft.confirmed_round)
            if not self._compact():
                break
        effects.messages = coalesce_append_responses(effects.messages)
        return effects

    def _propose_queued(self, now: float) -> None:
        proposals = self._proposals.take_queued()
        if not proposals:
            return
        first = None
        if self.is_owner:
            first = self.raft.propose_many(now, [proposal.command for proposal in proposals])
        if first is not None:
            self._proposals.proposed(first, proposals)
            return
        for proposal in proposals:
            proposal.result.errback(NotOwnerError())

    def _start_reads(self) -> None:
        if self.is_owner:
            self._reads.start(self.raft.request_heartbeat_round)
        else:
            self._reads.fail_queued()

    def _apply(self, effects: RaftEffects) -> None:
        if effects.restore is not None:
            data = effects.restore.data
            self._machine.restore(data)
            self._machine_applied_index = effects.restore.index
            self.compaction.restored(len(data))
        applied_bytes = 0
        for entry in effects.committed:
            self._machine_applied_index = entry.index
            applied_bytes += len(entry.data)
            if entry.kind == _COMMAND_KIND:
                self._apply_command(entry)
        self.compaction.entries_applied(len(effects.committed), applied_bytes)

    def _apply_command(self, entry: Entry) -> None:
        result = self._machine.apply(entry.index, entry.data)
        if entry.term == self.owned_epoch:
            self._proposals.applied(entry.index, result)
        self._listener.applied(entry.index, entry.data, result)

    def _update_ownership(self) -> None:
        owned = self.raft.term if self.raft.has_committed_in_term else 0
        if owned == self.owned_epoch:
            return
        if self.owned_epoch:
            self._lose_ownership(self.raft.role_cause)
        self.owned_epoch = owned
        if owned:
            self._listener.became_owner(owned)

    def _lose_ownership(self, cause: RoleChangeCause) -> None:
        self.owned_epoch = 0
        self._proposals.fail_in_flight()
        self._reads.fail_started()
        self._listener.lost_ownership(cause)

    def _compact(self) -> bool:
        """Replace applied entries by a snapshot if that is due. Returns whether it did."""
        if not self.compaction.is_due(self._machine_applied_index - self.raft.snapshot.index):
            return False
        data = self._machine.snapshot()
        needed_index = self.raft.needed_index if self.raft.role is MemberRole.LEADER else None
        keep = self.compaction.entries_to_keep(self.raft.log, self._machine_applied_index, needed_index)
        self.raft.compact(self._machine_applied_index, data, keep)
        self.compaction.compacted(len(data))
        return True

    def close(self) -> None:
        """Fail all pending requests. Later inputs have no effect."""
        for proposal in self._proposals.take_queued():
            proposal.result.errback(NotOwnerError())
        self._reads.fail_queued()
        if self.owned_epoch:
            self._lose_ownership(RoleChangeCause.CLOSED)
