"""Deliberate faults, each switched on by patching the program while a run is played.

Four more, with runs of their own, are in `test_simulation_broken`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest.mock import PropertyMock, patch

import msgspec
from twisted.internet.defer import Deferred, succeed

from bitternpath.configuration import orders
from bitternpath.configuration.feed import FeedFollower
from bitternpath.configuration.orders import OrderProcessor, OrderResult
from bitternpath.configuration.retirement import GroupReports
from bitternpath.replication.consensus import Raft
from bitternpath.replication.group import ReplicaGroup
from bitternpath.replication.records import MEMBERS, Members
from bitternpath.roles import configuration_member, storage
from bitternpath.shards import appends
from bitternpath.transport.connections import Link

Patches = Iterator[Any]


def reckoned_before_confirmation() -> Patches:
    """Confirms ownership, and then gives the answer that it had reckoned before."""
    submit = OrderProcessor.submit

    def submit_reckoned(processor: Any, order: Any) -> Deferred[OrderResult]:
        submission = orders._Submission(order, order.digest(), Deferred())
        reckoned = processor._reckon(submission)
        if isinstance(reckoned, OrderResult):
            return processor.group.barrier().addCallbacks(lambda _: reckoned, lambda _: orders.not_owner())
        return submit(processor, order)

    def confirmed_reckoned(group: Any, answer: Callable[[], OrderResult]) -> Deferred[OrderResult]:
        if not group.is_owner():
            return succeed(orders.not_owner())
        reckoned = answer()
        return group.barrier().addCallbacks(lambda _: reckoned, lambda _: orders.not_owner())

    yield patch.object(OrderProcessor, "submit", submit_reckoned)
    for module in (orders, configuration_member):
        if hasattr(module, "confirmed"):
            yield patch.object(module, "confirmed", confirmed_reckoned)


def two_member_changes_at_once() -> Patches:
    """Changes any number of members in one step, and before the step before is committed."""

    def at_once(current: Members, desired: Any, caught_up: Any) -> Members | None:
        return None if set(current.voters) == set(desired) else Members(tuple(desired), ())

    def change_members(group: Any, now: float, members: Members) -> bool:
        return group.raft.propose(now, MEMBERS, msgspec.msgpack.encode(members)) is not None

    yield patch.object(Raft, "may_change_members", new_callable=PropertyMock, return_value=True)
    yield patch.object(ReplicaGroup, "change_members", change_members)
    yield patch.object(configuration_member, "next_members", at_once)
    yield patch.object(storage, "next_members", at_once)


def voter_before_caught_up() -> Patches:
    """Makes a new member a voter before it has anything."""
    yield patch.object(ReplicaGroup, "caught_up", lambda group, name: True)


def removal_before_successor() -> Patches:
    """Removes members that aren't wanted before those that take their place have anything."""

    def remove_first(current: Members, desired: Any, caught_up: Any) -> Members | None:
        for voter in current.voters:
            if voter not in desired and len(current.voters) > 1:
                return Members(tuple(name for name in current.voters if name != voter), current.learners)
        return NEXT_MEMBERS(current, desired, caught_up)

    yield patch.object(configuration_member, "next_members", remove_first)
    yield patch.object(storage, "next_members", remove_first)


NEXT_MEMBERS = storage.next_members


def retirement_from_old_epoch() -> Patches:
    """Says that a machine is empty as soon as its shards are placed elsewhere, whatever owners report."""

    def nowhere(reports: Any, node: str, groups: Any) -> bool:
        return True

    yield patch.object(GroupReports, "nowhere", nowhere)


def feed_takes_older() -> Patches:
    """A follower takes what any owner says, of whatever epoch and version."""
    take = FeedFollower._take

    def take_any(follower: Any, update: Any) -> None:
        if update.configuration and update.configuration_version < follower.version:
            follower.table = None
        take(follower, update)

    def updated(follower: Any, link: Any, update: Any) -> None:
        follower.epoch = 0
        original(follower, link, update)

    original = FeedFollower.updated
    yield patch.object(FeedFollower, "_take", take_any)
    yield patch.object(FeedFollower, "updated", updated)


def link_number_used_again() -> Patches:
    """All requests on a link have numbers that an earlier one had."""
    request = Link.request

    def same_number(link: Any, make: Any) -> Any:
        link._next_number %= 2
        return request(link, make)

    yield patch.object(Link, "request", same_number)


def repeat_after_reset() -> Patches:
    """A message that was sent to an owner whose link ended is promised not to run."""

    def lost(append: Any, failure: Any) -> None:
        append._without_owner()

    yield patch.object(appends._Append, "_lost", lost)


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
        reckoned_before_confirmation,
        two_member_changes_at_once,
        voter_before_caught_up,
        removal_before_successor,
        retirement_from_old_epoch,
        feed_takes_older,
        link_number_used_again,
        repeat_after_reset,
    )
}
