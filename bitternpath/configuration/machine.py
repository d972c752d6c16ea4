"""The replicated state of the configuration group: the document in force, accepted orders, and placement.

Commands are applied in log order on every replica and give the same state everywhere.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from bitternpath.configuration.documents import Configuration, parse_configuration
from bitternpath.transport.codec import RecordCodec, RecordSet
from bitternpath.transport.messages import GroupPlacement

REMEMBERED_ORDERS = 4096  # digests of accepted orders, so that one that is sent again is acknowledged again


@dataclass(frozen=True, slots=True)
class AcceptOrder:
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
class RetireNode:
    """A storage node is to be emptied, or no longer."""

    node: str
    retired: bool


COMMANDS = RecordSet(AcceptOrder, SetPlacement, RetireNode)


@dataclass(frozen=True, slots=True)
class OrderDigest:
    """An accepted order, for snapshots."""

    digest: bytes
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """The whole state."""

    document: bytes
    orders: tuple[OrderDigest, ...]
    placement_generation: int
    groups: tuple[GroupPlacement, ...]
    retired: tuple[str, ...]


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
        self.retired: set[str] = set()
        self._orders: OrderedDict[bytes, int] = OrderedDict()

    @property
    def version(self) -> int:
        """Of the document in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def accepted_as(self, digest: bytes) -> int | None:
        """The version that an order made, if it was accepted."""
        return self._orders.get(digest)

    def may_have_forgotten(self, base: int) -> bool:
        """Whether an order on that version may have been accepted whose digest isn't kept any more.

        Each accepted order builds on the version that the one before it made, so all orders on the oldest
        remembered version or a later one are remembered.
        """
        oldest = next(iter(self._orders.values()), 0)
        return len(self._orders) >= self._remembered and base < oldest

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command; True where it took effect."""
        match COMMANDS.decode(command):
            case AcceptOrder() as order:
                return self._accept(order)
            case SetPlacement() as placement:
                return self._place(placement)
            case RetireNode(node, retired):
                return self._retire(node, retired)
        return False

    def snapshot(self) -> bytes:
        """The state as bytes."""
        orders = tuple(OrderDigest(digest, version) for digest, version in self._orders.items())
        return _SNAPSHOT.encode(
            ConfigurationSnapshot(
                self.document, orders, self.placement_generation, self.groups, tuple(sorted(self.retired))
            )
        )

    def restore(self, data: bytes) -> None:
        """Take on the state that `snapshot` gave."""
        snapshot: ConfigurationSnapshot = _SNAPSHOT.decode(data)
        self._orders = OrderedDict((order.digest, order.version) for order in snapshot.orders)
        self.placement_generation, self.groups = snapshot.placement_generation, snapshot.groups
        self.retired = set(snapshot.retired)
        if snapshot.document:
            self._put(snapshot.document)

    def _accept(self, order: AcceptOrder) -> bool:
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
        if placement.base != self.placement_generation:
            return False
        self.placement_generation += 1
        self.groups = placement.groups
        return True

    def _retire(self, node: str, retired: bool) -> bool:
        if retired:
            self.retired.add(node)
        else:
            self.retired.discard(node)
        return True
