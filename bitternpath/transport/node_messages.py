"""Records about nodes and the links between them: greetings, liveness, and the gossip of membership views."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class NodeKind(IntEnum):
    """What a process of the system does."""

    EDGE = 0
    STORAGE = 1
    TOOL = 2  # an operator's command: asks, and takes no part


class NodeDescriptor(Struct, frozen=True):
    """What nodes tell one another of a node. (`incarnation`, `heartbeat`) orders what is told of one name."""

    name: str
    address: str  # ip:port of its internal listener
    kind: NodeKind
    zone: str
    counted: bool  # it has a disk and counts for the fault tolerance
    disk: str  # identity of its disk, drawn when the disk was empty; "" without one
    incarnation: int  # milliseconds of the time of day at which its process started
    heartbeat: int  # rises while it lives
    draining: bool = False  # it is shutting down


class Hello(Struct, frozen=True):
    """First on each connection, from both ends."""

    node: NodeDescriptor


class Ping(Struct, frozen=True):
    """Keeps a connection's silence apart from its end."""

    number: int


class Pong(Struct, frozen=True):
    """Answer to `Ping`."""

    number: int


class ShuffleRequest(Struct, frozen=True):
    """Part of the sender's view of the system; wants part of the receiver's."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]


class ShuffleReply(Struct, frozen=True):
    """Part of the answering node's view."""

    sender: NodeDescriptor
    nodes: tuple[NodeDescriptor, ...]
