"""The owner of the configuration in runs of `simulation.repairs`: real placement code, simulated links."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import Protocol

from bitternpath.configuration.liveness import NodeLiveness
from bitternpath.configuration.placement import nodes_to_replace, repaired_placement
from bitternpath.testing.simulation.virtual_time import EventClock
from bitternpath.transport.group_messages import GroupPlacement
from bitternpath.transport.node_messages import NodeDescriptor

LATENCY_S = 0.002  # one-way delay of a message
SYNC_S = 0.005  # duration of a journal batch
COMMIT_S = 2 * LATENCY_S + SYNC_S  # time to commit a command of the configuration group


class ControllerEnvironment(Protocol):
    """The environment of the configuration's owner."""

    clock: EventClock

    def last_contact_at(self, node: NodeDescriptor) -> float:
        """The time of the last contact between the configuration's owner and a node."""

    def placement_received(self, name: str, groups: tuple[GroupPlacement, ...]) -> None:
        """Deliver a placement of the feed to a machine."""


class Controller:
    """Simulates the configuration's owner: maintains the placement and sends it to all processes."""

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
        """Add a process that subscribed to the feed."""
        self.connected[node.name] = node
        self._notify([node.name])
        self._schedule_evaluation()

    def link_lost(self, node: NodeDescriptor) -> None:
        """Remove a process whose link has ended."""
        if self.connected.get(node.name) == node:
            del self.connected[node.name]
            self._schedule_evaluation()

    def retire(self, name: str) -> None:
        """Apply a committed order to retire a machine."""
        self.retired.add(name)
        self._schedule_evaluation()

    def _schedule_evaluation(self) -> None:
        if not self._evaluation_scheduled:
            self._evaluation_scheduled = True
            self.world.clock.callLater(0.0, self.evaluate_placement)

    def evaluate_placement(self) -> None:
        """Compute a new placement from the connected nodes, and commit it if it differs."""
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
            self.world.clock.callLater(COMMIT_S, self._placement_committed, groups)

    def _placement_committed(self, groups: tuple[GroupPlacement, ...]) -> None:
        self._placement_pending = False
        self.groups = groups
        self._notify(self.connected)
        self._schedule_evaluation()

    def _notify(self, names: Iterable[str]) -> None:
        for name in list(names):
            self.world.clock.callLater(LATENCY_S, self.world.placement_received, name, self.groups)
