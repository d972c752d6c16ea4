"""Records of the configuration feed: subscription, updates, refusals, and the endpoint catalogue."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.group_messages import GroupPlacement, MemberAddress


class FeedSubscribe(Struct, frozen=True):
    """Subscribes to the feed from these offsets on.

    Attributes:
        configuration_version: version that the subscriber has; -1 or 0 for none.
        placement_generation: generation that it has; -1 or 0 for none.
        wants_catalogue: whether to send the endpoint catalogue too.
    """

    configuration_version: int
    placement_generation: int
    wants_catalogue: bool


class FeedUpdate(Struct, frozen=True):
    """What changed since the subscriber's offsets; without a change, a heartbeat. Also a node's stored cache.

    Attributes:
        epoch: term of the sender.
        configuration_version: version in force.
        configuration: the complete document, packed by `configuration.feed_documents`; None where it
            has not changed.
        placement_generation: generation in force.
        placement: all queue shards; None where the subscriber has them.
        edge_node_count: how many edge nodes the system has, as far as known; for shares of common limits.
    """

    epoch: int
    configuration_version: int
    configuration: bytes | None
    placement_generation: int
    placement: tuple[GroupPlacement, ...] | None
    edge_node_count: int


class FeedRefused(Struct, frozen=True):
    """The asked node doesn't own the configuration.

    Attributes:
        leader_address: address of the node that it believes to be the owner; empty where it knows none.
        members: voters of the configuration group, as far as known.
    """

    leader_address: str
    members: tuple[MemberAddress, ...]


class CatalogueEntry(Struct, frozen=True):
    """A worker of the platform's endpoint list.

    Attributes:
        instance: the worker's name.
        service: the service that it serves.
        address: its ip:port.
        zone: its failure domain.
        slots: how many messages it runs at once.
        draining: it takes no new messages.
        warming_up: it started a moment ago and is slow still.
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
        serial: rises with each change of the entries, within an epoch.
        age_ms: milliseconds since the reading began.
        entries: None where they are those of the last update.
    """

    epoch: int
    serial: int
    age_ms: int
    entries: tuple[CatalogueEntry, ...] | None
