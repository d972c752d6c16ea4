"""Placement of the queue shards' replicas on storage nodes. Pure.

The number of shards is fixed when the system is bootstrapped, because the mapping of messages to shards
depends on it. Each shard has 2f+1 replicas, in different zones if there are enough. The first one is the
preferred owner. Changes move as few replicas as possible: a replica stays on its node unless the node is down
for long, is retired, or has lost its disk.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence

from msgspec.structs import replace

from bitternpath.membership.bootstrap import member_address, member_id
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.node_messages import NodeDescriptor

# A node that is down is replaced quickly if a spare (a node without replicas) has just joined, because the
# spare was added for this purpose and must catch up within `catch_up_s` of its start. Otherwise the node is
# given time to return: most nodes return within seconds, and moving shards costs more than waiting. A spare
# that has been idle for longer shows that no replacement is in progress.
DOWN_WITH_NEW_SPARE_S = 1.5
DOWN_WITH_IDLE_SPARE_S = 5.0
DOWN_WITHOUT_SPARE_S = 30.0
SPARE_IS_IDLE_AFTER_S = 10.0  # time since a spare joined

MIN_SHARDS = 3
MAX_SHARDS = 256

_GROUP_PREFIX = "queue-"


def shard_group(shard: int) -> str:
    """Name of a queue shard's replica group."""
    return f"{_GROUP_PREFIX}{shard}"


def shard_of(group: str) -> int:
    """Number of the shard that a replica group stores. Raises `ValueError` for other groups."""
    return int(group.removeprefix(_GROUP_PREFIX))


def initial_placement(nodes: Sequence[NodeDescriptor], tolerated: int) -> tuple[GroupPlacement, ...]:
    """The placement of a new system, with one shard per storage node, so that each node owns one.

    `tolerated` is the number of faults that the system must tolerate (f). With fewer than 2f+1 nodes, each
    shard has a replica on every node.
    """
    ring = _interleaved_by_zone(nodes)
    shard_count = min(max(len(ring), MIN_SHARDS), MAX_SHARDS)
    replica_count = min(2 * tolerated + 1, len(ring))
    return tuple(
        GroupPlacement(shard_group(shard), 1, _choose_members(ring, shard, replica_count))
        for shard in range(shard_count)
    )


def repaired_placement(
    groups: Sequence[GroupPlacement],
    nodes: Sequence[NodeDescriptor],
    to_replace: frozenset[str],
    tolerated: int,
) -> tuple[GroupPlacement, ...]:
    """The placement with lost members replaced, as far as there are nodes available.

    Unchanged groups keep their generation.

    Args:
        groups: the current placement.
        nodes: storage nodes that are up; a member whose node now has a different disk is lost.
        to_replace: names of nodes that must not have replicas (`nodes_to_replace`).
        tolerated: number of faults that the system must tolerate.
    """
    by_name = {node.name: node for node in sorted(nodes, key=lambda node: node.incarnation) if node.disk}
    repair = _Repair(by_name, to_replace, 2 * tolerated + 1, _replica_counts(groups))
    return tuple(repair.repaired(group) for group in groups)


def nodes_to_replace(
    groups: Sequence[GroupPlacement],
    present: Sequence[NodeDescriptor],
    retired: Collection[str],
    down_for: Callable[[str], float],
    up_for: Callable[[str], float] = lambda _name: 0.0,
) -> frozenset[str]:
    """Names of nodes whose replicas must be moved: retired nodes and nodes that have been down for too long.

    Args:
        groups: the current placement.
        present: storage nodes that are subscribed to the feed.
        retired: names of nodes that must not have replicas.
        down_for: seconds since a node (by name) was last contacted; 0 while it is up.
        up_for: seconds since a node (by name) joined.
    """
    placed = {member.node for group in groups for member in group.members}
    spares = {node.name for node in present if not down_for(node.name)} - placed - set(retired)
    limit = _down_limit([up_for(name) for name in spares])
    return frozenset(retired) | frozenset(name for name in placed if down_for(name) > limit)


def _down_limit(spares_up_for: Sequence[float]) -> float:
    """Seconds that a node may be down before it is replaced, depending on the age of the newest spare."""
    if not spares_up_for:
        return DOWN_WITHOUT_SPARE_S
    newest_spare = min(spares_up_for)
    return DOWN_WITH_NEW_SPARE_S if newest_spare < SPARE_IS_IDLE_AFTER_S else DOWN_WITH_IDLE_SPARE_S


class _Repair:
    """A repair of all groups. Updates `replica_counts` (by node) with each replica that it places."""

    def __init__(
        self,
        nodes: Mapping[str, NodeDescriptor],
        to_replace: frozenset[str],
        desired_replicas: int,
        replica_counts: dict[str, int],
    ) -> None:
        self._nodes = nodes
        self._to_replace = to_replace
        self._desired_replicas = desired_replicas
        self._replica_counts = replica_counts

    def repaired(self, group: GroupPlacement) -> GroupPlacement:
        """The group with lost members replaced; unchanged if no member is lost or replaceable."""
        retained = {
            slot: self._current_member(member)
            for slot, member in enumerate(group.members)
            if member.node not in self._to_replace
        }
        # A new member takes the slot of the lost one, so that it becomes preferred owner of the same shards.
        for slot in range(max(self._desired_replicas, len(group.members))):
            if slot in retained or len(retained) >= self._desired_replicas:
                continue
            replacement = self._replacement(list(retained.values()))
            if replacement is not None:
                retained[slot] = member_address(replacement)
                self._replica_counts[replacement.name] += 1
        for slot, member in enumerate(group.members):
            if slot not in retained and len(retained) < self._desired_replicas:
                retained[slot] = member  # stays in the placement, because no other node is available
        members = tuple(retained[slot] for slot in sorted(retained))
        if members == group.members:
            return group
        return GroupPlacement(group.group, group.generation + 1, members)

    def _current_member(self, member: MemberAddress) -> MemberAddress:
        """The current member of a node, which has changed if the node has a new disk or address."""
        node = self._nodes.get(member.node)
        if node is None:
            return member
        if member_id(node) != member.member:
            return member_address(node)
        return replace(member, address=node.address)

    def _replacement(self, retained: Sequence[MemberAddress]) -> NodeDescriptor | None:
        """The node with the fewest replicas, preferably in a zone without a replica of the group."""
        names = {member.node for member in retained}
        zones = {member.zone for member in retained}
        candidates = [
            node
            for node in self._nodes.values()
            if node.name not in names and node.name not in self._to_replace
        ]
        return min(
            candidates,
            key=lambda node: (node.zone in zones, self._replica_counts[node.name], node.name),
            default=None,
        )


def _replica_counts(groups: Sequence[GroupPlacement]) -> dict[str, int]:
    """Number of replicas by node; 0 for unknown nodes."""
    counts: dict[str, int] = defaultdict(int)
    for group in groups:
        for member in group.members:
            counts[member.node] += 1
    return counts


def _interleaved_by_zone(nodes: Sequence[NodeDescriptor]) -> list[NodeDescriptor]:
    """Order nodes so that neighbours are in different zones, as far as possible."""
    zones: dict[str, list[NodeDescriptor]] = defaultdict(list)
    for node in sorted(nodes, key=lambda node: node.name):
        zones[node.zone].append(node)
    ring: list[NodeDescriptor] = []
    rows = max((len(zone) for zone in zones.values()), default=0)
    for row in range(rows):
        ring += [zones[zone][row] for zone in sorted(zones) if row < len(zones[zone])]
    return ring


def _choose_members(ring: list[NodeDescriptor], start: int, replica_count: int) -> tuple[MemberAddress, ...]:
    """Choose nodes of the ring from the index `start` on, in different zones if there are enough."""
    candidates = [ring[(start + offset) % len(ring)] for offset in range(len(ring))]
    chosen = [candidates[0]]
    for needs_own_zone in (True, False):
        for node in candidates[1:]:
            zones = {member.zone for member in chosen}
            is_free = node not in chosen and (not needs_own_zone or node.zone not in zones)
            if len(chosen) < replica_count and is_free:
                chosen.append(node)
    return tuple(member_address(node) for node in chosen)
