"""Looks after the members of the configuration group: the work of its owner."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.configuration.placement import desired_members
from bitternpath.membership.founding import CONFIGURATION_GROUP
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.member_changes import MemberChanges
from bitternpath.roles.nodes_here import NodesHere
from bitternpath.transport.messages import NodeDescriptor


class CoreMembers:
    """Whom the group should have follows from who is here; `MemberChanges` brings it there."""

    def __init__(
        self, host: ReplicaHost, nodes: NodesHere, me: Callable[[], NodeDescriptor], tolerated: int
    ) -> None:
        self._host, self._nodes, self._me, self._tolerated = host, nodes, me, tolerated
        self._changes = MemberChanges(host)

    def opened(self, progressed: Callable[[], None]) -> None:
        """The group is open here; `progressed` is called when its owner may take the next step."""
        self._host.watch_members(CONFIGURATION_GROUP, progressed)

    def look(self) -> None:
        """Take the next step, where there is one."""
        current = self._host.members(CONFIGURATION_GROUP)
        me = self._me()
        here = [node for node in self._nodes.counted_edges() if node.name != me.name]
        desired = desired_members(current, [*here, me], self._nodes.away_for, 2 * self._tolerated + 1)
        self._changes.desire(CONFIGURATION_GROUP, desired, current.generation)
