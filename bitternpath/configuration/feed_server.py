"""Server of the configuration feed on the owner: sends each subscriber a snapshot, then changes.

Offsets are the version of the document and the generation of the placement. A subscriber receives everything
that is newer than its offsets. If nothing has changed, an empty update is sent as a heartbeat.

Nothing is sent while the owner has no leader lease, i.e. no recent confirmation by a majority. Subscribers
then time out and search for another owner. This makes them leave a partitioned owner, which doesn't know of
its successor.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bitternpath.configuration.feed_documents import pack_document
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.net.clock import Clock, Timer
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

HEARTBEAT_INTERVAL_S = 0.4

_NEVER_SENT = -1  # lower than any catalogue serial


@dataclass(slots=True)
class _Subscriber:
    """A subscription with the subscriber's offsets, which are known since links deliver in order."""

    version: int
    generation: int
    wants_catalogue: bool
    catalogue_serial: int = _NEVER_SENT


@dataclass(frozen=True, slots=True)
class _PackedDocument:
    version: int
    packed: bytes


class FeedServer:
    """Serves the feed while this node owns the configuration group.

    Attributes:
        epoch: term of this ownership. The group's current term may already be that of a later owner.
        serving: whether this node currently serves the feed.
        catalogue: the endpoint catalogue that this owner read last; None before the first one.
    """

    def __init__(
        self,
        reactor: Clock,
        state: ConfigurationState,
        has_lease: Callable[[], bool] = lambda: True,
    ) -> None:
        """Create a server that doesn't serve yet.

        Args:
            reactor: clock and timers.
            state: this node's replica of the configuration.
            has_lease: whether a majority has responded so recently that there can't be a later owner yet.
        """
        self.epoch = 0
        self.serving = False
        self.catalogue: CatalogueUpdate | None = None
        self._reactor = reactor
        self._state = state
        self._has_lease = has_lease
        self._subscribers: dict[Link, _Subscriber] = {}
        self._heartbeat: Timer | None = None
        self._packed = _PackedDocument(0, b"")  # cache of the last version sent

    def begin(self, epoch: int) -> None:
        """Start to serve the feed, because this node became the owner."""
        self.epoch = epoch
        self.serving = True
        self._send_heartbeat()

    def end(self, refusal: FeedRefused) -> None:
        """Stop serving and redirect all subscribers, because this node lost ownership."""
        self.serving = False
        self.catalogue = None
        if self._heartbeat is not None and self._heartbeat.active():
            self._heartbeat.cancel()
        subscribers = self._subscribers
        self._subscribers = {}
        for link in subscribers:
            link.send(refusal)

    def subscribe(self, link: Link, request: FeedSubscribe) -> None:
        """Add a subscriber or reset its offsets, and send everything newer."""
        subscriber = _Subscriber(
            request.configuration_version, request.placement_generation, request.wants_catalogue
        )
        self._subscribers[link] = subscriber
        if self._has_lease():
            self._send(link, subscriber, self._edge_node_count())

    def link_closed(self, link: Link) -> None:
        """Remove the subscription of a closed link."""
        self._subscribers.pop(link, None)

    def publish(self) -> None:
        """Send all subscribers the changes that they lack."""
        if self.serving and self._has_lease():
            edge_node_count = self._edge_node_count()
            for link, subscriber in self._subscribers.items():
                self._send(link, subscriber, edge_node_count)

    def publish_catalogue(self, update: CatalogueUpdate) -> None:
        """Send a newly read catalogue to all subscribers that want it."""
        self.catalogue = update
        if not self._has_lease():
            return
        for link, subscriber in self._subscribers.items():
            self._send_catalogue(link, subscriber, update)

    def subscribed_nodes(self) -> list[NodeDescriptor]:
        """The subscribed nodes. If a node has two links, the later one counts, since the other is closing."""
        peers = [link.peer for link in self._subscribers if link.peer is not None]
        return list({peer.name: peer for peer in peers}.values())

    def last_contacts(self) -> list[tuple[NodeDescriptor, float]]:
        """The subscribed node of each link, and the time of the last contact by the reactor's clock."""
        return [(link.peer, link.received_at) for link in self._subscribers if link.peer is not None]

    def _send_heartbeat(self) -> None:
        self.publish()
        self._heartbeat = self._reactor.callLater(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _edge_node_count(self) -> int:
        return max(sum(node.kind is NodeKind.EDGE for node in self.subscribed_nodes()), 1)

    def _send(self, link: Link, subscriber: _Subscriber, edge_node_count: int) -> None:
        state = self._state
        has_new_version = state.version > subscriber.version
        has_new_placement = state.placement_generation > subscriber.generation
        link.send(
            FeedUpdate(
                epoch=self.epoch,
                configuration_version=state.version,
                configuration=self._packed_document() if has_new_version else None,
                placement_generation=state.placement_generation,
                placement=state.groups if has_new_placement else None,
                edge_node_count=edge_node_count,
            )
        )
        subscriber.version = state.version
        subscriber.generation = state.placement_generation
        if self.catalogue is not None and subscriber.catalogue_serial == _NEVER_SENT:
            self._send_catalogue(link, subscriber, self.catalogue)

    def _packed_document(self) -> bytes:
        """The current document, compressed once for all subscribers."""
        if self._packed.version != self._state.version:
            self._packed = _PackedDocument(self._state.version, pack_document(self._state.document))
        return self._packed.packed

    def _send_catalogue(self, link: Link, subscriber: _Subscriber, update: CatalogueUpdate) -> None:
        if not subscriber.wants_catalogue:
            return
        entries = None if subscriber.catalogue_serial == update.serial else update.entries
        link.send(CatalogueUpdate(update.epoch, update.serial, update.age_ms, entries))
        subscriber.catalogue_serial = update.serial
