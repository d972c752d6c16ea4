"""Plans of simulated runs: generation from a seed within the tolerated losses, storage, and reduction."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from bitternpath.testing.fault_injection.checker import Rule, Violation
from bitternpath.testing.simulation.checks.all import Finding
from bitternpath.testing.simulation.events import Fault, FaultKind, RunPlan, load_plan, save_plan
from bitternpath.testing.simulation.runs.draw import CATCH_UP_S, MASS_KINDS, SCENARIOS, draw
from bitternpath.testing.simulation.runs.play import RunReport
from bitternpath.testing.simulation.runs.shrink import shrink
from bitternpath.testing.simulation.runs.single_run import run_seed, scenario_of

SEEDS = range(40)
TERM_S = 7.0  # maximum time from SIGTERM until the process runs again


def loss_intervals(plan: RunPlan) -> list[tuple[float, float, str]]:
    """The intervals in which a plan loses a counted machine, with its name."""
    core = [f"e{number}" for number in range(1, plan.layout.core_edges + 1)]
    intervals = []
    for event in plan.events:
        if not isinstance(event, Fault) or event.kind in MASS_KINDS:
            continue
        back = TERM_S if event.kind is FaultKind.TERM else event.lasts
        for node in event.nodes:
            if node in core or node.startswith("s"):
                intervals.append((event.at, event.at + back + CATCH_UP_S, node))
    return intervals


class RandomPlans(unittest.TestCase):
    """Plans generated from a seed."""

    def test_same_seed_same_plan(self) -> None:
        for scenario in SCENARIOS.values():
            self.assertEqual(draw(7, scenario), draw(7, scenario))
            self.assertNotEqual(draw(7, scenario).events, draw(8, scenario).events)

    def test_losses_stay_within_the_tolerated_number(self) -> None:
        for scenario in SCENARIOS.values():
            for seed in SEEDS:
                plan = draw(seed, scenario)
                intervals = loss_intervals(plan)
                for begin, _, _ in intervals:
                    lost = {name for at, until, name in intervals if at <= begin < until - 0.001}
                    self.assertLessEqual(len(lost), plan.layout.tolerated, (scenario.name, seed))

    def test_no_other_loss_during_a_mass_fault(self) -> None:
        for scenario in SCENARIOS.values():
            for seed in SEEDS:
                plan = draw(seed, scenario)
                for event in plan.events:
                    if isinstance(event, Fault) and event.kind in MASS_KINDS:
                        during = [
                            each for each in loss_intervals(plan) if each[0] <= event.at < each[1] - 0.001
                        ]
                        self.assertEqual(during, [], (scenario.name, seed, event.at))

    def test_all_kinds_of_faults_are_drawn(self) -> None:
        drawn = {
            event.kind
            for scenario in SCENARIOS.values()
            for seed in SEEDS
            for event in draw(seed, scenario).events
            if isinstance(event, Fault)
        }
        self.assertEqual(drawn, set(FaultKind))

    def test_numbers_are_distinct(self) -> None:
        events = draw(3, SCENARIOS["mixed"]).events
        self.assertEqual(len({event.number for event in events}), len(events))


class SavedPlans(unittest.TestCase):
    """Plans stored as files."""

    def test_round_trip(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for scenario in SCENARIOS.values():
                plan, path = draw(5, scenario), Path(folder) / "plan.json"
                save_plan(plan, path)
                self.assertEqual(load_plan(path), plan)


class Shrinking(unittest.TestCase):
    """Delta debugging with a fake run."""

    def fake_run(self, plan: RunPlan) -> RunReport:
        """Fail if the plan contains both of two events."""
        self.runs += 1
        numbers = {event.number for event in plan.events}
        broken = Finding("check", Violation(Rule.LOST, "", "both are present"))
        return RunReport(plan, [broken] if {11, 73} <= numbers else [])

    def test_only_relevant_events_remain(self) -> None:
        self.runs = 0
        plan = draw(1, SCENARIOS["mixed"])
        self.assertGreater(len(plan.events), 80)
        shrunk = shrink(plan, "check", run_plan=self.fake_run)
        self.assertEqual([event.number for event in shrunk.plan.events], [11, 73])
        self.assertEqual(shrunk.plan.checker, "check")
        self.assertEqual(shrunk.report.checkers, ["check"])
        self.assertLess(self.runs, 100)

    def test_number_of_runs_is_limited(self) -> None:
        self.runs = 0
        shrink(draw(1, SCENARIOS["mixed"]), "check", max_runs=9, run_plan=self.fake_run)
        self.assertLessEqual(self.runs, 10)


class Runs(unittest.TestCase):
    """Complete runs: one seed of each scenario violates no rule, and equal seeds give equal runs."""

    longest_test_s = 75

    def test_one_seed_of_each_scenario(self) -> None:
        for seed in range(len(SCENARIOS)):
            with self.subTest(seed=seed, scenario=scenario_of(seed)):
                report = run_seed(seed)
                self.assertEqual([str(finding) for finding in report.findings], [])
                self.assertEqual(report.errors, [])
                self.assertGreater(report.accepted, 0)
                self.assertGreater(report.acknowledged, 1)

    def test_same_seed_same_run(self) -> None:
        self.assertEqual(run_seed(2).digest, run_seed(2).digest)


if __name__ == "__main__":
    unittest.main()
