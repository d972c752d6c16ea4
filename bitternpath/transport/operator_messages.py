"""Records of the operator's calls between nodes: forwarded requests, and the status of a node."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.node_messages import NodeDescriptor


class OperatorRequest(Struct, frozen=True):
    """A call of the operator, forwarded to the configuration's owner."""

    number: int
    method: str
    path: str
    if_match: str  # "" where there is none
    body: bytes


class OperatorResponse(Struct, frozen=True):
    """Its answer, as it goes to the operator. `decided`: False where another node should be asked."""

    number: int
    decided: bool
    status: int
    body: bytes


class GroupStatus(Struct, frozen=True):
    """A replica group as one of its members sees it."""

    group: str
    epoch: int
    owns: bool
    owner: str  # member id; "" where it isn't known
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    queued: int  # messages that haven't ended, by the replica's state; 0 for the configuration group
    dead_letters: int
    ended: int  # tombstones, dead letters among them


class StatusRequest(Struct, frozen=True):
    """Asks a node for its status."""

    number: int


class StatusResponse(Struct, frozen=True):
    """What a node says of itself. Memory is the peak, in MB."""

    number: int
    node: NodeDescriptor
    configuration_version: int
    placement_generation: int
    ready: bool
    memory_mb: float
    groups: tuple[GroupStatus, ...]
    known: tuple[NodeDescriptor, ...]  # its view of the system
