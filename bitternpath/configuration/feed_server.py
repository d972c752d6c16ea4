"""The owner's end of the configuration feed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bitternpath.configuration.feed_documents import pack_document
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

HEARTBEAT_S = 0.4


@dataclass(slots=True)
class _Subscriber:
    version: int
    generation: int
    wants_catalogue: bool
    catalogue_serial: int = -1


class FeedServer:
    """Serves the feed while this node owns the configuration group."""

    def __init__(
        self, reactor: Any, state: ConfigurationState, has_lease: Callable[[], bool] = lambda: True
    ) -> None:
        """`has_lease`: whether a majority was heard so lately that there is no later owner yet."""
        self.reactor, self.state, self._has_lease = reactor, state, has_lease
        self.epoch = 0  # of this ownership: the group's own may already be a later owner's
        self._subscribers: dict[Link, _Subscriber] = {}
        self._timer: Any = None
        self.catalogue: CatalogueUpdate | None = None
        self.serving = False
        self._packed: tuple[int, bytes] = (0, b"")  # the version that was packed last

    def begin(self, epoch: int) -> None:
        """This node owns the group now."""
        self.epoch = epoch
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
        if self._has_lease():
            self._send(link, subscriber, self._edge_nodes())

    def dropped(self, link: Link) -> None:
        """A link has ended."""
        self._subscribers.pop(link, None)

    def publish(self) -> None:
        """The state has changed."""
        if self.serving and self._has_lease():
            edge_node_count = self._edge_nodes()
            for link, subscriber in self._subscribers.items():
                self._send(link, subscriber, edge_node_count)

    def publish_catalogue(self, update: CatalogueUpdate) -> None:
        """The platform's list was read."""
        self.catalogue = update
        if not self._has_lease():
            return
        for link, subscriber in self._subscribers.items():
            self._send_catalogue(link, subscriber, update)

    def subscribed_nodes(self) -> list[NodeDescriptor]:
        """The nodes that follow now. Of two links to one, the last: the other is about to be given up."""
        peers = [link.peer for link in self._subscribers if link.peer is not None]
        return list({peer.name: peer for peer in peers}.values())

    def heard_at(self) -> list[tuple[NodeDescriptor, float]]:
        """The nodes that follow now, and when each was last heard."""
        return [(link.peer, link.heard_at) for link in self._subscribers if link.peer is not None]

    def _beat(self) -> None:
        self.publish()
        self._timer = self.reactor.callLater(HEARTBEAT_S, self._beat)

    def _edge_nodes(self) -> int:
        return max(sum(node.kind is NodeKind.EDGE for node in self.subscribed_nodes()), 1)

    def _send(self, link: Link, subscriber: _Subscriber, edge_node_count: int) -> None:
        state = self.state
        document = self._document() if state.version > subscriber.version else None
        placed = state.groups if state.placement_generation > subscriber.generation else None
        link.send(
            FeedUpdate(
                self.epoch, state.version, document, state.placement_generation, placed, edge_node_count
            )
        )
        subscriber.version, subscriber.generation = state.version, state.placement_generation
        if self.catalogue is not None and subscriber.catalogue_serial < 0:
            self._send_catalogue(link, subscriber, self.catalogue)

    def _document(self) -> bytes:
        """The document in force, packed once for all."""
        if self._packed[0] != self.state.version:
            self._packed = self.state.version, pack_document(self.state.document)
        return self._packed[1]

    def _send_catalogue(self, link: Link, subscriber: _Subscriber, update: CatalogueUpdate) -> None:
        if not subscriber.wants_catalogue:
            return
        entries = None if subscriber.catalogue_serial == update.serial else update.entries
        link.send(CatalogueUpdate(update.epoch, update.serial, update.age_ms, entries))
        subscriber.catalogue_serial = update.serial
