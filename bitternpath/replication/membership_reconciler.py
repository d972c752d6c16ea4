"""Reconciles the membership of replica groups with the desired members, one change at a time.

`reconfiguration.next_members` decides on the next change. It is called after each relevant event: the desired
members changed, ownership was acquired, a change was committed, or a learner caught up. The program also
calls `reconcile` periodically for conditions without an event, such as a member that stops responding.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import logbook

from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.reconfiguration import DesiredMembers, MemberStatus, next_members
from bitternpath.replication.records import Members

log = logbook.Logger("replication")

UNRESPONSIVE_AFTER_S = 0.5  # one election timeout, more than two heartbeat intervals


class MembershipReconciler:
    """Changes the members of one host's groups towards the desired ones."""

    def __init__(self, host: ReplicaHost, committed: Callable[[str], None] | None = None) -> None:
        """`committed(group)` is called if this host owns a group whose last change is committed."""
        self._host = host
        self._committed = committed
        self._desired: dict[str, DesiredMembers] = {}

    def group_opened(self, group: str) -> None:
        """Start to reconcile a group that the host has opened."""
        self._host.on_membership_progress(group, partial(self.reconcile, group))

    def set_desired(self, group: str, members: Sequence[str], generation: int) -> None:
        """Set a group's desired members, from a placement of the given generation."""
        self._desired[group] = DesiredMembers(tuple(members), generation)
        self.reconcile(group)

    def generation(self, group: str) -> int:
        """Generation of the placement that defines the group's desired members; 0 if none is known."""
        desired = self._desired.get(group)
        return desired.generation if desired is not None else 0

    def group_closed(self, group: str) -> None:
        """Forget a group that the host has closed."""
        self._desired.pop(group, None)

    def reconcile(self, group: str) -> None:
        """Propose the next change if this host owns the group and a change is needed."""
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
        """Propose a change. An owner to be removed transfers ownership first, to avoid a gap in ownership."""
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
