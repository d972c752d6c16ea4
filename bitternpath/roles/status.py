"""What a node reports about itself to `bitternpath system show`."""

from __future__ import annotations

from collections.abc import Sequence

from bitternpath.queue.state import QueueState
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.event_counts import process_event_counts
from bitternpath.roles.node_base import NodeBase
from bitternpath.transport.operator_messages import (
    EventCountsRequest,
    EventCountsResponse,
    GroupStatus,
    StatusResponse,
)
from bitternpath.transport.records import MessageState


def group_status(host: ReplicaHost, group: str, state: QueueState | None) -> GroupStatus:
    """A replica group as seen by its member here. `state` is a queue shard's, None for other groups."""
    members = host.members(group)
    dead_letters = 0
    queued = 0
    ended = 0
    if state is not None:
        dead_letters = sum(entry.state is MessageState.DEAD_LETTER for entry in state)
        queued = state.queued
        ended = len(state) - state.queued
    return GroupStatus(
        group,
        host.current_term(group),
        host.is_owner(group),
        host.leader(group),
        members.voters,
        members.learners,
        queued,
        dead_letters,
        ended,
    )


def event_counts(request: EventCountsRequest) -> EventCountsResponse:
    """The response to a request for the counts of this process's log events."""
    return EventCountsResponse(request.number, process_event_counts.counts())


def node_status(base: NodeBase, number: int, *, ready: bool, groups: Sequence[GroupStatus]) -> StatusResponse:
    """The response to `StatusRequest` `number`. `ready`: whether the node accepts requests."""
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
