"""Records of the configuration feed: subscription, updates, refusals, and the endpoint catalogue."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.group_messages import GroupPlacement, MemberAddress


class FeedSubscribe(Struct, frozen=True):
    """Wants the feed from these offsets on; -1: from a snapshot."""

    configuration_version: int
    placement_generation: int
    wants_catalogue: bool


class FeedUpdate(Struct, frozen=True):
    """What changed since the subscriber's offsets; also sent unchanged as a heartbeat.

    `configuration` is the whole document where it changed, packed (`configuration.feed`). `epoch` is the
    sender's term.
    """

    epoch: int
    configuration_version: int
    configuration: bytes | None
    placement_generation: int
    placement: tuple[GroupPlacement, ...] | None
    edge_node_count: int  # how many edge nodes there are, as far as known; for shares of common limits


class FeedRefused(Struct, frozen=True):
    """The asked node does not lead the configuration group."""

    leader_address: str  # "" where it isn't known
    members: tuple[MemberAddress, ...]


class CatalogueEntry(Struct, frozen=True):
    """A worker of the platform's list."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warming_up: bool  # started a moment ago, slow still


class CatalogueUpdate(Struct, frozen=True):
    """The platform's list as last read. `age_ms`: since that reading began. `entries` None: as before."""

    epoch: int
    serial: int  # rises with each change of the entries, within an epoch
    age_ms: int
    entries: tuple[CatalogueEntry, ...] | None
