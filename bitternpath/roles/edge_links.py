"""The links of edge nodes to a storage node."""

from __future__ import annotations

from bitternpath.transport.connections import Link
from bitternpath.transport.node_messages import NodeDescriptor


class EdgeLinks:
    """The links of edge nodes to this storage node, by node name."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def link(self, name: str) -> Link | None:
        """The link of an edge node."""
        return self._links.get(name)

    def opened(self, node: NodeDescriptor, link: Link) -> None:
        """An edge node has introduced itself."""
        self._links[node.name] = link

    def closed(self, link: Link) -> str:
        """A link has ended; the name of the edge node that has none any more, or ""."""
        for name, known in self._links.items():
            if known is link:
                del self._links[name]
                return name
        return ""

    def nodes(self) -> list[NodeDescriptor]:
        """The edge nodes that are connected."""
        return [link.peer for link in self._links.values() if link.peer is not None]

    def links_in(self, zone: str) -> list[Link]:
        """The links of nodes in a zone."""
        return [link for link in self._links.values() if link.peer is not None and link.peer.zone == zone]

    def links(self) -> list[Link]:
        """All links."""
        return list(self._links.values())
