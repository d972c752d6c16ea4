"""Prints the result of a run: plain lines, or tables on a terminal (rich)."""

from __future__ import annotations

from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from bitternpath.testing.emulator.world import Result

BARS = " ▁▂▃▄▅▆▇█"


def to_json(results: list[Result]) -> bytes:
    """All results as JSON."""
    return msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n"


def spark(values: list[float]) -> str:
    """Shares between 0 and 1 as a bar chart of one line."""
    return "".join(BARS[round(max(min(v, 1.0), 0.0) * (len(BARS) - 1))] for v in values)


def show(result: Result, console: Console) -> None:
    """Prints service by class and second, event counts, latencies and violations."""
    figures = result.figures
    console.print(
        f"{result.scenario}, seed {result.seed}, {result.policy}: service {figures['service']:.3f} "
        f"(whole {figures['whole']:.3f}, worst 10 s {figures['worst_10_s']:.3f}, "
        f"worst class {figures['worst_class']:.3f}; waste {figures['waste']:.3f}, "
        f"late failures {figures['late_fail']:.3f}, crossings {figures['crossings']:.2f} per request)",
        soft_wrap=True,
    )
    table = Table(title=None)
    for head in ("class", "service", "p50 ms", "p90 ms", "p99 ms", "longest ms"):
        table.add_column(head, justify="left" if head == "class" else "right")
    for name, share in result.by_class.items():
        latencies = result.percentiles.get(name, {})
        cells = [f"{latencies[key]:.0f}" if key in latencies else "-" for key in ("p50", "p90", "p99", "max")]
        table.add_row(name, f"{share:.3f}", *cells)
    console.print(table)
    seconds = [result.by_second.get(k, 1.0) for k in range(max(result.by_second, default=0) + 1)]
    console.print(f"service by second  {spark(seconds)}", soft_wrap=True)
    for fault in result.troubles:
        targets = ", ".join(fault["on"]) or "all"
        begin, end = fault["at"], fault["at"] + fault["lasts"]
        console.print(f"  {fault['kind']} from {begin:.1f} to {end:.1f} s on {targets}", highlight=False)
    totals = {event: sum(by.values()) for event, by in result.counts.items()}
    counts = ", ".join(f"{event} {count}" for event, count in sorted(totals.items()))
    lost = result.lost_by_death
    console.print(f"{result.requests} first requests; {counts}; lost with their nodes {lost}", soft_wrap=True)
    for violation in result.violations[:10]:
        console.print(f"BROKEN {violation}", highlight=False, markup=False, soft_wrap=True)
    console.print("rules kept" if result.passed else f"{len(result.violations)} rules broken")


def summary(results: list[Result]) -> dict[str, Any]:
    """Mean of each statistic over the runs."""
    keys = results[0].figures
    return {key: sum(r.figures[key] for r in results) / len(results) for key in keys}
