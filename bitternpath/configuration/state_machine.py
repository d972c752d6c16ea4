"""The replicated state of the configuration group: current document, accepted changes, and placement.

Commands are applied in log order on every replica and must result in the same state everywhere, so nothing
here reads a clock or uses random numbers.
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

MAX_REMEMBERED_CHANGES = 4096  # digests that identify retries of accepted changes; about 32 bytes each


@dataclass(frozen=True, slots=True)
class ChangeDigest:
    """An accepted change in a snapshot: digest of the request and resulting version."""

    digest: bytes
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The complete state, as it is stored and sent. The order of the fields defines the encoding.

    Attributes:
        document: the current document as JSON; empty before the first one.
        accepted_changes: the remembered changes, oldest first.
        placement_generation: generation of `groups`.
        groups: desired members of all queue shards.
        storage: member ids of the storage nodes.
        retirements: the last retirement of each node that had one.
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
        document: the current document as JSON; empty before the first one.
        raw: the decoded `document`.
        configuration: the parsed `document`; None before the first one.
        placement_generation: increases with each change of `groups`.
        groups: desired members of all queue shards.
        storage: the storage nodes and their retirements.
    """

    def __init__(self, remembered: int = MAX_REMEMBERED_CHANGES) -> None:
        """Start empty. All replicas must have the same number of `remembered` changes."""
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
        """Version of the current document; 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def accepted_version_of(self, digest: bytes) -> int | None:
        """The version that a change resulted in; None if it wasn't accepted or isn't remembered any more."""
        return self._accepted.get(digest)

    def may_have_evicted(self, base: int) -> bool:
        """Whether a change based on version `base` may have been accepted and its digest evicted.

        Each accepted change is based on the version that its predecessor resulted in. All accepted changes
        based on the oldest remembered version or later ones are therefore remembered.
        """
        oldest = next(iter(self._accepted.values()), 0)
        return len(self._accepted) >= self._remembered and base < oldest

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command of `commands.COMMANDS`. Returns whether it took effect.

        `index` is the command's log index, which this state machine doesn't use.

        Raises:
            CodecError: not a command: the log is damaged or from a different revision.
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
        """Encode the state for `restore`."""
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
        """Replace the state with that of a snapshot.

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
        """Whether a retiring or retired node would get a new replica."""
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
