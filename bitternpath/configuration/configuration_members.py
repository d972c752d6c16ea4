"""Which nodes the configuration's own replica group should consist of. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.membership.bootstrap import MAX_FOUNDING_MEMBERS, member_id
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.transport.node_messages import NodeDescriptor

# A member that has answered no heartbeat for so long is dropped where enough others are up: the group's
# state is small, so that the member catches up within milliseconds when it comes back.
UNRESPONSIVE_AFTER_S = 1.0


def desired_members(
    current: Members,
    present: Sequence[NodeDescriptor],
    unresponsive_for: Callable[[str], float],
    required_voters: int,
) -> list[str]:
    """Member ids that the configuration group should have; `replication.reconfiguration` takes the steps.

    A node that has come back with another disk takes its own place. New nodes join, up to
    `MAX_FOUNDING_MEMBERS`. Members that neither are present nor answer the owner are dropped only while
    `required_voters` others stay: they don't take the place of a new one.

    Args:
        current: the group's committed members.
        present: nodes that are up and count for the fault tolerance.
        unresponsive_for: seconds since the member of a node (by name) last answered the owner.
        required_voters: how many voters the fault tolerance asks for (2f+1).
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
