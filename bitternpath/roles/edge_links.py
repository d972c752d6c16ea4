"""The links from edge nodes to this storage node."""

from __future__ import annotations

from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor


class EdgeLinks:
    """The newest link of each connected edge node."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._links: dict[str, Link] = {}  # by node name

    def opened(self, node: NodeDescriptor, link: Link) -> None:
        """Record the link on which an edge node has sent `Hello`; it replaces an earlier one."""
        self._links[node.name] = link

    def closed(self, link: Link) -> str:
        """Remove a closed link; return the name of the edge node that is no longer connected.

        Returns "" if the link wasn't the newest one of an edge node: that node is still connected.
        """
        for name, current in self._links.items():
            if current is link:
                del self._links[name]
                return name
        return ""

    def link(self, name: str) -> Link | None:
        """The link to an edge node; None while it isn't connected."""
        return self._links.get(name)

    def nodes(self) -> list[NodeDescriptor]:
        """The descriptors of the connected edge nodes."""
        return [link.peer for link in self._links.values() if link.peer is not None]

    def links_in(self, zone: str) -> list[Link]:
        """The links to the edge nodes in a zone."""
        return [link for link in self._links.values() if link.peer is not None and link.peer.zone == zone]

    def links(self) -> list[Link]:
        """The links to all edge nodes."""
        return list(self._links.values())
