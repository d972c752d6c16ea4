"""The tables of docs/results/acceptance.md: `python benchmarks/acceptance.py journal/ENTRY.json ...`.

One line for each run whose entry is named: its days, on how many a rule was broken or a node crashed, the
gate, the score, and the mean score by kind of day. `--days` gives a line for each day instead."""

from __future__ import annotations

import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

import ujson


def runs(paths: list[str]) -> list[dict[str, Any]]:
    """The scores among those entries, the oldest first."""
    entries = [ujson.loads(Path(path).read_bytes()) for path in sorted(paths)]
    return [entry for entry in entries if entry.get("cmd") == "real-score" and entry.get("days")]


def broken(day: dict[str, Any]) -> str:
    told = ",".join(f"{name} {count}" for name, count in (day.get("rules") or {}).items() if count)
    return told or "-"


def seed(entry: dict[str, Any]) -> str:
    argv = entry["argv"]
    return str(argv[argv.index("--seed") + 1]) if "--seed" in argv else "1"


def panel(entry: dict[str, Any]) -> str:
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
    for entry in runs([a for a in arguments if a != "--days"]):
        days = entry["days"]
        name = f"{entry['at'][0][11:19]} {entry['head'][:7]}{'+' if entry['dirty'] else ''} {entry['site']}"
        name += f" {panel(entry)} seed {seed(entry)}"
        if by_day:
            for day in days:
                print(name, day["name"], broken(day), day["fault"] or "-", f"{day['score']:.2f}")
            continue
        kinds = defaultdict(list)
        for day in days:
            kinds[day["name"].partition("+")[0]].append(day["score"])
        rules = sum(broken(day) != "-" for day in days)
        faults = sum(bool(day["fault"]) for day in days)
        figures = entry["figures"]
        means = " ".join(f"{kind} {sum(all) / len(all):.2f}" for kind, all in sorted(kinds.items()))
        gate = {1.0: "passed", 0.0: "failed"}.get(figures.get("gate"), "-")
        score = figures.get("real_score", 0.0)
        print(f"| {name} | {len(days)} | {rules} | {faults} | {gate} | {score:.3f} | {means} |")


if __name__ == "__main__":
    main(sys.argv[1:])
