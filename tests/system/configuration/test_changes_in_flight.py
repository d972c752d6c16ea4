"""Changes in flight while a fault hits the owner or a link, in the simulated world.

`Operator` calls as PROTOCOL describes it: it moves on to another node after a failure, a 5xx or a second
without a response, and retries the same request, unchanged, until its result is clear. The moment of the
fault is swept over the time that a change takes.
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

NODE_TIMEOUT_S = 1.0  # after that the operator moves on to another node
RETRY_PAUSE_S = 0.1
ACKNOWLEDGED_WITHIN_S = 5.0  # ack_ms
MOMENTS_S = [step * 0.001 for step in range(0, 26, 2)]  # after a request was sent; a change takes about 15 ms
FINE_MOMENTS_S = [step * 0.0005 for step in range(32)]  # between proposal and commit are a few ms


@dataclass
class SentChange:
    """A change, retried until its result is clear."""

    began: float
    attempts: list[Answer] = field(default_factory=list)
    status: int = 0
    ended: float = float("inf")


class Operator:
    """Retries changes until their result is clear."""

    def __init__(self, system: SmallSystem) -> None:
        self.system, self.world = system, system.world
        self._random = system.world.random("operator")

    def send(self, method: str, body: bytes, base: int, first: SimulatedNode | None = None) -> SentChange:
        """Begin; by default anywhere."""
        change = SentChange(self.world.now)
        self._attempt(change, method, body, base, first)
        return change

    def put(
        self, version: int, base: int, first: SimulatedNode | None = None, timeout_ms: int = 1000
    ) -> SentChange:
        """A whole configuration."""
        return self.send("PUT", json.dumps(configuration(version, timeout_ms)).encode(), base, first)

    def _attempt(
        self, change: SentChange, method: str, body: bytes, base: int, first: SimulatedNode | None = None
    ) -> None:
        node = first or self._random.choice(self.world.edges())
        answer = self.system.caller.call(method, node.control, "/config", body, If_Match=str(base))
        change.attempts.append(answer)
        began = self.world.now

        def check() -> None:
            if answer.status in (200, 400, 404, 409, 412):
                change.status, change.ended = answer.status, answer.ended
            elif answer.ended >= 0 or self.world.now - began >= NODE_TIMEOUT_S:
                self.world.at(self.world.now + RETRY_PAUSE_S, self._attempt, change, method, body, base)
            else:
                self.world.at(self.world.now + 0.01, check)

        check()


def is_owner(edge: SimulatedNode) -> bool:
    """Whether a node believes that it owns the configuration."""
    member = edge.process.node.member if edge.process is not None else None
    return member is not None and member.is_owner()


class ChangesInFlightTest(unittest.TestCase):
    """Changes during which a fault happens."""

    longest_test_s = 15

    def setUp(self) -> None:
        self.begin(7)

    def begin(self, seed: int, **plan: Any) -> None:
        self.system = SmallSystem(seed, Plan(core_edges=3, other_edges=2, **plan))
        self.world = self.system.world
        self.system.bootstrap()
        self.world.run_for(2.0)
        self.operator = Operator(self.system)
        self.version = 1

    def owner(self) -> SimulatedNode:
        """The node that owns the configuration now."""
        for _ in range(100):
            found = [edge for edge in self.world.edges() if edge.state is NodeState.UP and is_owner(edge)]
            if len(found) == 1:
                return found[0]
            self.world.run_for(0.1)
        raise AssertionError("no single owner")

    def forwarding_node(self) -> SimulatedNode:
        """A node that forwards changes to the owner."""
        return self.world.edges()[-1]

    def current(self) -> dict[str, Any]:
        """The configuration as it is read."""
        for _ in range(10):
            answer = self.system.version(-1)
            self.world.run_for(0.9)
            if answer.status == 200:
                return dict(answer.json())
        raise AssertionError("no configuration to be read")

    def check_accepted(self, change: SentChange, seconds: float = ACKNOWLEDGED_WITHIN_S) -> None:
        """It was acknowledged in time; an accepted change is never rejected."""
        while not change.status and self.world.now - change.began < 3 * ACKNOWLEDGED_WITHIN_S:
            self.world.run_for(0.05)
        self.assertEqual(change.status, 200, [each.status for each in change.attempts])
        self.assertLess(change.ended - change.began, seconds)

    def sweep(
        self, fault: Callable[[SimulatedNode], None], settle_s: float, moments: list[float] = MOMENTS_S
    ) -> None:
        """A change through another node, and a fault at each moment after it was sent."""
        for moment in moments:
            with self.subTest(moment=moment):
                owner, base = self.owner(), self.version
                self.version += 2
                change = self.operator.put(self.version, base, self.forwarding_node())
                self.world.at(self.world.now + moment, fault, owner)
                self.check_accepted(change)
                self.assertEqual(self.current()["version"], self.version)
                self.world.run_for(settle_s)
        self.assertEqual((self.world.violations, self.world.failures), ([], []))

    def test_the_owner_is_killed(self) -> None:
        self.sweep(lambda owner: self.world.kill(owner.name), 3.0)

    def test_the_owner_loses_power(self) -> None:
        self.sweep(lambda owner: self.world.lose_power(owner.name), 3.0)

    def test_all_members_lose_power(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            for edge in self.world.edges():
                if edge.counted:
                    self.world.lose_power(edge.name)

        self.sweep(fault, 4.0, FINE_MOMENTS_S)

    def test_the_forwarding_link_is_reset(self) -> None:
        self.sweep(lambda owner: self.world.reset(self.forwarding_node().name, owner.name), 0.5)

    def test_the_owner_is_frozen_and_accepts_nothing_when_it_thaws(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            self.world.freeze(owner.name)
            self.world.at(self.world.now + 4.0, self.world.thaw, owner.name)

        self.sweep(fault, 5.0)

    def test_the_owner_receives_nothing_from_the_core(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            for edge in self.world.edges():
                if edge.counted and edge is not owner:
                    self.world.partition(edge.name, owner.name, both=False)
            self.world.at(self.world.now + 4.0, self.world.heal_host, owner.name)

        self.sweep(fault, 6.0)

    def test_the_same_change_on_all_nodes_at_once(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 3
            sent = [self.operator.put(self.version, base, edge) for edge in self.world.edges()]
            for change in sent:
                self.check_accepted(change, 1.0)
                self.assertEqual(len(change.attempts), 1)

    def test_eight_changes_in_flight_of_one_version(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 2
            edges = self.world.edges()
            sent = [
                self.operator.put(self.version, base, edges[number % len(edges)], 1000 + number)
                for number in range(8)
            ]
            self.world.run_for(1.0)
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
            self.world.run_for(1.0)
            statuses = [change.status for change in sent]
            self.assertEqual(sorted(statuses), [200, 412])
            self.assertEqual(self.current()["routes"][0]["timeout_ms"], (77, 88)[statuses.index(200)])

    def test_a_retry_after_a_lost_response_and_other_accepted_versions(self) -> None:
        first = configuration(3)
        lost = self.operator.send("PUT", json.dumps(first).encode(), 1)
        self.check_accepted(lost)
        for version in (5, 7, 9):
            self.check_accepted(self.operator.put(version, version - 2))
        self.world.kill(self.owner().name)
        for edge in self.world.edges():
            again = self.operator.send("PUT", json.dumps(first).encode(), 1, edge)
            self.check_accepted(again)
        self.assertEqual(self.current()["version"], 9)

    def test_slow_disks_of_the_others_give_503_in_time_and_the_change_is_accepted_later(self) -> None:
        owner = self.owner()
        for edge in self.world.edges():
            if edge.counted and edge is not owner:
                self.world.stall_disk(edge.name, 3.0)
        change = self.operator.put(3, 1, owner)
        self.check_accepted(change)
        for answer in change.attempts[:-1]:
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.ended - answer.began, NODE_TIMEOUT_S)


class BrokenBuildsTest(unittest.TestCase):
    """Each broken build fails a test that is named here."""

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
        proper = ChangeProcessor._propose

        def propose(processor: ChangeProcessor, change: PendingChange, proposed: ProposedChange) -> None:
            change.result.callback(operator_result(ResultCode.ACCEPTED, version=proposed.version))
            proper(processor, PendingChange(change.request, change.digest, Deferred()), proposed)

        with patch.object(ChangeProcessor, "_propose", propose):
            self.assert_fails("test_all_members_lose_power")

    def test_broken_rejected_while_the_outcome_is_unknown(self) -> None:
        with patch.object(
            changes, "_failure_result", lambda failure: operator_result(ResultCode.OTHER_VERSION)
        ):
            self.assert_fails("test_the_owner_receives_nothing_from_the_core")


if __name__ == "__main__":
    unittest.main()
