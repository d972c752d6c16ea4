"""The replicated state of the configuration group: the document in force, accepted changes, and placement.

Commands are applied in log order on every replica and give the same state everywhere, so nothing here reads a
clock or draws a random number.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from bitternpath.configuration.commands import (
    COMMANDS,
    FinishRetirement,
    ReplaceDocument,
    RetireNode,
    SetPlacement,
    UpdateStorageMembers,
)
from bitternpath.configuration.documents import Configuration
from bitternpath.configuration.storage_membership import Retirement, StorageMembership
from bitternpath.configuration.validation import parse_configuration
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.group_messages import GroupPlacement

MAX_REMEMBERED_CHANGES = (
    4096  # digests of accepted changes, by which retries are acknowledged; ~32 bytes each
)


@dataclass(frozen=True, slots=True)
class ChangeDigest:
    """An accepted change in a snapshot: the request's digest and the version that it made."""

    digest: bytes
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The complete state, as it is stored and sent. The order of the fields is the stored form.

    Attributes:
        document: the document in force, JSON; empty before the first.
        accepted_changes: the remembered ones, oldest first.
        placement_generation: generation of `groups`.
        groups: desired members of all queue shards.
        storage: member ids of the storage nodes.
        retirements: all retirements that were ordered.
    """

    document: bytes
    accepted_changes: tuple[ChangeDigest, ...]
    placement_generation: int
    groups: tuple[GroupPlacement, ...]
    storage: tuple[str, ...]
    retirements: tuple[Retirement, ...]


_SNAPSHOT = RecordCodec(ConfigurationSnapshot)


class ConfigurationState:
    """State machine of the configuration group (see `replication.interfaces.StateMachine`).

    Attributes:
        document: the document in force, JSON; empty before the first.
        raw: `document` decoded.
        configuration: `document` parsed; None before the first.
        placement_generation: rises with each change of `groups`.
        groups: desired members of all queue shards.
        storage: the storage nodes and their retirements.
    """

    def __init__(self, remembered: int = MAX_REMEMBERED_CHANGES) -> None:
        """An empty state. `remembered`: how many accepted changes; the same on all replicas."""
        self.document = b""
        self.raw: dict[str, Any] = {}
        self.configuration: Configuration | None = None
        self.placement_generation = 0
        self.groups: tuple[GroupPlacement, ...] = ()
        self.storage = StorageMembership()
        self._remembered = remembered
        self._accepted: OrderedDict[bytes, int] = OrderedDict()  # version by digest, oldest first

    @property
    def version(self) -> int:
        """Version of the document in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def accepted_version_of(self, digest: bytes) -> int | None:
        """The version that a change made, if it was accepted and is remembered."""
        return self._accepted.get(digest)

    def may_have_evicted(self, base: int) -> bool:
        """Whether a change of that version may have been accepted whose digest isn't remembered any more.

        Each accepted change builds on the version that the one before it made, so all changes of the oldest
        remembered version or a later one are remembered.
        """
        oldest = next(iter(self._accepted.values()), 0)
        return len(self._accepted) >= self._remembered and base < oldest

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command of `commands.COMMANDS`; True where it took effect.

        `index` is its place in the log, which this state doesn't need.

        Raises:
            CodecError: not a command; the log is damaged or of another revision.
        """
        match COMMANDS.decode(command):
            case ReplaceDocument() as change:
                return self._replace_document(change)
            case SetPlacement() as placement:
                return self._set_placement(placement)
            case UpdateStorageMembers(added, removed):
                self.storage.update(added, removed)
                return True
            case RetireNode(member, remaining, least):
                return self.storage.retire(member, remaining, least)
            case FinishRetirement() as finish:
                return self._finish_retirement(finish)
        return False

    def snapshot(self) -> bytes:
        """The state as bytes, for `restore`."""
        return _SNAPSHOT.encode(
            ConfigurationSnapshot(
                document=self.document,
                accepted_changes=tuple(ChangeDigest(*item) for item in self._accepted.items()),
                placement_generation=self.placement_generation,
                groups=self.groups,
                storage=self.storage.members,
                retirements=self.storage.retirements,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises:
            CodecError: not a snapshot.
        """
        snapshot: ConfigurationSnapshot = _SNAPSHOT.decode(data)
        self._accepted = OrderedDict((each.digest, each.version) for each in snapshot.accepted_changes)
        self.placement_generation = snapshot.placement_generation
        self.groups = snapshot.groups
        self.storage.restore(snapshot.storage, snapshot.retirements)
        if snapshot.document:
            self._activate_document(snapshot.document)

    def _replace_document(self, change: ReplaceDocument) -> bool:
        if change.base != self.version:
            return False
        self._activate_document(change.document)
        self._accepted[change.digest] = self.version
        while len(self._accepted) > self._remembered:
            self._accepted.popitem(last=False)
        return True

    def _activate_document(self, document: bytes) -> None:
        self.document = document
        self.raw = json.loads(document)
        self.configuration = parse_configuration(self.raw)

    def _set_placement(self, placement: SetPlacement) -> bool:
        if placement.base != self.placement_generation or self._adds_to_retired_node(placement):
            return False
        self.placement_generation += 1
        self.groups = placement.groups
        return True

    def _adds_to_retired_node(self, placement: SetPlacement) -> bool:
        """Whether a node that is being emptied, or is empty, would get a replica that it doesn't hold."""
        placed = {(group.group, member.member) for group in self.groups for member in group.members}
        return any(
            (group.group, member.member) not in placed and self.storage.is_retired(member.member)
            for group in placement.groups
            for member in group.members
        )

    def _finish_retirement(self, finish: FinishRetirement) -> bool:
        is_placed = any(member.node == finish.node for group in self.groups for member in group.members)
        if is_placed or finish.placement_generation != self.placement_generation:
            return False
        return self.storage.finish_retirement(finish.node)
