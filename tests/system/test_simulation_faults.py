"""Faults of the simulated world against the whole service, and reproducibility of runs by their seed."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from collections.abc import Callable
from random import Random

from bitternpath.testing.simulation.processes import NodeState
from bitternpath.testing.simulation.recorder import Ownership
from bitternpath.testing.simulation.world import Plan, World
from tests.system.small_actors import Answer, SmallSystem

STABILIZATION_S = 6.0  # time from the last fault until the system must have recovered


class FaultCase(unittest.TestCase):
    """Injects one fault into a running system and checks that the system recovers."""

    def setUp(self) -> None:
        self.system = SmallSystem(11)
        self.world = self.system.world
        self.system.bootstrap()
        self.world.run_for(2.0)
        self.accepted: list[tuple[str, Answer]] = []

    def send(self, edge: int = 0) -> None:
        self.accepted.append(self.system.send(edge))

    def send_until_accepted(self) -> None:
        """Retry as a client does: 503 guarantees that the message was not accepted."""
        for _ in range(5):
            name, answer = self.system.send()
            self.world.run_for(1.0)
            if answer.status != 503:
                self.accepted.append((name, answer))
                self.world.run_for(1.0)
                return
        self.fail("503 for 5 s")

    def owner(self, group: str) -> str:
        """The node that gained the ownership of a group last."""
        last: dict[str, Ownership] = {}
        for change in self.world.ownerships:
            if change.group == group and change.gained:
                last[group] = change
        return last[group].node

    def check_recovered(self, versions: int = 2) -> None:
        """Check that an order comes into force on all nodes, and that all accepted messages are done."""
        self.world.run_for(STABILIZATION_S)
        order = self.system.put(versions, versions - 1)
        self.world.run_for(2.0)
        self.assertEqual(order.status, 200, order)
        self.send_until_accepted()
        states = [(self.system.state(answer, name), name) for name, answer in self.accepted]
        versions_seen = [self.system.version(edge) for edge in range(len(self.world.edges()))]
        self.world.run_for(2.0)
        for answer, name in states:
            self.assertEqual((answer.status, answer.body[:15]), (200, b'{"state":"done"'), (name, answer))
        self.assertEqual(
            [answer.json()["version"] for answer in versions_seen], [versions] * len(versions_seen)
        )
        self.assertEqual(self.world.failures, [])
        self.assertEqual(self.world.violations, [])

    def check_fault(self, fault: Callable[[], object]) -> None:
        """Send a message, inject the fault, and check the recovery."""
        self.send_until_accepted()
        fault()
        self.check_recovered()


class ProcessFaults(FaultCase):
    def test_kill(self) -> None:
        for name in list(self.world.nodes):
            self.world.kill(name)
        self.check_recovered()
        self.assertTrue(all(node.incarnations == 2 for node in self.world.nodes.values()))

    def test_simultaneous_power_loss(self) -> None:
        self.send(1)
        self.world.run_for(0.05)
        self.assertEqual(self.accepted[0][1].status, 202)
        for name in list(self.world.nodes):
            self.world.lose_power(name)
        self.check_recovered()

    def test_wipe(self) -> None:
        self.check_fault(lambda: self.world.wipe(self.owner("queue-0")))
        self.world.wipe(self.owner("configuration"))
        self.check_recovered(3)

    def test_freeze_and_thaw(self) -> None:
        name = self.owner("configuration")
        self.world.freeze(name)
        self.world.run_for(3.0)
        self.assertNotEqual(self.owner("configuration"), name)
        self.world.thaw(name)
        self.check_recovered()

    def test_terminate(self) -> None:
        name = self.world.edges()[0].name
        self.check_fault(lambda: self.world.terminate(name))
        self.assertEqual(self.world.nodes[name].exit_codes, [0])
        self.assertEqual(self.world.nodes[name].incarnations, 2)

    def test_reload(self) -> None:
        name = self.world.edges()[1].name
        seeds = self.world.current_seeds()[:1]
        self.check_fault(lambda: self.world.reload(name, seeds=seeds))
        self.assertEqual(len(self.world.nodes[name].process.node.base.view.seeds), 1)

    def test_slow(self) -> None:
        name = self.owner("queue-1")
        self.world.slow(name, 10.0)
        self.world.run_for(2.0)
        self.world.slow(name, 1.0)
        self.check_recovered()

    def test_add_and_replace(self) -> None:
        added = self.world.add_node("edge", counted=False)
        self.world.run_for(1.0)
        old = self.world.storages()[0].name
        new = self.world.replace(old)
        self.check_recovered()
        self.assertIs(self.world.nodes[old].state, NodeState.REMOVED)
        self.assertEqual((added.state, new.state), (NodeState.UP, NodeState.UP))
        self.assertNotEqual(new.ip, self.world.nodes[old].ip)


class LinkFaults(FaultCase):
    def test_partitioned_configuration_owner(self) -> None:
        name = self.owner("configuration")
        self.world.isolate(name)
        self.world.run_for(3.0)
        self.assertNotEqual(self.owner("configuration"), name)
        self.world.heal_host(name)
        self.check_recovered()

    def test_one_way_partition(self) -> None:
        name = self.owner("queue-2")
        self.world.isolate(name, both=False)
        self.world.run_for(3.0)
        self.world.heal_host(name)
        self.check_recovered()

    def test_partition_between_two_nodes(self) -> None:
        first, second = [node.name for node in self.world.storages()][:2]
        self.world.partition(first, second)
        self.world.run_for(3.0)
        self.world.heal_partition(first, second)
        self.check_recovered()

    def test_resets(self) -> None:
        random = Random(5)
        names = list(self.world.nodes)
        for _ in range(20):
            self.world.reset(*random.sample(names, 2))
            self.world.run_for(0.1)
        self.check_recovered()

    def test_limited_bandwidth(self) -> None:
        first, second = [node.name for node in self.world.storages()][:2]
        self.world.limit_bandwidth(first, second, 30_000.0)
        self.world.run_for(2.0)
        self.world.limit_bandwidth(first, second, None)
        self.check_recovered()


class DiskFaults(FaultCase):
    def test_stalled_disk(self) -> None:
        self.check_fault(lambda: self.world.stall_disk(self.owner("queue-0"), 2.0))

    def test_full_disk(self) -> None:
        name = self.owner("queue-0")
        self.world.limit_disk(name, 100)
        self.send(0)
        self.world.run_for(2.0)
        self.world.limit_disk(name, None)
        self.check_recovered()

    def test_damaged_disk_is_quarantined(self) -> None:
        name = self.owner("queue-1")
        disk = self.world.disk(name)
        self.world.kill(name, down_s=None)
        path = next(path for path in disk.paths() if path.endswith(".log"))
        disk.corrupt_byte(path, 40)
        self.world.nodes[name].start()
        self.check_recovered()
        self.assertTrue(any(path.startswith("damaged-") for path in disk.paths()))


def faulty_run(seed: int) -> World:
    """A run with traffic and many faults."""
    system = SmallSystem(seed, Plan(storages=4))
    world = system.world
    system.bootstrap()
    random = world.random("faults")
    for step in range(12):
        name = random.choice([node.name for node in world.edges() + world.storages()])
        fault = random.choice([world.kill, world.lose_power, world.wipe, world.terminate, world.freeze])
        fault(name)
        world.at(world.now + 0.7, world.thaw, name)
        system.send(step % 3)
        system.put(2 + step, 1 + step)
        world.run_for(1.0)
    return world


class SameSeedSameRun(unittest.TestCase):
    longest_test_s = 15

    def test_in_one_process(self) -> None:
        digests = {seed: faulty_run(seed).digest() for seed in (1, 2)}
        self.assertNotEqual(digests[1], digests[2])
        self.assertEqual(faulty_run(1).digest(), digests[1])
        self.assertEqual(faulty_run(1).trace, faulty_run(1).trace)

    def test_in_processes_with_different_hash_seeds(self) -> None:
        code = "from tests.system.test_simulation_faults import faulty_run; print(faulty_run(3).digest())"
        digests_seen = set()
        for hash_seed in ("1", "2"):
            environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
            done = subprocess.run(
                [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
            )
            digests_seen.add(done.stdout)
        self.assertEqual(len(digests_seen), 1, digests_seen)
