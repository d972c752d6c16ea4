"""Regression tests: runs that once violated a rule, shrunk to a few events.

The files in `tests/system/runs/` were written by `bitternpath campaign --way system` for a failing seed;
`checker` is the checker that failed.
"""

from __future__ import annotations

import unittest
from pathlib import Path

from bitternpath.testing.simulation.events import load_plan
from bitternpath.testing.simulation.runs.play import play

RUNS = Path(__file__).parent / "runs"


def replay(test: unittest.TestCase, name: str) -> None:
    """Play the plan of a file and check that it violates no rule."""
    report = play(load_plan(RUNS / f"{name}.json"))
    test.assertEqual([str(finding) for finding in report.findings], [])
    test.assertEqual(report.errors, [])


class ShrunkRuns(unittest.TestCase):
    """One test for each file."""

    def test_members_that_joined_restart(self) -> None:
        """Two members that joined later and a wiped third one must elect an owner after a loss of power.

        They have no founding file. Each of them waited for a leader, so the configuration had no owner.
        """
        replay(self, "members_that_joined_restart")

    def test_every_saved_run_has_a_test(self) -> None:
        names = {path.stem for path in RUNS.glob("*.json")}
        tested = {name.removeprefix("test_") for name in dir(self) if name.startswith("test_")}
        self.assertEqual(names - tested, set())


if __name__ == "__main__":
    unittest.main()
