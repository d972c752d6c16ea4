"""Hosts many replica groups in one process, with one timer and one journal.

Inputs mark a group as dirty. Dirty groups are flushed once in the next reactor turn, so that the proposals of
a turn share messages and writes. A group that raises an exception is stopped and logged; other groups are not
affected.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import logbook
from twisted.internet.defer import Deferred, fail

from bitternpath.net.clock import Clock, Timer, cancel_if_active
from bitternpath.replication.bandwidth import SnapshotRateLimiter
from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.errors import GroupAlreadyOpenError, NotOwnerError
from bitternpath.replication.group import (
    GroupApplication,
    GroupEffects,
    GroupOptions,
    MemberIdentity,
    ReplicaGroup,
)
from bitternpath.replication.interfaces import (
    GroupJournal,
    GroupListener,
    MessageTransport,
    StateMachine,
)
from bitternpath.replication.member import RaftOptions
from bitternpath.replication.records import Members, PersistentState, RaftTiming, Snapshot
from bitternpath.replication.wire import decode_message, encode_message
from bitternpath.transport.errors import CodecError

log = logbook.Logger("replication")

SYSTEM_TIMING = RaftTiming(election_timeout=0.5, heartbeat_interval=0.2)
TIMER_GRID_SECONDS = 0.02  # group timers are rounded up to multiples of this, so that they fire together
MIN_TIMER_SECONDS = 0.001  # prevents busy looping when rounding sets a timer slightly too early


@dataclass(frozen=True, slots=True)
class HostOptions:
    """Options of a host. `random` draws election timeouts and compaction jitter."""

    random: Random
    timing: RaftTiming = SYSTEM_TIMING
    bounds: CompactionBounds = field(default_factory=CompactionBounds)


class ReplicaHost:
    """The groups of which a process is a member, under one member id."""

    def __init__(
        self,
        clock: Clock,
        member_id: str,
        journal: GroupJournal,
        transport: MessageTransport,
        options: HostOptions,
    ) -> None:
        """Start without open groups. `member_id` identifies this process's disk in all its groups."""
        self.member_id = member_id
        self.groups: dict[str, ReplicaGroup] = {}
        self._clock = clock
        self._journal = journal
        self._transport = transport
        self._random = options.random
        self._bounds = options.bounds
        rate_limiter = SnapshotRateLimiter()  # for the snapshots of all groups together
        self._group_options = GroupOptions(RaftOptions(options.timing, rate_limiter), options.bounds)
        self._dirty: dict[str, ReplicaGroup] = {}
        self._membership_callbacks: dict[str, Callable[[], None]] = {}
        self._flush_call: Timer | None = None
        self._timer: Timer | None = None
        self._stopped = False
        journal.on_corrupt_snapshot(self._rewrite_snapshot)

    # ---- groups

    def open_group(
        self, group: str, machine: StateMachine, founders: Members | None, listener: GroupListener
    ) -> None:
        """Start this process's member of a group. Raises `GroupAlreadyOpenError`.

        Its state is read from the journal. Without a stored state, the member starts as one of the `founders`
        if they include it, otherwise as an empty member that receives its state from a leader.
        """
        if group in self.groups:
            raise GroupAlreadyOpenError(group)
        state = self._journal.take_persistent_state(group)
        tombstone_generation = self._journal.tombstone_generation(group)
        if state is None:
            state = PersistentState()
            is_founder = founders is not None and self.member_id in founders.voters
            if founders is not None and is_founder and tombstone_generation is None:
                state = PersistentState(snapshot=Snapshot(members=founders))
                self._journal.bootstrap_group(group, state)
        self.groups[group] = ReplicaGroup(
            MemberIdentity(self.member_id, state, tombstone_generation),
            GroupApplication(machine, listener),
            self._random,
            self._clock.seconds(),
            self._group_options,
        )
        self._share_bounds()
        self._set_timer()

    def has_unopened_state(self, group: str) -> bool:
        """Whether the journal contained state of a group at start that hasn't been opened yet."""
        return group in self._journal.groups()

    def close_group(self, group: str, generation: int) -> None:
        """Stop this process's member of a group, and remove the group's state from the disk.

        Must only be called once a membership of this generation without this replica is committed.
        """
        closed = self.groups.pop(group, None)
        self._membership_callbacks.pop(group, None)
        self._dirty.pop(group, None)
        if closed is not None:
            closed.close()
        self._share_bounds()
        self._journal.remove_group(group, generation)

    def _share_bounds(self) -> None:
        share = self._bounds.host_size // max(len(self.groups), 1)
        for group in self.groups.values():
            group.compaction.size_bound = min(self._bounds.size, share)

    def stop(self) -> None:
        """Stop all groups. Their state stays on disk."""
        self._stopped = True
        cancel_if_active(self._flush_call)
        cancel_if_active(self._timer)
        groups = self.groups
        self.groups = {}
        self._dirty.clear()
        for group in groups.values():
            group.close()

    # ---- inputs

    def receive(self, group: str, sender: str, body: bytes) -> None:
        """Handle an encoded message from another member; dropped if malformed or the group isn't open."""
        replica_group = self.groups.get(group)
        if replica_group is None or sender == self.member_id:
            return
        try:
            message = decode_message(body)
        except CodecError:
            return
        try:
            replica_group.receive(self._clock.seconds(), sender, message)
        except Exception:
            self._stop_group(group, replica_group)
            return
        self._mark_dirty(group, replica_group)

    def propose(self, group: str, command: bytes) -> Deferred[object]:
        """Propose a command; fires with the result of `StateMachine.apply` once it is committed and applied.

        Errors: `NotOwnerError` (it was not proposed), `OutcomeUnknownError` (it may or may not be committed).
        """
        replica_group = self.groups.get(group)
        if replica_group is None:
            return fail(NotOwnerError())
        self._mark_dirty(group, replica_group)
        return replica_group.propose(command)

    def read_barrier(self, group: str) -> Deferred[None]:
        """Fires once a majority has confirmed, after this call, that this replica leads (read index, T 6.4).

        A subsequent read of the state machine is linearizable. Error: `NotOwnerError`.
        """
        replica_group = self.groups.get(group)
        if replica_group is None:
            return fail(NotOwnerError())
        self._mark_dirty(group, replica_group)
        return replica_group.read_barrier()

    def change_members(self, group: str, members: Members) -> bool:
        """Propose a membership. Returns False if it can't be proposed now.

        Only one voter may change at a time, and a new voter must have caught up as a learner.
        """
        replica_group = self.groups.get(group)
        if replica_group is None:
            return False
        self._mark_dirty(group, replica_group)
        return replica_group.change_members(self._clock.seconds(), members)

    def transfer_leadership(self, group: str, to: str = "") -> bool:
        """Start to transfer ownership to `to`, or if empty to the voter with the most complete log.

        Returns whether the transfer started.
        """
        replica_group = self.groups.get(group)
        if replica_group is None:
            return False
        self._mark_dirty(group, replica_group)
        return replica_group.transfer_leadership(self._clock.seconds(), to)

    # ---- views

    def is_owner(self, group: str) -> bool:
        """Whether this replica leads and has applied all entries committed in earlier terms."""
        replica_group = self.groups.get(group)
        return replica_group is not None and replica_group.is_owner

    def has_active_quorum(self, group: str) -> bool:
        """Whether this replica owns the group and a majority responded within an election timeout.

        Measured from the arrival of the responses; use `has_leader_lease` where the process may have been
        suspended.
        """
        replica_group = self.groups.get(group)
        return replica_group is not None and replica_group.has_active_quorum(self._clock.seconds())

    def has_leader_lease(self, group: str) -> bool:
        """Whether this replica owns the group and no other member can have been elected (T 6.4.1).

        Unlike `has_active_quorum`, it measures from when a heartbeat round was sent, not from when its
        responses arrived, so it is also valid for a process that was suspended.
        """
        replica_group = self.groups.get(group)
        return (
            replica_group is not None
            and replica_group.is_owner
            and replica_group.raft.has_leader_lease(self._clock.seconds())
        )

    def current_term(self, group: str) -> int:
        """The highest term that this replica knows, as owner or not; 0 if the group isn't open."""
        replica_group = self.groups.get(group)
        return replica_group.raft.term if replica_group is not None else 0

    def leader(self, group: str) -> str:
        """The current leader as far as this replica knows; empty if unknown."""
        replica_group = self.groups.get(group)
        return replica_group.raft.leader if replica_group is not None else ""

    def on_membership_progress(self, group: str, callback: Callable[[], None]) -> None:
        """Register a callback for when the membership of a group has to be reconciled again.

        It is called in a separate reactor turn after this replica became the group's owner, and, while it is
        the owner, after a membership was committed or a learner caught up.
        """
        self._membership_callbacks[group] = callback

    def members(self, group: str) -> Members:
        """The latest membership in the log, committed or not."""
        replica_group = self.groups.get(group)
        return replica_group.raft.members if replica_group is not None else Members()

    def committed_members(self, group: str) -> Members | None:
        """The membership if this replica owns the group and no change is uncommitted; otherwise None."""
        replica_group = self.groups.get(group)
        return (
            replica_group.raft.members
            if replica_group is not None and replica_group.raft.may_change_members
            else None
        )

    def caught_up(self, group: str, member: str) -> bool:
        """Whether a member has almost all committed entries; False if this replica doesn't lead."""
        replica_group = self.groups.get(group)
        return replica_group is not None and replica_group.caught_up(member)

    def unresponsive_for(self, group: str, member: str) -> float:
        """Seconds since a member last responded; infinite if this replica doesn't lead."""
        replica_group = self.groups.get(group)
        return (
            replica_group.unresponsive_for(self._clock.seconds(), member)
            if replica_group is not None
            else math.inf
        )

    # ---- turns

    def _mark_dirty(self, group: str, replica_group: ReplicaGroup) -> None:
        self._dirty[group] = replica_group
        if self._flush_call is None and not self._stopped:
            self._flush_call = self._clock.callLater(0, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        now = self._clock.seconds()
        dirty = self._dirty
        self._dirty = {}
        for name, group in dirty.items():
            if self.groups.get(name) is group:
                self._flush_group(now, name, group)
        self._set_timer()
        self._transport.turn_ended()

    def _flush_group(self, now: float, name: str, group: ReplicaGroup) -> None:
        try:
            effects = group.flush(now)
        except Exception:
            self._stop_group(name, group)
            return
        if self.groups.get(name) is not group:  # closed by its listener: its state must not be written again
            return
        self._execute(name, group, effects)
        self._log_role_transition(name, group)
        if name in self._membership_callbacks and group.membership_progressed():
            self._clock.callLater(0, self._notify_membership_progress, name, group)

    def _execute(self, name: str, group: ReplicaGroup, effects: GroupEffects) -> None:
        for write in effects.writes:
            done = partial(self._write_completed, name, group, write.number)
            self._journal.write(name, write, done)
        for receiver, message in effects.messages:
            self._transport.send(name, receiver, encode_message(message))

    @staticmethod
    def _log_role_transition(name: str, group: ReplicaGroup) -> None:
        transition = group.role_transition()
        if transition is None:
            return
        log.debug(
            "event=role_changed group={} term={} old={} new={} cause={!r}",
            name,
            group.raft.term,
            transition.old.value,
            transition.new.value,
            transition.cause.value,
        )

    def _notify_membership_progress(self, name: str, group: ReplicaGroup) -> None:
        if self.groups.get(name) is group and name in self._membership_callbacks:
            self._membership_callbacks[name]()

    def _stop_group(self, name: str, group: ReplicaGroup) -> None:
        """Stop a group whose code raised an exception, since its state may be inconsistent."""
        log.exception("event=group_stopped group={}", name)
        if self.groups.get(name) is group:
            del self.groups[name]
        group.close()

    def _write_completed(self, name: str, group: ReplicaGroup, number: int) -> None:
        if self.groups.get(name) is group:
            group.raft.write_completed(self._clock.seconds(), number)
            self._mark_dirty(name, group)

    def _rewrite_snapshot(self, name: str) -> None:
        group = self.groups.get(name)
        if group is not None:
            group.raft.log.rewrite_snapshot()
            self._mark_dirty(name, group)

    def _set_timer(self) -> None:
        if self._stopped or not self.groups:
            return
        next_timeout_at = min(group.raft.next_timeout_at for group in self.groups.values())
        due = math.ceil(next_timeout_at / TIMER_GRID_SECONDS) * TIMER_GRID_SECONDS
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= due + MIN_TIMER_SECONDS:  # absorbs rounding errors
                return
            self._timer.cancel()
        delay = max(due - self._clock.seconds(), MIN_TIMER_SECONDS)
        self._timer = self._clock.callLater(delay, self._tick)

    def _tick(self) -> None:
        now = self._clock.seconds()
        for name, group in list(self.groups.items()):
            if group.raft.next_timeout_at <= now:
                group.raft.tick(now)
                self._mark_dirty(name, group)
        self._set_timer()
