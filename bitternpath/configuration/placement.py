"""Where the queue shards' replicas are. Pure: desired members from the storage nodes that are known.

The number of shards is fixed when the system is founded, because it decides where a message is kept. Each
shard has 2f+1 replicas in different zones where there are enough; the first one named is the preferred owner.
A change moves the least: a replica stays where it is unless its node is gone, retired or has lost its disk.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Collection, Sequence

from msgspec.structs import replace

from bitternpath.membership.bootstrap import MAX_FOUNDING_MEMBERS, member_address, member_id
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.node_messages import NodeDescriptor

# A node that is away is replaced soon where another has just come that keeps nothing: it has come for that,
# and is to have caught up within `catch_up_s` of its start. Else the node is waited for: most come back
# within seconds, and moving its shards costs more than waiting. Where a spare has been there all the time,
# no replacement has begun, so there is time to see whether the node comes back.
AWAY_WITH_SPARE_S = 1.5
AWAY_WITH_IDLE_SPARE_S = 5.0
AWAY_WITHOUT_SPARE_S = 30.0
# A member of the configuration group that answers no heartbeat for so long doesn't count where enough others
# are there: its state is small, so that it comes in again within milliseconds.
CORE_SILENT_S = 1.0
SPARE_IS_IDLE_AFTER_S = 10.0
LEAST_SHARDS = 3
MOST_SHARDS = 256


def shard_group(shard: int) -> str:
    """The replica group of a queue shard."""
    return f"queue-{shard}"


def shard_of(group: str) -> int:
    """The shard that a replica group keeps."""
    return int(group.removeprefix("queue-"))


def initial_placement(nodes: Sequence[NodeDescriptor], tolerated: int) -> tuple[GroupPlacement, ...]:
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
    by_name = {node.name: node for node in sorted(nodes, key=lambda node: node.incarnation) if node.disk}
    load = _load(groups)
    return tuple(_repaired(group, by_name, gone, tolerated, load) for group in groups)


def nodes_to_replace(
    groups: Sequence[GroupPlacement],
    present: Sequence[NodeDescriptor],
    retired: Collection[str],
    down_for: Callable[[str], float],
    up_for: Callable[[str], float] = lambda name: 0.0,
) -> frozenset[str]:
    """Names of nodes whose replicas are to move: retired ones, and those that have been away too long.

    `down_for` and `up_for` give seconds since a node was heard, and since it came.
    """
    placed = {member.node for group in groups for member in group.members}
    spares = {node.name for node in present if not down_for(node.name)} - placed - set(retired)
    patience = _patience([up_for(name) for name in spares])
    return frozenset(retired) | frozenset(name for name in placed if down_for(name) > patience)


def _patience(spares_here_for: Sequence[float]) -> float:
    if not spares_here_for:
        return AWAY_WITHOUT_SPARE_S
    return AWAY_WITH_SPARE_S if min(spares_here_for) < SPARE_IS_IDLE_AFTER_S else AWAY_WITH_IDLE_SPARE_S


def desired_members(
    current: Members, present: Sequence[NodeDescriptor], unresponsive_for: Callable[[str], float], wanted: int
) -> list[str]:
    """Members that the configuration group should have, with these counted nodes present.

    A node that has come back with another disk takes its own place. New nodes join, up to
    `MAX_FOUNDING_MEMBERS`. Members that neither are present nor answer the owner go only while `wanted`
    others stay: they don't take the place of a new one. `unresponsive_for` gives the seconds since a node's
    member answered.
    """
    members = {node.name: member_id(node) for node in present}
    kept = list(dict.fromkeys(members.get(node_of(voter), voter) for voter in current.voters))
    joining = [member for member in sorted(members.values()) if member not in kept]
    gone = [
        member
        for member in kept
        if member not in members.values() and unresponsive_for(node_of(member)) > CORE_SILENT_S
    ]
    stay = [member for member in kept if member not in gone]
    stay += joining[: max(max(MAX_FOUNDING_MEMBERS, wanted) - len(stay), 0)]
    return stay if len(stay) >= wanted else stay + gone


def _repaired(
    group: GroupPlacement,
    nodes: dict[str, NodeDescriptor],
    gone: frozenset[str],
    tolerated: int,
    load: dict[str, int],
) -> GroupPlacement:
    kept = {
        place: _as_it_is_now(member, nodes)
        for place, member in enumerate(group.members)
        if member.node not in gone
    }
    wanted = 2 * tolerated + 1
    for place in range(max(wanted, len(group.members))):
        if place in kept or len(kept) >= wanted:
            continue
        chosen = _replacement(list(kept.values()), nodes, gone, load)
        if chosen is not None:  # in the lost one's place, so that it is the preferred owner of as many shards
            kept[place] = member_address(chosen)
            load[chosen.name] += 1
    for place, member in enumerate(group.members):
        if place not in kept and len(kept) < wanted:
            kept[place] = member  # nobody can take its place: it stays named
    members = tuple(kept[place] for place in sorted(kept))
    if members == group.members:
        return group
    return GroupPlacement(group.group, group.generation + 1, members)


def _as_it_is_now(member: MemberAddress, nodes: dict[str, NodeDescriptor]) -> MemberAddress:
    """The member that its node is now: another one where the disk is empty, perhaps at another address."""
    node = nodes.get(member.node)
    if node is None:
        return member
    if member_id(node) != member.member:
        return member_address(node)
    return replace(member, address=node.address)


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
