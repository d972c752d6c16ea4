"""Runs the project's own fault scenarios (days) on deployments and prints a table of the results.

    .venv/bin/python benchmarks/play_days.py --bench PATH --why "..." SITE.toml [SITE.toml ...]
        [--only PATTERN] [--jobs 4] [--reports FOLDER] [--seed N]

A day is a TOML file in `benchmarks/days/`, written as a `[[day]]` of a site file; the number before its name
is the item of issue 37 that it covers (6: several items combined). PATH is the users' bench, by default the
value of BITTERNPATH_BENCH. Run it from the root of the worktree to be measured and don't change the worktree
during the run. Exits with 1 if a day violated a rule, failed or could not be run.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

DAYS = Path(__file__).parent / "days"

MAX_UNSERVED_SHARE = 0.6
"""Maximum share of due requests that are refused or fail; set by the users' gate (RULES, "The gate")."""


@dataclass(frozen=True, slots=True)
class DayRun:
    """A day to run on a deployment."""

    site: Path
    day: Path


@dataclass(frozen=True, slots=True)
class DayResult:
    """Result of a day run.

    `failures` lists violated rules with their counts, faults, and values that miss the gate.
    """

    day_run: DayRun
    failures: tuple[str, ...]
    score: float | None
    snapshot: str
    seconds: float

    @property
    def passed(self) -> bool:
        return not self.failures


def minimum_score(day: Path) -> float:
    """Return the minimum score of the whole day, as a share of the maximum, from the day's file."""
    table = tomllib.loads(day.read_text())["day"][0]
    return float(table.get("goal", {}).get("floor", 0.0))


def gate_failures(report: dict[str, object], min_score: float) -> tuple[str, ...]:
    """Return the reasons in the bench's report why a day failed its gate; empty if it passed."""
    failures: list[str] = []
    violations = report.get("breaks")
    if isinstance(violations, dict):
        failures += [f"{rule} {count}" for rule, count in sorted(violations.items())]
    if report.get("fault"):
        failures.append(f"fault: {report['fault']}")
    for field in ("short", "missed"):
        entries = report.get(field)
        if isinstance(entries, list):
            failures += [f"{field}: {entry}" for entry in entries]
    unserved = report.get("unserved")
    if isinstance(unserved, float) and unserved > MAX_UNSERVED_SHARE:
        failures.append(f"unserved: {unserved:.2f}")
    periods = report.get("parts")
    if isinstance(periods, list):
        failures += [
            f"worth {value:.2f} of {min_score}"
            for name, _, value in periods
            if name == "whole day" and value < min_score
        ]
    return tuple(failures)


def snapshot_name(output: str) -> str:
    """Return the name of the snapshot from the end of the bench's output, or an empty string."""
    words = output.split()
    return words[words.index("snapshot") + 1] if "snapshot" in words[:-1] else ""


def run_day(bench: Path, day_run: DayRun, why: str, seed: int | None, folder: Path) -> DayResult:
    """Run the bench on one day; its output and its report are stored in `folder`."""
    name = f"{day_run.site.stem}--{day_run.day.stem}"
    report_path = folder / f"{name}.json"
    report_path.unlink(missing_ok=True)
    command = [str(bench), "run", str(day_run.site), str(day_run.day)]
    command += ["--report", str(report_path), "--why", why]
    if seed is not None:
        command += ["--seed", str(seed)]
    started_at = time.monotonic()
    completed = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False
    )
    seconds = time.monotonic() - started_at
    (folder / f"{name}.txt").write_text(completed.stdout)
    if not report_path.exists():
        return DayResult(day_run, (f"not played, exit {completed.returncode}",), None, "", seconds)
    report = json.loads(report_path.read_text())
    return DayResult(
        day_run,
        gate_failures(report, minimum_score(day_run.day)),
        report.get("G"),
        snapshot_name(completed.stdout),
        seconds,
    )


def table_row(result: DayResult) -> str:
    """Format a row of the table."""
    score = "-" if result.score is None else f"{result.score:.3f}"
    cells = [
        result.day_run.day.stem,
        result.day_run.site.stem,
        "passed" if result.passed else "FAILED",
        "; ".join(result.failures) or "none",
        score,
        result.snapshot or "-",
        f"{result.seconds:.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


def main(
    sites: Annotated[list[Path], typer.Argument(help="Site files.", exists=True, dir_okay=False)],
    bench: Annotated[Path, typer.Option(envvar="BITTERNPATH_BENCH", help="The users' bench.", exists=True)],
    why: Annotated[str, typer.Option(help="One sentence for the journal.")],
    only: Annotated[str, typer.Option(help="Glob pattern of the days' names.")] = "*",
    jobs: Annotated[int, typer.Option(min=1, help="Number of days run in parallel.")] = 4,
    seed: Annotated[int | None, typer.Option(help="Overrides the seed of each day.")] = None,
    reports: Annotated[Path | None, typer.Option(help="Directory for outputs and reports.")] = None,
) -> None:
    """Run each day on each site and print a row for each result."""
    folder = reports or Path(tempfile.mkdtemp(prefix="days-"))
    folder.mkdir(parents=True, exist_ok=True)
    day_runs = [DayRun(site, day) for day in sorted(DAYS.glob(f"{only}.toml")) for site in sites]
    if not day_runs:
        raise typer.BadParameter(f"no day matches {only}")
    print(f"{len(day_runs)} plays, {jobs} at a time; outputs in {folder}")
    print("| day | site | gate | rules broken | worth | snapshot | s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda day_run: run_day(bench, day_run, why, seed, folder), day_runs):
            print(table_row(result), flush=True)
            failed += not result.passed
    print(f"{len(day_runs) - failed} of {len(day_runs)} passed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
