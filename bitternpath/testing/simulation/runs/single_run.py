"""A single run of a seed, as a campaign plays it."""

from __future__ import annotations

from pathlib import Path

import msgspec

from bitternpath.testing.simulation.events import RunPlan, save_plan
from bitternpath.testing.simulation.runs.draw import SCENARIOS, draw
from bitternpath.testing.simulation.runs.play import RunReport, play
from bitternpath.testing.simulation.runs.shrink import shrink

FAILING_PLANS_FOLDER = Path("found")  # ignored by git
MAX_VIOLATIONS_SHOWN = 3  # violations of a run in its description


def scenario_of(seed: int) -> str:
    """The scenario of a seed; consecutive seeds cycle through all scenarios."""
    names = list(SCENARIOS)
    return names[seed % len(names)]


def run_seed(seed: int, scenario: str = "") -> RunReport:
    """Play the plan of a seed, by default in the scenario of `scenario_of`."""
    return play(draw(seed, SCENARIOS[scenario or scenario_of(seed)]))


def describe(report: RunReport) -> str:
    """A summary line, and a line for each of the first violations."""
    plan = report.plan
    summary = f"seed {plan.seed} {plan.scenario}"
    if report.passed:
        return f"{summary}: rules kept, {report.accepted} messages, {report.acknowledged} orders"
    lines = [f"{summary}: {len(report.findings)} violations, {len(report.errors)} errors of actors"]
    lines += [f"  {finding}" for finding in report.findings[:MAX_VIOLATIONS_SHOWN]]
    lines += [f"  {error}" for error in report.errors[:1]]
    return "\n".join(lines)


def shrink_and_save(report: RunReport, folder: Path = FAILING_PLANS_FOLDER) -> str:
    """Shrink a failing run and save its plan; returns a description with the file's path."""
    if not report.findings:
        return "the actors themselves failed: nothing to shrink"
    shrunk = shrink(report.plan, report.checkers[0])
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{report.plan.scenario}-{report.plan.seed}.json"
    save_plan(shrunk.plan, path)
    return f"{len(shrunk.plan.events)} events after {shrunk.runs} runs: {path}\n{event_lines(shrunk.plan)}"


def event_lines(plan: RunPlan) -> str:
    """The events of a plan, one per line."""
    return "\n".join(f"    {msgspec.json.encode(event).decode()}" for event in plan.events)
