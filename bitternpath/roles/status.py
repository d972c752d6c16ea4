"""What a node tells operators of itself."""

from __future__ import annotations

from collections.abc import Sequence

from bitternpath.queue.state import QueueState
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.node_base import NodeBase
from bitternpath.transport.operator_messages import GroupStatus, StatusResponse
from bitternpath.transport.records import MessageState


def group_status(host: ReplicaHost, group: str, state: QueueState | None) -> GroupStatus:
    """A group as this member sees it; `state` is that of a queue shard."""
    members = host.members(group)
    dead = sum(entry.state is MessageState.DEAD_LETTER for entry in state) if state is not None else 0
    return GroupStatus(
        group,
        host.epoch(group),
        host.is_owner(group),
        host.leader(group),
        members.voters,
        members.learners,
        state.queued if state is not None else 0,
        dead,
        len(state) - state.queued if state is not None else 0,
    )


def node_status(base: NodeBase, number: int, ready: bool, groups: Sequence[GroupStatus]) -> StatusResponse:
    """The answer to a question for status."""
    return StatusResponse(
        number,
        base.view.local_node,
        base.feed.version,
        base.feed.placement_generation,
        ready,
        base.memory_peak_mb(),
        tuple(groups),
        tuple(base.view.nodes()),
    )
