"""Chooses the members of the configuration group; one of the tasks of its owner.

Three sources show which nodes are live: a member answers heartbeats, a node follows the feed, and the
membership view has a recent heartbeat of it. A new node may need seconds to find an owner that is new itself,
so an entry in the view suffices to make the node a learner; it becomes a voter only once it has caught up,
whatever the view says.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from bitternpath.configuration.configuration_members import desired_members
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP, member_id
from bitternpath.membership.view import MembershipView
from bitternpath.net.clock import Clock
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.membership_reconciler import MembershipReconciler
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.transport.node_messages import NodeDescriptor


class _Heartbeat(NamedTuple):
    """Identifies a heartbeat of a node; a later one compares greater."""

    incarnation: int
    number: int


class ConfigurationVoters:
    """Computes the desired members from the live nodes.

    `MembershipReconciler` takes the steps towards them.
    """

    def __init__(
        self,
        reactor: Clock,
        host: ReplicaHost,
        nodes: LiveNodes,
        view: MembershipView,
        tolerated_machines: int,
    ) -> None:
        """Choose the members of the group on `host`.

        `nodes` are those that follow the feed; the group is to have 2 * `tolerated_machines` + 1 voters.
        """
        self._reactor = reactor
        self._host = host
        self._nodes = nodes
        self._view = view
        self._voter_count = 2 * tolerated_machines + 1
        self._membership_reconciler = MembershipReconciler(host)
        self._voter_heartbeats: dict[str, _Heartbeat] = {}  # last heartbeat of each node that had a voter

    def group_opened(self, progressed: Callable[[], None]) -> None:
        """Call `progressed` whenever the owner may take the next step. The group must be open here."""
        self._host.on_membership_progress(CONFIGURATION_GROUP, progressed)

    def reconcile(self) -> None:
        """Take the next step towards the desired members, if there is one."""
        current = self._host.members(CONFIGURATION_GROUP)
        candidates = self._candidates(current)
        desired = desired_members(current, candidates, self._unresponsive_for, self._voter_count)
        self._membership_reconciler.set_desired(CONFIGURATION_GROUP, desired, current.generation)

    def _candidates(self, current: Members) -> list[NodeDescriptor]:
        """Live nodes that may host a member.

        The view is trusted for new nodes and learners only. A voter's liveness is shown by its responses, and
        another disk of its node is accepted from that node only, because the view may still have the earlier
        disk.
        """
        live = self._view.live_edges(self._reactor.seconds())
        voters = {node_of(voter) for voter in current.voters}
        self._voter_heartbeats |= {node.name: _heartbeat(node) for node in live if node.name in voters}
        candidates = {
            node.name: node
            for node in live
            if member_id(node) in current.learners or self._is_new(node, current)
        }
        candidates |= {node.name: node for node in self._nodes.counted_edges()}
        candidates |= {self._view.local_node.name: self._view.local_node}
        return list(candidates.values())

    def _is_new(self, node: NodeDescriptor, current: Members) -> bool:
        """Whether a node has no member and, if it had a voter before, has sent a heartbeat since."""
        has_member = any(node_of(member) == node.name for member in current.all)
        last = self._voter_heartbeats.get(node.name, _Heartbeat(0, 0))
        return not has_member and _heartbeat(node) > last

    def _unresponsive_for(self, node: str) -> float:
        """Seconds since the owner last received a message from a node's member; 0 for nodes without one.

        The group's heartbeats show it without the feed, which a node finds again only seconds after a change
        of owner.
        """
        members = [each for each in self._host.members(CONFIGURATION_GROUP).all if node_of(each) == node]
        return min((self._host.unresponsive_for(CONFIGURATION_GROUP, each) for each in members), default=0.0)


def _heartbeat(node: NodeDescriptor) -> _Heartbeat:
    return _Heartbeat(node.incarnation, node.heartbeat)
