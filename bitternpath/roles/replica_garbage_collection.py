"""Deletes replicas that this node no longer needs.

A replica is kept for as long as it may be the last copy of something: until the owner of its group reports
that members without it are committed, by a placement at least as new as the newest one known here. Those
members then have all that was committed before, a majority of them on disk. A node that was down in the
meantime asks the owner when it is back.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import logbook

from bitternpath.net.clock import Clock
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.group_transport import REPLICATION_LINK_USER
from bitternpath.transport.group_messages import GroupPlacement, MembershipReport, MembershipRequest
from bitternpath.transport.hub import NodeHub

log = logbook.Logger("storage")

QUERY_INTERVAL_S = 1.0  # between queries whether a replica may be deleted; freeing the space isn't urgent


class ReplicaGarbageCollector:
    """Finds the replicas here that the placement doesn't name, and closes each once that is safe."""

    def __init__(
        self,
        reactor: Clock,
        hub: NodeHub,
        host: ReplicaHost,
        placements: Mapping[str, GroupPlacement],
        close: Callable[[str, int], None],
    ) -> None:
        """Collect replicas of `host`.

        `close(group, generation)` closes a replica and deletes its state. `placements`, by group, is the
        table of `HostedShards`; it is only read.
        """
        self._reactor = reactor
        self._hub = hub
        self._host = host
        self._placements = placements
        self._close = close
        self._queried_at = float("-inf")

    def query_owners(self) -> None:
        """Ask the owners of groups that are no longer placed here for a report, every `QUERY_INTERVAL_S`.

        All members are asked; only the owner responds.
        """
        now = self._reactor.seconds()
        if now - self._queried_at < QUERY_INTERVAL_S:
            return
        self._queried_at = now
        for group in self._host.groups:
            placement = self._placements.get(group)
            if placement is not None and not self._names_this_node(placement):
                self._query(placement)

    def _query(self, placement: GroupPlacement) -> None:
        for member in placement.members:
            self._hub.dial(member.address, REPLICATION_LINK_USER)
            link = self._hub.link_to(member.address)
            if link is not None:
                link.send(MembershipRequest(placement.group))

    def reported(self, report: MembershipReport) -> None:
        """Handle an owner's report of its committed members."""
        if self.may_close(report):
            log.info("event=replica_closed group={} generation={}", report.group, report.generation)
            self._close(report.group, report.generation)

    def may_close(self, report: MembershipReport) -> bool:
        """Whether the replica here may be closed. A report older than what is known here proves nothing."""
        placement = self._placements.get(report.group)
        if placement is None or report.group not in self._host.groups or self._names_this_node(placement):
            return False
        known = max(placement.generation, self._host.members(report.group).generation)
        return report.generation >= known and self._host.member_id not in report.members

    def _names_this_node(self, placement: GroupPlacement) -> bool:
        return any(member.member == self._host.member_id for member in placement.members)
