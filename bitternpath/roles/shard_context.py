"""Collaborators that all queue shards of one storage node share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from twisted.internet.defer import Deferred, succeed

from bitternpath.net.clock import Clock
from bitternpath.queue.owner import OwnerSettings
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.edge_links import EdgeLinks

Borrow = Callable[[str, str, int], "Deferred[int]"]


def borrow_nothing(_group: str, _service: str, _wanted: int) -> Deferred[int]:
    """A `ShardContext.borrow` for nodes that can't reach the owners of other shards."""
    return succeed(0)


@dataclass(frozen=True, slots=True)
class ShardContext:
    """Node-wide collaborators of `ShardRuntime`, `ShardOwnership` and `ShardRequests`."""

    reactor: Clock
    host: ReplicaHost  # for proposals, read barriers and leader leases
    edges: EdgeLinks  # for leases, call-backs and announcements of ownership
    random: Random
    zone: str  # this node's zone; edge nodes in it are preferred
    owner_settings: OwnerSettings
    wall_ms: Callable[[], int]  # wall-clock time in milliseconds since 1970
    has_capacity: Callable[[], bool]  # whether the disk has capacity for more messages
    borrow: Borrow = borrow_nothing
    """`borrow(group, service, wanted)` fires with the tokens (0 or more) that the owner of another shard's
    group lends of a service's rate limit; it never fails."""
