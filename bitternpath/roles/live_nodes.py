"""The nodes as the configuration's owner hears them: who follows, who has been away, who has just come."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

from bitternpath.configuration.feed import FeedServer
from bitternpath.configuration.liveness import NodeLiveness
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind


class LiveNodes:
    """Valid while this node owns the configuration."""

    def __init__(self, reactor: Any, feed: FeedServer) -> None:
        self._reactor, self._feed = reactor, feed
        self._presence = NodeLiveness(reactor.seconds())
        self._began_at: float = reactor.seconds()

    def begin(self, known: Collection[str]) -> None:
        """This node owns the configuration from now on; these nodes belong to the system already."""
        self._began_at = self._reactor.seconds()
        self._presence = NodeLiveness(self._began_at, known)

    def update(self) -> None:
        """Take note of who was heard when; four times a second or more often."""
        heard: dict[str, float] = {}
        for node, at in self._feed.heard_at():
            if node.disk and not node.draining:
                heard[node.name] = max(at, heard.get(node.name, at))
        self._presence.update(self._reactor.seconds(), heard)

    def owned_for(self) -> float:
        """Seconds since this node became the configuration's owner."""
        return float(self._reactor.seconds() - self._began_at)

    def down_for(self, name: str) -> float:
        """Seconds since a node was heard; 0 where that was just now."""
        return self._presence.down_for(self._reactor.seconds(), name)

    def up_for(self, name: str) -> float:
        """Seconds since a node came; infinite where it was there before this ownership."""
        return self._presence.up_for(self._reactor.seconds(), name)

    def storage(self) -> list[NodeDescriptor]:
        """Storage nodes that follow and don't leave."""
        return [node for node in self._here() if node.kind is NodeKind.STORAGE and node.disk]

    def counted_edges(self) -> list[NodeDescriptor]:
        """Edge nodes that can be members of the configuration group."""
        return [node for node in self._here() if node.kind is NodeKind.EDGE and node.counted]

    def _here(self) -> list[NodeDescriptor]:
        """Nodes with a disk; of a name the newest process: the link of an earlier one may not have ended."""
        newest: dict[str, NodeDescriptor] = {}
        with_disk = (node for node in self._feed.subscribed_nodes() if node.disk)
        for node in sorted(with_disk, key=lambda node: node.incarnation):
            newest[node.name] = node
        return [node for node in newest.values() if not node.draining and not self.down_for(node.name)]
