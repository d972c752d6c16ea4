"""A node's partial view of the system, maintained by shuffling (peer sampling). Pure.

After Voulgaris, Gavidia and van Steen, "CYCLON: Inexpensive Membership Management" (2005): in each round a
node sends a random part of its view to one peer and receives a part of that peer's. Unlike in CYCLON, entries
carry the subject's own heartbeat, the newest entry of a node wins, and nodes with state are preferred,
because every node must find some of them.

Invariants:

- The view is bounded (`VIEW_SIZE`, `STATE_VIEW_SIZE`); no node needs to know all others.
- The (incarnation, heartbeat) of a node in the view only increases. An entry that isn't newer than the one
  with which a node left the view doesn't bring the node back (`FORGOTTEN_RETENTION_S`).
- This node's own entry wins over every entry of an earlier incarnation that other nodes still forward.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from bitternpath.transport.node_messages import NodeDescriptor, NodeKind, ShuffleRequest, ShuffleResponse

SHUFFLE_SIZE = 10  # entries in a datagram, which stays below 1,400 bytes
VIEW_SIZE = 64  # entries of nodes without state
STATE_VIEW_SIZE = 64  # entries of nodes with state (a disk)
ROUND_INTERVAL_S = 1.0
STARTUP_ROUND_INTERVAL_S = 0.15  # shorter while the system starts, so that it is bootstrapped soon
STARTUP_PERIOD_S = 5.0
ROUND_JITTER = 0.2  # rounds are shorter or longer by up to this share
MIN_KNOWN_NODES = 3  # a view with fewer nodes contacts all seeds in each round
LIVENESS_TIMEOUT_S = 2.5  # time without a newer heartbeat: two rounds and a margin
FORGET_AFTER_S = 20.0  # time without a newer heartbeat
FORGOTTEN_RETENTION_S = 300.0  # old entries of a forgotten node, still forwarded, are ignored for this long
MAX_FORGOTTEN = 512  # forgotten nodes that are remembered


@dataclass(slots=True)
class _KnownNode:
    node: NodeDescriptor
    updated_at: float  # when the entry was received


@dataclass(frozen=True, slots=True)
class _ForgottenNode:
    address: str  # "" if the node announced that it leaves
    version: tuple[int, int]
    forgotten_at: float


@dataclass(frozen=True, slots=True)
class Datagram:
    """A record to send to the node at `address` (ip:port)."""

    address: str
    record: ShuffleRequest | ShuffleResponse


def _version(node: NodeDescriptor) -> tuple[int, int]:
    """Orders the entries of one node: the greater one is newer."""
    return node.incarnation, node.heartbeat


class MembershipView:
    """The partial view of one node. Times are seconds of a clock that never goes backwards."""

    def __init__(
        self, local_node: NodeDescriptor, seeds: tuple[str, ...], random: Random, now: float
    ) -> None:
        """`local_node` is this node's own entry; `seeds` are addresses from the settings."""
        self.local_node = local_node
        self.seeds = seeds
        self.state_nodes_changed_at = now  # when a node with state was added or changed its disk
        self._random = random
        self._known: dict[str, _KnownNode] = {}
        self._forgotten: dict[str, _ForgottenNode] = {}
        self._started_at = now
        self._next_round_at = now

    def nodes(self) -> list[NodeDescriptor]:
        """All nodes of the view, without this one."""
        return [known.node for known in self._known.values()]

    def counted_edges(self) -> list[NodeDescriptor]:
        """Edge nodes that can host the configuration, by name; includes this node if it can."""
        nodes = [node for node in [*self.nodes(), self.local_node] if _can_host_configuration(node)]
        return sorted(nodes, key=lambda node: node.name)

    def live_edges(self, now: float) -> list[NodeDescriptor]:
        """Other edge nodes that can host the configuration and have sent a recent heartbeat."""
        return [
            known.node
            for known in self._known.values()
            if _can_host_configuration(known.node) and now - known.updated_at <= LIVENESS_TIMEOUT_S
        ]

    def find(self, name: str) -> NodeDescriptor | None:
        """The entry of a node; None if it isn't in the view."""
        known = self._known.get(name)
        return known.node if known else None

    def tick(self, now: float) -> list[Datagram]:
        """Start a round if one is due; return the datagrams to send."""
        if now < self._next_round_at:
            return []
        starting = now - self._started_at < STARTUP_PERIOD_S
        interval = STARTUP_ROUND_INTERVAL_S if starting else ROUND_INTERVAL_S
        self._next_round_at = now + interval * (1 - ROUND_JITTER + 2 * ROUND_JITTER * self._random.random())
        self.local_node = replace(self.local_node, heartbeat=self.local_node.heartbeat + 1)
        self._forget(now)
        request = ShuffleRequest(self.local_node, self._sample())
        return [Datagram(address, request) for address in self._targets(with_seeds=starting)]

    @property
    def next_round_at(self) -> float:
        """The time at which `tick` must be called next."""
        return self._next_round_at

    def received(self, now: float, address: str, record: ShuffleRequest | ShuffleResponse) -> list[Datagram]:
        """Merge a datagram from `address`; return the response, if there is one."""
        self._merge(now, record.sender)
        for node in record.nodes:
            self._merge(now, node)
        if isinstance(record, ShuffleRequest):
            return [Datagram(address, ShuffleResponse(self.local_node, self._sample()))]
        return []

    def observe(self, now: float, node: NodeDescriptor) -> None:
        """Merge the entry that a node sent in its `Hello` on a connection."""
        if node.kind is not NodeKind.TOOL:
            self._merge(now, node)

    def leave(self) -> list[Datagram]:
        """Announce to some peers that this node leaves; return the datagrams to send."""
        self.local_node = replace(self.local_node, draining=True, heartbeat=self.local_node.heartbeat + 1)
        request = ShuffleRequest(self.local_node, ())
        return [Datagram(address, request) for address in self._targets(with_seeds=True)]

    def _targets(self, *, with_seeds: bool) -> list[str]:
        """The addresses to shuffle with: one peer of the view and one address outside it, if there are any.

        While the system starts or few nodes are known, also all seeds.
        """
        nodes = self.nodes()
        targets = {self._random.choice(nodes).address} if nodes else set()
        if with_seeds or len(nodes) < MIN_KNOWN_NODES:
            targets.update(self.seeds)
        outside = self._addresses_outside({node.address for node in nodes})
        if outside:
            targets.add(self._random.choice(outside))
        targets.discard(self.local_node.address)
        return sorted(targets)

    def _addresses_outside(self, known: set[str]) -> list[str]:
        """Addresses of seeds and forgotten nodes that aren't in the view.

        The two sides of a partition forget each other, and the settings may name no node of the other side:
        without these addresses the sides would not find each other after the partition.
        """
        forgotten = {forgotten_node.address for forgotten_node in self._forgotten.values()}
        return sorted((forgotten | set(self.seeds)) - known - {"", self.local_node.address})

    def _sample(self) -> tuple[NodeDescriptor, ...]:
        """Entries for a datagram: half are nodes with state, the rest are any nodes."""
        nodes = self.nodes()
        with_state = [node for node in nodes if node.disk]
        chosen = self._random.sample(with_state, min(len(with_state), SHUFFLE_SIZE // 2))
        names = {node.name for node in chosen}
        others = [node for node in nodes if node.name not in names]
        chosen += self._random.sample(others, min(len(others), SHUFFLE_SIZE - len(chosen)))
        return tuple(chosen)

    def _merge(self, now: float, node: NodeDescriptor) -> None:
        """Store an entry if it is newer than what was known of the node."""
        if node.name == self.local_node.name:
            self._raise_incarnation(node)
            return
        known = self._known.get(node.name)
        if known is not None and _version(node) <= _version(known.node):
            return
        forgotten = self._forgotten.get(node.name)
        if forgotten is not None and _version(node) <= forgotten.version:
            return
        if node.draining:
            self._known.pop(node.name, None)
            self._record_forgotten(now, node)
            return
        if node.disk and (known is None or known.node.disk != node.disk):
            self.state_nodes_changed_at = now
        self._known[node.name] = _KnownNode(node, now)
        self._evict_excess()

    def _raise_incarnation(self, node: NodeDescriptor) -> None:
        """Raise this node's incarnation above that of an entry that would win over its own."""
        if _version(node) > _version(self.local_node):
            self.local_node = replace(self.local_node, incarnation=node.incarnation + 1)

    def _evict_excess(self) -> None:
        for with_state, limit in ((True, STATE_VIEW_SIZE), (False, VIEW_SIZE)):
            names = [name for name, known in self._known.items() if bool(known.node.disk) is with_state]
            if len(names) > limit:
                del self._known[self._random.choice(names)]

    def _forget(self, now: float) -> None:
        expired_names = [
            name for name, known in self._known.items() if now - known.updated_at > FORGET_AFTER_S
        ]
        for name in expired_names:
            self._record_forgotten(now, self._known.pop(name).node)
        retained_since = now - FORGOTTEN_RETENTION_S
        self._forgotten = {
            name: forgotten_node
            for name, forgotten_node in self._forgotten.items()
            if forgotten_node.forgotten_at > retained_since
        }

    def _record_forgotten(self, now: float, node: NodeDescriptor) -> None:
        address = "" if node.draining else node.address
        self._forgotten[node.name] = _ForgottenNode(address, _version(node), now)
        while len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]


def _can_host_configuration(node: NodeDescriptor) -> bool:
    return node.counted and node.kind is NodeKind.EDGE
