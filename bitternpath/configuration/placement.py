"""Where the queue shards' replicas are. Pure: desired members from the storage nodes that are known.

The number of shards is fixed when the system is founded, because it decides where a message is kept. Each
shard has 2f+1 replicas in different zones where there are enough; the first one named is the preferred owner.
A change moves the least: a replica stays where it is unless its node is gone, retired or has lost its disk.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace

from bitternpath.membership.founding import MOST_FOUNDERS, member_address, member_id
from bitternpath.replication.records import Members
from bitternpath.transport.messages import GroupPlacement, MemberAddress, NodeDescriptor

# A node that is away is replaced soon where another waits that keeps nothing yet: it has come for that. Else
# the node is waited for: most come back within seconds, and moving its shards costs more than waiting.
AWAY_WITH_SPARE_S = 1.5
AWAY_WITHOUT_SPARE_S = 30.0
LEAST_SHARDS = 3
MOST_SHARDS = 256


def shard_group(shard: int) -> str:
    """The replica group of a queue shard."""
    return f"queue-{shard}"


def shard_of(group: str) -> int:
    """The shard that a replica group keeps."""
    return int(group.removeprefix("queue-"))


def first_placement(nodes: Sequence[NodeDescriptor], tolerated: int) -> tuple[GroupPlacement, ...]:
    """Shards for a new system: one for each storage node, so that each owns one."""
    ring = _interleaved(nodes)
    shards = min(max(len(ring), LEAST_SHARDS), MOST_SHARDS)
    copies = min(2 * tolerated + 1, len(ring))
    return tuple(
        GroupPlacement(shard_group(shard), 1, _members(ring, shard, copies)) for shard in range(shards)
    )


def repaired_placement(
    groups: Sequence[GroupPlacement], nodes: Sequence[NodeDescriptor], gone: frozenset[str], tolerated: int
) -> tuple[GroupPlacement, ...]:
    """The placement without members whose disk is lost and without `gone` nodes (names), as far as there are
    others to take their place; groups that don't change keep their generation."""
    by_name = {node.name: node for node in nodes if node.disk}
    load = _load(groups)
    return tuple(_repaired(group, by_name, gone, tolerated, load) for group in groups)


def nodes_to_replace(
    groups: Sequence[GroupPlacement],
    present: Sequence[NodeDescriptor],
    retired: Collection[str],
    away_for: Callable[[str], float],
) -> frozenset[str]:
    """Names of nodes whose replicas are to move: retired ones, and those that have been away too long."""
    placed = {member.node for group in groups for member in group.members}
    spares = {node.name for node in present} - placed - set(retired)
    patience = AWAY_WITH_SPARE_S if spares else AWAY_WITHOUT_SPARE_S
    return frozenset(retired) | frozenset(name for name in placed if away_for(name) > patience)


def desired_members(
    current: Members, present: Sequence[NodeDescriptor], away_for: Callable[[str], float], wanted: int
) -> list[str]:
    """Members that the configuration group should have, with these counted nodes present.

    A node that has come back with another disk takes its own place. New nodes join, up to `MOST_FOUNDERS`.
    Members that are away go only while `wanted` others are present.
    """
    members = {node.name: member_id(node) for node in present}
    kept = [members.get(voter.partition("/")[0], voter) for voter in current.voters]
    joining = [member for member in sorted(members.values()) if member not in kept]
    desired = list(dict.fromkeys(kept))
    desired += joining[: max(MOST_FOUNDERS - len(desired), 0)]
    here = [member for member in desired if member in members.values()]
    for member in list(desired):
        away = away_for(member.partition("/")[0]) > AWAY_WITH_SPARE_S
        if away and member not in here and len(here) >= wanted:
            desired.remove(member)
    return desired


def _repaired(
    group: GroupPlacement,
    nodes: dict[str, NodeDescriptor],
    gone: frozenset[str],
    tolerated: int,
    load: dict[str, int],
) -> GroupPlacement:
    kept: list[MemberAddress] = []
    lost: list[MemberAddress] = []
    for member in group.members:
        node = nodes.get(member.node)
        if node is not None and node.name not in gone and member_id(node) != member.member:
            kept.append(member_address(node))  # the same machine with an empty disk
        elif node is not None and node.name not in gone and node.address != member.address:
            kept.append(replace(member, address=node.address))
        elif member.node in gone:
            lost.append(member)
        else:
            kept.append(member)
    wanted = max(2 * tolerated + 1, 1)
    while len(kept) < wanted:
        chosen = _replacement(kept, nodes, gone, load)
        if chosen is None:
            break
        kept.append(member_address(chosen))
        load[chosen.name] += 1
    kept += lost[: max(wanted - len(kept), 0)]  # nobody can take its place: it stays named
    members = tuple(kept)
    if members == group.members:
        return group
    return GroupPlacement(group.group, group.generation + 1, members)


def _replacement(
    kept: list[MemberAddress], nodes: dict[str, NodeDescriptor], gone: frozenset[str], load: dict[str, int]
) -> NodeDescriptor | None:
    """The least loaded node, in a zone of its own where there is one."""
    names = {member.node for member in kept}
    zones = {member.zone for member in kept}
    free = [node for node in nodes.values() if node.name not in names and node.name not in gone]
    return min(free, key=lambda node: (node.zone in zones, load[node.name], node.name), default=None)


def _load(groups: Sequence[GroupPlacement]) -> dict[str, int]:
    load: dict[str, int] = defaultdict(int)
    for group in groups:
        for member in group.members:
            load[member.node] += 1
    return load


def _interleaved(nodes: Sequence[NodeDescriptor]) -> list[NodeDescriptor]:
    """Nodes so ordered that neighbours are in different zones."""
    zones: dict[str, list[NodeDescriptor]] = defaultdict(list)
    for node in sorted(nodes, key=lambda node: node.name):
        zones[node.zone].append(node)
    ring: list[NodeDescriptor] = []
    rows = max((len(zone) for zone in zones.values()), default=0)
    for row in range(rows):
        ring += [zones[zone][row] for zone in sorted(zones) if row < len(zones[zone])]
    return ring


def _members(ring: list[NodeDescriptor], start: int, copies: int) -> tuple[MemberAddress, ...]:
    """`copies` nodes from a place of the ring on, in different zones as far as there are enough."""
    turned = [ring[(start + offset) % len(ring)] for offset in range(len(ring))]
    chosen = [turned[0]]
    for distinct in (True, False):
        for node in turned[1:]:
            zones = {member.zone for member in chosen}
            if len(chosen) < copies and node not in chosen and (not distinct or node.zone not in zones):
                chosen.append(node)
    return tuple(member_address(node) for node in chosen)
