"""Records about nodes and the links between them: greetings, liveness, and gossip of membership views."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class NodeKind(IntEnum):
    """The role of a node's process. The numbers are sent."""

    EDGE = 0
    STORAGE = 1
    TOOL = 2  # an operator's command: it asks, and takes no part in the system


class NodeDescriptor(Struct, frozen=True):
    """What nodes know of one another.

    Of two descriptions of one name, the greater (`incarnation`, `heartbeat`) is the newer one.

    Attributes:
        name: unique in the system.
        address: ip:port of its internal listener.
        kind: its role.
        zone: failure domain.
        counted: it has a disk and counts for the fault tolerance.
        disk: identity of its disk, drawn when the disk was empty; empty without a disk.
        incarnation: milliseconds of the wall clock at which its process started.
        heartbeat: counter that rises while the process runs.
        draining: it is shutting down.
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
    """Greeting: the first record on each connection, from both ends; again when the description changes."""

    node: NodeDescriptor


class Ping(Struct, frozen=True):
    """Asks for a `Pong` response. `number` comes back in the `Pong`; 0 where it doesn't matter."""

    number: int


class Pong(Struct, frozen=True):
    """Response to `Ping`."""

    number: int


class ShuffleRequest(Struct, frozen=True):
    """Gossip (a datagram): part of the sender's view of the system, for part of the receiver's."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]


class ShuffleResponse(Struct, frozen=True):
    """Response to `ShuffleRequest`: part of the responding node's view."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]
