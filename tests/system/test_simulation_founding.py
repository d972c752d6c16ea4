"""Faults during the bootstrap: exactly one system is founded, whichever process fails or stalls, and when."""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.testing.simulation.world import Plan, World
from tests.system.small_actors import SmallSystem

FOUNDING_TIMEOUT_S = 12.0  # from the start of the run until the first configuration is accepted
FOUNDED = "event=system_bootstrapped system="


def inject_loss(world: World, random: Random, name: str) -> None:
    """Restart, freeze or isolate a process."""
    heal_at = world.now + random.uniform(0.1, 2.0)
    match random.randrange(5):
        case 0:
            world.kill(name, random.uniform(0.1, 1.0))
        case 1:
            world.lose_power(name, random.uniform(0.1, 1.0))
        case 2:
            world.terminate(name)
        case 3:
            world.freeze(name)
            world.at(heal_at, world.thaw, name)
        case 4:
            world.isolate(name, both=random.random() < 0.5)
            world.at(heal_at, world.heal_host, name)


class LossesDuringBootstrap(unittest.TestCase):
    longest_test_s = 35

    def check_founded(self, system: SmallSystem) -> None:
        """Check that one system is founded in time, with one first configuration in force on all nodes."""
        world = system.world
        world.run_until(8.0)
        order = system.put(1, 0)
        while order.status != 200:
            world.run_for(0.5)
            self.assertLess(world.now, FOUNDING_TIMEOUT_S, "not founded")
            if order.ended >= 0 and order.status != 200:
                order = system.put(1, 0, world.random("operator").randrange(3))
        world.run_for(4.0)
        systems = {line.partition(FOUNDED)[2].split()[0] for line in world.log if FOUNDED in line}
        self.assertEqual(len(systems), 1)
        versions = {node.process.node.base.feed.version for node in world.nodes.values()}
        self.assertEqual(versions, {1})
        self.assertEqual((world.failures, world.violations), ([], []))

    def test_first_seed_fails_at_any_time(self) -> None:
        """Only the first seed decides on the bootstrap; once it did so only in its first incarnation."""
        for moment in (0.4, 0.9, 1.3, 1.6, 1.9, 2.3):
            for fault in ("kill", "lose_power", "terminate"):
                with self.subTest(fault, moment=moment):
                    system = SmallSystem(f"first-seed-{moment}", Plan(keep_log=True))
                    first = system.world.edges()[0].name
                    system.world.at(moment, getattr(system.world, fault), first)
                    self.check_founded(system)

    def test_any_process_fails_at_any_time(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                system = SmallSystem(f"founding-{seed}", Plan(keep_log=True))
                random = system.world.random("losses")
                for _ in range(1 + seed % 3):
                    name = random.choice(list(system.world.nodes))
                    system.world.at(random.uniform(0.3, 4.0), inject_loss, system.world, random, name)
                self.check_founded(system)


APPLY_TIMEOUT_S = 3.0  # `config_apply_ms`


class SeedsInTheMinority(unittest.TestCase):
    """A node restarts in a partition with settings that name only seeds of the same side."""

    longest_test_s = 20

    def play(self, seed: int) -> None:
        system = SmallSystem(f"seeds-{seed}", Plan(keep_log=True))
        world = system.world
        random = world.random("losses")
        system.bootstrap()
        world.run_for(1.0)
        node = random.choice([node for node in world.nodes.values() if node.has_disk])
        spare = next(edge for edge in world.edges() if not edge.counted)
        minority = [node.name] if node.role == "edge" and random.random() < 0.5 else [node.name, spare.name]
        majority = [name for name in world.nodes if name not in minority]
        for name in minority:
            world.isolate(name, others=majority)
            world.change_settings(name, seeds=[world.nodes[name].control or spare.control])
        random.choice([world.kill, world.wipe, world.lose_power])(node.name, 0.5)
        if random.random() < 0.5:
            world.kill(minority[-1])
        world.run_for(random.uniform(2.0, 20.0))
        order = system.put(
            2, 1, next(number for number, edge in enumerate(world.edges()) if edge.name in majority)
        )
        world.run_for(2.0)
        self.assertEqual(order.status, 200, order)
        for name in minority:
            world.heal_host(name)
        world.run_for(APPLY_TIMEOUT_S)
        versions = {node.process.node.base.feed.version for node in world.nodes.values()}
        systems = {line.partition(FOUNDED)[2].split()[0] for line in world.log if FOUNDED in line}
        self.assertEqual((versions, len(systems)), ({2}, 1))
        self.assertEqual((world.failures, world.violations), ([], []))

    def test_no_second_system_and_nodes_rejoin(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                self.play(seed)
