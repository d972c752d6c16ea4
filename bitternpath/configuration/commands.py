"""Commands of the configuration group's log.

The log is stored: the order of the records in `COMMANDS` and of the fields in a record must stay as it is
(Avro, schemaless). A new command goes to the end of the set.
"""

from __future__ import annotations

from dataclasses import dataclass

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.group_messages import GroupPlacement


@dataclass(frozen=True, slots=True)
class ReplaceDocument:
    """Put an operator's change in force: a complete document in place of version `base`.

    No effect where another version is in force.

    Attributes:
        base: version that the change builds on; 0 for the first configuration.
        digest: `ChangeRequest.digest()` of the request, by which a retry is recognised.
        document: the complete resulting document, JSON.
    """

    base: int
    digest: bytes
    document: bytes


@dataclass(frozen=True, slots=True)
class SetPlacement:
    """Set the desired members of all queue shards.

    No effect unless it builds on the current generation, and where it would put a replica on a retired node.

    Attributes:
        base: placement generation that it builds on.
        groups: all queue shards.
    """

    base: int
    groups: tuple[GroupPlacement, ...]


@dataclass(frozen=True, slots=True)
class UpdateStorageMembers:
    """Record storage nodes that have joined, or are permanently removed.

    Attributes:
        added: member ids.
        removed: member ids.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RetireNode:
    """Begin to empty a storage node; no effect unless enough nodes are left.

    Attributes:
        member: member id of the node.
        remaining: member ids of the nodes that would be left, when the command was proposed.
        least: how many of `remaining` must not be retired themselves when the command is applied.
    """

    member: str
    remaining: tuple[str, ...]
    least: int


@dataclass(frozen=True, slots=True)
class FinishRetirement:
    """Record that a retired node holds no replica any more; no effect where the placement has changed since.

    Attributes:
        node: the node's name.
        placement_generation: generation at which, or after which, the owners of all shards have reported
            committed members without the node.
    """

    node: str
    placement_generation: int


COMMANDS = RecordSet(ReplaceDocument, SetPlacement, RetireNode, UpdateStorageMembers, FinishRetirement)
