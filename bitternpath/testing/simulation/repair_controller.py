"""The configuration's owner in runs of `simulation.repairs`: the real placement, notified over links."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import Protocol

from bitternpath.configuration.liveness import NodeLiveness
from bitternpath.configuration.placement import nodes_to_replace, repaired_placement
from bitternpath.testing.simulation.virtual_time import EventClock
from bitternpath.transport.group_messages import GroupPlacement
from bitternpath.transport.node_messages import NodeDescriptor

LATENCY_S = 0.002  # of a message, one way
SYNC_S = 0.005  # of a batch of the journal
COMMIT_S = 2 * LATENCY_S + SYNC_S  # of a command of the configuration group


class PlacedWorld(Protocol):
    """What is around the configuration's owner."""

    clock: EventClock

    def heard_at(self, node: NodeDescriptor) -> float:
        """When the configuration's owner heard a node last."""

    def placement_heard(self, name: str, groups: tuple[GroupPlacement, ...]) -> None:
        """The feed has brought a placement to a machine."""


class Controller:
    """Plays the configuration's owner: keeps the placement, and tells it to all processes."""

    def __init__(self, world: PlacedWorld, tolerated: int) -> None:
        self.world = world
        self._tolerated = tolerated
        self.present: dict[str, NodeDescriptor] = {}
        self._planned = False
        self.presence = NodeLiveness(0.0)
        self.groups: tuple[GroupPlacement, ...] = ()
        self.retired: set[str] = set()
        self._placing = False

    def subscribed(self, node: NodeDescriptor) -> None:
        """A process follows the feed."""
        self.present[node.name] = node
        self._tell([node.name])
        self._look_soon()

    def gone(self, node: NodeDescriptor) -> None:
        """Its link has ended."""
        if self.present.get(node.name) == node:
            del self.present[node.name]
            self._look_soon()

    def retire(self, name: str) -> None:
        """The operator's order is committed."""
        self.retired.add(name)
        self._look_soon()

    def _look_soon(self) -> None:
        if not self._planned:
            self._planned = True
            self.world.clock.callLater(0.0, self.look)

    def look(self) -> None:
        """Compare the placement with who is there."""
        self._planned = False
        now = self.world.clock.seconds()
        heard = {node.name: self.world.heard_at(node) for node in self.present.values() if not node.draining}
        self.presence.update(now, heard)
        if self._placing or not self.groups:
            return
        down_for = partial(self.presence.down_for, now)
        here = [node for node in self.present.values() if not down_for(node.name)]
        up_for = partial(self.presence.up_for, now)
        gone = nodes_to_replace(self.groups, here, self.retired, down_for, up_for)
        groups = repaired_placement(self.groups, here, gone, self._tolerated)
        if groups != self.groups:
            self._placing = True
            self.world.clock.callLater(COMMIT_S, self._placed, groups)

    def _placed(self, groups: tuple[GroupPlacement, ...]) -> None:
        self._placing = False
        self.groups = groups
        self._tell(self.present)
        self._look_soon()

    def _tell(self, names: Iterable[str]) -> None:
        for name in list(names):
            self.world.clock.callLater(LATENCY_S, self.world.placement_heard, name, self.groups)
