"""Replicated state of the storage nodes that belong to the system and of their retirements. Pure.

A node becomes a member when it first subscribes to the configuration feed. It is removed when it is retired,
or when it has been down for long and has no replicas. A new owner of the configuration therefore knows the
nodes before they have connected to it.

A retirement applies to a node and its disk, and is remembered after it has finished: the same disk never gets
a replica again. A node that later joins under the same name with a different disk is a new member.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from bitternpath.replication.reconfiguration import node_of


@dataclass(frozen=True, slots=True)
class Retirement:
    """The retirement of a storage node.

    Attributes:
        member: member id, which consists of the node's name and the identity of its disk.
        done: whether no replica on the node is needed any more.
    """

    member: str
    done: bool


class StorageMembership:
    """The storage nodes, as part of the configuration group's state machine."""

    def __init__(self) -> None:
        """Start without nodes."""
        self._members: dict[str, str] = {}  # member id by node
        self._retirements: dict[str, Retirement] = {}  # by node

    @property
    def members(self) -> tuple[str, ...]:
        """Member ids of the storage nodes, in the order in which they joined."""
        return tuple(self._members.values())

    @property
    def retirements(self) -> tuple[Retirement, ...]:
        """The last retirement of each node that had one."""
        return tuple(self._retirements.values())

    def restore(self, members: Iterable[str], retirements: Iterable[Retirement]) -> None:
        """Replace the state with that of a snapshot."""
        self._members = {node_of(member): member for member in members}
        self._retirements = {node_of(retirement.member): retirement for retirement in retirements}

    def retirement(self, node: str) -> Retirement | None:
        """The last retirement of a node, by its name."""
        return self._retirements.get(node)

    def is_retired(self, member: str) -> bool:
        """Whether a member must not get replicas: its node is being retired, or its disk was retired."""
        retirement = self._retirements.get(node_of(member))
        return retirement is not None and (not retirement.done or retirement.member == member)

    def update(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Record members that have joined and members that were permanently removed."""
        for member in removed:
            if self._members.get(node_of(member)) == member:
                del self._members[node_of(member)]
        for member in added:
            if not self.is_retired(member):
                self._members[node_of(member)] = member

    def retire(self, member: str, remaining: Collection[str], least: int) -> bool:
        """Start to retire a member. Returns False if fewer than `least` of `remaining` would be left."""
        if self.is_retired(member):
            return True
        left = {node_of(each) for each in remaining if not self.is_retired(each)} - {node_of(member)}
        if len(left) < least:
            return False
        self._retirements[node_of(member)] = Retirement(member, done=False)
        return True

    def finish_retirement(self, node: str) -> bool:
        """Record that no replica on a node is needed any more. Returns False if no retirement is running."""
        retirement = self._retirements.get(node)
        if retirement is None or retirement.done:
            return False
        self._retirements[node] = replace(retirement, done=True)
        self._members.pop(node, None)
        return True
