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


class ControllerEnvironment(Protocol):
    """What is around the configuration's owner."""

    clock: EventClock

    def last_contact_at(self, node: NodeDescriptor) -> float:
        """When the configuration's owner heard a node last."""

    def placement_received(self, name: str, groups: tuple[GroupPlacement, ...]) -> None:
        """The feed has brought a placement to a machine."""


class Controller:
    """Plays the configuration's owner: keeps the placement, and tells it to all processes."""

    def __init__(self, world: ControllerEnvironment, tolerated: int) -> None:
        self.world = world
        self._tolerated = tolerated
        self.connected: dict[str, NodeDescriptor] = {}
        self._evaluation_scheduled = False
        self.liveness = NodeLiveness(0.0)
        self.groups: tuple[GroupPlacement, ...] = ()
        self.retired: set[str] = set()
        self._placement_pending = False

    def subscribed(self, node: NodeDescriptor) -> None:
        """A process follows the feed."""
        self.connected[node.name] = node
        self._notify([node.name])
        self._schedule_evaluation()

    def link_lost(self, node: NodeDescriptor) -> None:
        """Its link has ended."""
        if self.connected.get(node.name) == node:
            del self.connected[node.name]
            self._schedule_evaluation()

    def retire(self, name: str) -> None:
        """The operator's order is committed."""
        self.retired.add(name)
        self._schedule_evaluation()

    def _schedule_evaluation(self) -> None:
        if not self._evaluation_scheduled:
            self._evaluation_scheduled = True
            self.world.clock.callLater(0.0, self.evaluate_placement)

    def evaluate_placement(self) -> None:
        """Compare the placement with who is there."""
        self._evaluation_scheduled = False
        now = self.world.clock.seconds()
        contact_at = {
            node.name: self.world.last_contact_at(node)
            for node in self.connected.values()
            if not node.draining
        }
        self.liveness.update(now, contact_at)
        if self._placement_pending or not self.groups:
            return
        down_for = partial(self.liveness.down_for, now)
        reachable = [node for node in self.connected.values() if not down_for(node.name)]
        up_for = partial(self.liveness.up_for, now)
        departed = nodes_to_replace(self.groups, reachable, self.retired, down_for, up_for)
        groups = repaired_placement(self.groups, reachable, departed, self._tolerated)
        if groups != self.groups:
            self._placement_pending = True
            self.world.clock.callLater(COMMIT_S, self._placed, groups)

    def _placed(self, groups: tuple[GroupPlacement, ...]) -> None:
        self._placement_pending = False
        self.groups = groups
        self._notify(self.connected)
        self._schedule_evaluation()

    def _notify(self, names: Iterable[str]) -> None:
        for name in list(names):
            self.world.clock.callLater(LATENCY_S, self.world.placement_received, name, self.groups)
