"""Brings the members of replica groups towards those that are desired, one change at a time.

`reconfiguration.next_members` says what comes next; this module asks it whenever something has happened:
other members are desired, ownership was gained, a change was committed, a learner has caught up. A look from
time to time (`reconcile`) covers what no event tells: that a member has been silent for a while.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import logbook

from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.reconfiguration import next_members
from bitternpath.replication.records import Members

log = logbook.Logger("members")

SILENT_AFTER_S = 0.5  # as long as an election waits: heartbeats come five times as often


@dataclass(frozen=True, slots=True)
class DesiredMembers:
    """Whom a group should have, by a placement's generation."""

    members: tuple[str, ...]
    generation: int


class MemberChanges:
    """The groups of one host that are to be looked after."""

    def __init__(self, host: ReplicaHost, committed: Callable[[str], None] | None = None) -> None:
        """`committed(group)` is called when this host owns a group and no change of its members is open."""
        self._host, self._committed = host, committed
        self._desired: dict[str, DesiredMembers] = {}

    def group_opened(self, group: str) -> None:
        """The host has opened a group."""
        self._host.watch_members(group, partial(self.reconcile, group))

    def set_desired(self, group: str, members: Sequence[str], generation: int) -> None:
        """A placement names a group's members."""
        self._desired[group] = DesiredMembers(tuple(members), generation)
        self.reconcile(group)

    def generation(self, group: str) -> int:
        """Of the placement that names the group's members here; 0 where none is known."""
        found = self._desired.get(group)
        return found.generation if found is not None else 0

    def group_closed(self, group: str) -> None:
        """The host has closed a group."""
        self._desired.pop(group, None)

    def reconcile(self, group: str) -> None:
        """Take the next step, where this host owns the group and there is one."""
        desired = self._desired.get(group)
        if desired is None or not self._host.is_owner(group):
            return
        if self._host.committed_members(group) is None:
            return
        changed = self._next(group, desired)
        if changed is not None:
            self._change(group, desired, changed)
        if self._committed is not None:
            self._committed(group)

    def _next(self, group: str, desired: DesiredMembers) -> Members | None:
        return next_members(
            self._host.members(group),
            desired.members,
            partial(self._host.caught_up, group),
            generation=desired.generation,
            silent=lambda member: self._host.unresponsive_for(group, member) > SILENT_AFTER_S,
            owner=self._host.member_id,
        )

    def _change(self, group: str, desired: DesiredMembers, changed: Members) -> None:
        """An owner that is to leave passes ownership on first, so that the group isn't without one."""
        leaves = self._host.member_id not in changed.voters
        if leaves and any(self._host.transfer_leadership(group, heir) for heir in desired.members):
            log.info("event=ownership_transfer_started group={} reason=leaving", group)
            return
        if self._host.change_members(group, changed):
            log.info(
                "event=members_changing group={} generation={} voters={} learners={}",
                group,
                changed.generation,
                changed.voters,
                changed.learners,
            )
