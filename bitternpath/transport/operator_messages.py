"""Records of the operator's calls between nodes: forwarded requests, and the status of a node."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.node_messages import NodeDescriptor


class OperatorRequest(Struct, frozen=True):
    """A call of the operator, forwarded to the configuration's owner.

    Attributes:
        number: of the request on this link.
        method: HTTP method.
        path: HTTP path.
        if_match: the header of that name; empty where there is none.
        body: as it came.
    """

    number: int
    method: str
    path: str
    if_match: str
    body: bytes


class OperatorResponse(Struct, frozen=True):
    """The owner's result, as it goes to the operator.

    Attributes:
        number: of the request.
        decided: False where another node should be tried.
        status: HTTP status.
        body: JSON.
    """

    number: int
    decided: bool
    status: int
    body: bytes


class GroupStatus(Struct, frozen=True):
    """A replica group as one of its members sees it.

    Attributes:
        group: its name.
        epoch: its term.
        owns: whether this member is its owner.
        owner: member id of the owner; empty where it isn't known.
        voters: member ids.
        learners: member ids.
        queued: unfinished messages in the replica's state; 0 for the configuration group.
        dead_letters: messages that failed permanently and can still be asked for.
        ended: tombstones, dead letters among them.
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
    """How often a log event came, for one cause.

    Attributes:
        event: its name.
        cause: what its line says as cause, reason or error; empty where it says none.
        count: since the process started.
    """

    event: str
    cause: str
    count: int


class EventCountsRequest(Struct, frozen=True):
    """Asks a node how often its log events came."""

    number: int


class EventCountsResponse(Struct, frozen=True):
    """The counts of a node's process; those of the levels that it logs.

    Attributes:
        number: of the request.
        counts: by event and cause.
    """

    number: int
    counts: tuple[EventCount, ...]


class StatusRequest(Struct, frozen=True):
    """Asks a node for its status."""

    number: int


class StatusResponse(Struct, frozen=True):
    """The status of a node.

    Attributes:
        number: of the request.
        node: the node itself.
        configuration_version: version in force on it.
        placement_generation: generation in force on it.
        ready: whether it passes its readiness check.
        memory_mb: peak of its resident memory.
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
