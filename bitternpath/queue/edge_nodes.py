"""Edge nodes as the owner of a shard knows them, with the leases they hold."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from bitternpath.queue.tracked_messages import InFlightLease, TrackedMessage

MAX_LEASES_PER_EDGE = 64  # of one service, so that a backlog of a dead service isn't all leased


@dataclass(slots=True)
class EdgeNode:
    """One edge node; kept while it is away, as its leases go on."""

    name: str
    zone: str = ""
    connected: bool = False
    process_ended_at: float = float("-inf")  # when an incarnation of it was last known to have ended
    leases: dict[str, InFlightLease] = field(default_factory=dict)  # by lease id
    leases_by_service: Counter[str] = field(default_factory=Counter)

    def has_capacity(self, service: str) -> bool:
        """Whether another lease of a service may go there."""
        return self.connected and self.leases_by_service[service] < MAX_LEASES_PER_EDGE


class EdgeNodeTable:
    """All edge nodes that this owner knows."""

    def __init__(self, zone: str, random: Random) -> None:
        """Prefer edge nodes in `zone`, the owner's; choose among equals with `random`."""
        self._zone = zone
        self._random = random
        self._edges: dict[str, EdgeNode] = {}

    def get_or_add(self, name: str) -> EdgeNode:
        """Return an edge node, connected or not; an unknown one is added."""
        edge = self._edges.get(name)
        if edge is None:
            edge = self._edges[name] = EdgeNode(name)
        return edge

    def is_local(self, name: str) -> bool:
        """Whether an edge node is in the owner's zone."""
        return self.get_or_add(name).zone == self._zone

    def choose(self, origin: str, service: str, avoided: str = "") -> EdgeNode | None:
        """Choose the edge node for a delivery; None where none has capacity.

        It is the origin, which accepted the message, else a random one, preferably in the owner's zone.
        Nothing goes to `avoided`, at which the message was not run, unless there is no other node.
        """
        origin_node = self._edges.get(origin)
        if origin_node is not None and origin_node.name != avoided and origin_node.has_capacity(service):
            return origin_node
        candidates = [edge for edge in self._edges.values() if edge.has_capacity(service)]
        others = [edge for edge in candidates if edge.name != avoided]
        return self._choose_among(others or candidates)

    def choose_for_callback(self, receiver: str, failures: int) -> EdgeNode | None:
        """Choose the edge node for a call-back; None where none is connected.

        It is the same one for a receiver, in the owner's zone where there is one: so few nodes hold
        connections to the receiver and use them again. After each failure it is another one.
        """
        connected = [edge for edge in self._edges.values() if edge.connected]
        local = [edge for edge in connected if edge.zone == self._zone] or connected
        local.sort(key=lambda edge: edge.name)
        return local[(crc32(receiver.encode()) + failures) % len(local)] if local else None

    def holds_body(self, edge: EdgeNode, tracked: TrackedMessage) -> bool:
        """Whether an edge node still has a message's body: its present process accepted it from the client.

        It drops the body with the first delivery. Of messages that an earlier owner accepted the origin's
        process may have ended unnoticed.
        """
        entry = tracked.entry
        is_first = tracked.accepted_by_this_owner and entry.leases_granted == 1
        return is_first and edge.name == entry.message.origin and entry.accepted_at > edge.process_ended_at

    def _choose_among(self, candidates: list[EdgeNode]) -> EdgeNode | None:
        local = [edge for edge in candidates if edge.zone == self._zone]
        pool = local or candidates
        return self._random.choice(pool) if pool else None
