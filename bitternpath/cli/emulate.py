"""`bitternpath emulate`: plays a scenario of the emulator."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from bitternpath.cli.lab import needs_lab


@click.command(
    epilog="""\b
Examples:
  bitternpath emulate scenarios/site-loss.toml --seed 3
  bitternpath emulate scenarios/calm.toml --policy least --json calm.json
"""
)
@click.argument("scenario", type=click.Path(dir_okay=False, path_type=Path))
@click.option("--seed", default=1, show_default=True, help="seed of the run")
@click.option("--seeds", default=1, show_default=True, help="number of seeds, starting with --seed")
@click.option(
    "--policy", default="module", show_default=True, help="module, or a reference policy; see below"
)
@click.option("--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="file for all results")
@click.option("--sockets/--virtual", default=False, help="real nodes on loopback, or virtual time (default)")
@needs_lab
def command(
    scenario: Path, seed: int, seeds: int, policy: str, file: Path | None, sockets: bool, **_: Any
) -> None:
    """Play SCENARIO; report the service to clients and the violated rules.

    Policies: module (the node's own), random, round-robin, least, two-choices, ewma, oracle (knows the
    true state). Exit status: 0 if all rules were kept, 1 if one was violated, 2 if the scenario is
    invalid.
    """
    import structlog
    from rich.console import Console

    from bitternpath.testing.emulator.clock import StuckError
    from bitternpath.testing.emulator.policies import POLICIES
    from bitternpath.testing.emulator.report import show, summary, to_json
    from bitternpath.testing.emulator.scenario import ScenarioError
    from bitternpath.testing.emulator.scenario_file import load
    from bitternpath.testing.emulator.world import play

    if policy not in POLICIES:
        raise click.UsageError(f"--policy {policy!r}: allowed are {', '.join(POLICIES)}")
    if sockets:
        from bitternpath.cli.on_sockets import run

        if policy != "module" or seeds != 1:
            raise click.UsageError("--sockets needs the policy module and a single seed")
        try:
            scenario_data = load(scenario)
        except ScenarioError as error:
            raise click.UsageError(str(error)) from error
        click.get_current_context().exit(run(scenario_data, seed, file))
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    console = Console(highlight=False)
    results = []
    try:
        scenario_data = load(scenario)
        for offset in range(max(seeds, 1)):
            results.append(play(scenario_data, seed + offset, policy))
            show(results[-1], console)
    except ScenarioError as error:
        raise click.UsageError(str(error)) from error
    except StuckError as error:
        raise click.ClickException(str(error)) from error
    if len(results) > 1:
        means = ", ".join(f"{key} {value:.3f}" for key, value in summary(results).items())
        console.print(f"mean of {len(results)}: {means}")
    if file is not None:
        file.write_bytes(to_json(results))
    click.get_current_context().exit(0 if all(result.passed for result in results) else 1)
