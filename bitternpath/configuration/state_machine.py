"""The replicated state of the configuration group: the document in force, accepted orders, and placement.

Commands are applied in log order on every replica and give the same state everywhere.
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

REMEMBERED_ORDERS = 4096  # digests of accepted orders, so that one that is sent again is acknowledged again


@dataclass(frozen=True, slots=True)
class ChangeDigest:
    """An accepted order, for snapshots."""

    digest: bytes
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The whole state."""

    document: bytes
    orders: tuple[ChangeDigest, ...]
    placement_generation: int
    groups: tuple[GroupPlacement, ...]
    storage: tuple[str, ...]
    retirements: tuple[Retirement, ...]


_SNAPSHOT = RecordCodec(ConfigurationSnapshot)


class ConfigurationState:
    """State machine of the configuration group (see `replication.host.StateMachine`)."""

    def __init__(self, remembered: int = REMEMBERED_ORDERS) -> None:
        self._remembered = remembered
        self.document = b""
        self.raw: dict[str, Any] = {}
        self.configuration: Configuration | None = None
        self.placement_generation = 0
        self.groups: tuple[GroupPlacement, ...] = ()
        self.storage = StorageMembership()
        self._orders: OrderedDict[bytes, int] = OrderedDict()

    @property
    def version(self) -> int:
        """Of the document in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def accepted_as(self, digest: bytes) -> int | None:
        """The version that an order made, if it was accepted."""
        return self._orders.get(digest)

    def may_have_evicted(self, base: int) -> bool:
        """Whether an order on that version may have been accepted whose digest isn't kept any more.

        Each accepted order builds on the version that the one before it made, so all orders on the oldest
        remembered version or a later one are remembered.
        """
        oldest = next(iter(self._orders.values()), 0)
        return len(self._orders) >= self._remembered and base < oldest

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; True where it took effect."""
        match COMMANDS.decode(command):
            case ReplaceDocument() as order:
                return self._accept(order)
            case SetPlacement() as placement:
                return self._place(placement)
            case UpdateStorageMembers(added, removed):
                return self.storage.note(added, removed)
            case RetireNode(member, remaining, least):
                return self.storage.retire(member, remaining, least)
            case FinishRetirement() as finish:
                return self._finish(finish)
        return False

    def snapshot(self) -> bytes:
        """The state as bytes."""
        orders = tuple(ChangeDigest(digest, version) for digest, version in self._orders.items())
        return _SNAPSHOT.encode(
            ConfigurationSnapshot(
                self.document,
                orders,
                self.placement_generation,
                self.groups,
                self.storage.members,
                self.storage.retirements,
            )
        )

    def restore(self, data: bytes) -> None:
        """Take on the state that `snapshot` gave."""
        snapshot: ConfigurationSnapshot = _SNAPSHOT.decode(data)
        self._orders = OrderedDict((order.digest, order.version) for order in snapshot.orders)
        self.placement_generation, self.groups = snapshot.placement_generation, snapshot.groups
        self.storage.restore(snapshot.storage, snapshot.retirements)
        if snapshot.document:
            self._put(snapshot.document)

    def _accept(self, order: ReplaceDocument) -> bool:
        if order.base != self.version:
            return False
        self._put(order.document)
        self._orders[order.digest] = self.version
        while len(self._orders) > self._remembered:
            self._orders.popitem(last=False)
        return True

    def _put(self, document: bytes) -> None:
        self.document = document
        self.raw = json.loads(document)
        self.configuration = parse_configuration(self.raw)

    def _place(self, placement: SetPlacement) -> bool:
        if placement.base != self.placement_generation or self._fills_a_retired_node(placement):
            return False
        self.placement_generation += 1
        self.groups = placement.groups
        return True

    def _fills_a_retired_node(self, placement: SetPlacement) -> bool:
        """Whether a node that is being emptied, or is empty, is to get a replica that it hasn't."""
        has = {(group.group, member.member) for group in self.groups for member in group.members}
        return any(
            (group.group, member.member) not in has and self.storage.is_retired(member.member)
            for group in placement.groups
            for member in group.members
        )

    def _finish(self, finish: FinishRetirement) -> bool:
        placed = any(member.node == finish.node for group in self.groups for member in group.members)
        if placed or finish.placement_generation != self.placement_generation:
            return False
        return self.storage.finish(finish.node)
