"""Which storage nodes belong to the system, and which of them are being emptied: replicated state. Pure.

A node is in the roster from when it first followed the configuration group until it is retired, or has been
away for long and keeps nothing. So a new owner of the group knows the nodes before any of them has found it.

A retirement is of a node with its disk, and stays known after it is done: the same machine never keeps
anything again, while a machine that comes later under the same name, with another disk, is a new one.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from bitternpath.replication.reconfiguration import node_of


@dataclass(frozen=True, slots=True)
class Retirement:
    """An order to empty a node. `member` is its name and the identity of its disk."""

    member: str
    done: bool


class StorageMembership:
    """A part of the configuration group's state machine."""

    def __init__(self) -> None:
        self._members: dict[str, str] = {}  # member id by node
        self._retirements: dict[str, Retirement] = {}  # by node

    @property
    def members(self) -> tuple[str, ...]:
        """Ids of the storage nodes' members."""
        return tuple(self._members.values())

    @property
    def retirements(self) -> tuple[Retirement, ...]:
        """All that were ordered."""
        return tuple(self._retirements.values())

    def restore(self, members: Iterable[str], retirements: Iterable[Retirement]) -> None:
        """Take on the state of a snapshot."""
        self._members = {node_of(member): member for member in members}
        self._retirements = {node_of(each.member): each for each in retirements}

    def retirement(self, node: str) -> Retirement | None:
        """The last one of a node."""
        return self._retirements.get(node)

    def is_retired(self, member: str) -> bool:
        """Whether a member is to keep nothing, or nothing more."""
        found = self._retirements.get(node_of(member))
        return found is not None and (not found.done or found.member == member)

    def note(self, added: Iterable[str], removed: Iterable[str]) -> bool:
        """Nodes have come, or are gone for good."""
        for member in removed:
            if self._members.get(node_of(member)) == member:
                del self._members[node_of(member)]
        for member in added:
            if not self.is_retired(member):
                self._members[node_of(member)] = member
        return True

    def retire(self, member: str, remaining: Collection[str], least: int) -> bool:
        """Begin to empty a node; False where fewer than `least` of the `remaining` members would be left."""
        if self.is_retired(member):
            return True
        left = {node_of(each) for each in remaining if not self.is_retired(each)} - {node_of(member)}
        if len(left) < least:
            return False
        self._retirements[node_of(member)] = Retirement(member, done=False)
        return True

    def finish(self, node: str) -> bool:
        """A node keeps nothing any more that is needed; True where that is news."""
        found = self._retirements.get(node)
        if found is None or found.done:
            return False
        self._retirements[node] = replace(found, done=True)
        self._members.pop(node, None)
        return True
