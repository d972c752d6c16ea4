"""Hundreds of changes of the configuration under losses that the tolerance allows, with logs kept short.

A member that was restarted, wiped, frozen, cut off or replaced at any moment of it comes to the newest
version, by snapshots and entries, and no order is refused (issue 37, point 4).
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field

from bitternpath.simulation.world import SMALL_LOGS, Plan
from tests.system.small_actors import Answer, SmallSystem

CHANGES = 150
LOSS_EVERY_S = 11.0  # a loss lasts 6 s at most, and `catch_up_s` after it
SETTLE_S = 6.0
LOOK_S, PAUSE_S = 0.06, 0.02


@dataclass
class Orders:
    """One operator that sends the next order as soon as the last is acknowledged, to any node."""

    system: SmallSystem
    version: int = 1
    refused: list[Answer] = field(default_factory=list)

    def begin(self) -> None:
        """Send the order for the next version."""
        self._attempt(self.version + 1, 0)

    def _attempt(self, version: int, tries: int) -> None:
        world = self.system.world
        edge = world.random("operator").randrange(len(world.edges()))
        answer = self.system.put(version, version - 1, edge, 1000 + version)
        world.at(world.now + LOOK_S, self._look, version, tries, answer)

    def _look(self, version: int, tries: int, answer: Answer) -> None:
        world = self.system.world
        if answer.status == 200:
            self.version = version
            if version < CHANGES:
                world.at(world.now + PAUSE_S, self.begin)
        elif answer.ended < 0:
            world.at(world.now + LOOK_S, self._look, version, tries, answer)
        elif 400 <= answer.status < 500:
            self.refused.append(answer)
        else:
            world.at(world.now + min(0.1 * (tries + 1), 0.5), self._attempt, version, tries + 1)


def one_loss(system: SmallSystem, orders: Orders) -> None:
    """A counted machine is lost for a while, or for good; while there are orders, again and again."""
    world = system.world
    if orders.version >= CHANGES:
        return
    random = world.random("losses")
    counted = [node for node in world.edges() + world.storages() if node.counted]
    name = random.choice(counted).name
    back = world.now + random.uniform(0.3, 6.0)
    match random.randrange(7):
        case 0:
            world.kill(name)
        case 1:
            world.lose_power(name)
        case 2:
            world.wipe(name)
        case 3:
            world.freeze(name)
            world.at(back, world.thaw, name)
        case 4:
            world.cut_off(name, both=random.random() < 0.5)
            world.at(back, world.rejoin, name)
        case 5:
            world.replace(name)
        case 6:
            world.terminate(name)
    world.at(world.now + LOSS_EVERY_S, one_loss, system, orders)


class ManyChanges(unittest.TestCase):
    def test_all_members_come_to_the_newest_version(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                system = SmallSystem(f"changes-{seed}", Plan(storages=4, logs=SMALL_LOGS))
                world = system.world
                system.found()
                orders = Orders(system)
                orders.begin()
                world.at(world.now + 2.0, one_loss, system, orders)
                while orders.version < CHANGES and not orders.refused:
                    world.run_for(1.0)
                    self.assertLess(world.now, 60.0, f"version {orders.version}")
                world.run_for(LOSS_EVERY_S + SETTLE_S)
                nodes = world.edges() + world.storages()
                self.assertEqual(orders.refused, [])
                self.assertEqual({node.process.node.base.feed.version for node in nodes}, {CHANGES})
                self.assertEqual((world.failures, world.violations), ([], []))
                snapshots = [p for node in world.edges() for p in node.disk.paths() if p.endswith(".snap")]
                self.assertTrue(snapshots)
