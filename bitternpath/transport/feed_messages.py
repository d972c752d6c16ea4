"""Records of the configuration feed: subscription, updates, refusals, and the endpoint catalogue."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.group_messages import GroupPlacement, MemberAddress


class FeedSubscribe(Struct, frozen=True):
    """Subscribes to the feed, starting after these offsets.

    Attributes:
        configuration_version: the version that the subscriber has; -1 or 0 for none.
        placement_generation: the generation that it has; -1 or 0 for none.
        wants_catalogue: whether to send the endpoint catalogue, too.
    """

    configuration_version: int
    placement_generation: int
    wants_catalogue: bool


class FeedUpdate(Struct, frozen=True):
    """Changes since the subscriber's offsets; without changes, a heartbeat. Also stored as a node's cache.

    Attributes:
        epoch: term of the sender.
        configuration_version: version in force.
        configuration: the complete document, packed by `configuration.feed_documents`; None if it is
            unchanged.
        placement_generation: generation in force.
        placement: all queue shards; None if the subscriber has them.
        edge_node_count: number of edge nodes in the system, as far as known; used to share common limits.
    """

    epoch: int
    configuration_version: int
    configuration: bytes | None
    placement_generation: int
    placement: tuple[GroupPlacement, ...] | None
    edge_node_count: int


class FeedRefused(Struct, frozen=True):
    """The receiver of a `FeedSubscribe` doesn't own the configuration.

    Attributes:
        leader_address: address of the presumed owner; empty if none is known.
        members: voters of the configuration group, as far as known.
    """

    leader_address: str
    members: tuple[MemberAddress, ...]


class CatalogueEntry(Struct, frozen=True):
    """A worker in the platform's endpoint list.

    Attributes:
        instance: the worker's name.
        service: the service that it belongs to.
        address: its ip:port.
        zone: its failure domain.
        slots: number of messages that it processes concurrently.
        draining: whether it accepts no new messages.
        warming_up: whether it started recently and is still slow.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warming_up: bool


class CatalogueUpdate(Struct, frozen=True):
    """The platform's endpoint list as last read by the configuration's owner.

    Attributes:
        epoch: term of the sender.
        serial: increases with each change of the entries, within an epoch.
        age_ms: milliseconds since the reading began.
        entries: None if they are those of the last update.
    """

    epoch: int
    serial: int
    age_ms: int
    entries: tuple[CatalogueEntry, ...] | None
