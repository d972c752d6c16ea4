"""The system's nodes as the configuration's owner sees them: which follow the feed, are down or are new."""

from __future__ import annotations

from collections.abc import Collection

from bitternpath.configuration.feed_server import FeedServer
from bitternpath.configuration.liveness import NodeLiveness
from bitternpath.net.clock import Clock
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind


class LiveNodes:
    """Liveness of nodes, valid while this node owns the configuration group; `begin` restarts it."""

    def __init__(self, reactor: Clock, feed: FeedServer) -> None:
        """`feed` is served by this node while it is the owner."""
        self._reactor = reactor
        self._feed = feed
        self._liveness = NodeLiveness(reactor.seconds())
        self._owned_since = reactor.seconds()

    def begin(self, known: Collection[str]) -> None:
        """Restart for a new ownership; `known` are names of nodes that belong to the system already."""
        self._owned_since = self._reactor.seconds()
        self._liveness = NodeLiveness(self._owned_since, known)

    def update(self) -> None:
        """Record when each node with a disk was last contacted.

        Must be called at least four times a second.
        """
        last_seen: dict[str, float] = {}
        for node, at in self._feed.last_contacts():
            if node.disk and not node.draining:
                last_seen[node.name] = max(at, last_seen.get(node.name, at))
        self._liveness.update(self._reactor.seconds(), last_seen)

    def owned_for(self) -> float:
        """Seconds since this node became the owner."""
        return self._reactor.seconds() - self._owned_since

    def down_for(self, name: str) -> float:
        """Seconds since a node was last contacted; 0 if that was recently."""
        return self._liveness.down_for(self._reactor.seconds(), name)

    def up_for(self, name: str) -> float:
        """Seconds since a node joined; infinite if it had joined before this ownership."""
        return self._liveness.up_for(self._reactor.seconds(), name)

    def storage(self) -> list[NodeDescriptor]:
        """Live storage nodes that aren't draining."""
        return [node for node in self._live() if node.kind is NodeKind.STORAGE and node.disk]

    def counted_edges(self) -> list[NodeDescriptor]:
        """Live edge nodes that can be members of the configuration group and aren't draining."""
        return [node for node in self._live() if node.kind is NodeKind.EDGE and node.counted]

    def _live(self) -> list[NodeDescriptor]:
        """Nodes with a disk that follow the feed, are up and aren't draining.

        Only the newest incarnation of a name counts: the link of an earlier process may not have closed yet.
        """
        newest: dict[str, NodeDescriptor] = {}
        with_disk = (node for node in self._feed.subscribed_nodes() if node.disk)
        for node in sorted(with_disk, key=lambda node: node.incarnation):
            newest[node.name] = node
        return [node for node in newest.values() if not node.draining and not self.down_for(node.name)]
