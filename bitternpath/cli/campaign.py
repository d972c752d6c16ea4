"""`bitternpath campaign`: many runs of the fleet or the system with faults, on all cores."""

from __future__ import annotations

import gc
import os
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import click

from bitternpath.cli.lab import needs_lab

if TYPE_CHECKING:
    from bitternpath.testing.simulation.runs.coverage import Coverage

REPORT_EACH = ("days", "search")  # ways that print every outcome, not only failures
DEFAULT_FAULTS = 20
DEFAULT_SOCKET_FAULTS = 5  # default number of faults in a run with real processes
CORES_PER_SOCKET_RUN = 2  # number of cores that a run with real processes uses


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one seed; `coverage` is set if the way measures it."""

    passed: bool
    summary: str
    coverage: Coverage | None = None


def _run_fleet(seed: int, faults: int) -> Outcome:
    from bitternpath.testing.emulator.fleet.campaign import run_seed

    outcome = run_seed(seed, faults)
    return Outcome(outcome.passed, str(outcome))


def _run_random_schedule(seed: int, _: int) -> Outcome:
    from bitternpath.testing.emulator.fleet.random_schedule import run_schedule

    violations = run_schedule(seed).violations
    return Outcome(not violations, f"seed {seed}: {violations[0] if violations else 'rules kept'}")


def _run_on_sockets(seed: int, faults: int) -> Outcome:
    """Run in a separate process, because a reactor cannot be restarted."""
    code = f"import sys; from bitternpath.cli.campaign import play_day; sys.exit(play_day({seed}, {faults}))"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=False)
    return Outcome(
        process.returncode == 0, f"seed {seed}: {process.stdout.strip() or process.stderr.strip()}"
    )


def _search_states(scope_index: int, max_states: int) -> Outcome:
    from bitternpath.testing.emulator.fleet.search.explore import search
    from bitternpath.testing.emulator.fleet.search.scopes import SCOPES, initial_state

    result = search(initial_state(SCOPES[scope_index]), max_states, deque.pop)
    summary = f"{result.violation}, after {'; '.join(result.trace)}" if result.violation else "rules kept"
    coverage = "all" if result.complete else "the first"
    searched = f"{coverage} {result.states} states, {result.moves} moves"
    return Outcome(not result.violation, f"{SCOPES[scope_index]}: {summary} in {searched}")


def _run_system(seed: int, _: int) -> Outcome:
    """Simulate the whole service once; a failing plan is shrunk and saved."""
    from bitternpath.testing.simulation.runs.single_run import describe, run_seed, shrink_and_save

    report = run_seed(seed)
    summary = describe(report)
    if not report.passed:
        summary = f"{summary}\n  shrunk: {shrink_and_save(report)}"
    return Outcome(report.passed, summary, report.coverage)


def play_day(seed: int, faults: int) -> int:
    """Play one scenario with real processes, print one line and return the exit code."""
    import structlog

    from bitternpath.testing.emulator.fleet.days import scenario_for_seed
    from bitternpath.testing.emulator.sockets.play import VoidError, play_on_sockets

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    scenario = scenario_for_seed(seed, faults)
    fault_kinds = ", ".join(
        f"{fault.kind} {fault.at:.1f}+{fault.lasts:.1f}" for fault in scenario.troubles[1:]
    )
    try:
        result = play_on_sockets(scenario, seed)
    except VoidError as error:
        print(f"{error} ({fault_kinds})")
        return 0
    summary = "; ".join(result.violations[:3]) or f"rules kept, {result.requests} requests"
    print(f"{summary} ({fault_kinds})")
    return 0 if result.passed else 1


def _report_coverage(coverages: list[Coverage]) -> None:
    """Print the combined coverage of all runs."""
    from bitternpath.testing.simulation.runs.coverage import Coverage

    if not coverages:
        return
    total = Coverage()
    for coverage in coverages:
        total.add(coverage)
    for line in total.lines():
        click.echo(line)


WAYS: dict[str, Callable[[int, int], Outcome]] = {
    "runs": _run_fleet,
    "walks": _run_random_schedule,
    "days": _run_on_sockets,
    "search": _search_states,
    "system": _run_system,
}


@click.command(
    epilog="""\b
Examples:
  bitternpath campaign --many 10000                 # in virtual time, 20 faults each
  bitternpath campaign --way walks --many 100000    # consensus servers with random schedules
  bitternpath campaign --way days --many 100        # real processes, 5 faults each
  bitternpath campaign --way search --many 1000000  # all states of small scopes, up to this many each
  bitternpath campaign --way system --many 1000 --jobs 8  # the whole service in virtual time
"""
)
@click.option("--way", type=click.Choice(list(WAYS)), default="runs", show_default=True, help="kind of run")
@click.option("--many", default=1000, show_default=True, help="number of seeds, or maximum states of a scope")
@click.option("--first", default=0, show_default=True, help="first seed")
@click.option("--faults", type=int, help="number of faults per run [default: 20; 5 with real processes]")
@click.option("--jobs", type=click.IntRange(min=1), help="number of processes [default: all cores]")
@needs_lab
def command(way: str, many: int, first: int, faults: int | None, jobs: int | None, **_: Any) -> None:
    """Run the fleet or the system with faults, once per seed; print the seeds that violated a rule.

    Exit status: 0 if all runs kept the rules, 1 otherwise.
    """
    gc.enable()  # disabled at start-up; without it the worlds of finished runs are not freed
    if way == "search":
        from bitternpath.testing.emulator.fleet.search.scopes import SCOPES

        faults, many = many, len(SCOPES)
    faults = faults if faults is not None else (DEFAULT_SOCKET_FAULTS if way == "days" else DEFAULT_FAULTS)
    cores = jobs or os.cpu_count() or 1
    started_at, done, failed, void = time.monotonic(), 0, 0, 0
    coverages: list[Coverage] = []
    pool: Any = (
        ThreadPoolExecutor(max(cores // CORES_PER_SOCKET_RUN, 1))
        if way == "days"
        else ProcessPoolExecutor(cores)
    )
    with pool:
        outcomes: Iterable[Outcome] = pool.map(
            WAYS[way], range(first, first + many), [faults] * many,
            **({} if way in REPORT_EACH else {"chunksize": max(min(many // cores // 4, 50), 1)}),
        )  # fmt: skip
        for outcome in outcomes:
            done += 1
            failed += not outcome.passed
            void += "void" in outcome.summary
            if outcome.coverage is not None:
                coverages.append(outcome.coverage)
            if not outcome.passed or way in REPORT_EACH:
                click.echo(outcome.summary)
            elif done % max(many // 20, 1) == 0:
                click.echo(f"{done} of {many}, {time.monotonic() - started_at:.0f} s")
    _report_coverage(coverages)
    void_text = f", {void} of them void" if void else ""
    click.echo(
        f"{done} {way}{void_text}: {failed} broke a rule or got stuck, {time.monotonic() - started_at:.0f} s"
    )
    click.get_current_context().exit(1 if failed else 0)
