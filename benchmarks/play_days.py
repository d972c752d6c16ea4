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

REFUSED_AND_FAILED_MOST = 0.6
"""Share of the requests owed; the users' gate (RULES, "The gate")."""


@dataclass(frozen=True, slots=True)
class Play:
    """One day on one deployment."""

    site: Path
    day: Path


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a play came to. `problems`: rules broken with their counts, faults, figures below the gate."""

    play: Play
    problems: tuple[str, ...]
    worth: float | None
    snapshot: str
    seconds: float

    @property
    def passed(self) -> bool:
        return not self.problems


def floor_of(day: Path) -> float:
    """Least share of the worth owed over the whole day, as the day's file sets it."""
    table = tomllib.loads(day.read_text())["day"][0]
    return float(table.get("goal", {}).get("floor", 0.0))


def problems_of(report: dict[str, object], floor: float) -> tuple[str, ...]:
    """Why a day failed its gate, from the bench's report; empty if it passed."""
    found: list[str] = []
    breaks = report.get("breaks")
    if isinstance(breaks, dict):
        found += [f"{rule} {count}" for rule, count in sorted(breaks.items())]
    if report.get("fault"):
        found.append(f"fault: {report['fault']}")
    for field in ("short", "missed"):
        entries = report.get(field)
        if isinstance(entries, list):
            found += [f"{field}: {entry}" for entry in entries]
    unserved = report.get("unserved")
    if isinstance(unserved, float) and unserved > REFUSED_AND_FAILED_MOST:
        found.append(f"unserved: {unserved:.2f}")
    parts = report.get("parts")
    if isinstance(parts, list):
        found += [
            f"worth {value:.2f} of {floor}"
            for name, _, value in parts
            if name == "whole day" and value < floor
        ]
    return tuple(found)


def snapshot_of(output: str) -> str:
    """The snapshot that the bench names at the end of its output."""
    words = output.split()
    return words[words.index("snapshot") + 1] if "snapshot" in words[:-1] else ""


def play_day(bench: Path, play: Play, why: str, seed: int | None, folder: Path) -> Outcome:
    """Runs the bench on one day. Its output and its report stay in `folder`."""
    name = f"{play.site.stem}--{play.day.stem}"
    report_path = folder / f"{name}.json"
    report_path.unlink(missing_ok=True)
    command = [str(bench), "run", str(play.site), str(play.day)]
    command += ["--report", str(report_path), "--why", why]
    if seed is not None:
        command += ["--seed", str(seed)]
    begun = time.monotonic()
    done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
    seconds = time.monotonic() - begun
    (folder / f"{name}.txt").write_text(done.stdout)
    if not report_path.exists():
        return Outcome(play, (f"not played, exit {done.returncode}",), None, "", seconds)
    report = json.loads(report_path.read_text())
    return Outcome(
        play, problems_of(report, floor_of(play.day)), report.get("G"), snapshot_of(done.stdout), seconds
    )


def row(outcome: Outcome) -> str:
    """One line of the table."""
    worth = "-" if outcome.worth is None else f"{outcome.worth:.3f}"
    cells = [
        outcome.play.day.stem,
        outcome.play.site.stem,
        "passed" if outcome.passed else "FAILED",
        "; ".join(outcome.problems) or "none",
        worth,
        outcome.snapshot or "-",
        f"{outcome.seconds:.0f}",
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
    plays = [Play(site, day) for day in sorted(DAYS.glob(f"{only}.toml")) for site in sites]
    if not plays:
        raise typer.BadParameter(f"no day matches {only}")
    print(f"{len(plays)} plays, {jobs} at a time; outputs in {folder}")
    print("| day | site | gate | rules broken | worth | snapshot | s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    failed = 0
    with ThreadPoolExecutor(jobs) as pool:
        for outcome in pool.map(lambda play: play_day(bench, play, why, seed, folder), plays):
            print(row(outcome), flush=True)
            failed += not outcome.passed
    print(f"{len(plays) - failed} of {len(plays)} passed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
