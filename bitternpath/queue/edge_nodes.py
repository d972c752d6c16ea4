"""The edge nodes known to a shard's owner, and the leases that they hold."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from bitternpath.queue.tracked_messages import InFlightLease, TrackedMessage

MAX_LEASES_PER_EDGE = 64  # per service; prevents the full backlog of a service that is down from being leased


@dataclass(slots=True)
class EdgeNode:
    """One edge node. It remains in the table while it is disconnected, since its leases remain valid."""

    name: str
    zone: str = ""
    connected: bool = False
    process_ended_at: float = float("-inf")  # when the owner last learned that its process had ended
    leases: dict[str, InFlightLease] = field(default_factory=dict)  # by lease id
    leases_by_service: Counter[str] = field(default_factory=Counter)

    def has_capacity(self, service: str) -> bool:
        """Whether it can hold another lease of a service."""
        return self.connected and self.leases_by_service[service] < MAX_LEASES_PER_EDGE


class EdgeNodeTable:
    """All edge nodes known to this owner."""

    def __init__(self, zone: str, random: Random) -> None:
        """Prefer edge nodes in `zone`, the owner's zone; `random` chooses among equivalent nodes."""
        self._zone = zone
        self._random = random
        self._edges: dict[str, EdgeNode] = {}

    def get_or_add(self, name: str) -> EdgeNode:
        """Return an edge node, connected or not; add it if it is unknown."""
        edge = self._edges.get(name)
        if edge is None:
            edge = self._edges[name] = EdgeNode(name)
        return edge

    def is_local(self, name: str) -> bool:
        """Whether an edge node is in the owner's zone."""
        return self.get_or_add(name).zone == self._zone

    def choose(self, origin: str, service: str, avoided: str = "") -> EdgeNode | None:
        """Choose the edge node for a delivery, or None if no node has capacity.

        Prefers the origin, which accepted the message, then a random node in the owner's zone, then any
        random node. `avoided`, which did not run the message, is chosen only if no other node has capacity.
        """
        origin_node = self._edges.get(origin)
        if origin_node is not None and origin_node.name != avoided and origin_node.has_capacity(service):
            return origin_node
        candidates = [edge for edge in self._edges.values() if edge.has_capacity(service)]
        others = [edge for edge in candidates if edge.name != avoided]
        return self._choose_among(others or candidates)

    def choose_for_callback(self, receiver: str, failures: int) -> EdgeNode | None:
        """Choose the edge node for a call-back, or None if no node is connected.

        All call-backs of a receiver go to the same node, if possible in the owner's zone, so that few nodes
        need connections to the receiver and can reuse them. Each failure selects the next node.
        """
        connected = [edge for edge in self._edges.values() if edge.connected]
        local = [edge for edge in connected if edge.zone == self._zone] or connected
        local.sort(key=lambda edge: edge.name)
        return local[(crc32(receiver.encode()) + failures) % len(local)] if local else None

    def holds_body(self, edge: EdgeNode, tracked: TrackedMessage) -> bool:
        """Whether an edge node still has a message's body, because its current process accepted the message.

        The node drops the body at the first delivery. For messages accepted under an earlier owner, this
        owner may have missed the end of the origin's process, so the body is assumed to be missing.
        """
        entry = tracked.entry
        is_first = tracked.accepted_by_this_owner and entry.leases_granted == 1
        return is_first and edge.name == entry.message.origin and entry.accepted_at > edge.process_ended_at

    def _choose_among(self, candidates: list[EdgeNode]) -> EdgeNode | None:
        local = [edge for edge in candidates if edge.zone == self._zone]
        pool = local or candidates
        return self._random.choice(pool) if pool else None
