"""Faults of the owner or of a link while changes are in flight, in the simulation.

`Operator` behaves as described in PROTOCOL: it tries another node after a failure, a 5xx or a second without
a response, and retries the unchanged request until it has a definite result. The time of the fault is varied
over the duration of a change.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from twisted.internet.defer import Deferred

from bitternpath.configuration import changes
from bitternpath.configuration.change_evaluation import ProposedChange
from bitternpath.configuration.changes import ChangeProcessor, PendingChange
from bitternpath.configuration.results import ResultCode, operator_result
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.testing.simulation.processes import NodeState, SimulatedNode
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import Answer, SmallSystem, configuration

NODE_TIMEOUT_S = 1.0  # after which the operator tries another node
RETRY_DELAY_S = 0.1
ACKNOWLEDGED_WITHIN_S = 5.0  # ack_ms
# Delays of the fault after the request was sent. A change takes about 15 ms, and a few ms pass between its
# proposal and commit.
FAULT_DELAYS_S = [step * 0.001 for step in range(0, 26, 2)]
FINE_FAULT_DELAYS_S = [step * 0.0005 for step in range(32)]


@dataclass
class SentChange:
    """A change that is retried until it has a definite result."""

    started_at: float
    attempts: list[Answer] = field(default_factory=list)
    status: int = 0
    ended: float = float("inf")


class Operator:
    """Retries changes until they have a definite result."""

    def __init__(self, system: SmallSystem) -> None:
        self.system, self.simulation = system, system.world
        self._random = system.world.random("operator")

    def send(self, method: str, body: bytes, base: int, first: SimulatedNode | None = None) -> SentChange:
        """Send a change, to a random node by default."""
        change = SentChange(self.simulation.now)
        self._attempt(change, method, body, base, first)
        return change

    def put(
        self, version: int, base: int, first: SimulatedNode | None = None, timeout_ms: int = 1000
    ) -> SentChange:
        """Send a complete configuration."""
        return self.send("PUT", json.dumps(configuration(version, timeout_ms)).encode(), base, first)

    def _attempt(
        self, change: SentChange, method: str, body: bytes, base: int, first: SimulatedNode | None = None
    ) -> None:
        node = first or self._random.choice(self.simulation.edges())
        answer = self.system.caller.call(method, node.control, "/config", body, If_Match=str(base))
        change.attempts.append(answer)
        started_at = self.simulation.now

        def check() -> None:
            if answer.status in (200, 400, 404, 409, 412):
                change.status, change.ended = answer.status, answer.ended
            elif answer.ended >= 0 or self.simulation.now - started_at >= NODE_TIMEOUT_S:
                self.simulation.at(
                    self.simulation.now + RETRY_DELAY_S, self._attempt, change, method, body, base
                )
            else:
                self.simulation.at(self.simulation.now + 0.01, check)

        check()


def is_owner(edge: SimulatedNode) -> bool:
    """Whether a node believes that it owns the configuration."""
    member = edge.process.node.member if edge.process is not None else None
    return member is not None and member.is_owner()


class ChangesInFlightTest(unittest.TestCase):
    """Changes during which a fault occurs."""

    longest_test_s = 15

    def setUp(self) -> None:
        self.begin(7)

    def begin(self, seed: int, **plan: Any) -> None:
        self.system = SmallSystem(seed, Plan(core_edges=3, other_edges=2, **plan))
        self.simulation = self.system.world
        self.system.bootstrap()
        self.simulation.run_for(2.0)
        self.operator = Operator(self.system)
        self.version = 1

    def owner(self) -> SimulatedNode:
        """Run until a single node owns the configuration, and return it."""
        for _ in range(100):
            owners = [
                edge for edge in self.simulation.edges() if edge.state is NodeState.UP and is_owner(edge)
            ]
            if len(owners) == 1:
                return owners[0]
            self.simulation.run_for(0.1)
        raise AssertionError("no single owner")

    def forwarding_node(self) -> SimulatedNode:
        """A node that forwards changes to the owner."""
        return self.simulation.edges()[-1]

    def current(self) -> dict[str, Any]:
        """Read the current configuration."""
        for _ in range(10):
            answer = self.system.version(-1)
            self.simulation.run_for(0.9)
            if answer.status == 200:
                return dict(answer.json())
        raise AssertionError("no configuration to be read")

    def check_accepted(self, change: SentChange, seconds: float = ACKNOWLEDGED_WITHIN_S) -> None:
        """Check that a change was acknowledged in time and not rejected."""
        while not change.status and self.simulation.now - change.started_at < 3 * ACKNOWLEDGED_WITHIN_S:
            self.simulation.run_for(0.05)
        self.assertEqual(change.status, 200, [each.status for each in change.attempts])
        self.assertLess(change.ended - change.started_at, seconds)

    def sweep(
        self, fault: Callable[[SimulatedNode], None], settle_s: float, delays: list[float] = FAULT_DELAYS_S
    ) -> None:
        """Send a change through another node for each delay, and inject the fault after the delay."""
        for delay in delays:
            with self.subTest(delay=delay):
                owner, base = self.owner(), self.version
                self.version += 2
                change = self.operator.put(self.version, base, self.forwarding_node())
                self.simulation.at(self.simulation.now + delay, fault, owner)
                self.check_accepted(change)
                self.assertEqual(self.current()["version"], self.version)
                self.simulation.run_for(settle_s)
        self.assertEqual((self.simulation.violations, self.simulation.failures), ([], []))

    def test_the_owner_is_killed(self) -> None:
        self.sweep(lambda owner: self.simulation.kill(owner.name), 3.0)

    def test_the_owner_loses_power(self) -> None:
        self.sweep(lambda owner: self.simulation.lose_power(owner.name), 3.0)

    def test_all_members_lose_power(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            for edge in self.simulation.edges():
                if edge.counted:
                    self.simulation.lose_power(edge.name)

        self.sweep(fault, 4.0, FINE_FAULT_DELAYS_S)

    def test_the_forwarding_link_is_reset(self) -> None:
        self.sweep(lambda owner: self.simulation.reset(self.forwarding_node().name, owner.name), 0.5)

    def test_the_owner_is_frozen_and_accepts_nothing_when_it_thaws(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            self.simulation.freeze(owner.name)
            self.simulation.at(self.simulation.now + 4.0, self.simulation.thaw, owner.name)

        self.sweep(fault, 5.0)

    def test_the_owner_receives_nothing_from_the_core(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            for edge in self.simulation.edges():
                if edge.counted and edge is not owner:
                    self.simulation.partition(edge.name, owner.name, both=False)
            self.simulation.at(self.simulation.now + 4.0, self.simulation.heal_host, owner.name)

        self.sweep(fault, 6.0)

    def test_the_same_change_on_all_nodes_at_once(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 3
            sent = [self.operator.put(self.version, base, edge) for edge in self.simulation.edges()]
            for change in sent:
                self.check_accepted(change, 1.0)
                self.assertEqual(len(change.attempts), 1)

    def test_eight_changes_in_flight_of_one_version(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 2
            edges = self.simulation.edges()
            sent = [
                self.operator.put(self.version, base, edges[number % len(edges)], 1000 + number)
                for number in range(8)
            ]
            self.simulation.run_for(1.0)
            statuses = [change.status for change in sent]
            self.assertEqual(sorted(statuses), [200] + [412] * 7)
            self.assertEqual(self.current()["routes"][0]["timeout_ms"], 1000 + statuses.index(200))

    def test_put_against_patch_under_one_number(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 2
            patch = {"version": self.version, "upsert": {"routes": configuration(1, 77)["routes"]}}
            sent = [
                self.operator.send("PATCH", json.dumps(patch).encode(), base),
                self.operator.put(self.version, base, timeout_ms=88),
            ]
            self.simulation.run_for(1.0)
            statuses = [change.status for change in sent]
            self.assertEqual(sorted(statuses), [200, 412])
            self.assertEqual(self.current()["routes"][0]["timeout_ms"], (77, 88)[statuses.index(200)])

    def test_a_retry_after_a_lost_response_and_other_accepted_versions(self) -> None:
        first = configuration(3)
        lost = self.operator.send("PUT", json.dumps(first).encode(), 1)
        self.check_accepted(lost)
        for version in (5, 7, 9):
            self.check_accepted(self.operator.put(version, version - 2))
        self.simulation.kill(self.owner().name)
        for edge in self.simulation.edges():
            retry = self.operator.send("PUT", json.dumps(first).encode(), 1, edge)
            self.check_accepted(retry)
        self.assertEqual(self.current()["version"], 9)

    def test_slow_disks_of_the_others_give_503_in_time_and_the_change_is_accepted_later(self) -> None:
        owner = self.owner()
        for edge in self.simulation.edges():
            if edge.counted and edge is not owner:
                self.simulation.stall_disk(edge.name, 3.0)
        change = self.operator.put(3, 1, owner)
        self.check_accepted(change)
        for answer in change.attempts[:-1]:
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.ended - answer.began, NODE_TIMEOUT_S)


class BrokenBuildsTest(unittest.TestCase):
    """Broken builds, each of which must fail the named test."""

    def assert_fails(self, name: str) -> None:
        result = unittest.TestResult()
        ChangesInFlightTest(name).run(result)
        self.assertEqual(result.errors, [])
        self.assertNotEqual(result.failures, [])

    def test_broken_accepted_changes_are_forgotten(self) -> None:
        with patch.object(ConfigurationState, "accepted_version_of", lambda state, digest: None):
            self.assert_fails("test_the_forwarding_link_is_reset")
            self.assert_fails("test_a_retry_after_a_lost_response_and_other_accepted_versions")

    def test_broken_acknowledged_before_commit(self) -> None:
        original = ChangeProcessor._propose

        def propose(processor: ChangeProcessor, change: PendingChange, proposed: ProposedChange) -> None:
            change.result.callback(operator_result(ResultCode.ACCEPTED, version=proposed.version))
            original(processor, PendingChange(change.request, change.digest, Deferred()), proposed)

        with patch.object(ChangeProcessor, "_propose", propose):
            self.assert_fails("test_all_members_lose_power")

    def test_broken_rejected_while_the_outcome_is_unknown(self) -> None:
        with patch.object(
            changes, "_failure_result", lambda failure: operator_result(ResultCode.OTHER_VERSION)
        ):
            self.assert_fails("test_the_owner_receives_nothing_from_the_core")


if __name__ == "__main__":
    unittest.main()
