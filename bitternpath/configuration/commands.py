"""Commands in the configuration group's log.

The log is stored on disk as schemaless Avro, so the order of the records in `COMMANDS` and of the fields in a
record must not change. New commands are added at the end of the set.
"""

from __future__ import annotations

from dataclasses import dataclass

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.group_messages import GroupPlacement


@dataclass(frozen=True, slots=True)
class ReplaceDocument:
    """Apply an operator's change by replacing version `base` with a complete document.

    No effect if `base` isn't the current version.

    Attributes:
        base: version that the change is based on; 0 for the first configuration.
        digest: `ChangeRequest.digest()` of the request, which identifies retries.
        document: the complete resulting document as JSON.
    """

    base: int
    digest: bytes
    document: bytes


@dataclass(frozen=True, slots=True)
class SetPlacement:
    """Set the desired members of all queue shards.

    No effect if it isn't based on the current generation, or if it would add a replica to a retired node.

    Attributes:
        base: placement generation that it is based on.
        groups: all queue shards.
    """

    base: int
    groups: tuple[GroupPlacement, ...]


@dataclass(frozen=True, slots=True)
class UpdateStorageMembers:
    """Record storage nodes that have joined or were permanently removed.

    Attributes:
        added: member ids.
        removed: member ids.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RetireNode:
    """Start the retirement of a storage node. No effect if too few nodes would remain.

    Attributes:
        member: member id of the node.
        remaining: member ids of the nodes that would remain, as of the proposal.
        least: minimum number of `remaining` nodes that aren't retired when the command is applied.
    """

    member: str
    remaining: tuple[str, ...]
    least: int


@dataclass(frozen=True, slots=True)
class FinishRetirement:
    """Record that a retired node has no replica any more. No effect if the placement has changed since.

    Attributes:
        node: the node's name.
        placement_generation: the placement generation as of which, or later, the owners of all shards have
            reported committed members without the node.
    """

    node: str
    placement_generation: int


COMMANDS = RecordSet(ReplaceDocument, SetPlacement, RetireNode, UpdateStorageMembers, FinishRetirement)
