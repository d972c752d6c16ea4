"""Reconciles the membership of replica groups with the desired members, one change at a time.

`reconfiguration.next_members` decides what comes next; this module calls it whenever something has happened:
other members are desired, ownership was gained, a change was committed, a learner has caught up. The program
also calls `reconcile` from time to time, for conditions that raise no event: that a member has been silent
for a while.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import logbook

from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.reconfiguration import DesiredMembers, MemberStatus, next_members
from bitternpath.replication.records import Members

log = logbook.Logger("replication")

UNRESPONSIVE_AFTER_S = 0.5  # an election timeout; heartbeats come more than twice as often


class MembershipReconciler:
    """Desired members of the groups of one host, and the changes that lead there."""

    def __init__(self, host: ReplicaHost, committed: Callable[[str], None] | None = None) -> None:
        """`committed(group)` is called when this host owns a group and no change of its members is open."""
        self._host = host
        self._committed = committed
        self._desired: dict[str, DesiredMembers] = {}

    def group_opened(self, group: str) -> None:
        """The host has opened a group."""
        self._host.on_membership_progress(group, partial(self.reconcile, group))

    def set_desired(self, group: str, members: Sequence[str], generation: int) -> None:
        """A placement of that generation names a group's members."""
        self._desired[group] = DesiredMembers(tuple(members), generation)
        self.reconcile(group)

    def generation(self, group: str) -> int:
        """Generation of the placement that names the group's members here; 0 where none is known."""
        desired = self._desired.get(group)
        return desired.generation if desired is not None else 0

    def group_closed(self, group: str) -> None:
        """The host has closed a group."""
        self._desired.pop(group, None)

    def reconcile(self, group: str) -> None:
        """Propose the next change, where this host owns the group and there is one to make."""
        desired = self._desired.get(group)
        if desired is None or not self._host.is_owner(group):
            return
        if self._host.committed_members(group) is None:
            return
        new_members = next_members(self._host.members(group), desired, self._status(group))
        if new_members is not None:
            self._propose_change(group, desired, new_members)
        if self._committed is not None:
            self._committed(group)

    def _status(self, group: str) -> MemberStatus:
        return MemberStatus(
            caught_up=partial(self._host.caught_up, group),
            is_unresponsive=lambda member: self._host.unresponsive_for(group, member) > UNRESPONSIVE_AFTER_S,
            owner=self._host.member_id,
        )

    def _propose_change(self, group: str, desired: DesiredMembers, new_members: Members) -> None:
        """An owner that is to leave transfers ownership first, so that the group isn't without an owner."""
        removes_owner = self._host.member_id not in new_members.voters
        if removes_owner and any(
            self._host.transfer_leadership(group, successor) for successor in desired.members
        ):
            log.info("event=ownership_transfer_started group={} reason=leaving", group)
            return
        if self._host.change_members(group, new_members):
            log.info(
                "event=membership_change_proposed group={} generation={} voters={} learners={}",
                group,
                new_members.generation,
                new_members.voters,
                new_members.learners,
            )
