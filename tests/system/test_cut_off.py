"""A partitioned control machine in the simulation: answers to operators, versions in force on followers.

The owner of the configuration is partitioned for 20 s in one or both directions, from the core or from all
nodes, or is frozen; operators reach both sides. `Monitor` reads from every edge node every 0.3 s and checks
that answers come in time, that a node without a majority answers no 2xx or 4xx, that no read is older than
what was acknowledged before it began, and that versions in force never go back.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from unittest.mock import patch

from twisted.internet.defer import Deferred, succeed

from bitternpath.configuration.changes import ChangeProcessor
from bitternpath.configuration.results import OperatorResult, not_owner
from bitternpath.membership.view import FORGET_AFTER_S
from bitternpath.roles import operator_calls
from bitternpath.testing.simulation.processes import NodeState, SimulatedNode
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import CALLER_IP, Answer, SmallSystem

GROUP = "configuration"
PARTITION_S = 20.0
ANSWER_TIMEOUT_S = 1.0  # after this time, operators call another node
APPLY_TIMEOUT_S = 3.0  # `config_apply_ms`
CONTACT_S = 4.0  # `contact_ms`: APPLY_TIMEOUT_S counts from this time after the end of a partition
ELECTION_S = 4.0  # until the majority accepts orders, as measured in docs/design/control-safety/point-1.md
POLL_S = 0.3


@dataclass
class Acknowledged:
    """A version and the time of its acknowledgement."""

    version: int
    at: float


@dataclass
class Monitor:
    """Operators that continuously read from all edge nodes, and checks of the versions in force there."""

    system: SmallSystem
    acknowledged: list[Acknowledged] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    versions: dict[str, int] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    partitioned: set[str] = field(default_factory=set)  # nodes that reach no majority
    partitioned_since: float = 0.0

    def start(self) -> None:
        """Start polling."""
        self._poll()

    def _poll(self) -> None:
        world = self.system.world
        world.at(world.now + POLL_S, self._poll)
        for index, edge in enumerate(world.edges()):
            if edge.state is not NodeState.UP:
                continue
            newest = max((each.version for each in self.acknowledged), default=0)
            answer = self.system.version(index)
            world.at(world.now + ANSWER_TIMEOUT_S, self._check_answer, edge, answer, newest)
            self._check_version(edge)

    def _check_version(self, edge: SimulatedNode) -> None:
        if self.incarnations.setdefault(edge.name, edge.incarnations) != edge.incarnations:
            self.incarnations[edge.name] = edge.incarnations
            self.versions.pop(edge.name, None)  # a new incarnation may start without a version
        version = version_at(edge)
        if version < self.versions.get(edge.name, 0):
            self.violations.append(f"{edge.name} went back to {version}")
        self.versions[edge.name] = version

    def _check_answer(self, edge: SimulatedNode, answer: Answer, newest: int) -> None:
        was_partitioned = edge.name in self.partitioned and answer.began >= self.partitioned_since
        if was_partitioned and 200 <= answer.status < 500:
            self.violations.append(f"{edge.name}: {answer.status} at {answer.ended} without a majority")
        if edge.state is NodeState.UP and not answer.status:
            self.unanswered.append(f"{edge.name} did not answer a read of {answer.began}: {answer.error}")
        if answer.status == 200 and answer.json()["version"] < newest:
            self.violations.append(f"{edge.name} read {answer.body[:40]!r} after {newest} was acknowledged")

    def set_partitioned(self, *names: str) -> None:
        """Set the nodes that reach no majority from now on."""
        self.partitioned, self.partitioned_since = set(names), self.system.world.now

    def order(self, version: int, base: int, edge: int) -> Answer:
        """Send a configuration and record its acknowledgement."""
        world = self.system.world
        answer = self.system.put(version, base, edge)

        def record_acknowledgement() -> None:
            if answer.status == 200:
                self.acknowledged.append(Acknowledged(version, answer.ended))

        for tenths in range(1, 21):
            world.at(world.now + tenths * 0.1, record_acknowledgement)
        return answer


def version_at(edge: SimulatedNode) -> int:
    """The version in force on a node."""
    return int(edge.process.node.base.feed.version)


def owners(system: SmallSystem) -> list[int]:
    """Indexes of the edge nodes that consider themselves owner of the configuration."""
    indexes = []
    for index, edge in enumerate(system.world.edges()):
        member = edge.process.node.member if edge.process is not None else None
        if member is not None and member.is_owner():
            indexes.append(index)
    return indexes


@dataclass
class Scenario:
    """A fault of the owner, and its end."""

    begin: Callable[[SmallSystem, SimulatedNode], None]
    end: Callable[[SmallSystem, SimulatedNode], None]
    reachable: bool = True  # whether operators reach the owner


def core_ips(system: SmallSystem, without: SimulatedNode) -> list[str]:
    """Addresses of the other counted edge nodes."""
    return [edge.ip for edge in system.world.edges() if edge.counted and edge is not without]


def node_ips(system: SmallSystem, without: SimulatedNode) -> list[str]:
    """Addresses of all other nodes."""
    return [node.ip for node in system.world.nodes.values() if node is not without]


def partition_from(
    peers: Callable[[SmallSystem, SimulatedNode], list[str]], outbound: bool, inbound: bool
) -> Scenario:
    """A partition of the owner from some peers, in one or both directions."""

    def begin(system: SmallSystem, owner: SimulatedNode) -> None:
        for ip in peers(system, owner):
            if outbound:
                system.world.partition(owner.name, ip, both=False)
            if inbound:
                system.world.partition(ip, owner.name, both=False)

    def end(system: SmallSystem, owner: SimulatedNode) -> None:
        system.world.heal_host(owner.name)

    return Scenario(begin, end)


SCENARIOS = {
    "from the core": partition_from(core_ips, True, True),
    "from all nodes": partition_from(node_ips, True, True),
    "outbound to the core": partition_from(core_ips, True, False),
    "inbound from the core": partition_from(core_ips, False, True),
    "inbound from all nodes": partition_from(node_ips, False, True),
    "outbound to all nodes": partition_from(node_ips, True, False),
    "frozen": Scenario(
        lambda system, owner: system.world.freeze(owner.name),
        lambda system, owner: system.world.thaw(owner.name),
        reachable=False,
    ),
}


class PartitionedOwnerTest(unittest.TestCase):
    """20 s with a partitioned or frozen owner, in each scenario."""

    longest_test_s = 45

    def begin(self, seed: int) -> tuple[SmallSystem, Monitor, int]:
        system = SmallSystem(seed, Plan(core_edges=3, other_edges=2))
        system.bootstrap()
        monitor = Monitor(system)
        monitor.acknowledged.append(Acknowledged(1, system.world.now))
        monitor.start()
        system.world.run_for(2.0)
        (owner,) = owners(system)
        return system, monitor, owner

    def play(self, seed: int, scenario: Scenario) -> Monitor:
        system, monitor, index = self.begin(seed)
        world = system.world
        owner = world.edges()[index]
        other = next(number for number, edge in enumerate(world.edges()) if edge.counted and number != index)
        scenario.begin(system, owner)
        monitor.set_partitioned(owner.name)
        rejected = [monitor.order(9, 1, index)]
        world.run_for(ELECTION_S)
        rejected.append(monitor.order(9, 1, index))
        accepted = monitor.order(3, 1, other)
        world.run_for(1.0)
        self.assertEqual(accepted.status, 200, "the majority doesn't accept orders")
        repeated = monitor.order(3, 1, other)
        world.run_for(PARTITION_S - ELECTION_S - 1.0)
        self.assertEqual(repeated.status, 200)
        for answer in rejected:
            self.assertEqual(answer.status, 503 if scenario.reachable else 0, answer)
            if scenario.reachable:
                self.assertLess(answer.ended - answer.began, ANSWER_TIMEOUT_S)
        monitor.set_partitioned()
        scenario.end(system, owner)
        healed_at = world.now
        while any(version_at(edge) != 3 for edge in world.edges()) and world.now < healed_at + 10:
            world.run_for(0.1)
        self.assertLess(world.now - healed_at, APPLY_TIMEOUT_S)
        world.run_for(5.0)
        self.assertEqual(len(owners(system)), 1)
        final = monitor.order(5, 3, index)
        world.run_for(2.0)
        self.assertEqual(final.status, 200)
        self.assertEqual((world.violations, world.failures), ([], []))
        return monitor

    def test_each_scenario(self) -> None:
        for label, scenario in SCENARIOS.items():
            for seed in range(2):
                with self.subTest(label, seed=seed):
                    monitor = self.play(seed, scenario)
                    self.assertEqual((monitor.violations, monitor.unanswered), ([], []))

    def test_restart_in_a_partition_with_seeds_of_its_side_only(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                system, monitor, index = self.begin(seed)
                world = system.world
                owner, outer = world.edges()[index], world.edges()[-1]
                other = next(
                    number for number, each in enumerate(world.edges()) if each.counted and number != index
                )
                for node in (owner, outer):  # both are in the minority and reach each other
                    reachable_ips = (owner.ip, outer.ip, CALLER_IP)
                    world.isolate(node.name, [ip for ip in node_ips(system, node) if ip not in reachable_ips])
                monitor.set_partitioned(owner.name, outer.name)
                for node in (owner, outer):
                    world.change_settings(node.name, seeds=[owner.control, outer.control])
                    world.kill(node.name)
                world.run_for(ELECTION_S)
                accepted = monitor.order(3, 1, other)
                rejected = [monitor.order(9, 1, index), monitor.order(9, 0, len(world.edges()) - 1)]
                world.run_for(PARTITION_S - ELECTION_S)
                self.assertEqual([accepted.status, *(answer.status for answer in rejected)], [200, 503, 503])
                monitor.set_partitioned()
                world.heal_host(owner.name)
                world.heal_host(outer.name)
                healed_at = world.now
                while any(version_at(edge) != 3 for edge in world.edges()) and world.now < healed_at + 10:
                    world.run_for(0.1)
                self.assertLess(world.now - healed_at, APPLY_TIMEOUT_S)
                world.run_for(3.0)
                self.assertEqual(len(owners(system)), 1)
                self.assertEqual(len(founded_systems(system)), 1)
                self.assertEqual((monitor.violations, monitor.unanswered, world.violations), ([], [], []))

    def test_forgotten_nodes_without_members_rejoin(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                system, monitor, index = self.begin(seed)
                world = system.world
                outer = [edge for edge in world.edges() if not edge.counted]
                reachable_ips = [CALLER_IP, *(edge.ip for edge in outer)]
                for edge in outer:  # after the restart they know only each other
                    world.isolate(edge.name, [ip for ip in node_ips(system, edge) if ip not in reachable_ips])
                    world.change_settings(edge.name, seeds=[each.control for each in outer])
                    world.kill(edge.name)
                monitor.set_partitioned(*(edge.name for edge in outer))
                world.run_for(FORGET_AFTER_S + 5.0)
                accepted = monitor.order(3, 1, index)
                world.run_for(2.0)
                self.assertEqual(accepted.status, 200)
                monitor.set_partitioned()
                for edge in outer:
                    world.heal_host(edge.name)
                healed_at = world.now
                while any(version_at(edge) != 3 for edge in world.edges()) and world.now < healed_at + 20:
                    world.run_for(0.1)
                self.assertLess(world.now - healed_at, CONTACT_S + APPLY_TIMEOUT_S)
                self.assertEqual((monitor.violations, monitor.unanswered, world.violations), ([], [], []))


def founded_systems(system: SmallSystem) -> set[str]:
    """Identifiers of the systems that nodes know as founded."""
    members = [edge.process.node.member for edge in system.world.edges() if edge.process is not None]
    foundings = [member.bootstrap_state.decision for member in members if member is not None]
    return {founding.system for founding in foundings if founding is not None}


class BrokenBuildTest(unittest.TestCase):
    """Each broken build fails one of the scenarios above."""

    def play(self, label: str, seeds: int = 3) -> list[str]:
        problems: list[str] = []
        for seed in range(seeds):
            try:
                monitor = PartitionedOwnerTest().play(seed, SCENARIOS[label])
            except AssertionError as error:
                problems.append(str(error))
            else:
                problems += monitor.violations + monitor.unanswered
        return problems

    def test_reads_without_quorum_confirmation_are_detected(self) -> None:
        def read(processor: ChangeProcessor) -> Deferred[OperatorResult]:
            return succeed(processor._current() if processor.group.is_owner() else not_owner())

        with patch.object(ChangeProcessor, "read", read):
            problems = self.play("from all nodes")
        self.assertTrue(any("without a majority" in each for each in problems), problems)

    def test_late_answers_are_detected(self) -> None:
        with patch.object(operator_calls, "ANSWER_TIMEOUT_S", 3.0):
            problems = self.play("frozen")
        self.assertTrue(any("did not answer" in each for each in problems), problems)


if __name__ == "__main__":
    unittest.main()
