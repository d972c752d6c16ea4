"""The simulated world: real roles bootstrap the system and accept orders and messages."""

from __future__ import annotations

import unittest

from bitternpath.testing.simulation.world import Plan
from tests.system.small_actors import SmallSystem


class WholeService(unittest.TestCase):
    def test_bootstrap_configuration_and_delivery(self) -> None:
        system = SmallSystem(1)
        system.bootstrap()
        system.world.run_for(2.0)
        request_id, accepted = system.send(edge=1)
        system.world.run_for(1.0)
        self.assertEqual(accepted.status, 202, accepted)
        state = system.state(accepted, request_id, edge=2)
        system.world.run_for(1.0)
        self.assertEqual(state.status, 200, state)
        self.assertEqual(state.json()["state"], "done")
        self.assertEqual([run[1] for run in system.worker.runs], [request_id])
        self.assertEqual(system.world.failures, [])
        self.assertEqual(system.world.violations, [])

    def test_bootstrap_without_actors_for_many_seeds(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                system = SmallSystem(seed, Plan(core_edges=3, other_edges=0))
                system.bootstrap()
                versions = [system.version(edge) for edge in range(3)]
                system.world.run_for(1.0)
                self.assertEqual([answer.json()["version"] for answer in versions], [1, 1, 1])
