"""Hundreds of changes of the configuration with small logs, under losses within the fault tolerance.

A member that is restarted, wiped, frozen, partitioned or replaced at any time reaches the newest version, by
snapshots and entries, and no order is refused (issue 37, point 4).
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from itertools import combinations
from typing import Any

from bitternpath.testing.simulation.settings import SMALL_LOGS, LogSizes
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import Answer, SmallSystem, configuration

CHANGES = 150
LOSS_EVERY_S = 11.0  # a loss lasts at most 6 s, followed by `catch_up_s`
STABILIZATION_S = 6.0
POLL_S, ORDER_INTERVAL_S = 0.06, 0.02


@dataclass
class Orders:
    """An operator that sends the next order to any node once the previous one is acknowledged."""

    system: SmallSystem
    version: int = 1
    refused: list[Answer] = field(default_factory=list)

    def begin(self) -> None:
        """Send the order for the next version."""
        self._attempt(self.version + 1, 0)

    def _attempt(self, version: int, attempts: int) -> None:
        world = self.system.world
        edge = world.random("operator").randrange(len(world.edges()))
        answer = self.system.put(version, version - 1, edge, 1000 + version)
        world.at(world.now + POLL_S, self._check_answer, version, attempts, answer)

    def _check_answer(self, version: int, attempts: int, answer: Answer) -> None:
        world = self.system.world
        if answer.status == 200:
            self.version = version
            if version < CHANGES:
                world.at(world.now + ORDER_INTERVAL_S, self.begin)
        elif answer.ended < 0:
            world.at(world.now + POLL_S, self._check_answer, version, attempts, answer)
        elif 400 <= answer.status < 500:
            self.refused.append(answer)
        else:
            world.at(world.now + min(0.1 * (attempts + 1), 0.5), self._attempt, version, attempts + 1)


def inject_loss(system: SmallSystem, orders: Orders) -> None:
    """Lose a counted machine temporarily or permanently, and repeat this until all orders are done."""
    world = system.world
    if orders.version >= CHANGES:
        return
    random = world.random("losses")
    counted = [node for node in world.edges() + world.storages() if node.counted]
    name = random.choice(counted).name
    heal_at = world.now + random.uniform(0.3, 6.0)
    match random.randrange(7):
        case 0:
            world.kill(name)
        case 1:
            world.lose_power(name)
        case 2:
            world.wipe(name)
        case 3:
            world.freeze(name)
            world.at(heal_at, world.thaw, name)
        case 4:
            world.isolate(name, both=random.random() < 0.5)
            world.at(heal_at, world.heal_host, name)
        case 5:
            world.replace(name)
        case 6:
            world.terminate(name)
    world.at(world.now + LOSS_EVERY_S, inject_loss, system, orders)


class ManyChanges(unittest.TestCase):
    longest_test_s = 25

    def test_all_members_reach_the_newest_version(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                system = SmallSystem(f"changes-{seed}", Plan(storages=4, logs=SMALL_LOGS))
                world = system.world
                system.bootstrap()
                orders = Orders(system)
                orders.begin()
                world.at(world.now + 2.0, inject_loss, system, orders)
                while orders.version < CHANGES and not orders.refused:
                    world.run_for(1.0)
                    self.assertLess(world.now, 60.0, f"version {orders.version}")
                world.run_for(LOSS_EVERY_S + STABILIZATION_S)
                nodes = world.edges() + world.storages()
                self.assertEqual(orders.refused, [])
                self.assertEqual({node.process.node.base.feed.version for node in nodes}, {CHANGES})
                self.assertEqual((world.failures, world.violations), ([], []))
                snapshots = [p for node in world.edges() for p in node.disk.paths() if p.endswith(".snap")]
                self.assertTrue(snapshots)


CATCH_UP_S = 4.4  # `catch_up_s`
ROUTES = 300  # a configuration of about 85 KB
LINK_BYTES_PER_S = 1_000_000.0
ORDERS_S = 8.0


def large_configuration(version: int) -> dict[str, Any]:
    """A configuration of about 85 KB."""
    document = configuration(version, 1000 + version)
    route = document["routes"][0]
    document["routes"] += [{**route, "name": f"r-x{n}", "path_prefix": f"/x{n}/"} for n in range(ROUTES)]
    return document


class SnapshotTransfers(unittest.TestCase):
    """Transfer of a large state over slow links, while it changes faster than it is sent."""

    longest_test_s = 30

    def complete_after(self, logs: LogSizes, seed: int) -> float:
        """Seconds from a wiped member's start until it is a voter and its former member id is not."""
        system = SmallSystem(f"transfer-{seed}", Plan(logs=logs))
        world = system.world
        system.bootstrap()
        nodes = world.edges() + world.storages()
        for first, second in combinations(nodes, 2):
            world.limit_bandwidth(first.name, second.name, LINK_BYTES_PER_S)
        stop_at = world.now + ORDERS_S
        self._order(system, 2, stop_at)
        world.run_for(3.0)
        owner = [
            change.node for change in world.ownerships if change.group == "configuration" and change.gained
        ][-1]
        wiped = next(node for node in world.edges() if node.counted and node.name != owner)
        world.wipe(wiped.name, down_s=0.5)
        world.run_for(0.5)
        began = world.now
        while not self._complete(system, owner):
            world.run_for(0.1)
            self.assertLess(world.now, stop_at, "not complete while orders went on")
        elapsed_s = world.now - began
        world.run_until(stop_at + 5.0)
        self.assertEqual(len({node.process.node.base.feed.version for node in nodes}), 1)
        self.assertEqual((world.failures, world.violations), ([], []))
        return elapsed_s

    def _order(self, system: SmallSystem, version: int, stop_at: float) -> None:
        world = system.world
        edge = world.random("operator").randrange(3)
        address, base = world.edges()[edge].control, str(version - 1)
        answer = system.caller.call("PUT", address, "/config", large_configuration(version), If_Match=base)
        world.at(world.now + POLL_S, self._check_answer, system, version, stop_at, answer)

    def _check_answer(self, system: SmallSystem, version: int, stop_at: float, answer: Answer) -> None:
        world = system.world
        self.assertFalse(400 <= answer.status < 500, answer)
        if answer.ended < 0:
            world.at(world.now + POLL_S, self._check_answer, system, version, stop_at, answer)
        elif answer.status != 200:
            self._order(system, version, stop_at)
        elif world.now < stop_at:
            world.at(world.now + 0.1, self._order, system, version + 1, stop_at)

    def _complete(self, system: SmallSystem, owner: str) -> bool:
        """Whether the members are exactly the current disks of the edge nodes."""
        world = system.world
        members = world.nodes[owner].process.node.base.host.members("configuration")
        current = {
            node.process.node.base.transport.member_id
            for node in world.edges()
            if node.counted and node.process
        }
        return set(members.voters) == current and not members.learners

    def test_wiped_member_catches_up_in_time(self) -> None:
        for name, logs in (("small logs", SMALL_LOGS), ("usual logs", LogSizes())):
            with self.subTest(name):
                self.assertLess(self.complete_after(logs, seed=0), CATCH_UP_S)
