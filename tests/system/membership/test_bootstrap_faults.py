"""Bootstrap under faults, in simulation: there is at most one system, and it works.

A node that is killed or loses power during the bootstrap, including the coordinator, restarts with
`bootstrap = false`. A side of a partition without the coordinator bootstraps nothing. A founder that was
absent when the others were notified still becomes a voter, and so does a member that isn't a founder, in its
first incarnation.
"""

from __future__ import annotations

import unittest
from typing import Any

from bitternpath.testing.simulation.processes import SimulatedNode
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import SmallSystem

GROUP = "configuration"
FAULT_TIMES_S = (0.32, 0.35, 0.8, 1.4, 1.6, 1.7, 1.8, 1.85, 1.9, 2.0, 2.2)  # since the start
BOOTSTRAP_TIMEOUT_S = 14.0  # from the coordinator's restart: its time-out, an election and a change
STABILIZATION_S = 12.0


def member_of(node: SimulatedNode) -> Any:
    """A node's replica of the configuration group; None if it has none."""
    return node.process.node.member if node.process is not None else None


def members(system: SmallSystem) -> list[Any]:
    """All replicas."""
    found = [member_of(edge) for edge in system.world.edges()]
    return [member for member in found if member is not None]


def bootstrapped_systems(system: SmallSystem) -> set[str]:
    """The identities of the systems that the members have on disk."""
    decisions = [member.bootstrap_state.decision for member in members(system)]
    return {decision.system for decision in decisions if decision is not None}


def coordinator(system: SmallSystem) -> SimulatedNode:
    """The node at the first seed, which decides."""
    first = system.world.edges()[0].document["seeds"][0]
    return next(edge for edge in system.world.edges() if edge.control == first)


def voters(system: SmallSystem) -> set[str]:
    """The voters that the owner knows; empty if there is no owner."""
    for member in members(system):
        if member.is_owner():
            return set(member.host.members(GROUP).voters)
    return set()


def has_members(member: Any) -> bool:
    """Whether a replica takes part and knows the voters; only then does it vote."""
    return bool(member.is_open and member.host.members(GROUP).voters)


class BootstrapFaultsTest(unittest.TestCase):
    """Faults during the bootstrap."""

    longest_test_s = 70

    def accept_first_configuration(self, system: SmallSystem, since: float) -> None:
        """Check that the first configuration is accepted in time."""
        simulation = system.world
        while simulation.now - since < BOOTSTRAP_TIMEOUT_S:
            response = system.put(1, 0, int(simulation.now * 3) % len(simulation.edges()))
            simulation.run_for(0.5)
            if response.status == 200:
                return
        self.fail(f"no first configuration {BOOTSTRAP_TIMEOUT_S} s after the fault")

    def check(self, system: SmallSystem) -> None:
        """Check that there is a single system, and that all its members take part."""
        simulation = system.world
        simulation.run_for(STABILIZATION_S)
        self.assertEqual(len(bootstrapped_systems(system)), 1)
        self.assertEqual([has_members(member) for member in members(system)], [True] * len(members(system)))
        self.assertEqual(voters(system), {member.host.member_id for member in members(system)})
        self.assertEqual((simulation.violations, simulation.failures), ([], []))

    def test_any_node_is_killed_or_loses_power(self) -> None:
        for fault in ("kill", "lose_power"):
            for index in range(3):
                for number, fault_at in enumerate(FAULT_TIMES_S):
                    with self.subTest(fault=fault, index=index, fault_at=fault_at):
                        system = SmallSystem(number)
                        others = [edge for edge in system.world.edges() if edge is not coordinator(system)]
                        node = [coordinator(system), *others][index]
                        system.world.at(fault_at, getattr(system.world, fault), node.name)
                        system.world.run_until(fault_at + 0.5)
                        self.accept_first_configuration(system, system.world.now)
                        self.check(system)

    def test_the_coordinator_is_killed_twice(self) -> None:
        for first, second in ((0.4, 1.5), (1.6, 3.5), (1.8, 2.6)):
            with self.subTest(first=first, second=second):
                system = SmallSystem(3)
                name = coordinator(system).name
                system.world.at(first, system.world.kill, name)
                system.world.at(second, system.world.kill, name)
                system.world.run_until(second + 0.5)
                self.accept_first_configuration(system, system.world.now)
                self.check(system)

    def test_a_coordinator_that_lost_its_disk_never_decides_again(self) -> None:
        for fault_at in FAULT_TIMES_S:
            with self.subTest(fault_at=fault_at):
                system = SmallSystem(5)
                system.world.at(fault_at, system.world.wipe, coordinator(system).name)
                system.world.run_until(20.0)
                self.assertLessEqual(len(bootstrapped_systems(system)), 1)
                self.assertEqual(system.world.violations, [])

    def test_the_side_of_a_partition_without_the_coordinator_decides_nothing(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                system = SmallSystem(seed, Plan(core_edges=5, other_edges=2, tolerated_machines=2))
                simulation = system.world
                coordinator_side = {coordinator(system).name, *list(simulation.nodes)[::2]}
                other_side = [name for name in simulation.nodes if name not in coordinator_side]
                for name in other_side:
                    for other in coordinator_side:
                        simulation.partition(name, other)
                simulation.run_until(1.0)
                for name in other_side:  # a later settings file may name the node's own side only
                    seeds = [
                        simulation.nodes[each].control
                        for each in other_side
                        if simulation.nodes[each].control
                    ]
                    simulation.change_settings(name, seeds=seeds[:3])
                    simulation.at(6.0, simulation.kill, name)
                simulation.run_until(25.0)
                cores = [
                    simulation.nodes[name] for name in other_side if simulation.nodes[name].role == "edge"
                ]
                opened = [member_of(core).is_open for core in cores if core.counted]
                self.assertEqual(opened, [False] * len(opened))
                for name in other_side:  # unaware of the others: only the file can name them
                    simulation.heal_host(name)
                    simulation.reload(name, seeds=simulation.current_seeds())
                self.accept_first_configuration(system, simulation.now)
                self.check(system)

    def test_a_founder_that_was_absent_becomes_a_voter_without_the_coordinator(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                system = SmallSystem(seed)
                simulation = system.world
                absent = next(
                    edge for edge in simulation.edges() if edge is not coordinator(system) and edge.counted
                )
                simulation.at(1.5, simulation.isolate, absent.name)
                simulation.run_until(3.5)
                self.accept_first_configuration(system, simulation.now)
                simulation.kill(absent.name)
                simulation.kill(coordinator(system).name, 8.0)
                simulation.at(simulation.now + 1.0, simulation.heal_host, absent.name)
                simulation.run_for(8.0)
                self.check(system)

    def test_a_member_that_is_no_founder_becomes_a_voter_in_its_first_incarnation(self) -> None:
        system = SmallSystem(2, Plan(core_edges=8, other_edges=0))
        simulation = system.world
        system.bootstrap()
        simulation.run_for(2.0)
        before = voters(system)
        learner = next(member for member in members(system) if member.host.member_id not in before)
        name = sorted(before)[0].partition("/")[0]
        simulation.remove(name)
        simulation.run_for(30.0)
        after = voters(system)
        self.assertEqual((len(before), len(after)), (7, 7))
        self.assertIn(learner.host.member_id, after)
        self.assertTrue(has_members(learner))


if __name__ == "__main__":
    unittest.main()
