"""Commands of the configuration group's log."""

from __future__ import annotations

from dataclasses import dataclass

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.group_messages import GroupPlacement


@dataclass(frozen=True, slots=True)
class ReplaceDocument:
    """An operator's change: the whole resulting document, in place of version `base`."""

    base: int
    digest: bytes  # of the order as it was sent
    document: bytes  # JSON


@dataclass(frozen=True, slots=True)
class SetPlacement:
    """Desired members of all queue shards; no effect unless it builds on the current generation."""

    base: int
    groups: tuple[GroupPlacement, ...]


@dataclass(frozen=True, slots=True)
class UpdateStorageMembers:
    """Storage nodes have come, or are gone for good; each as a member id."""

    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RetireNode:
    """A storage node is to be emptied; no effect unless `least` of the `remaining` members are left then."""

    member: str
    remaining: tuple[str, ...]
    least: int


@dataclass(frozen=True, slots=True)
class FinishRetirement:
    """No shard has a replica on a node, as committed by the shards' groups at this placement or a later one.
    No effect where the placement has changed since."""

    node: str
    placement_generation: int


COMMANDS = RecordSet(ReplaceDocument, SetPlacement, RetireNode, UpdateStorageMembers, FinishRetirement)
