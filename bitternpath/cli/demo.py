"""`bitternpath demo`: real nodes, workers and clients on loopback for 20 s, with the failure of one site."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from bitternpath.cli.lab import needs_lab

DEMO: dict[str, Any] = {
    "name": "demo",
    "seconds": 20.0,
    "sites": [
        {"name": "suva", "workers": 5},
        {"name": "lautoka", "workers": 5},
        {"name": "labasa", "workers": 4},
    ],
    "kinds": [
        {"name": "standard", "share": 0.5, "speed": [0.85, 1.1], "cold_s": 8.0},
        {"name": "slow", "share": 0.5, "speed": [0.64, 0.86], "cold_s": 8.0},
    ],
    "classes": [
        {"name": "lookup", "share": 35, "work": 90, "aim": 80, "worth": 2, "safe": True},
        {
            "name": "reschedule",
            "share": 27,
            "work": 350,
            "aim": 600,
            "worth": 5,
            "late_worth": 0.5,
            "give_up": 8000,
        },
        {
            "name": "missed-pickup",
            "share": 22,
            "work": 180,
            "aim": 100,
            "stretch": 2.5,
            "worth": 5,
            "late_worth": 0.5,
        },
        {"name": "reminder", "share": 16, "work": 50, "aim": 80, "stretch": 2.5, "worth": 3},
    ],
    "clients": {"load": 0.5},
    "discovery": {"notice_s": 1.0, "silent_notice_s": 5.0, "add_s": 0.5},
    "troubles": [{"kind": "site-loss", "at": 6.0, "lasts": 6.0, "site": "labasa"}],
}

FLEET: dict[str, Any] = DEMO | {
    "name": "fleet-demo",
    "seconds": 30.0,
    "front_notice_s": 0.5,
    "sites": [site | {"workers": 4, "nodes": 2} for site in DEMO["sites"]],
    "clients": {"load": 0.35},
    "fleet": {"stewards": 3},
    "troubles": [
        {"kind": "fleet-changes", "at": 2.0, "lasts": 24.0, "size": 2.0},
        {"kind": "fleet-ban", "at": 3.0, "lasts": 18.0},
        {"kind": "stop-nodes", "at": 5.0, "lasts": 5.0, "part": 0.16},
        {"kind": "kill-leader", "at": 12.0, "lasts": 4.0},
        {"kind": "cut-fleet-site", "at": 18.0, "lasts": 6.0, "site": "labasa"},
    ],
}


@click.command(
    epilog="""\b
Examples:
  bitternpath demo
  bitternpath demo --fleet
  bitternpath demo --json demo.json
"""
)
@click.option("--fleet", is_flag=True, help="six nodes and three consensus servers, some of which fail; 30 s")
@click.option("--seed", default=1, show_default=True, help="seed of the run")
@click.option("--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="file for all results")
@needs_lab
def command(fleet: bool, seed: int, file: Path | None, **_: Any) -> None:
    """Three real nodes, 14 workers and their clients on loopback for 20 s; one site fails meanwhile.

    With --fleet: six nodes and three consensus servers; the fleet is changed while a node is stalled, the
    leader is killed and a site is partitioned.

    Needs no files, flags or root. Exit status: 0 if all rules were kept, 1 if one was violated.
    """
    from bitternpath.cli.on_sockets import run
    from bitternpath.testing.emulator.scenario_file import scenario_from

    click.get_current_context().exit(run(scenario_from(FLEET if fleet else DEMO, "demo"), seed, file))
