"""Playing a scenario with real nodes, with a live table on a terminal and plain lines elsewhere."""

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


def _row(world: SocketWorld) -> dict[str, str]:
    """The last second that is over."""
    second = int(world.now()) - 1
    counts = world.metrics.counts
    asked = sum(worth for key, worth in world.metrics.offered_value.items() if key[0] == second)
    got = sum(worth for key, worth in world.metrics.earned_value.items() if key[0] == second)
    now = world.now()
    troubles = [a.kind for a in world.active_faults if a.at <= now < a.at + a.lasts]
    fleet = world.fleet.table_row() if world.fleet is not None else {}
    return {
        "s": str(max(second, 0)),
        "asked": f"{asked:.0f}",
        "so far": f"{got / asked:.0%}" if asked else "-",
        "refused": str(counts[second, "refused"]),
        "failed": str(counts[second, "failed"]),
        "waiting": str(world.clients.unfinished),
        "up": str(sum(w.alive and w.reachable for w in world.workers.values())),
        "nodes": str(sum(len(nodes) for nodes in world.load_balancer.admitted.values())),
        **fleet,
        "trouble": ", ".join(troubles) or "-",
    }


def run(scenario: Scenario, seed: int, file: Path | None) -> int:
    """Play it; the exit code."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    console = Console(highlight=False)
    rows: list[dict[str, str]] = []
    nodes = sum(site.nodes for site in scenario.sites)
    workers = sum(site.workers for site in scenario.sites)
    console.print(f"{scenario.name}: {nodes} nodes, {workers} workers on loopback, {scenario.seconds:.0f} s")

    def table() -> Table:
        made = Table()
        for head in rows[-1]:
            made.add_column(head, justify="right")
        for row in rows[-12:]:
            made.add_row(*row.values())
        return made

    live: Any = Live(console=console, auto_refresh=False) if console.is_terminal else None

    def each_second(world: SocketWorld) -> None:
        rows.append(_row(world))
        if live is not None:
            live.update(table(), refresh=True)
        else:
            line = "  ".join(f"{key} {value}" for key, value in rows[-1].items())
            console.print(line, soft_wrap=True)

    try:
        if live is not None:
            with live:
                result = play_on_sockets(scenario, seed, each_second)
        else:
            result = play_on_sockets(scenario, seed, each_second)
    except VoidError as error:
        raise click.ClickException(str(error)) from error
    except KeyboardInterrupt:
        console.print("interrupted: all that was started has been stopped")
        return 1
    show(result, console)
    if file is not None:
        file.write_bytes(to_json([result]))
    return 0 if result.passed else 1
