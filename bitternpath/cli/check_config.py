"""`bitternpath check-config`: prints the effective configuration of a node."""

from __future__ import annotations

import os
from typing import Any

import click

from bitternpath.balancer.config.load import load_all
from bitternpath.balancer.config.platform import ConfigError
from bitternpath.cli.options import given_flags, settings_options
from bitternpath.cli.run import report_error


@click.command(
    epilog="""\b
Examples:
  bitternpath check-config --config node.json
  bitternpath check-config --config node.json --operator-file operator.toml
"""
)
@settings_options
def command(config: str | None, operator_file: str | None, **flags: Any) -> None:
    """Check the configuration; print each setting with its origin.

    Exit status: 0 if it is valid; 2, with a one-line error, if it is not.
    """
    try:
        loaded = load_all(os.environ, config, operator_file, given_flags(flags))
    except ConfigError as error:
        click.get_current_context().exit(report_error(error))
    platform = loaded.platform
    click.echo(
        f"{platform.name}: listens on {platform.listen[0]}:{platform.listen[1]}, configuration is good"
    )
    for line in loaded.operator.lines():
        click.echo(line)
