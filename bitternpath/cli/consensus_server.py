"""`bitternpath consensus-server`: run one of the processes that keep the fleet's replicated record."""

from __future__ import annotations

import os
from typing import Any

import click

from bitternpath.balancer.config import logs
from bitternpath.balancer.config.operator import Fleet, read_settings
from bitternpath.balancer.config.platform import ConfigError
from bitternpath.cli.options import given_flags, operator_options
from bitternpath.cli.run import report_error


def _checked_settings(fleet: Fleet) -> Fleet:
    """Return the fleet settings if a consensus server can run with them; raise ConfigError if not."""
    server_names = [each.partition("=")[0] for each in fleet.stewards]
    if fleet.name not in server_names:
        raise ConfigError(
            f"fleet.name = {fleet.name!r}: allowed are those of fleet.stewards: {', '.join(server_names)}"
        )
    if not fleet.folder:
        raise ConfigError("fleet.folder: a consensus server needs a persistent folder")
    return fleet


@click.command(
    epilog="""\b
Examples:
  bitternpath consensus-server --operator-file s1.toml --found     # the first one, once
  bitternpath consensus-server --operator-file s2.toml             # then: bitternpath fleet members add S2
  bitternpath consensus-server --fleet-name S1 --fleet-folder /var/lib/bitternpath \\
    --fleet-stewards S1=10.0.0.1:7000
"""
)
@operator_options
@click.option("--found", is_flag=True, help="bootstrap a new fleet if the folder is empty")
def command(operator_file: str | None, found: bool, **flags: Any) -> None:
    """Run a consensus server, a replica of the fleet's record.

    Exit status: 0 after SIGTERM, 1 on a disk error, 2 if the configuration or the folder is invalid.
    """
    context = click.get_current_context()
    try:
        settings = read_settings(operator_file, os.environ, given_flags(flags)).settings
        fleet = _checked_settings(settings.fleet)
    except ConfigError as error:
        context.exit(report_error(error))
    from bitternpath.balancer.fleet.consensus_server import run
    from bitternpath.balancer.fleet.store import StoreError

    log_settings = settings.log
    logs.configure(log_settings.level, log_settings.format, log_settings.per_second)
    try:
        context.exit(run(fleet, found))
    except StoreError as error:
        context.exit(report_error(error))
