"""A node's partial view of the system, kept by shuffling (peer sampling). Pure.

After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership Management" (2005): each round a node
sends a random part of its view to one peer and gets a part of that peer's. Unlike there, entries carry the
subject's own heartbeat, the newest word on a node wins, and nodes that hold state are kept in preference,
because every node must find some of them. The view is bounded: no node holds all others.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from bitternpath.transport.node_messages import NodeDescriptor, NodeKind, ShuffleReply, ShuffleRequest

SHUFFLE_SIZE = 10  # entries in a datagram, which then stays below 1,400 bytes
VIEW_SIZE = 64  # entries of nodes without state
STATE_VIEW_SIZE = 64  # entries of nodes with state: core and storage
ROUND_S = 1.0
FIRST_ROUNDS_S = 0.15  # while the system starts, so that it is founded soon
FIRST_ROUNDS_FOR_S = 5.0
FEW_NODES = 3  # a view with fewer asks all seeds in each round
LIVE_WITHIN_S = 2.5  # without a newer heartbeat: two rounds
FORGET_AFTER_S = 20.0  # without a newer heartbeat
REMEMBER_FORGOTTEN_S = 300.0  # what is still told of a forgotten node doesn't bring it back
MOST_FORGOTTEN = 512


@dataclass(slots=True)
class _Known:
    node: NodeDescriptor
    renewed_at: float


@dataclass(frozen=True, slots=True)
class _Forgotten:
    address: str  # "" where the node has said good-bye
    incarnation: int
    heartbeat: int
    at: float


@dataclass(frozen=True, slots=True)
class Datagram:
    """A record for an address."""

    address: str
    record: ShuffleRequest | ShuffleReply


class MembershipView:
    """Partial view of one node. Times are seconds of a steady clock."""

    def __init__(
        self, local_node: NodeDescriptor, seeds: tuple[str, ...], random: Random, now: float
    ) -> None:
        self.local_node, self.seeds, self._random = local_node, seeds, random
        self._known: dict[str, _Known] = {}
        self._forgotten: dict[str, _Forgotten] = {}
        self._started_at = self._round_at = now
        self.state_nodes_changed_at = now  # when a node with state came, went or got another disk

    def nodes(self) -> list[NodeDescriptor]:
        """All nodes of the view, without this one."""
        return [known.node for known in self._known.values()]

    def counted_edges(self) -> list[NodeDescriptor]:
        """Nodes that may keep the configuration, this one among them where it may."""
        nodes = [
            node for node in [*self.nodes(), self.local_node] if node.counted and node.kind is NodeKind.EDGE
        ]
        return sorted(nodes, key=lambda node: node.name)

    def live_edges(self, now: float) -> list[NodeDescriptor]:
        """Other nodes that may keep the configuration and of which there was news lately."""
        return [
            known.node
            for known in self._known.values()
            if known.node.counted
            and known.node.kind is NodeKind.EDGE
            and now - known.renewed_at <= LIVE_WITHIN_S
        ]

    def find(self, name: str) -> NodeDescriptor | None:
        """What is known of a node."""
        known = self._known.get(name)
        return known.node if known else None

    def tick(self, now: float) -> list[Datagram]:
        """Begin a round where one is due."""
        if now < self._round_at:
            return []
        starting = now - self._started_at < FIRST_ROUNDS_FOR_S
        pause = FIRST_ROUNDS_S if starting else ROUND_S
        self._round_at = now + pause * (0.8 + 0.4 * self._random.random())
        self.local_node = replace(self.local_node, heartbeat=self.local_node.heartbeat + 1)
        self._forget(now)
        request = ShuffleRequest(self.local_node, self._sample())
        return [Datagram(address, request) for address in self._targets(starting)]

    @property
    def round_at(self) -> float:
        """When `tick` is wanted next."""
        return self._round_at

    def received(self, now: float, address: str, record: ShuffleRequest | ShuffleReply) -> list[Datagram]:
        """A datagram has come; the answer, if there is one."""
        self._merge(now, record.sender)
        for node in record.nodes:
            self._merge(now, node)
        if isinstance(record, ShuffleRequest):
            return [Datagram(address, ShuffleReply(self.local_node, self._sample()))]
        return []

    def observe(self, now: float, node: NodeDescriptor) -> None:
        """A node has introduced itself over a connection."""
        if node.kind is not NodeKind.TOOL:
            self._merge(now, node)

    def leave(self) -> list[Datagram]:
        """Tell some peers that this node goes."""
        self.local_node = replace(self.local_node, draining=True, heartbeat=self.local_node.heartbeat + 1)
        request = ShuffleRequest(self.local_node, ())
        return [Datagram(address, request) for address in self._targets(True)]

    def _targets(self, starting: bool) -> list[str]:
        """Whom to shuffle with: one peer of the view, and one address outside it, where there is any; all
        seeds while the system starts or nobody is known."""
        nodes = self.nodes()
        targets = {self._random.choice(nodes).address} if nodes else set()
        if starting or len(nodes) < FEW_NODES:
            targets.update(self.seeds)
        outside = self._addresses_outside({node.address for node in nodes})
        if outside:
            targets.add(self._random.choice(outside))
        targets.discard(self.local_node.address)
        return sorted(targets)

    def _addresses_outside(self, known: set[str]) -> list[str]:
        """Seeds and forgotten nodes that aren't in the view.

        Two parts of the system that were cut off from each other forget each other, and the settings may name
        nobody of the other part: without these addresses they would not meet again after the cut.
        """
        forgotten = {gone.address for gone in self._forgotten.values()}
        return sorted((forgotten | set(self.seeds)) - known - {"", self.local_node.address})

    def _sample(self) -> tuple[NodeDescriptor, ...]:
        """Half of nodes with state, the rest of any."""
        nodes = self.nodes()
        with_state = [node for node in nodes if node.disk]
        chosen = self._random.sample(with_state, min(len(with_state), SHUFFLE_SIZE // 2))
        names = {node.name for node in chosen}
        others = [node for node in nodes if node.name not in names]
        chosen += self._random.sample(others, min(len(others), SHUFFLE_SIZE - len(chosen)))
        return tuple(chosen)

    def _merge(self, now: float, node: NodeDescriptor) -> None:
        if node.name == self.local_node.name:
            self._outbid(node)
            return
        known = self._known.get(node.name)
        if known is not None and (node.incarnation, node.heartbeat) <= (
            known.node.incarnation,
            known.node.heartbeat,
        ):
            return
        forgotten = self._forgotten.get(node.name)
        if forgotten is not None and (node.incarnation, node.heartbeat) <= (
            forgotten.incarnation,
            forgotten.heartbeat,
        ):
            return
        if node.draining:
            self._known.pop(node.name, None)
            self._remember_forgotten(now, node)
            return
        if node.disk and (known is None or known.node.disk != node.disk):
            self.state_nodes_changed_at = now
        self._known[node.name] = _Known(node, now)
        self._bound()

    def _outbid(self, node: NodeDescriptor) -> None:
        """What others hold of an earlier life of this node mustn't win over this life."""
        if node.incarnation > self.local_node.incarnation or (
            node.incarnation == self.local_node.incarnation and node.heartbeat > self.local_node.heartbeat
        ):
            self.local_node = replace(self.local_node, incarnation=node.incarnation + 1)

    def _bound(self) -> None:
        for with_state, most in ((True, STATE_VIEW_SIZE), (False, VIEW_SIZE)):
            names = [name for name, known in self._known.items() if bool(known.node.disk) is with_state]
            if len(names) > most:
                del self._known[self._random.choice(names)]

    def _forget(self, now: float) -> None:
        old = [name for name, known in self._known.items() if now - known.renewed_at > FORGET_AFTER_S]
        for name in old:
            self._remember_forgotten(now, self._known.pop(name).node)
        past = now - REMEMBER_FORGOTTEN_S
        self._forgotten = {name: gone for name, gone in self._forgotten.items() if gone.at > past}

    def _remember_forgotten(self, now: float, node: NodeDescriptor) -> None:
        address = "" if node.draining else node.address
        self._forgotten[node.name] = _Forgotten(address, node.incarnation, node.heartbeat, now)
        while len(self._forgotten) > MOST_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
