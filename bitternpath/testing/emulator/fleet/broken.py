"""Builds of the fleet with one safeguard removed; the checkers must detect each of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from itertools import islice
from typing import Any
from unittest.mock import patch

from bitternpath.balancer.fleet import audit, lease_holder, record_replica
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.leadership import Leadership
from bitternpath.replication import consensus, leadership
from bitternpath.replication.messages import AppendEntries
from bitternpath.replication.records import EntryKind, MemberRole, PersistentState, StorageWrite
from bitternpath.testing.emulator.fleet import world

Build = Callable[[ExitStack], None]


def _patch(stack: ExitStack, target: Any, name: str, replacement: Any) -> None:
    stack.enter_context(patch.object(target, name, replacement))


def vote_not_on_disk(stack: ExitStack) -> None:
    """A restarted server has forgotten its vote."""
    apply_write = world.apply_write

    def forget_vote(state: PersistentState, write: StorageWrite) -> None:
        apply_write(state, write)
        state.vote = ""

    _patch(stack, world, "apply_write", forget_vote)


def yes_before_the_disk(stack: ExitStack) -> None:
    """A follower acknowledges entries before they are on its disk."""
    on_append_entries = consensus.Raft._on_append_entries

    def apply_early(self: Any, sender: str, message: AppendEntries) -> None:
        before, self._messages_awaiting_next_write = self._messages_awaiting_next_write, []
        on_append_entries(self, sender, message)
        self._messages += self._messages_awaiting_next_write
        self._messages_awaiting_next_write = before

    _patch(stack, consensus.Raft, "_on_append_entries", apply_early)


def other_terms_counted(stack: ExitStack) -> None:
    """A leader commits entries of earlier terms by counting replicas (figure 8 of the Raft paper)."""
    # otherwise the entry that starts the leader's own term is sent in the same message
    _patch(stack, leadership, "BATCH_ENTRIES", 1)
    update_commitment = consensus.Raft._update_commitment

    def commit_by_count(self: Any) -> None:
        update_commitment(self)
        voters = self.members.voters
        if self.role is MemberRole.LEADER and voters:
            own_index = [self.log.stable_index] * (self.member_id in voters)
            matches = sorted(
                [self.peers[v].match_index for v in voters if v != self.member_id] + own_index, reverse=True
            )
            self.commit_index = max(self.commit_index, matches[len(voters) // 2])

    _patch(stack, consensus.Raft, "_update_commitment", commit_by_count)


def no_wait_for_leases(stack: ExitStack) -> None:
    """A new leader assumes that all leases of its predecessor have ended."""

    class ImpatientLeadership(Leadership):
        def __init__(self, term: int, since: float) -> None:
            super().__init__(term, since - 1000.0)

    _patch(stack, record_replica, "Leadership", ImpatientLeadership)


def drift_forgotten(stack: ExitStack) -> None:
    """The leader considers a lease ended by its own clock, without allowing for clock drift."""
    _patch(stack, p.LeaseTerms, "max_duration", property(lambda self: self.lease))


def no_round(stack: ExitStack) -> None:
    """A leader renews leases without confirming by a heartbeat round that it still leads."""
    renew = record_replica.RecordReplica._renew

    def grant_at_once(
        self: Any, now: float, leadership: Any, state: Any, route: Any, request: m.RenewLease
    ) -> None:
        renew(self, now, leadership, state, route, request)
        for pending in leadership.awaiting_round:
            if isinstance(pending.request, m.RenewLease):
                self._grant(now, leadership, pending)

    _patch(stack, record_replica.RecordReplica, "_renew", grant_at_once)


def two_versions_off(stack: ExitStack) -> None:
    """A version is released as soon as it is committed."""

    def apply_early(self: Any, now: float, leadership: Any) -> None:
        released = self.record.released.version
        if self.record.latest.version > released and leadership.release_index <= self.applied_index:
            item = p.Release(released + 1, self.wall_clock())
            leadership.release_index = self.raft.propose(now, EntryKind.COMMAND, p.encode_item(item)) or 0

    _patch(stack, record_replica.RecordReplica, "_release_next", apply_early)


def lease_from_arrival(stack: ExitStack) -> None:
    """A node's lease counts from the arrival of the grant rather than from the request."""
    lease = lease_holder.LeaseHolder._handle_lease

    def lease_from_now(self: Any, now: float, message: m.Lease) -> None:
        lease(
            self, now, m.Lease(now, message.length, message.fencing_token, message.released, message.digest)
        )

    _patch(stack, lease_holder.LeaseHolder, "_handle_lease", lease_from_now)


def lease_by_timer(stack: ExitStack) -> None:
    """A node considers its lease valid until a timer has fired."""
    tick, holds = lease_holder.LeaseHolder.tick, lease_holder.LeaseHolder.holds_lease
    in_tick: list[bool] = []

    def tick_marked(self: Any, now: float) -> None:
        in_tick.append(True)
        try:
            tick(self, now)
        finally:
            in_tick.pop()

    _patch(stack, lease_holder.LeaseHolder, "tick", tick_marked)

    def holds_during_tick(self: Any, now: float) -> bool:
        return bool(holds(self, now) if in_tick else self.fencing_token)

    _patch(stack, lease_holder.LeaseHolder, "holds_lease", holds_during_tick)


def lease_not_looked_at(stack: ExitStack) -> None:
    """A node considers a lease valid forever."""

    def holds_forever(self: Any, now: float) -> bool:
        self.expires_at = max(self.expires_at, now + 1.0)
        return bool(self.fencing_token)

    _patch(stack, lease_holder.LeaseHolder, "holds_lease", holds_forever)


def fence_ignored(stack: ExitStack) -> None:
    """A node accepts any lease in its name, whatever its fencing token."""
    lease = lease_holder.LeaseHolder._handle_lease

    def accept_any_token(self: Any, now: float, message: m.Lease) -> None:
        if self.fencing_token and message.fencing_token < self.fencing_token:
            self.fencing_token = message.fencing_token
        lease(self, now, message)

    _patch(stack, lease_holder.LeaseHolder, "_handle_lease", accept_any_token)


def digest_ignored(stack: ExitStack) -> None:
    """A node applies a version by its number without comparing the digest."""

    def advance_by_number(self: Any, lease: m.Lease) -> bool:
        for plan in [plan for plan in self._pending_plans if plan.version <= lease.released]:
            self.plan = plan
            self._pending_plans.remove(plan)
        return bool(self.plan.version == lease.released)

    _patch(stack, lease_holder.LeaseHolder, "_apply_released_version", advance_by_number)


def told_before_written(stack: ExitStack) -> None:
    """A node reports audit entries to the servers before they are in its own file."""

    def all_lines(self: audit.AuditLog) -> tuple[audit.AuditEntry, ...]:
        return tuple(islice(self.unacknowledged, audit.ENTRIES_PER_MESSAGE))

    _patch(stack, audit.AuditLog, "next_batch", property(all_lines))


BUILDS: dict[str, Build] = {
    build.__name__: build
    for build in (
        vote_not_on_disk, yes_before_the_disk, other_terms_counted, no_wait_for_leases, drift_forgotten,
        no_round, two_versions_off, lease_from_arrival, lease_by_timer, fence_ignored, digest_ignored,
        told_before_written, lease_not_looked_at,
    )
}  # fmt: skip


@contextmanager
def broken_build(name: str) -> Iterator[None]:
    """That build, as long as it is entered."""
    with ExitStack() as stack:
        BUILDS[name](stack)
        yield
