"""Closes replicas that this node needn't keep any more.

A replica stays as long as it may hold the only copy of something: until the owner of its group has told that
members without it are committed, by the newest placement known here. Those that stay have then all that was
committed before, a majority of them on disk. A node that was away meanwhile asks when it is back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import logbook

from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.group_carrier import CARRIER_USER
from bitternpath.transport.connections import NodeHub
from bitternpath.transport.group_messages import GroupPlacement, MembershipReport, MembershipRequest

log = logbook.Logger("storage")

ASK_S = 1.0  # between questions whether a replica may go; nobody waits for the room


class ReplicaGarbageCollector:
    """The replicas here that the placement doesn't name."""

    def __init__(
        self,
        reactor: Any,
        hub: NodeHub,
        host: ReplicaHost,
        placements: Mapping[str, GroupPlacement],
        close: Callable[[str, int], None],
    ) -> None:
        """`close(group, generation)` closes a replica and forgets what it keeps."""
        self._reactor, self._hub, self._host = reactor, hub, host
        self._placements, self._close = placements, close
        self._asked_at = float("-inf")

    def ask(self) -> None:
        """Ask the owners of such groups, from time to time."""
        now = self._reactor.seconds()
        if now - self._asked_at < ASK_S:
            return
        self._asked_at = now
        for group in self._host.groups:
            placement = self._placements.get(group)
            if placement is not None and not self._names_me(placement):
                self._ask(placement)

    def _ask(self, placement: GroupPlacement) -> None:
        for member in placement.members:
            self._hub.dial(member.address, CARRIER_USER)
            link = self._hub.link_to(member.address)
            if link is not None:
                link.send(MembershipRequest(placement.group))

    def reported(self, report: MembershipReport) -> None:
        """An owner has told who the members are."""
        if self.may_close(report):
            log.info("event=replica_closed group={} generation={}", report.group, report.generation)
            self._close(report.group, report.generation)

    def may_close(self, report: MembershipReport) -> bool:
        """Whether the replica here may go. A report that is older than what is known here says nothing."""
        placement = self._placements.get(report.group)
        if placement is None or report.group not in self._host.groups or self._names_me(placement):
            return False
        known = max(placement.generation, self._host.members(report.group).generation)
        return report.generation >= known and self._host.member_id not in report.members

    def _names_me(self, placement: GroupPlacement) -> bool:
        return any(member.member == self._host.member_id for member in placement.members)
