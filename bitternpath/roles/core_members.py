"""Looks after the members of the configuration group: the work of its owner.

Who is here is known in three ways: a member answers heartbeats, a node follows the feed, the view of the
system has news of it. A new node may take seconds to find an owner that is new itself, so the view is enough
to make it a learner; it votes only once it has caught up, whatever the view said.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternpath.configuration.placement import desired_members
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP, member_id
from bitternpath.membership.view import MembershipView
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.member_changes import MemberChanges
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.transport.node_messages import NodeDescriptor


class CoreMembers:
    """Whom the group should have follows from who is here; `MemberChanges` brings it there."""

    def __init__(
        self, reactor: Any, host: ReplicaHost, nodes: LiveNodes, view: MembershipView, tolerated: int
    ) -> None:
        self._reactor, self._host, self._nodes = reactor, host, nodes
        self._view, self._tolerated = view, tolerated
        self._changes = MemberChanges(host)
        self._beats: dict[str, tuple[int, int]] = {}  # (life, beat) of voters' nodes, as last seen

    def opened(self, progressed: Callable[[], None]) -> None:
        """The group is open here; `progressed` is called when its owner may take the next step."""
        self._host.watch_members(CONFIGURATION_GROUP, progressed)

    def reconcile(self) -> None:
        """Take the next step, where there is one."""
        current = self._host.members(CONFIGURATION_GROUP)
        here = self._here(current)
        desired = desired_members(current, here, self._silent_for, 2 * self._tolerated + 1)
        self._changes.set_desired(CONFIGURATION_GROUP, desired, current.generation)

    def _here(self, current: Members) -> list[NodeDescriptor]:
        """The view tells of new nodes and learners only. Whether a voter is there, its answers show; that its
        node has another disk now is taken from itself, as the view may hold a disk that it had before."""
        lively = self._view.live_edges(self._reactor.seconds())
        voters = {node_of(voter) for voter in current.voters}
        self._beats |= {
            node.name: (node.incarnation, node.heartbeat) for node in lively if node.name in voters
        }
        found = {
            node.name: node
            for node in lively
            if member_id(node) in current.learners or self._is_new(node, current)
        }
        found |= {node.name: node for node in self._nodes.counted_edges()}
        return list((found | {self._view.local_node.name: self._view.local_node}).values())

    def _is_new(self, node: NodeDescriptor, current: Members) -> bool:
        """Whether a node has no member, and there was news of it since it had a voter, if it had one."""
        known = any(node_of(member) == node.name for member in current.all)
        return not known and (node.incarnation, node.heartbeat) > self._beats.get(node.name, (0, 0))

    def _silent_for(self, node: str) -> float:
        """Seconds since a node's member answered the group's owner: it needs no feed for that, which a node
        finds again only seconds after the owner has changed."""
        members = [each for each in self._host.members(CONFIGURATION_GROUP).all if node_of(each) == node]
        return min((self._host.unresponsive_for(CONFIGURATION_GROUP, each) for each in members), default=0.0)
