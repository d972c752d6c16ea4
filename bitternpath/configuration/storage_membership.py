"""Which storage nodes belong to the system, and which of them are being retired: replicated state. Pure.

A node is a member from when it first subscribed to the configuration feed until it is retired, or has been
down for long and holds no replica. So a new owner of the configuration knows the nodes before any of them
has found it.

A retirement is of a node with its disk, and stays known after it has finished: the same disk never holds a
replica again, while a node that joins later under the same name, with another disk, is a new one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from bitternpath.replication.reconfiguration import node_of


@dataclass(frozen=True, slots=True)
class Retirement:
    """The retirement of a storage node.

    Attributes:
        member: member id, which is the node's name and the identity of its disk.
        done: no replica on the node is needed any more.
    """

    member: str
    done: bool


class StorageMembership:
    """The storage nodes: a part of the configuration group's state machine."""

    def __init__(self) -> None:
        """Without nodes."""
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
        """Replace the state by that of a snapshot."""
        self._members = {node_of(member): member for member in members}
        self._retirements = {node_of(retirement.member): retirement for retirement in retirements}

    def retirement(self, node: str) -> Retirement | None:
        """The last retirement of a node, by its name."""
        return self._retirements.get(node)

    def is_retired(self, member: str) -> bool:
        """Whether a member may hold no replica: its node is being retired, or its disk was."""
        retirement = self._retirements.get(node_of(member))
        return retirement is not None and (not retirement.done or retirement.member == member)

    def update(self, added: Iterable[str], removed: Iterable[str]) -> None:
        """Record members that have joined, and members that are permanently removed."""
        for member in removed:
            if self._members.get(node_of(member)) == member:
                del self._members[node_of(member)]
        for member in added:
            if not self.is_retired(member):
                self._members[node_of(member)] = member

    def retire(self, member: str, remaining: Collection[str], least: int) -> bool:
        """Begin to retire a member; False where fewer than `least` nodes of the `remaining` would be left."""
        if self.is_retired(member):
            return True
        left = {node_of(each) for each in remaining if not self.is_retired(each)} - {node_of(member)}
        if len(left) < least:
            return False
        self._retirements[node_of(member)] = Retirement(member, done=False)
        return True

    def finish_retirement(self, node: str) -> bool:
        """Record that a node holds no replica that is needed; True where that wasn't known."""
        retirement = self._retirements.get(node)
        if retirement is None or retirement.done:
            return False
        self._retirements[node] = replace(retirement, done=True)
        self._members.pop(node, None)
        return True
