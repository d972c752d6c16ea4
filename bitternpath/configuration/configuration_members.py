"""Selection of the members of the configuration's own replica group. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.membership.bootstrap import MAX_FOUNDING_MEMBERS, member_id
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.transport.node_messages import NodeDescriptor

# A member that hasn't answered a heartbeat for this long is removed if enough others are up. The state of the
# group is small, so a member that returns catches up within milliseconds.
UNRESPONSIVE_AFTER_S = 1.0


def desired_members(
    current: Members,
    present: Sequence[NodeDescriptor],
    unresponsive_for: Callable[[str], float],
    required_voters: int,
) -> list[str]:
    """The desired member ids of the configuration group; `replication.reconfiguration` makes the changes.

    A node that has returned with a different disk replaces its earlier member. New nodes are added up to
    `MAX_FOUNDING_MEMBERS` members. Members that are neither present nor responding to the owner are removed
    if at least `required_voters` others remain, and don't prevent a new node from being added.

    Args:
        current: the group's committed members.
        present: nodes that are up and count towards the fault tolerance.
        unresponsive_for: seconds since the member on a node (by name) last responded to the owner.
        required_voters: number of voters that the fault tolerance requires (2f+1).
    """
    present_members = {node.name: member_id(node) for node in present}
    retained = list(dict.fromkeys(present_members.get(node_of(voter), voter) for voter in current.voters))
    joining = [member for member in sorted(present_members.values()) if member not in retained]
    unavailable = [
        member
        for member in retained
        if member not in present_members.values() and unresponsive_for(node_of(member)) > UNRESPONSIVE_AFTER_S
    ]
    desired = [member for member in retained if member not in unavailable]
    desired += joining[: max(max(MAX_FOUNDING_MEMBERS, required_voters) - len(desired), 0)]
    return desired if len(desired) >= required_voters else desired + unavailable
