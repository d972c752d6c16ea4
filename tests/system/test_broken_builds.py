"""Each broken build is caught by a named run, which the program as it is plays without breaking a rule.

The runs are in `tests/system/runs/broken/`, shrunk; the builds in `broken_builds`. Four more builds, with runs
of their own, are in `test_simulation_broken`.
"""

from __future__ import annotations

import unittest
from pathlib import Path

from bitternpath.simulation.events import load_plan
from bitternpath.simulation.runs.play import play
from tests.system.broken_builds import BUILDS, broken

RUNS = Path(__file__).parent / "runs" / "broken"
NAMES = sorted(path.stem for path in RUNS.glob("*.json"))


class BrokenBuilds(unittest.TestCase):
    """All builds that have a run."""

    def test_each_is_caught_by_its_run(self) -> None:
        for name in NAMES:
            with self.subTest(build=name):
                plan = load_plan(RUNS / f"{name}.json")
                with broken(BUILDS[name]):
                    report = play(plan)
                self.assertIn(plan.checker, report.checkers)

    def test_the_program_as_it_is_keeps_the_rules_in_them(self) -> None:
        for name in NAMES:
            with self.subTest(build=name):
                report = play(load_plan(RUNS / f"{name}.json"))
                self.assertEqual([str(found) for found in report.found], [])
                self.assertEqual(report.errors, [])

    def test_each_build_has_a_run(self) -> None:
        self.assertEqual(set(BUILDS), set(NAMES))


if __name__ == "__main__":
    unittest.main()
