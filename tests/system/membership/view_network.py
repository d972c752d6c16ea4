"""Views that shuffle over a network that may lose datagrams."""

from __future__ import annotations

from random import Random

from bitternpath.membership.view import MembershipView
from bitternpath.transport.messages import RECORDS
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

ZONES = ("z1", "z2", "z3")


def node(
    number: int, kind: NodeKind = NodeKind.EDGE, disk: str = "", zone: str = "", incarnation: int = 1
) -> NodeDescriptor:
    """A node whose address contains its number."""
    name = f"{kind.name.lower()}-some-long-zone-{number}"
    node_zone = zone or ZONES[number % len(ZONES)]
    return NodeDescriptor(
        name, f"10.0.{number // 250}.{number % 250}:7000", kind, node_zone, bool(disk), disk, incarnation, 0
    )


class ViewNetwork:
    """Views that shuffle over a network that may lose datagrams."""

    def __init__(self, nodes: list[NodeDescriptor], seeds: int, loss: float, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.loss = loss
        addresses = tuple(each.address for each in nodes[:seeds])
        self.views = {
            each.address: MembershipView(each, addresses, Random(seed + n), 0.0)
            for n, each in enumerate(nodes)
        }
        self.largest_datagram = 0

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for address, view in list(self.views.items()):
                self._deliver(address, view.tick(self.now))

    def _deliver(self, sender: str, datagrams: list) -> None:  # type: ignore[type-arg]
        for datagram in datagrams:
            self.largest_datagram = max(self.largest_datagram, len(RECORDS.encode(datagram.record)))
            receiver = self.views.get(datagram.address)
            if receiver is not None and self.random.random() >= self.loss:
                self._deliver(datagram.address, receiver.received(self.now, sender, datagram.record))
