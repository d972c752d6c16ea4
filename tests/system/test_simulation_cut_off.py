"""Answers of a control machine that is partitioned from all others or was frozen (issue 37, point 1).

It answers 2xx or 4xx only after contact with a majority since the call, and otherwise 503, early enough for
the operator's next attempt.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable
from unittest.mock import patch

from twisted.internet.defer import Deferred, fail, succeed

from bitternpath.replication.errors import NotOwnerError
from bitternpath.replication.host import ReplicaHost
from bitternpath.testing.simulation.processes import SimulatedNode
from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import Answer, SmallSystem, configuration

OPERATOR_TIMEOUT_S = 1.0  # after this time, an operator calls another node
CALLS_S = 3.0
CALL_EVERY_S = 0.15


def calls_of(system: SmallSystem, node: SimulatedNode) -> list[Callable[[], Answer]]:
    """All kinds of orders and reads, valid and invalid."""
    call, control = system.caller.call, node.control
    patch_document = {"version": 3, "remove": {"routes": ["r-1"]}}
    retire = f"/retire/{system.world.storages()[0].name}"
    return [
        lambda: call("PUT", control, "/config", configuration(2, 1500), If_Match="1"),
        lambda: call("PUT", control, "/config", configuration(1), If_Match="0"),  # accepted earlier
        lambda: call(
            "PUT", control, "/config", configuration(9), If_Match="7"
        ),  # based on a version that doesn't exist
        lambda: call("PUT", control, "/config", b"{", If_Match="1"),
        lambda: call("PATCH", control, "/config", patch_document, If_Match="1"),
        lambda: call("GET", control, "/config"),
        lambda: call("POST", control, retire, {"duration_s": 10}),
        lambda: call("POST", control, "/retire/nobody", {"duration_s": 10}),
        lambda: call("GET", control, retire),
    ]


def owner_of_configuration(system: SmallSystem) -> SimulatedNode:
    """The edge node that owns the configuration."""
    gained = [
        change for change in system.world.ownerships if change.group == "configuration" and change.gained
    ]
    return system.world.nodes[gained[-1].node]


class PartitionedOwner(unittest.TestCase):
    longest_test_s = 30

    def play(self, kind: str, direction: str, after_s: float) -> list[Answer]:
        """The answers of a node that is partitioned in one or both directions."""
        system = SmallSystem(f"cut-off-{kind}-{direction}-{after_s}", Plan(storages=4))
        world = system.world
        system.bootstrap()
        world.run_for(2.0)
        owner = owner_of_configuration(system)
        target = {
            "owner": owner,
            "member": next(edge for edge in world.edges() if edge.counted and edge is not owner),
            "other": next(edge for edge in world.edges() if not edge.counted),
        }[kind]
        for name in world.nodes:
            if name != target.name and direction != "in":
                world.partition(target.name, name, both=False)
            if name != target.name and direction != "out":
                world.partition(name, target.name, both=False)
        world.run_for(after_s)
        random, answers = world.random("calls"), list[Answer]()
        end = world.now + CALLS_S
        while world.now < end:
            answers.append(random.choice(calls_of(system, target))())
            world.run_for(CALL_EVERY_S)
        world.run_for(3.0)
        return answers

    def test_prompt_503_only(self) -> None:
        for kind in ("owner", "member", "other"):
            for direction in ("both", "out", "in"):
                for after_s in (0.0, 0.4, 2.0):
                    with self.subTest(kind, direction=direction, after_s=after_s):
                        answers = self.play(kind, direction, after_s)
                        self.assertEqual({answer.status for answer in answers}, {503})
                        self.assertLess(max(each.ended - each.began for each in answers), OPERATOR_TIMEOUT_S)

    def test_build_without_quorum_confirmation_is_detected(self) -> None:
        def without_quorum(self: ReplicaHost, group: str) -> Deferred[None]:
            return succeed(None) if self.is_owner(group) else fail(NotOwnerError())

        with patch.object(ReplicaHost, "read_barrier", without_quorum):
            statuses = {answer.status for answer in self.play("owner", "both", 0.0)}
        self.assertTrue(statuses & {200, 400, 404, 409, 412}, statuses)


class FrozenOwner(unittest.TestCase):
    def test_requests_queued_while_frozen_get_no_stale_answer(self) -> None:
        """Calls arrive while the owner is frozen and others proceed; it answers after its thaw."""
        for seed in range(6):
            with self.subTest(seed=seed):
                system = SmallSystem(f"frozen-{seed}", Plan(storages=4))
                world = system.world
                system.bootstrap()
                world.run_for(2.0)
                owner = owner_of_configuration(system)
                others = [index for index, edge in enumerate(world.edges()) if edge is not owner]
                world.freeze(owner.name)
                world.run_for(2.5)
                order = system.put(2, 1, others[0])
                world.run_for(0.5)
                self.assertEqual(order.status, 200, order)
                read = system.caller.call("GET", owner.control, "/config")
                on_old = system.caller.call("PUT", owner.control, "/config", configuration(5), If_Match="1")
                on_new = system.caller.call("PUT", owner.control, "/config", configuration(7), If_Match="2")
                world.run_for(0.1 + 0.3 * seed)
                world.thaw(owner.name)
                world.run_for(3.0)
                if read.status == 200:
                    self.assertIn(read.json()["version"], (2, 7))
                self.assertIn(read.status, (200, 503, 0))
                self.assertIn(on_old.status, (412, 503, 0))
                self.assertIn(on_new.status, (200, 503, 0))
                self.assertEqual(world.violations, [])
