"""Records of the operator's calls between nodes: forwarded calls, and the status of a node."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.node_messages import NodeDescriptor


class OperatorRequest(Struct, frozen=True):
    """A call of the operator, forwarded to the configuration's owner.

    Attributes:
        number: number of the request on this link.
        method: HTTP method.
        path: HTTP path.
        if_match: value of the header `If-Match`; empty if there is none.
        body: body of the HTTP request, unchanged.
    """

    number: int
    method: str
    path: str
    if_match: str
    body: bytes


class OperatorResponse(Struct, frozen=True):
    """The owner's result, as sent to the operator.

    Attributes:
        number: number of the request.
        decided: False if another node should be tried.
        status: HTTP status.
        body: JSON.
    """

    number: int
    decided: bool
    status: int
    body: bytes


class GroupStatus(Struct, frozen=True):
    """A replica group as seen by one of its members.

    Attributes:
        group: its name.
        epoch: its term.
        owns: whether this member is its owner.
        owner: member id of the owner; empty if unknown.
        voters: member ids.
        learners: member ids.
        queued: unfinished messages in the replica's state; 0 for the configuration group.
        dead_letters: messages that failed permanently and whose state can still be read.
        ended: tombstones, including those of dead letters.
    """

    group: str
    epoch: int
    owns: bool
    owner: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    queued: int
    dead_letters: int
    ended: int


class EventCount(Struct, frozen=True):
    """The number of occurrences of a log event, for one cause.

    Attributes:
        event: its name.
        cause: the value of `cause`, `reason` or `error` in its line; empty if there is none.
        count: occurrences since the process started.
    """

    event: str
    cause: str
    count: int


class EventCountsRequest(Struct, frozen=True):
    """Requests the counts of a node's log events."""

    number: int


class EventCountsResponse(Struct, frozen=True):
    """The counts of a node's process, for the severities that it logs.

    Attributes:
        number: number of the request.
        counts: counts by event and cause.
    """

    number: int
    counts: tuple[EventCount, ...]


class StatusRequest(Struct, frozen=True):
    """Requests the status of a node."""

    number: int


class StatusResponse(Struct, frozen=True):
    """The status of a node.

    Attributes:
        number: number of the request.
        node: the node itself.
        configuration_version: version in force on it.
        placement_generation: generation in force on it.
        ready: whether it passes its readiness check.
        memory_mb: its peak resident memory.
        groups: replica groups of which it has a member.
        known: its view of the system.
    """

    number: int
    node: NodeDescriptor
    configuration_version: int
    placement_generation: int
    ready: bool
    memory_mb: float
    groups: tuple[GroupStatus, ...]
    known: tuple[NodeDescriptor, ...]
