"""Emptying storage nodes on the operator's order (PROTOCOL, "POST /retire/NODE"). Pure.

The order and its end are part of the replicated configuration state, so that they outlive the owner that
decided them. An order is judged by the committed roster and placement, not only by who follows this owner
now. It is done once the owners of all shards have told members, as committed and by the placement in force
or a later one, without the node; until then its disk is needed. No older placement can bring the node back:
a shard's group refuses members of an older generation than its last ones.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from bitternpath.configuration.commands import FinishRetirement, RetireNode
from bitternpath.configuration.placement import AWAY_WITHOUT_SPARE_S
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.membership.bootstrap import member_id
from bitternpath.replication.reconfiguration import node_of
from bitternpath.transport.group_messages import GroupPlacement, MembershipReport
from bitternpath.transport.node_messages import NodeDescriptor


class RetireCheck(Enum):
    """Whether a node may be retired."""

    ACCEPTABLE = "acceptable"
    REPEATED = "ordered before"
    UNKNOWN_NODE = "no such storage node"
    TOO_FEW_LEFT = "too few storage nodes would be left"


class RetireState(Enum):
    """How far it is."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class RetireDecision:
    """What an order comes to; a command only where it is acceptable."""

    check: RetireCheck
    command: RetireNode | None = None


@dataclass(frozen=True, slots=True)
class _Report:
    """What an owner has told."""

    generation: int
    epoch: int
    nodes: frozenset[str]


class MembershipReports:
    """The newest report of each shard, as this owner of the configuration has heard it."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def update(self, report: MembershipReport) -> None:
        """A shard's owner has reported; what is older than what is known is passed over."""
        known = self._reports.get(report.group)
        if known is None or (report.generation, report.epoch) >= (known.generation, known.epoch):
            nodes = frozenset(map(node_of, report.members))
            self._reports[report.group] = _Report(report.generation, report.epoch, nodes)

    def holds_no_replica(self, node: str, groups: Iterable[GroupPlacement]) -> bool:
        """Whether a node is known to be a member of none of these groups, by these placements or later."""
        return all(self._is_without(node, group) for group in groups)

    def _is_without(self, node: str, group: GroupPlacement) -> bool:
        report = self._reports.get(group.group)
        return report is not None and report.generation >= group.generation and node not in report.nodes


def known_members(state: ConfigurationState, present: Iterable[NodeDescriptor]) -> dict[str, str]:
    """Member ids, by node, of the storage nodes in the committed state and of those that are present."""
    found = {member.node: member.member for group in state.groups for member in group.members}
    found |= {node_of(member): member for member in state.storage.members}
    return found | {node.name: member_id(node) for node in present}


def decide_retirement(
    state: ConfigurationState,
    node: str,
    present: Sequence[NodeDescriptor],
    down_for: Callable[[str], float],
    tolerated: int,
) -> RetireDecision:
    """Whether a node may be retired. Nodes that have been away for long don't count as remaining."""
    members = known_members(state, present)
    member = members.get(node)
    if member is None:
        known = state.storage.retirement(node) is not None
        return RetireDecision(RetireCheck.REPEATED if known else RetireCheck.UNKNOWN_NODE)
    if state.storage.is_retired(member):
        return RetireDecision(RetireCheck.REPEATED)
    remaining = [
        each
        for name, each in sorted(members.items())
        if name != node and not state.storage.is_retired(each) and down_for(name) <= AWAY_WITHOUT_SPARE_S
    ]
    least = 2 * tolerated + 1
    if len(remaining) < least:
        return RetireDecision(RetireCheck.TOO_FEW_LEFT)
    return RetireDecision(RetireCheck.ACCEPTABLE, RetireNode(member, tuple(remaining), least))


def retirement_state(state: ConfigurationState, node: str) -> RetireState:
    """How far the emptying of a node is, by the committed state alone."""
    found = state.storage.retirement(node)
    if found is None:
        return RetireState.UNKNOWN
    return RetireState.DONE if found.done else RetireState.RUNNING


def next_finished_retirement(
    state: ConfigurationState, reports: MembershipReports
) -> FinishRetirement | None:
    """The end of a retirement whose node is needed no more, if there is one to be committed."""
    if not state.groups:
        return None
    placed = {member.node for group in state.groups for member in group.members}
    for retirement in state.storage.retirements:
        node = node_of(retirement.member)
        if not retirement.done and node not in placed and reports.holds_no_replica(node, state.groups):
            return FinishRetirement(node, state.placement_generation)
    return None


def state_body(state: RetireState) -> bytes:
    """The JSON that the operator gets."""
    return json.dumps({"state": state.value}).encode()
