"""Placement of the queue shards and the list of storage members; tasks of the configuration's owner."""

from __future__ import annotations

import logbook

from bitternpath.configuration.commands import COMMANDS, SetPlacement, UpdateStorageMembers
from bitternpath.configuration.consensus_group import ConsensusGroup
from bitternpath.configuration.placement import (
    DOWN_WITHOUT_SPARE_S,
    initial_placement,
    nodes_to_replace,
    repaired_placement,
)
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.membership.bootstrap import member_id
from bitternpath.net.clock import Clock
from bitternpath.replication.reconfiguration import node_of
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.transport.group_messages import GroupPlacement
from bitternpath.transport.node_messages import NodeDescriptor

log = logbook.Logger("configuration")

STORAGE_STABLE_S = 0.8  # time without joining or leaving storage nodes before the initial placement


class ShardPlacement:
    """Proposes placement changes and storage-membership changes, at most one of each at a time.

    Each `reconcile` recomputes the desired state from the committed state and the live nodes, so a failed
    proposal needs no handling.
    """

    def __init__(
        self,
        reactor: Clock,
        group: ConsensusGroup,
        state: ConfigurationState,
        nodes: LiveNodes,
        tolerated_machines: int,
    ) -> None:
        """`group` commits what changes `state`; shards have 2 * `tolerated_machines` + 1 replicas."""
        self._reactor = reactor
        self._group = group
        self._state = state
        self._nodes = nodes
        self._tolerated_machines = tolerated_machines
        self._disks: dict[str, str] = {}  # disk identity of each live storage node, by name
        self._disks_changed_at = reactor.seconds()
        self._proposing_placement = False
        self._proposing_members = False

    def begin(self) -> None:
        """Restart for a new ownership."""
        self._disks_changed_at = self._reactor.seconds()

    def reconcile(self) -> None:
        """Propose what the committed state and the live storage nodes require."""
        live = self._nodes.storage()
        disks = {node.name: node.disk for node in live}
        if disks != self._disks:
            self._disks = disks
            self._disks_changed_at = self._reactor.seconds()
        self._update_members(live)
        groups = self._desired_groups(live)
        if groups != self._state.groups and not self._proposing_placement:
            self._propose_placement(SetPlacement(self._state.placement_generation, groups))

    def _desired_groups(self, live: list[NodeDescriptor]) -> tuple[GroupPlacement, ...]:
        if self._state.groups:
            retired = self._retired_nodes(live)
            lost = nodes_to_replace(
                self._state.groups, live, retired, self._nodes.down_for, self._nodes.up_for
            )
            return repaired_placement(self._state.groups, live, lost, self._tolerated_machines)
        stable = self._reactor.seconds() - self._disks_changed_at >= STORAGE_STABLE_S
        if len(live) >= 2 * self._tolerated_machines + 1 and stable:
            return initial_placement(live, self._tolerated_machines)
        return ()

    def _retired_nodes(self, live: list[NodeDescriptor]) -> set[str]:
        """Names of the nodes that must not have a replica."""
        members = {member.member for group in self._state.groups for member in group.members}
        members |= {member_id(node) for node in live}
        return {node_of(member) for member in members if self._state.storage.is_retired(member)}

    def _propose_placement(self, placement: SetPlacement) -> None:
        generation = placement.base + 1
        log.info("event=placement_proposed generation={} groups={}", generation, len(placement.groups))
        self._proposing_placement = True
        self._group.propose(COMMANDS.encode(placement)).addBoth(self._placement_decided)

    def _placement_decided(self, _: object) -> None:
        self._proposing_placement = False

    def _update_members(self, live: list[NodeDescriptor]) -> None:
        """Add storage nodes that follow the feed; remove those without replicas that have long been down."""
        if self._proposing_members:
            return
        storage = self._state.storage
        placed = {member.node for group in self._state.groups for member in group.members}
        members = [member_id(node) for node in live]
        added = tuple(
            member for member in members if member not in storage.members and not storage.is_retired(member)
        )
        removed = tuple(
            member
            for member in storage.members
            if node_of(member) not in placed and self._nodes.down_for(node_of(member)) > DOWN_WITHOUT_SPARE_S
        )
        if added or removed:
            self._proposing_members = True
            command = COMMANDS.encode(UpdateStorageMembers(added, removed))
            self._group.propose(command).addBoth(self._members_decided)

    def _members_decided(self, _: object) -> None:
        self._proposing_members = False
