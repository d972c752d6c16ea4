"""Keeps the placement of the queue shards and the roster of storage nodes: the configuration owner's work."""

from __future__ import annotations

from typing import Any

import logbook

from bitternpath.configuration.changes import ConsensusGroup
from bitternpath.configuration.placement import (
    AWAY_WITHOUT_SPARE_S,
    initial_placement,
    nodes_to_replace,
    repaired_placement,
)
from bitternpath.configuration.state_machine import (
    COMMANDS,
    ConfigurationState,
    SetPlacement,
    UpdateStorageMembers,
)
from bitternpath.membership.bootstrap import member_id
from bitternpath.replication.reconfiguration import node_of
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.transport.group_messages import GroupPlacement
from bitternpath.transport.node_messages import NodeDescriptor

log = logbook.Logger("configuration")

STORAGE_AT_REST_S = 0.8  # the first placement waits until the storage nodes have been the same for so long


class ShardPlacement:
    """One proposal of each kind at a time; the next look follows when it is decided."""

    def __init__(
        self,
        reactor: Any,
        group: ConsensusGroup,
        state: ConfigurationState,
        nodes: LiveNodes,
        tolerated: int,
    ) -> None:
        self._reactor, self._group, self._state = reactor, group, state
        self._nodes, self._tolerated = nodes, tolerated
        self._disks: dict[str, str] = {}
        self._disks_changed_at: float = reactor.seconds()
        self._placing = self._noting = False

    def begin(self) -> None:
        """This node owns the configuration from now on."""
        self._disks_changed_at = self._reactor.seconds()

    def reconcile(self) -> None:
        """Compare what is committed with who is there."""
        here = self._nodes.storage()
        disks = {node.name: node.disk for node in here}
        if disks != self._disks:
            self._disks, self._disks_changed_at = disks, self._reactor.seconds()
        self._note(here)
        groups = self._groups(here)
        if groups != self._state.groups and not self._placing:
            self._place(SetPlacement(self._state.placement_generation, groups))

    def _groups(self, here: list[NodeDescriptor]) -> tuple[GroupPlacement, ...]:
        if self._state.groups:
            retired = self._retired(here)
            gone = nodes_to_replace(
                self._state.groups, here, retired, self._nodes.down_for, self._nodes.up_for
            )
            return repaired_placement(self._state.groups, here, gone, self._tolerated)
        at_rest = self._reactor.seconds() - self._disks_changed_at >= STORAGE_AT_REST_S
        if len(here) >= 2 * self._tolerated + 1 and at_rest:
            return initial_placement(here, self._tolerated)
        return ()

    def _retired(self, here: list[NodeDescriptor]) -> set[str]:
        """Names of nodes that are to keep nothing."""
        members = {member.member for group in self._state.groups for member in group.members}
        members |= {member_id(node) for node in here}
        return {node_of(member) for member in members if self._state.storage.is_retired(member)}

    def _place(self, placement: SetPlacement) -> None:
        log.info("event=placing generation={} groups={}", placement.base + 1, len(placement.groups))
        self._placing = True
        self._group.propose(COMMANDS.encode(placement)).addBoth(self._placed)

    def _placed(self, _: object) -> None:
        self._placing = False

    def _note(self, here: list[NodeDescriptor]) -> None:
        """Keep the roster: who follows is in it, who keeps nothing and has been away for long isn't."""
        if self._noting:
            return
        roster = self._state.storage
        placed = {member.node for group in self._state.groups for member in group.members}
        members = [member_id(node) for node in here]
        added = tuple(each for each in members if each not in roster.members and not roster.is_retired(each))
        removed = tuple(
            member
            for member in roster.members
            if node_of(member) not in placed and self._nodes.down_for(node_of(member)) > AWAY_WITHOUT_SPARE_S
        )
        if added or removed:
            self._noting = True
            self._group.propose(COMMANDS.encode(UpdateStorageMembers(added, removed))).addBoth(self._noted)

    def _noted(self, _: object) -> None:
        self._noting = False
