"""Broken builds: deliberate faults, injected by patching the program while a run is played.

Four more, with runs of their own, are in `test_simulation_broken`. Three that `BUILDS` doesn't contain are
detected only by schedules of a single group (`replication/test_safety_arguments`), since they need an order
of messages that is rare in runs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import PropertyMock, patch

import msgspec

from bitternpath.configuration.retirement import MembershipReports
from bitternpath.replication import membership_reconciler
from bitternpath.replication.consensus import Raft
from bitternpath.replication.group import ReplicaGroup
from bitternpath.replication.log import ReplicatedLog
from bitternpath.replication.reconfiguration import DesiredMembers, MemberStatus
from bitternpath.replication.records import EntryKind, Members
from bitternpath.shards import appends
from bitternpath.transport.links import Link

Patches = Iterator[Any]


def two_member_changes_at_once() -> Patches:
    """Changes any number of members in one step, without waiting until the previous step is committed."""

    def change_members(group: Any, now: float, members: Members) -> bool:
        return group.raft.propose(now, EntryKind.MEMBERS, msgspec.msgpack.encode(members)) is not None

    def replace_members(current: Members, desired: DesiredMembers, _: MemberStatus) -> Members | None:
        changed = Members(desired.members, (), desired.generation)
        return None if set(current.voters) == set(desired.members) else changed

    yield patch.object(Raft, "may_change_members", new_callable=PropertyMock, return_value=True)
    yield patch.object(ReplicaGroup, "change_members", change_members)
    yield patch.object(membership_reconciler, "next_members", replace_members)


def removal_before_successor() -> Patches:
    """Removes members before their successors have any state."""
    next_members = membership_reconciler.next_members

    def remove_first(current: Members, desired: DesiredMembers, status: MemberStatus) -> Members | None:
        for voter in current.voters:
            if voter not in desired.members and len(current.voters) > 1:
                voters = tuple(name for name in current.voters if name != voter)
                return Members(voters, current.learners, desired.generation)
        return next_members(current, desired, status)

    yield patch.object(membership_reconciler, "next_members", remove_first)


def retirement_without_reports() -> Patches:
    """Reports a machine as empty as soon as its shards are placed elsewhere, without reports of owners."""
    yield patch.object(MembershipReports, "holds_no_replica", lambda reports, node, groups: True)


def link_number_used_again() -> Patches:
    """Reuses request numbers on a link."""
    request = Link.request

    def same_number(link: Any, make: Any) -> Any:
        link._last_number %= 2
        return request(link, make)

    yield patch.object(Link, "request", same_number)


def repeat_after_reset() -> Patches:
    """Answers that a message will not run although it was sent to an owner whose link then ended."""

    def retry_or_reject(append: Any, failure: Any) -> None:
        append._retry_or_reject()

    yield patch.object(appends._PendingAppend, "_response_lost", retry_or_reject)


def voter_before_it_caught_up() -> Patches:
    """Makes a learner a voter regardless of its log."""
    yield patch.object(ReplicaGroup, "caught_up", lambda group, member: True)


def vote_not_on_disk() -> Patches:
    """Doesn't store term and vote, so that a restarted member may vote twice in a term."""
    flush = ReplicatedLog.flush

    def without_vote(log: Any, term: int, vote: str) -> Any:
        return flush(log, max((entry.term for entry in log.entries), default=0), "")

    yield patch.object(ReplicatedLog, "flush", without_vote)


def commits_entries_of_earlier_terms() -> Patches:
    """A leader commits entries of earlier terms by counting replicas (fig. 8 of the Raft paper)."""

    def commit_upto(raft: Any, index: int) -> None:
        raft.commit_index = max(raft.commit_index, index)

    yield patch.object(Raft, "_commit_upto", commit_upto)


def truncation_keeps_members() -> Patches:
    """A membership stays in force after its entry was truncated (section 4.1 of the Raft thesis)."""

    def keep_members(log: Any) -> None:
        """Leave the members unchanged."""

    yield patch.object(ReplicatedLog, "_update_members", keep_members)


def candidate_with_an_older_log() -> Patches:
    """A member votes for the first candidate regardless of its log (section 5.4.1 of the Raft paper)."""
    yield patch.object(Raft, "_is_up_to_date", lambda raft, request: True)


def acknowledged_before_it_is_stored() -> Patches:
    """A follower responds before its write is durable."""

    def deliver_at_once(raft: Any) -> Any:
        writes = []
        while raft.log.changed or raft._messages_awaiting_next_write:
            if raft.log.changed:
                writes.append(raft.log.flush(raft.term, raft.vote))
            waiting, raft._messages_awaiting_next_write = raft._messages_awaiting_next_write, []
            for receiver, message in waiting:
                raft._deliver(receiver, message)
        return writes

    yield patch.object(Raft, "_take_writes", deliver_at_once)


@contextmanager
def broken(build: Callable[[], Patches]) -> Iterator[None]:
    """Apply the patches of a broken build."""
    with ExitStack() as stack:
        for patched in build():
            stack.enter_context(patched)
        yield


BUILDS: dict[str, Callable[[], Patches]] = {
    build.__name__: build
    for build in (
        two_member_changes_at_once,
        removal_before_successor,
        retirement_without_reports,
        link_number_used_again,
        repeat_after_reset,
        voter_before_it_caught_up,
        candidate_with_an_older_log,
        acknowledged_before_it_is_stored,
    )
}
