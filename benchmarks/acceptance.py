"""Prints the tables of docs/results/acceptance.md: `python benchmarks/acceptance.py journal/ENTRY.json ...`.

Prints a row per run with the number of days, the numbers of days with a violated rule and with a crashed
node, the gate, the score, and the mean score by kind of day. With `--days` prints a line per day instead.
"""

from __future__ import annotations

import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import ujson


def load_runs(paths: list[str]) -> list[dict[str, Any]]:
    """Load journal entries and return those of score runs, sorted by path and so by age."""
    entries = [ujson.loads(Path(path).read_bytes()) for path in sorted(paths)]
    return [entry for entry in entries if entry.get("cmd") == "real-score" and entry.get("days")]


def format_violations(day: dict[str, Any]) -> str:
    violations = ",".join(f"{name} {count}" for name, count in (day.get("rules") or {}).items() if count)
    return violations or "-"


def run_seed(entry: dict[str, Any]) -> str:
    argv = entry["argv"]
    return str(argv[argv.index("--seed") + 1]) if "--seed" in argv else "1"


def run_panel(entry: dict[str, Any]) -> str:
    argv = entry["argv"]
    return (
        str(argv[argv.index("--panel") + 1])
        if "--panel" in argv
        else "quick"
        if "--quick" in argv
        else "full"
    )


def main(arguments: list[str]) -> None:
    by_day = "--days" in arguments
    for entry in load_runs([argument for argument in arguments if argument != "--days"]):
        days = entry["days"]
        name = f"{entry['at'][0][11:19]} {entry['head'][:7]}{'+' if entry['dirty'] else ''} {entry['site']}"
        name += f" {run_panel(entry)} seed {run_seed(entry)}"
        if by_day:
            for day in days:
                print(name, day["name"], format_violations(day), day["fault"] or "-", f"{day['score']:.2f}")
            continue
        scores_by_kind = defaultdict(list)
        for day in days:
            scores_by_kind[day["name"].partition("+")[0]].append(day["score"])
        days_with_violations = sum(format_violations(day) != "-" for day in days)
        days_with_faults = sum(bool(day["fault"]) for day in days)
        metrics = entry["figures"]
        means = " ".join(
            f"{kind} {sum(scores) / len(scores):.2f}" for kind, scores in sorted(scores_by_kind.items())
        )
        gate = {1.0: "passed", 0.0: "failed"}.get(metrics.get("gate"), "-")
        score = metrics.get("real_score", 0.0)
        print(
            f"| {name} | {len(days)} | {days_with_violations} | {days_with_faults} "
            f"| {gate} | {score:.3f} | {means} |"
        )


if __name__ == "__main__":
    main(sys.argv[1:])
