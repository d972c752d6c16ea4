"""Deliberate faults, each switched on by patching the program while a run is played.

Four more, with runs of their own, are in `test_simulation_broken`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import PropertyMock, patch

import msgspec

from bitternpath.configuration.retirement import MembershipReports
from bitternpath.replication import membership_reconciler as member_changes
from bitternpath.replication.consensus import Raft
from bitternpath.replication.group import ReplicaGroup
from bitternpath.replication.reconfiguration import DesiredMembers, MemberStatus
from bitternpath.replication.records import EntryKind, Members
from bitternpath.shards import appends
from bitternpath.transport.links import Link

Patches = Iterator[Any]


def two_member_changes_at_once() -> Patches:
    """Changes any number of members in one step, and before the step before is committed."""

    def change_members(group: Any, now: float, members: Members) -> bool:
        return group.raft.propose(now, EntryKind.MEMBERS, msgspec.msgpack.encode(members)) is not None

    def at_once(current: Members, desired: DesiredMembers, _: MemberStatus) -> Members | None:
        changed = Members(desired.members, (), desired.generation)
        return None if set(current.voters) == set(desired.members) else changed

    yield patch.object(Raft, "may_change_members", new_callable=PropertyMock, return_value=True)
    yield patch.object(ReplicaGroup, "change_members", change_members)
    yield patch.object(member_changes, "next_members", at_once)


def removal_before_successor() -> Patches:
    """Removes members that aren't wanted before those that take their place have anything."""
    next_members = member_changes.next_members

    def remove_first(current: Members, desired: DesiredMembers, status: MemberStatus) -> Members | None:
        for voter in current.voters:
            if voter not in desired.members and len(current.voters) > 1:
                voters = tuple(name for name in current.voters if name != voter)
                return Members(voters, current.learners, desired.generation)
        return next_members(current, desired, status)

    yield patch.object(member_changes, "next_members", remove_first)


def retirement_without_reports() -> Patches:
    """Says that a machine is empty as soon as its shards are placed elsewhere, whatever owners report."""
    yield patch.object(MembershipReports, "holds_no_replica", lambda reports, node, groups: True)


def link_number_used_again() -> Patches:
    """All requests on a link have numbers that an earlier one had."""
    request = Link.request

    def same_number(link: Any, make: Any) -> Any:
        link._last_number %= 2
        return request(link, make)

    yield patch.object(Link, "request", same_number)


def repeat_after_reset() -> Patches:
    """A message that was sent to an owner whose link ended is promised not to run."""

    def lost(append: Any, failure: Any) -> None:
        append._retry_or_reject()

    yield patch.object(appends._PendingAppend, "_response_lost", lost)


@contextmanager
def broken(build: Callable[[], Patches]) -> Iterator[None]:
    """Run the program as this build has it."""
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
    )
}
