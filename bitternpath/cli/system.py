"""The commands `bitternpath system ...`, for operators: run a role, check settings or a disk, show a system.

Each command imports its modules when it is called.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

EXIT_FAILED = 1  # the command ran, and found a fault
EXIT_USAGE = 2  # the arguments or the settings are invalid

app = typer.Typer(
    name="system",
    help="The ingest and dispatch service.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

SettingsFile = Annotated[
    Path | None, typer.Option("--config", help="Settings file; default: that in BITTERNPATH_CONFIG.")
]

DataFolder = Annotated[Path, typer.Argument(help="A node's data folder; the node must be stopped.")]


@app.command()
def edge() -> None:
    """Run an edge node (ingress, dispatcher, call-backs)."""
    _run("edge")


@app.command()
def storage() -> None:
    """Run a storage node (queue shards)."""
    _run("storage")


@app.command("check-config")
def check_config(config: SettingsFile = None) -> None:
    """Check a process's settings file; print each value with its origin."""
    from bitternpath.cli.system_settings import print_settings

    if not print_settings(config):
        raise typer.Exit(EXIT_USAGE)


@app.command("check-disk")
def check_disk(
    folder: DataFolder,
) -> None:
    """Read a data folder as a start would; print its content or the damage. Changes nothing."""
    from bitternpath.cli.system_disk import print_disk

    if not print_disk(folder):
        raise typer.Exit(EXIT_FAILED)


@app.command()
def show(
    node: Annotated[str, typer.Argument(help="ip:port of any node's internal listener.")],
    seconds: Annotated[float, typer.Option(help="How long to wait for answers.", min=0.2, max=60)] = 3.0,
    events: Annotated[bool, typer.Option("--events", help="Show counts of log events, too.")] = False,
) -> None:
    """Show a running system: nodes, configuration versions, shards with their owners, and backlog."""
    from bitternpath.cli.system_show import show_system

    if not show_system(node, seconds, events=events):
        raise typer.Exit(EXIT_FAILED)


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="How long clients send.", min=5, max=600)] = 15.0,
    rate: Annotated[float, typer.Option(help="Messages per second.", min=1, max=500)] = 30.0,
    seed: Annotated[int, typer.Option(help="Seed for the traffic and the faults.")] = 1,
    faults: Annotated[bool, typer.Option(help="Kill and restart processes during the run.")] = True,
    keep: Annotated[Path | None, typer.Option(help="Folder to keep settings, logs and data.")] = None,
) -> None:
    """Run the system on loopback with faults, and check the rules (exit 1: a rule is violated)."""
    from bitternpath.testing.fault_injection.demo import run_demo

    raise typer.Exit(run_demo(seconds, rate, seed, faults, keep))


@app.command()
def load(
    rate: Annotated[float, typer.Option(help="Messages per second.", min=1, max=2000)] = 50.0,
    seconds: Annotated[float, typer.Option(help="How long clients send.", min=1, max=600)] = 10.0,
    edges: Annotated[int, typer.Option(help="Edge nodes; the first three have a disk.", min=1, max=40)] = 2,
    storage: Annotated[int, typer.Option(help="Storage nodes.", min=3, max=40)] = 3,
    seed: Annotated[int, typer.Option(help="Seed for the traffic.")] = 1,
    file: Annotated[Path | None, typer.Option("--json", help="File for all results.")] = None,
) -> None:
    """Measure the system on loopback under load, without faults."""
    from bitternpath.testing.fault_injection.load import LoadParameters, run_load

    raise typer.Exit(run_load(LoadParameters(rate, seconds, edges, storage, seed), file))


def _run(role: str) -> None:
    from bitternpath.roles.process import run_role

    raise typer.Exit(run_role(role))


def main(arguments: Sequence[str]) -> int:
    """Run a command of the system; return the exit code. Typer has its own command-line parser."""
    try:
        app(args=list(arguments), prog_name="bitternpath system")
    except SystemExit as ended:
        return int(ended.code or 0)
    return 0
