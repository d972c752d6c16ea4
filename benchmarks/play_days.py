"""Plays our own days of trouble on deployments, and prints a table of what they broke.

    .venv/bin/python benchmarks/play_days.py --bench PATH --why "..." SITE.toml [SITE.toml ...]
        [--only PATTERN] [--jobs 4] [--reports FOLDER] [--seed N]

A day is a TOML file of `benchmarks/days/`, written as a `[[day]]` of a site file; the number before its name
is the point of issue 37 that it aims at (6: points crossed). PATH is the users' bench, also taken from the
variable BITTERNPATH_BENCH. Run it from the root of the worktree whose sources are to be measured, and don't
change anything there until it has ended. Ends with 1 if a day broke a rule, failed or could not be played.
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
"""Share of the requests owed; the users' gate (RULES, "The gate")."""


@dataclass(frozen=True, slots=True)
class DayRun:
    """One day on one deployment."""

    site: Path
    day: Path


@dataclass(frozen=True, slots=True)
class DayResult:
    """What a play came to. `problems`: rules broken with their counts, faults, figures below the gate."""

    day_run: DayRun
    failures: tuple[str, ...]
    score: float | None
    snapshot: str
    seconds: float

    @property
    def passed(self) -> bool:
        return not self.failures


def minimum_score(day: Path) -> float:
    """Least share of the worth owed over the whole day, as the day's file sets it."""
    table = tomllib.loads(day.read_text())["day"][0]
    return float(table.get("goal", {}).get("floor", 0.0))


def gate_failures(report: dict[str, object], min_score: float) -> tuple[str, ...]:
    """Why a day failed its gate, from the bench's report; empty if it passed."""
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
    """The snapshot that the bench names at the end of its output."""
    words = output.split()
    return words[words.index("snapshot") + 1] if "snapshot" in words[:-1] else ""


def run_day(bench: Path, day_run: DayRun, why: str, seed: int | None, folder: Path) -> DayResult:
    """Runs the bench on one day. Its output and its report stay in `folder`."""
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
    """One line of the table."""
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
    only: Annotated[str, typer.Option(help="Pattern of the days' names.")] = "*",
    jobs: Annotated[int, typer.Option(min=1, help="Days played at a time.")] = 4,
    seed: Annotated[int | None, typer.Option(help="In place of the seed in each day.")] = None,
    reports: Annotated[Path | None, typer.Option(help="Where outputs and reports stay.")] = None,
) -> None:
    """Plays each day on each site and prints a row for each as it ends."""
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
