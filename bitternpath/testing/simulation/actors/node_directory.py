"""The nodes that actors know: the load balancer has the current list, operators have a delayed one."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bitternpath.testing.fault_injection.plan import Port

if TYPE_CHECKING:
    from bitternpath.testing.simulation.processes import SimulatedNode
    from bitternpath.testing.simulation.world import World


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """`fault_injection.plan.ReachableNode` for a simulated node."""

    name: str
    zone: str
    front: str
    readiness: str
    control: str

    def address(self, port: Port) -> str:
        """The address of one of its ports."""
        return {Port.FRONT: self.front, Port.READINESS: self.readiness, Port.CONTROL: self.control}[port]


class NodeDirectory:
    """The current and former lists of a world's edge nodes, and the names that a plan uses.

    Plans name machines `e1`, `e2` ... (edge) and `s1`, `s2` ... (storage), in the world's order; a successor
    inherits the name of its predecessor.
    """

    def __init__(self, world: World, lag_s: float) -> None:
        self._world = world
        self._lag_s = lag_s
        self.edges: list[NodeAddress] = []
        self._edge_lists: list[tuple[float, tuple[NodeAddress, ...]]] = []
        self._names = {f"e{position}": node.name for position, node in enumerate(world.edges(), 1)}
        self._names.update({f"s{position}": node.name for position, node in enumerate(world.storages(), 1)})
        self.changed()

    def changed(self) -> None:
        """Update the list after machines were added or removed."""
        self.edges[:] = [_address(node) for node in self._world.edges()]
        self._edge_lists.append((self._world.now, tuple(self.edges)))

    def lagging(self) -> Sequence[NodeAddress]:
        """The list that operators have: the one from `lag_s` ago."""
        then = self._world.now - self._lag_s
        known = [edges for at, edges in self._edge_lists if at <= then]
        return known[-1] if known else self._edge_lists[0][1]

    def name(self, planned: str) -> str:
        """The current node name of a machine of the plan."""
        return self._names[planned]

    def replaced(self, planned: str, successor: str) -> None:
        """Assign a machine's name in the plan to its successor."""
        self._names[planned] = successor
        self.changed()

    def incarnation(self, name: str) -> int:
        """The incarnation of a node's process."""
        return self._world.nodes[name].incarnations


def _address(node: SimulatedNode) -> NodeAddress:
    return NodeAddress(node.name, node.zone, node.front, node.readiness, node.control)
