"""The feed by which all nodes follow the configuration group: a snapshot, then what changes.

The group's owner serves it (`FeedServer`); each node follows it (`FeedFollower`). Offsets are the version of
the document and the generation of the placement. Updates are also sent unchanged as heartbeats: a follower
that hears none looks for another owner. Offsets never go back in a process's life, and an update of an older
epoch is passed over.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import logbook

from bitternpath.configuration.documents import RoutingTable, parse_configuration
from bitternpath.configuration.machine import ConfigurationState
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.messages import (
    CatalogueUpdate,
    FeedRefused,
    FeedSubscribe,
    FeedUpdate,
    GroupPlacement,
    MemberAddress,
    NodeDescriptor,
    NodeKind,
)

log = logbook.Logger("feed")

HEARTBEAT_S = 0.4
SILENCE_S = 1.3  # three heartbeats
LOOK_S = 0.15  # how often a follower without an owner looks on
FEED_USER = "feed"


@dataclass(slots=True)
class _Subscriber:
    version: int
    generation: int
    wants_catalogue: bool
    catalogue_serial: int = -1


class FeedServer:
    """Serves the feed while this node owns the configuration group."""

    def __init__(self, reactor: Any, state: ConfigurationState, epoch: Callable[[], int]) -> None:
        self.reactor, self.state, self._epoch = reactor, state, epoch
        self._subscribers: dict[Link, _Subscriber] = {}
        self._timer: Any = None
        self.catalogue: CatalogueUpdate | None = None
        self.serving = False

    def begin(self) -> None:
        """This node owns the group now."""
        self.serving = True
        self._beat()

    def end(self, refusal: FeedRefused) -> None:
        """It doesn't any more: subscribers are sent on."""
        self.serving = False
        self.catalogue = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        subscribers, self._subscribers = self._subscribers, {}
        for link in subscribers:
            link.send(refusal)

    def subscribe(self, link: Link, wanted: FeedSubscribe) -> None:
        """A node follows from its offsets on."""
        subscriber = _Subscriber(
            wanted.configuration_version, wanted.placement_generation, wanted.wants_catalogue
        )
        self._subscribers[link] = subscriber
        self._send(link, subscriber)

    def dropped(self, link: Link) -> None:
        """A link has ended."""
        self._subscribers.pop(link, None)

    def publish(self) -> None:
        """The state has changed."""
        if self.serving:
            for link, subscriber in self._subscribers.items():
                self._send(link, subscriber)

    def publish_catalogue(self, update: CatalogueUpdate) -> None:
        """The platform's list was read."""
        self.catalogue = update
        for link, subscriber in self._subscribers.items():
            self._send_catalogue(link, subscriber, update)

    def followers(self) -> list[NodeDescriptor]:
        """The nodes that follow now."""
        return [link.peer for link in self._subscribers if link.peer is not None]

    def heard_at(self) -> list[tuple[NodeDescriptor, float]]:
        """The nodes that follow now, and when each was last heard."""
        return [(link.peer, link.heard_at) for link in self._subscribers if link.peer is not None]

    def _beat(self) -> None:
        self.publish()
        self._timer = self.reactor.callLater(HEARTBEAT_S, self._beat)

    def _send(self, link: Link, subscriber: _Subscriber) -> None:
        state = self.state
        document = state.document if state.version > subscriber.version else None
        placed = state.groups if state.placement_generation > subscriber.generation else None
        edges = sum(node.kind is NodeKind.EDGE for node in self.followers())
        link.send(
            FeedUpdate(
                self._epoch(), state.version, document, state.placement_generation, placed, max(edges, 1)
            )
        )
        subscriber.version, subscriber.generation = state.version, state.placement_generation
        if self.catalogue is not None and subscriber.catalogue_serial < 0:
            self._send_catalogue(link, subscriber, self.catalogue)

    def _send_catalogue(self, link: Link, subscriber: _Subscriber, update: CatalogueUpdate) -> None:
        if not subscriber.wants_catalogue:
            return
        entries = None if subscriber.catalogue_serial == update.serial else update.entries
        link.send(CatalogueUpdate(update.epoch, update.serial, update.age_ms, entries))
        subscriber.catalogue_serial = update.serial


class FeedListener(Protocol):
    """Who hears what the feed brings."""

    def configuration_changed(self, table: RoutingTable) -> None:
        """Another version is in force."""

    def placement_changed(self, generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """Shards have other members."""

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """The platform's list, as the owner has read it."""


class FeedFollower:
    """Follows the feed: finds the owner, subscribes, and looks on when it falls silent."""

    def __init__(
        self,
        reactor: Any,
        hub: NodeHub,
        listener: FeedListener,
        candidates: Callable[[], list[str]],
        wants_catalogue: bool,
    ) -> None:
        self.reactor, self.hub, self.listener = reactor, hub, listener
        self._candidates, self._wants_catalogue = candidates, wants_catalogue
        self.table: RoutingTable | None = None
        self.document: dict[str, Any] = {}
        self.placement_generation = 0
        self.groups: tuple[GroupPlacement, ...] = ()
        self.members: tuple[MemberAddress, ...] = ()
        self.edge_nodes = 1
        self.heard_at = float("-inf")
        self.epoch = 0
        self._address = ""
        self._link: Link | None = None  # subscribed on this one
        self._asked_at = float("-inf")
        self._timer: Any = None

    @property
    def version(self) -> int:
        """Of the configuration in force here; 0 before the first."""
        return self.table.version if self.table else 0

    @property
    def owner_address(self) -> str:
        """The address that the feed is followed from, or looked for at."""
        return self._address

    def owner_link(self) -> Link | None:
        """The link to the owner, while the feed is alive."""
        alive = self.reactor.seconds() - self.heard_at < SILENCE_S
        return self._link if alive and self._link is not None and self._link.open else None

    def start(self) -> None:
        """Begin to look for the owner."""
        self._look()

    def stop(self) -> None:
        """Follow no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def updated(self, link: Link, update: FeedUpdate) -> None:
        """The owner's word."""
        if update.epoch < self.epoch or link is not self._link:
            return
        self.epoch = update.epoch
        self.heard_at = self.reactor.seconds()
        self.edge_nodes = update.edge_nodes
        self._take(update)

    def restore(self, update: FeedUpdate) -> None:
        """Begin from what an earlier process of this node had heard."""
        self._take(update)

    def _take(self, update: FeedUpdate) -> None:
        if update.placement is not None and update.placement_generation > self.placement_generation:
            self.placement_generation, self.groups = update.placement_generation, update.placement
            self.listener.placement_changed(self.placement_generation, self.groups)
        if update.configuration and update.configuration_version > self.version:
            self.document = json.loads(update.configuration)
            self.table = RoutingTable(parse_configuration(self.document))
            log.info("event=configuration_in_force version={}", self.table.version)
            self.listener.configuration_changed(self.table)

    def refused(self, link: Link, refusal: FeedRefused) -> None:
        """The asked node doesn't own the group."""
        if link is not self._link:
            return
        self.members = refusal.members or self.members
        self._asked_at = float("-inf")
        if refusal.leader_address and refusal.leader_address != self._address:
            self._turn_to(refusal.leader_address)
        else:
            self._turn_to(self._other_candidate())

    def closed(self, link: Link) -> None:
        """A link has ended."""
        if link is self._link:
            self._link = None
            self._asked_at = float("-inf")

    def _look(self) -> None:
        self._timer = self.reactor.callLater(LOOK_S, self._look)
        now = self.reactor.seconds()
        if now - max(self.heard_at, self._asked_at) >= SILENCE_S:
            self._turn_to(self._other_candidate())
        self._subscribe()

    def _turn_to(self, address: str) -> None:
        if not address:
            return
        self._link = None
        if address != self._address and self._address:
            self.hub.hang_up(self._address, FEED_USER)
        self._address = address
        self._asked_at = self.reactor.seconds()
        self.hub.dial(address, FEED_USER)

    def _subscribe(self) -> None:
        link = self.hub.link_to(self._address) if self._address else None
        if link is None or link is self._link:
            return
        self._link = link
        self._asked_at = self.reactor.seconds()
        link.send(FeedSubscribe(self.version, self.placement_generation, self._wants_catalogue))

    def _other_candidate(self) -> str:
        addresses = [member.address for member in self.members]
        addresses += [address for address in self._candidates() if address not in addresses]
        addresses = [address for address in addresses if address != self._address] or addresses
        return self.hub.random.choice(addresses) if addresses else ""
