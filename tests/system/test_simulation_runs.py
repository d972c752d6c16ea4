"""Runs that once broke a rule, shrunk to a few events: each is played again and keeps all rules.

A file of `tests/system/runs/` is what `bitternpath campaign --way system` wrote for a failing seed; its
`checker` is the one that failed.
"""

from __future__ import annotations

import unittest
from pathlib import Path

from bitternpath.testing.simulation.events import load_plan
from bitternpath.testing.simulation.runs.play import play

RUNS = Path(__file__).parent / "runs"


def replay(test: unittest.TestCase, name: str) -> None:
    """Play a file's plan and say what it broke."""
    report = play(load_plan(RUNS / f"{name}.json"))
    test.assertEqual([str(finding) for finding in report.findings], [])
    test.assertEqual(report.errors, [])


class ShrunkRuns(unittest.TestCase):
    """One test a file."""

    def test_members_that_joined_restart(self) -> None:
        """Two members that joined later and a wiped third come back from a loss of power: they must elect.

        They have no founding file; each waited for a leader to speak, and the configuration had no owner.
        """
        replay(self, "members_that_joined_restart")

    def test_every_saved_run_has_a_test(self) -> None:
        names = {path.stem for path in RUNS.glob("*.json")}
        tested = {name.removeprefix("test_") for name in dir(self) if name.startswith("test_")}
        self.assertEqual(names - tested, set())


if __name__ == "__main__":
    unittest.main()
