"""Retirement of storage nodes: moving all replicas off a node (PROTOCOL, "POST /retire/NODE"). Pure.

A retirement and its end are part of the replicated configuration state, so that they outlive the owner that
decided them. A request is judged by the committed membership and placement, not only by which nodes are
subscribed to this owner now.

A retirement is done once the owners of all shards have reported committed members without the node, by the
placement in force or a later one; until then the node's disk is needed. No older placement can bring the node
back: a shard's group refuses members of an older generation than its last ones.
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
    """Whether a node may be retired. The values are texts for operators."""

    ACCEPTABLE = "acceptable"
    REPEATED = "ordered before"
    UNKNOWN_NODE = "no such storage node"
    TOO_FEW_LEFT = "too few storage nodes would be left"


class RetireState(Enum):
    """How far a retirement is. The values are what operators get as `state`."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RetireDecision:
    """What a request to retire a node results in.

    Attributes:
        check: whether the node may be retired.
        command: the command to be proposed; None unless `check` is ACCEPTABLE.
    """

    check: RetireCheck
    command: RetireNode | None = None


@dataclass(frozen=True, slots=True)
class _Report:
    """The members of one shard as its owner has reported them; nodes by name."""

    generation: int
    epoch: int
    nodes: frozenset[str]


class MembershipReports:
    """The newest report of each shard's members, as this owner of the configuration has received them."""

    def __init__(self) -> None:
        """Without reports."""
        self._reports: dict[str, _Report] = {}  # by replica group

    def update(self, report: MembershipReport) -> None:
        """Take a report in; one that is older than the known one is ignored."""
        known = self._reports.get(report.group)
        if known is None or (report.generation, report.epoch) >= (known.generation, known.epoch):
            nodes = frozenset(map(node_of, report.members))
            self._reports[report.group] = _Report(report.generation, report.epoch, nodes)

    def holds_no_replica(self, node: str, groups: Iterable[GroupPlacement]) -> bool:
        """Whether a node is known to be a member of no group, by these placements or later ones."""
        return all(self._is_without(node, group) for group in groups)

    def _is_without(self, node: str, group: GroupPlacement) -> bool:
        report = self._reports.get(group.group)
        return report is not None and report.generation >= group.generation and node not in report.nodes


def known_members(state: ConfigurationState, present: Iterable[NodeDescriptor]) -> dict[str, str]:
    """Member ids, by node, of the storage nodes in the committed state and of those that are present."""
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
        down_for: seconds for which a node (by name) has been down; one that has been down for long doesn't
            count as remaining.
        tolerated: how many faults the system must survive (f): 2f+1 nodes must remain.
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
    """How far the retirement of a node (by name) is, by the committed state alone."""
    retirement = state.storage.retirement(node)
    if retirement is None:
        return RetireState.UNKNOWN
    return RetireState.DONE if retirement.done else RetireState.RUNNING


def next_finished_retirement(
    state: ConfigurationState, reports: MembershipReports
) -> FinishRetirement | None:
    """The command that ends a retirement whose node is needed no more; None where there is none."""
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
    """The JSON that the operator gets."""
    return json.dumps({"state": state.value}).encode()
