"""Records about nodes and the links between them: `Hello`, pings, and gossip of membership views."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class NodeKind(IntEnum):
    """The role of a node's process. The numbers are part of the wire format."""

    EDGE = 0
    STORAGE = 1
    TOOL = 2  # an operator's command, which queries nodes but isn't part of the system


class NodeDescriptor(Struct, frozen=True):
    """A node's description of itself for other nodes.

    Of two descriptors with the same name, the one with the greater (`incarnation`, `heartbeat`) is newer.

    Attributes:
        name: unique in the system.
        address: ip:port of its internal listener.
        kind: its role.
        zone: failure domain.
        counted: whether it has a disk and counts for the fault tolerance.
        disk: identity of its disk, drawn when the disk was empty; empty without a disk.
        incarnation: milliseconds of the wall clock at which its process started.
        heartbeat: counter that increases while the process runs.
        draining: whether it is shutting down.
    """

    name: str
    address: str
    kind: NodeKind
    zone: str
    counted: bool
    disk: str
    incarnation: int
    heartbeat: int
    draining: bool = False


class Hello(Struct, frozen=True):
    """Greeting: the first record on a connection, from both ends; sent again when the descriptor changes."""

    node: NodeDescriptor


class Ping(Struct, frozen=True):
    """Requests a `Pong` with the same `number`; 0 if the number doesn't matter."""

    number: int


class Pong(Struct, frozen=True):
    """Response to `Ping`."""

    number: int


class ShuffleRequest(Struct, frozen=True):
    """Gossip (a datagram): part of the sender's view of the system, to get part of the receiver's."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]


class ShuffleResponse(Struct, frozen=True):
    """Response to `ShuffleRequest`: part of the responding node's view."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]
