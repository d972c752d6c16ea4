"""Plays a scenario with real nodes; shows a live table on a terminal, and plain lines elsewhere."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import structlog
from rich.console import Console
from rich.live import Live
from rich.table import Table

from bitternpath.testing.emulator.report import show, to_json
from bitternpath.testing.emulator.scenario import Scenario
from bitternpath.testing.emulator.sockets.play import VoidError, play_on_sockets
from bitternpath.testing.emulator.sockets.world import SocketWorld


def _latest_row(world: SocketWorld) -> dict[str, str]:
    """Return the table row of the last complete second."""
    second = int(world.now()) - 1
    counts = world.metrics.counts
    offered_value = sum(value for key, value in world.metrics.offered_value.items() if key[0] == second)
    earned_value = sum(value for key, value in world.metrics.earned_value.items() if key[0] == second)
    now = world.now()
    active_faults = [fault.kind for fault in world.active_faults if fault.at <= now < fault.at + fault.lasts]
    fleet = world.fleet.table_row() if world.fleet is not None else {}
    return {
        "s": str(max(second, 0)),
        "asked": f"{offered_value:.0f}",
        "so far": f"{earned_value / offered_value:.0%}" if offered_value else "-",
        "refused": str(counts[second, "refused"]),
        "failed": str(counts[second, "failed"]),
        "waiting": str(world.clients.unfinished),
        "up": str(sum(worker.alive and worker.reachable for worker in world.workers.values())),
        "nodes": str(sum(len(nodes) for nodes in world.load_balancer.admitted.values())),
        **fleet,
        "trouble": ", ".join(active_faults) or "-",
    }


def run(scenario: Scenario, seed: int, file: Path | None) -> int:
    """Play a scenario, print the result and return the exit code."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    console = Console(highlight=False)
    rows: list[dict[str, str]] = []
    nodes = sum(site.nodes for site in scenario.sites)
    workers = sum(site.workers for site in scenario.sites)
    console.print(f"{scenario.name}: {nodes} nodes, {workers} workers on loopback, {scenario.seconds:.0f} s")

    def live_table() -> Table:
        table = Table()
        for column in rows[-1]:
            table.add_column(column, justify="right")
        for row in rows[-12:]:
            table.add_row(*row.values())
        return table

    live: Any = Live(console=console, auto_refresh=False) if console.is_terminal else None

    def print_second(world: SocketWorld) -> None:
        rows.append(_latest_row(world))
        if live is not None:
            live.update(live_table(), refresh=True)
        else:
            line = "  ".join(f"{key} {value}" for key, value in rows[-1].items())
            console.print(line, soft_wrap=True)

    try:
        if live is not None:
            with live:
                result = play_on_sockets(scenario, seed, print_second)
        else:
            result = play_on_sockets(scenario, seed, print_second)
    except VoidError as error:
        raise click.ClickException(str(error)) from error
    except KeyboardInterrupt:
        console.print("interrupted: all nodes, workers and clients have been stopped")
        return 1
    show(result, console)
    if file is not None:
        file.write_bytes(to_json([result]))
    return 0 if result.passed else 1
