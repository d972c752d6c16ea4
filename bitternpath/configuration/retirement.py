"""Emptying storage nodes on the operator's order (PROTOCOL, "POST /retire/NODE").

The order is part of the replicated configuration state, so that it outlives its owner. It is done once the
owners of all shards have reported members, as committed, without the node; until then its disk is needed.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from bitternpath.configuration.machine import ConfigurationState
from bitternpath.transport.messages import GroupReport, NodeDescriptor


class RetireCheck(Enum):
    """Whether a node may be retired."""

    ACCEPTABLE = "acceptable"
    UNKNOWN_NODE = "no such storage node"
    TOO_FEW_LEFT = "too few storage nodes would be left"


class RetireState(Enum):
    """How far it is."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"


@dataclass(slots=True)
class _Report:
    epoch: int
    members: frozenset[str]


class GroupReports:
    """The newest report of each shard. Forgotten when the configuration's owner changes."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def update(self, report: GroupReport) -> None:
        """An owner has reported; one of an earlier epoch is passed over."""
        known = self._reports.get(report.group)
        if known is None or report.epoch >= known.epoch:
            nodes = frozenset(member.partition("/")[0] for member in report.members)
            self._reports[report.group] = _Report(report.epoch, nodes)

    def nowhere(self, node: str, groups: Iterable[str]) -> bool:
        """Whether a node is known to be a member of none of these groups."""
        found = [self._reports.get(group) for group in groups]
        return bool(found) and all(report is not None and node not in report.members for report in found)


def check(
    state: ConfigurationState, node: str, present: Sequence[NodeDescriptor], tolerated: int
) -> RetireCheck:
    """Whether a node may be retired, with these storage nodes present."""
    placed = {member.node for group in state.groups for member in group.members}
    names = {each.name for each in present}
    if node not in placed | names | state.retired:
        return RetireCheck.UNKNOWN_NODE
    if node in state.retired:
        return RetireCheck.ACCEPTABLE
    if len(names - state.retired - {node}) < 2 * tolerated + 1:
        return RetireCheck.TOO_FEW_LEFT
    return RetireCheck.ACCEPTABLE


def progress(state: ConfigurationState, reports: GroupReports, node: str) -> RetireState:
    """How far the emptying of a node is."""
    if node not in state.retired:
        return RetireState.UNKNOWN
    groups = [group.group for group in state.groups]
    placed = any(member.node == node for group in state.groups for member in group.members)
    if placed or not reports.nowhere(node, groups):
        return RetireState.RUNNING
    return RetireState.DONE


def state_body(state: RetireState) -> bytes:
    """The JSON that the operator gets."""
    return json.dumps({"state": state.value}).encode()
