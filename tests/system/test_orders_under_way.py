"""Orders under way while something happens to the owner or to a link, in the simulated world.

`Operator` calls as PROTOCOL describes it: it moves on to another node after a failure, a 5xx or a second of
silence, and sends the same order again, unchanged, until it has a clear answer. The fault's moment is swept
over the time that an order takes.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from unittest.mock import patch

from twisted.internet.defer import Deferred

from bitternpath.configuration import changes as orders
from bitternpath.configuration.changes import ChangeProcessor, _Acceptable, _Submission
from bitternpath.configuration.results import ResultCode, operator_result
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.testing.simulation.processes import NodeState, SimulatedNode
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import Answer, SmallSystem, configuration

SILENCE_S = 1.0  # after that the operator moves on
PAUSE_S = 0.1
ACK_S = 5.0  # ack_ms
MOMENTS_S = [step * 0.001 for step in range(0, 26, 2)]  # after an order was sent; one takes about 15 ms
FINE_MOMENTS_S = [step * 0.0005 for step in range(32)]  # between proposal and commit are a few ms


@dataclass
class Sending:
    """An order, sent until it has a clear answer."""

    began: float
    tries: list[Answer] = field(default_factory=list)
    status: int = 0
    ended: float = float("inf")


class Operator:
    """Sends orders again until they are decided."""

    def __init__(self, system: SmallSystem) -> None:
        self.system, self.world = system, system.world
        self._random = system.world.random("operator")

    def send(self, method: str, body: bytes, base: int, first: SimulatedNode | None = None) -> Sending:
        """Begin; by default anywhere."""
        sending = Sending(self.world.now)
        self._try(sending, method, body, base, first)
        return sending

    def put(
        self, version: int, base: int, first: SimulatedNode | None = None, timeout_ms: int = 1000
    ) -> Sending:
        """A whole configuration."""
        return self.send("PUT", json.dumps(configuration(version, timeout_ms)).encode(), base, first)

    def _try(
        self, sending: Sending, method: str, body: bytes, base: int, first: SimulatedNode | None = None
    ) -> None:
        node = first or self._random.choice(self.world.edges())
        answer = self.system.caller.call(method, node.control, "/config", body, If_Match=str(base))
        sending.tries.append(answer)
        began = self.world.now

        def look() -> None:
            if answer.status in (200, 400, 404, 409, 412):
                sending.status, sending.ended = answer.status, answer.ended
            elif answer.ended >= 0 or self.world.now - began >= SILENCE_S:
                self.world.at(self.world.now + PAUSE_S, self._try, sending, method, body, base)
            else:
                self.world.at(self.world.now + 0.01, look)

        look()


def is_owner(edge: SimulatedNode) -> bool:
    """Whether a node takes itself for the configuration's owner."""
    member = edge.process.node.member if edge.process is not None else None
    return member is not None and member.is_owner()


class UnderWayTest(unittest.TestCase):
    """Orders that something happens to."""

    longest_test_s = 15

    def setUp(self) -> None:
        self.begin(7)

    def begin(self, seed: int, **plan: Any) -> None:
        self.system = SmallSystem(seed, Plan(core_edges=3, other_edges=2, **plan))
        self.world = self.system.world
        self.system.found()
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

    def outer(self) -> SimulatedNode:
        """A node that forwards."""
        return self.world.edges()[-1]

    def current(self) -> dict[str, Any]:
        """The configuration as it is read."""
        for _ in range(10):
            answer = self.system.version(-1)
            self.world.run_for(0.9)
            if answer.status == 200:
                return dict(answer.json())
        raise AssertionError("no configuration to be read")

    def check_taken(self, sending: Sending, seconds: float = ACK_S) -> None:
        """It was acknowledged in time; an order that was taken is never refused."""
        while not sending.status and self.world.now - sending.began < 3 * ACK_S:
            self.world.run_for(0.05)
        self.assertEqual(sending.status, 200, [each.status for each in sending.tries])
        self.assertLess(sending.ended - sending.began, seconds)

    def sweep(
        self, fault: Callable[[SimulatedNode], None], settle_s: float, moments: list[float] = MOMENTS_S
    ) -> None:
        """An order through another node, and something at each moment after it was sent."""
        for moment in moments:
            with self.subTest(moment=moment):
                owner, base = self.owner(), self.version
                self.version += 2
                sending = self.operator.put(self.version, base, self.outer())
                self.world.at(self.world.now + moment, fault, owner)
                self.check_taken(sending)
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

    def test_the_link_by_which_it_was_forwarded_is_reset(self) -> None:
        self.sweep(lambda owner: self.world.reset(self.outer().name, owner.name), 0.5)

    def test_the_owner_is_frozen_and_decides_nothing_when_it_wakes(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            self.world.freeze(owner.name)
            self.world.at(self.world.now + 4.0, self.world.thaw, owner.name)

        self.sweep(fault, 5.0)

    def test_the_owner_hears_nothing_from_the_core(self) -> None:
        def fault(owner: SimulatedNode) -> None:
            for edge in self.world.edges():
                if edge.counted and edge is not owner:
                    self.world.cut(edge.name, owner.name, both=False)
            self.world.at(self.world.now + 4.0, self.world.rejoin, owner.name)

        self.sweep(fault, 6.0)

    def test_the_same_order_on_all_nodes_at_once(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 3
            sent = [self.operator.put(self.version, base, edge) for edge in self.world.edges()]
            for sending in sent:
                self.check_taken(sending, 1.0)
                self.assertEqual(len(sending.tries), 1)

    def test_eight_orders_under_way_on_one_version(self) -> None:
        for _ in range(5):
            base, self.version = self.version, self.version + 2
            edges = self.world.edges()
            sent = [
                self.operator.put(self.version, base, edges[number % len(edges)], 1000 + number)
                for number in range(8)
            ]
            self.world.run_for(1.0)
            statuses = [sending.status for sending in sent]
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
            statuses = [sending.status for sending in sent]
            self.assertEqual(sorted(statuses), [200, 412])
            self.assertEqual(self.current()["routes"][0]["timeout_ms"], (77, 88)[statuses.index(200)])

    def test_an_answer_lost_and_other_versions_accepted_before_it_is_sent_again(self) -> None:
        first = configuration(3)
        lost = self.operator.send("PUT", json.dumps(first).encode(), 1)
        self.check_taken(lost)
        for version in (5, 7, 9):
            self.check_taken(self.operator.put(version, version - 2))
        self.world.kill(self.owner().name)
        for edge in self.world.edges():
            again = self.operator.send("PUT", json.dumps(first).encode(), 1, edge)
            self.check_taken(again)
        self.assertEqual(self.current()["version"], 9)

    def test_slow_disks_of_the_others_give_503_in_time_and_the_order_is_taken_afterwards(self) -> None:
        owner = self.owner()
        for edge in self.world.edges():
            if edge.counted and edge is not owner:
                self.world.stall_disk(edge.name, 3.0)
        sending = self.operator.put(3, 1, owner)
        self.check_taken(sending)
        for answer in sending.tries[:-1]:
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.ended - answer.began, SILENCE_S)


class BrokenBuildsTest(unittest.TestCase):
    """Each broken build fails a run that is named here."""

    def assert_fails(self, name: str) -> None:
        result = unittest.TestResult()
        UnderWayTest(name).run(result)
        self.assertEqual(result.errors, [])
        self.assertNotEqual(result.failures, [])

    def test_broken_accepted_orders_are_forgotten(self) -> None:
        with patch.object(ConfigurationState, "accepted_as", lambda state, digest: None):
            self.assert_fails("test_the_link_by_which_it_was_forwarded_is_reset")
            self.assert_fails("test_an_answer_lost_and_other_versions_accepted_before_it_is_sent_again")

    def test_broken_acknowledged_before_commit(self) -> None:
        proper = ChangeProcessor._propose

        def propose(processor: ChangeProcessor, submission: _Submission, acceptable: _Acceptable) -> None:
            submission.answer.callback(operator_result(ResultCode.ACCEPTED, version=acceptable.version))
            proper(processor, _Submission(submission.order, submission.digest, Deferred()), acceptable)

        with patch.object(ChangeProcessor, "_propose", propose):
            self.assert_fails("test_all_members_lose_power")

    def test_broken_refused_while_its_fate_is_open(self) -> None:
        with patch.object(orders, "_failed", lambda failure: operator_result(ResultCode.OTHER_VERSION)):
            self.assert_fails("test_the_owner_hears_nothing_from_the_core")


if __name__ == "__main__":
    unittest.main()
