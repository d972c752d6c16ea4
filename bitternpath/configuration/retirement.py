"""Retirement of storage nodes: moving all replicas off a node (PROTOCOL, "POST /retire/NODE"). Pure.

The start and end of a retirement are part of the replicated configuration state, so they survive a change of
owner. A request is evaluated against the committed membership and placement, not only against the nodes that
are currently subscribed to this owner.

A retirement is done once the owners of all shards have reported committed members without the node, for the
current placement or a later one. Until then the node's disk is needed. An older placement can't add the node
again, because a shard's group rejects members of an older generation than its current one.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from bitternpath.configuration.commands import FinishRetirement, RetireNode
from bitternpath.configuration.placement import DOWN_WITHOUT_SPARE_S
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.membership.bootstrap import member_id
from bitternpath.replication.reconfiguration import node_of
from bitternpath.transport.group_messages import GroupPlacement, MembershipReport
from bitternpath.transport.node_messages import NodeDescriptor


class RetireCheck(Enum):
    """Whether a node may be retired. The values are shown to operators."""

    ACCEPTABLE = "acceptable"
    REPEATED = "ordered before"
    UNKNOWN_NODE = "no such storage node"
    TOO_FEW_LEFT = "too few storage nodes would be left"


class RetireState(Enum):
    """Progress of a retirement. The values are sent to operators as `state`."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RetireDecision:
    """The decision on a request to retire a node.

    Attributes:
        check: whether the node may be retired.
        command: the command to propose; None unless `check` is ACCEPTABLE.
    """

    check: RetireCheck
    command: RetireNode | None = None


@dataclass(frozen=True, slots=True)
class _Report:
    """A shard's members as reported by its owner, by node name."""

    generation: int
    epoch: int
    nodes: frozenset[str]


class MembershipReports:
    """The latest report of each shard's members that this owner of the configuration has received."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}  # by replica group

    def update(self, report: MembershipReport) -> None:
        """Record a report. Reports that are older than the known one are ignored."""
        known = self._reports.get(report.group)
        if known is None or (report.generation, report.epoch) >= (known.generation, known.epoch):
            nodes = frozenset(map(node_of, report.members))
            self._reports[report.group] = _Report(report.generation, report.epoch, nodes)

    def holds_no_replica(self, node: str, groups: Iterable[GroupPlacement]) -> bool:
        """Whether a node is known not to be a member of any group, as of these placements or later ones."""
        return all(self._is_without(node, group) for group in groups)

    def _is_without(self, node: str, group: GroupPlacement) -> bool:
        report = self._reports.get(group.group)
        return report is not None and report.generation >= group.generation and node not in report.nodes


def known_members(state: ConfigurationState, present: Iterable[NodeDescriptor]) -> dict[str, str]:
    """Member ids by node, of the storage nodes in the committed state and those that are present."""
    known = {member.node: member.member for group in state.groups for member in group.members}
    known |= {node_of(member): member for member in state.storage.members}
    return known | {node.name: member_id(node) for node in present}


def decide_retirement(
    state: ConfigurationState,
    node: str,
    present: Sequence[NodeDescriptor],
    down_for: Callable[[str], float],
    tolerated: int,
) -> RetireDecision:
    """Decide whether a node may be retired.

    Args:
        state: the committed state.
        node: the node's name.
        present: storage nodes that are subscribed to the feed.
        down_for: seconds that a node (by name) has been down; a node that has been down for long doesn't
            count as remaining.
        tolerated: number of faults that the system must tolerate (f); 2f+1 nodes must remain.
    """
    members = known_members(state, present)
    member = members.get(node)
    if member is None:
        was_retired = state.storage.retirement(node) is not None
        return RetireDecision(RetireCheck.REPEATED if was_retired else RetireCheck.UNKNOWN_NODE)
    if state.storage.is_retired(member):
        return RetireDecision(RetireCheck.REPEATED)
    remaining = [
        other
        for name, other in sorted(members.items())
        if name != node and not state.storage.is_retired(other) and down_for(name) <= DOWN_WITHOUT_SPARE_S
    ]
    least = 2 * tolerated + 1
    if len(remaining) < least:
        return RetireDecision(RetireCheck.TOO_FEW_LEFT)
    return RetireDecision(RetireCheck.ACCEPTABLE, RetireNode(member, tuple(remaining), least))


def retirement_state(state: ConfigurationState, node: str) -> RetireState:
    """Progress of the retirement of a node (by name), based only on the committed state."""
    retirement = state.storage.retirement(node)
    if retirement is None:
        return RetireState.UNKNOWN
    return RetireState.DONE if retirement.done else RetireState.RUNNING


def next_finished_retirement(
    state: ConfigurationState, reports: MembershipReports
) -> FinishRetirement | None:
    """The command to finish a retirement whose node isn't needed any more; None if there is none."""
    if not state.groups:
        return None
    placed = {member.node for group in state.groups for member in group.members}
    for retirement in state.storage.retirements:
        node = node_of(retirement.member)
        is_unplaced = not retirement.done and node not in placed
        if is_unplaced and reports.holds_no_replica(node, state.groups):
            return FinishRetirement(node, state.placement_generation)
    return None


def state_body(state: RetireState) -> bytes:
    """The JSON body that is sent to the operator."""
    return json.dumps({"state": state.value}).encode()
