"""Runs of the whole service, each of which detects a build without a particular safeguard.

A run returns descriptions of the problems that it found; the unmodified system has none.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest.mock import patch

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.configuration_member import ConfigurationMember
from bitternpath.testing.simulation.disk import SimulatedNodeDisk
from bitternpath.testing.simulation.settings import SMALL_LOGS
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import Answer, SmallSystem

SEEDS = range(12)
Run = Callable[[int], list[str]]


def started_system(seed: int, plan: Plan | None = None) -> SmallSystem:
    """A stable system with the first configuration."""
    system = SmallSystem(f"broken-{seed}", plan)
    system.bootstrap()
    system.world.run_for(1.5)
    return system


def owner_of_configuration(system: SmallSystem) -> int:
    """The index of the edge node that owns the configuration."""
    names = [node.name for node in system.world.edges()]
    gained = [
        change for change in system.world.ownerships if change.group == "configuration" and change.gained
    ]
    return names.index(gained[-1].node)


def call_until_answered(system: SmallSystem, call: Callable[[int], Answer], attempts: int = 30) -> Answer:
    """Repeat a call unchanged at one node after the other until the answer is final."""
    answer = Answer(system.world.now)
    for attempt in range(attempts):
        answer = call(attempt % 3)
        system.world.run_for(0.5)
        if answer.status and answer.status < 500:
            break
    return answer


def problems_of(system: SmallSystem, *texts: str) -> list[str]:
    """Violated invariants of replica groups, and the non-empty `texts`."""
    return [violation.rule for violation in system.world.violations] + [text for text in texts if text]


# ---- runs


def read_at_an_owner_that_does_not_know_it_was_replaced(seed: int) -> list[str]:
    """Slow answers of the other members let a partitioned owner continue for a while."""
    system = started_system(seed)
    world = system.world
    owner = owner_of_configuration(system)
    edges = world.edges()
    others = [node for node in edges if node is not edges[owner]]
    for factor in (100.0, 200.0, 300.0, 400.0):  # in one step, the owner would step down
        for other in others:
            world.network.path(other.ip, edges[owner].ip).factor = factor
        world.run_for(1.0)
    if owner_of_configuration(system) != owner:
        return []
    for other in others:
        world.partition(edges[owner].name, other.name, both=False)
    accepted_at = 0.0
    reads: list[Answer] = []
    orders: list[Answer] = []
    for _ in range(150):
        world.run_for(0.01)
        reads.append(system.version(owner))
        orders += [system.put(2, 1, edges.index(other)) for other in others]
        accepted = [order.ended for order in orders if order.status == 200]
        accepted_at = min(accepted, default=0.0)
    world.run_for(2.0)
    stale = [
        read
        for read in reads
        if accepted_at and read.began > accepted_at and read.status == 200 and read.json()["version"] < 2
    ]
    return problems_of(system, f"{len(stale)} reads of an old version" if stale else "")


def resent_after_many_changes_and_restarts(seed: int) -> list[str]:
    """An order is resent unchanged, as after a lost acknowledgement, when its entry is in a snapshot."""
    system = started_system(seed, Plan(logs=SMALL_LOGS))
    world = system.world
    call_until_answered(system, lambda edge: system.put(2, 1, edge))
    for version in range(3, 35):
        order = system.put(version, version - 1, timeout_ms=1000 + version)
        world.run_for(0.1)
        if order.status != 200:
            call_until_answered(system, lambda edge, v=version: system.put(v, v - 1, edge, 1000 + v))  # type: ignore[misc]
    for node in world.edges():
        world.kill(node.name)
    world.run_for(4.0)
    repeated = call_until_answered(system, lambda edge: system.put(2, 1, edge))
    return problems_of(system, f"refused with {repeated.status}" if repeated.status != 200 else "")


def all_lose_power_and_one_its_disk(seed: int) -> list[str]:
    """All lose power right after an acknowledgement while one disk stalls; the owner restarts last."""
    system = started_system(seed)
    world = system.world
    owner = world.edges()[owner_of_configuration(system)]
    slow, other = [node for node in world.edges() if node.counted and node is not owner]
    world.stall_disk(slow.name, 0.3)
    order = system.put(2, 1, world.edges().index(owner))
    while not order.status and order.ended < 0:
        world.run_for(0.001)
    for node in list(world.nodes.values()):
        down_s = 4.0 if node is owner else 0.5
        (world.wipe if node is other else world.lose_power)(node.name, down_s)
    world.run_for(12.0)
    read = call_until_answered(system, system.version)
    lost = order.status == 200 and (read.status != 200 or read.json()["version"] != 2)
    return problems_of(system, f"an acknowledged version was lost: {read.status}" if lost else "")


def all_lose_power_right_after_an_acknowledgement(seed: int) -> list[str]:
    """All disks stall briefly when the order arrives; all lose power right after the acknowledgement."""
    system = started_system(seed)
    world = system.world
    for node in world.edges():
        world.stall_disk(node.name, 0.1)
    order = system.put(2, 1, owner_of_configuration(system))
    while not order.status and order.ended < 0:
        world.run_for(0.001)
    for name in list(world.nodes):
        world.lose_power(name)
    world.run_for(6.0)
    read = call_until_answered(system, system.version)
    lost = order.status == 200 and (read.status != 200 or read.json()["version"] != 2)
    return problems_of(system, f"an acknowledged version was lost: {read.status}" if lost else "")


# ---- broken builds


def propose_without_commit(self: ConfigurationMember, command: bytes) -> Deferred[object]:
    """Acknowledge a command before it is committed."""
    self.host.propose("configuration", command).addErrback(lambda _: None)
    return succeed(True)


def barrier_without_quorum(self: ReplicaHost, group: str) -> Deferred[None]:
    """Read without confirmation of the ownership by a quorum."""
    return succeed(None) if self.is_owner(group) else fail(NotOwnerError())


def snapshot_without_digests(self: ConfigurationState) -> bytes:
    """Omit the digests of accepted orders from the snapshot."""
    orders, self._orders = self._orders, type(self._orders)()
    try:
        return real_snapshot(self)
    finally:
        self._orders = orders


def identity_from_host_name(self: SimulatedNodeDisk) -> str:
    """Give an empty disk the identity of the previous one."""
    self._random.getrandbits(32)
    return f"{sum(self._reactor.name.encode()):08x}"


real_snapshot = ConfigurationState.snapshot


class UnmodifiedBuild(unittest.TestCase):
    """The runs find no problem in the unmodified system."""

    longest_test_s = 20

    def test_no_run_breaks_a_rule(self) -> None:
        for run in (
            read_at_an_owner_that_does_not_know_it_was_replaced,
            resent_after_many_changes_and_restarts,
            all_lose_power_and_one_its_disk,
            all_lose_power_right_after_an_acknowledgement,
        ):
            for seed in SEEDS[:3]:
                with self.subTest(run.__name__, seed=seed):
                    self.assertEqual(run(seed), [])


class BrokenBuilds(unittest.TestCase):
    """Each broken build is detected by its run."""

    def assert_detected(self, run: Run) -> None:
        for seed in SEEDS:
            if run(seed):
                return
        self.fail(f"{run.__name__} finds no problem in {len(SEEDS)} seeds")

    def test_acknowledged_before_commit(self) -> None:
        with patch.object(ConfigurationMember, "propose", propose_without_commit):
            self.assert_detected(all_lose_power_right_after_an_acknowledgement)

    def test_no_confirmation_before_an_answer(self) -> None:
        with patch.object(ReplicaHost, "read_barrier", barrier_without_quorum):
            self.assert_detected(read_at_an_owner_that_does_not_know_it_was_replaced)

    def test_digests_not_in_the_snapshot(self) -> None:
        with patch.object(ConfigurationState, "snapshot", snapshot_without_digests):
            self.assert_detected(resent_after_many_changes_and_restarts)

    def test_vote_after_losing_the_disk(self) -> None:
        with patch.object(SimulatedNodeDisk, "load_identity", identity_from_host_name):
            self.assert_detected(all_lose_power_and_one_its_disk)
