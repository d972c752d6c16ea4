"""What follows from a seed or a hash is what 6e92cd6 made of it: plans, runs, shards, digests of changes."""

from __future__ import annotations

import json
import unittest
from typing import Any

from tests.system.pinned import program
from tests.system.pinned.write_runs import EMULATED, FILE, FLEET_SEEDS, RUNS, emulated, hashes, plans, run

PINNED: dict[str, Any] = json.loads(FILE.read_text("utf-8"))


class Runs(unittest.TestCase):
    longest_test_s = 10

    def test_plans_are_drawn_the_same(self) -> None:
        self.assertEqual(plans(), PINNED["plans"])

    def test_simulated_runs_are_the_same_event_by_event(self) -> None:
        for name, seed in RUNS:
            with self.subTest(scenario=name, seed=seed):
                self.assertEqual(run(name, seed), PINNED["runs"][f"{name} {seed}"])

    def test_days_of_the_older_nodes_fleet(self) -> None:
        for seed in FLEET_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(str(program.play_fleet(seed)), PINNED["fleet"][str(seed)])

    def test_days_of_the_emulator(self) -> None:
        for name, seed in EMULATED:
            with self.subTest(scenario=name, seed=seed):
                self.assertEqual(emulated(name, seed), PINNED["emulator"][f"{name} {seed}"])


class Hashes(unittest.TestCase):
    def test_shards_names_and_digests(self) -> None:
        self.assertEqual(hashes(), PINNED["hashes"])


if __name__ == "__main__":
    unittest.main()
