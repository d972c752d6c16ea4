"""`bitternpath campaign`: many runs of the fleet with faults, on all cores."""

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

REPORT_EACH = ("days", "search")  # ways of which each outcome is reported
DEFAULT_FAULTS = 20
FAULTS_OF_A_DAY = 5  # with real processes
CORES_OF_A_DAY = 2  # that a run with real processes keeps busy


@dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one seed; `coverage` where the way counts it."""

    kept: bool
    summary: str
    coverage: Coverage | None = None


def _run(seed: int, faults: int) -> Outcome:
    from bitternpath.testing.emulator.fleet.campaign import run_seed

    outcome = run_seed(seed, faults)
    return Outcome(outcome.passed, str(outcome))


def _walk(seed: int, _: int) -> Outcome:
    from bitternpath.testing.emulator.fleet.random_schedule import run_schedule

    broken = run_schedule(seed).violations
    return Outcome(not broken, f"seed {seed}: {broken[0] if broken else 'rules kept'}")


def _day(seed: int, faults: int) -> Outcome:
    """In a process of its own: a reactor runs once."""
    code = f"import sys; from bitternpath.cli.campaign import one_day; sys.exit(one_day({seed}, {faults}))"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=False)
    return Outcome(run.returncode == 0, f"seed {seed}: {run.stdout.strip() or run.stderr.strip()}")


def _search(number: int, most: int) -> Outcome:
    from bitternpath.testing.emulator.fleet.search.explore import search
    from bitternpath.testing.emulator.fleet.search.scopes import SCOPES, initial_state

    found = search(initial_state(SCOPES[number]), most, deque.pop)
    summary = f"{found.violation}, after {'; '.join(found.trace)}" if found.violation else "rules kept"
    coverage = "all" if found.complete else "the first"
    searched = f"{coverage} {found.states} states, {found.moves} moves"
    return Outcome(not found.violation, f"{SCOPES[number]}: {summary} in {searched}")


def _system(seed: int, _: int) -> Outcome:
    """One run of the whole service; a failing one is shrunk and written down."""
    from bitternpath.testing.simulation.runs.single_run import describe, run_seed, shrink_and_save

    report = run_seed(seed)
    summary = describe(report)
    if not report.passed:
        summary = f"{summary}\n  shrunk: {shrink_and_save(report)}"
    return Outcome(report.passed, summary, report.coverage)


def one_day(seed: int, faults: int) -> int:
    """Play one day with real processes and say in one line what came of it."""
    import structlog

    from bitternpath.testing.emulator.fleet.days import scenario_for_seed
    from bitternpath.testing.emulator.sockets.play import VoidError, play_on_sockets

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    scenario = scenario_for_seed(seed, faults)
    kinds = ", ".join(f"{t.kind} {t.at:.1f}+{t.lasts:.1f}" for t in scenario.troubles[1:])
    try:
        result = play_on_sockets(scenario, seed)
    except VoidError as error:
        print(f"{error} ({kinds})")
        return 0
    summary = "; ".join(result.violations[:3]) or f"rules kept, {result.requests} requests"
    print(f"{summary} ({kinds})")
    return 0 if result.passed else 1


def _report_coverage(coverages: list[Coverage]) -> None:
    """Print what all runs together met."""
    from bitternpath.testing.simulation.runs.coverage import Coverage

    if not coverages:
        return
    total = Coverage()
    for coverage in coverages:
        total.add(coverage)
    for line in total.lines():
        click.echo(line)


WAYS: dict[str, Callable[[int, int], Outcome]] = {
    "runs": _run, "walks": _walk, "days": _day, "search": _search, "system": _system,
}  # fmt: skip


@click.command(
    epilog="""\b
Examples:
  bitternpath campaign --many 10000                 # in virtual time, 20 faults each
  bitternpath campaign --way walks --many 100000    # stewards under the worst scheduler
  bitternpath campaign --way days --many 100        # real processes, 5 faults each
  bitternpath campaign --way search --many 1000000  # each state within small scopes, so many of each at most
  bitternpath campaign --way system --many 1000 --jobs 8  # the whole service in virtual time
"""
)
@click.option("--way", type=click.Choice(list(WAYS)), default="runs", show_default=True, help="how to play")
@click.option("--many", default=1000, show_default=True, help="how many seeds, or states of a scope")
@click.option("--first", default=0, show_default=True, help="the first of them")
@click.option("--faults", type=int, help="in each run [default: 20, and 5 with real processes]")
@click.option("--jobs", type=click.IntRange(min=1), help="how many processes [default: all cores]")
@needs_lab
def command(way: str, many: int, first: int, faults: int | None, jobs: int | None, **_: Any) -> None:
    """Play the fleet or the system with faults, seed after seed, and say which seeds broke a rule.

    Ends with 0 where the rules were kept in all, with 1 where one was broken.
    """
    gc.enable()  # the program starts without, and each run leaves a whole world behind
    if way == "search":
        from bitternpath.testing.emulator.fleet.search.scopes import SCOPES

        faults, many = many, len(SCOPES)
    faults = faults if faults is not None else (FAULTS_OF_A_DAY if way == "days" else DEFAULT_FAULTS)
    cores = jobs or os.cpu_count() or 1
    begun, done, bad, void = time.monotonic(), 0, 0, 0
    coverages: list[Coverage] = []
    pool: Any = (
        ThreadPoolExecutor(max(cores // CORES_OF_A_DAY, 1)) if way == "days" else ProcessPoolExecutor(cores)
    )
    with pool:
        outcomes: Iterable[Outcome] = pool.map(
            WAYS[way], range(first, first + many), [faults] * many,
            **({} if way in REPORT_EACH else {"chunksize": max(min(many // cores // 4, 50), 1)}),
        )  # fmt: skip
        for outcome in outcomes:
            done += 1
            bad += not outcome.kept
            void += "void" in outcome.summary
            if outcome.coverage is not None:
                coverages.append(outcome.coverage)
            if not outcome.kept or way in REPORT_EACH:
                click.echo(outcome.summary)
            elif done % max(many // 20, 1) == 0:
                click.echo(f"{done} of {many}, {time.monotonic() - begun:.0f} s")
    _report_coverage(coverages)
    voids = f", {void} of them void" if void else ""
    click.echo(f"{done} {way}{voids}: {bad} broke a rule or got stuck, {time.monotonic() - begun:.0f} s")
    click.get_current_context().exit(1 if bad else 0)
