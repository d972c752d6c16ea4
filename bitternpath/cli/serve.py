"""`bitternpath serve`: run a node."""

from __future__ import annotations

from typing import Any

import click

from bitternpath.cli.options import given_flags, settings_options
from bitternpath.cli.run import run


@click.command(
    epilog="""\b
Examples:
  PROXY_CONFIG=node.json bitternpath serve
  bitternpath serve --config node.json --log-format json
  bitternpath serve --config node.json --amqp-listen 127.0.0.1:5672
"""
)
@settings_options
def command(config: str | None, operator_file: str | None, **flags: Any) -> None:
    """Run a node. Precedence of settings: flag, environment, operator file, default.

    Exit status: 0 after SIGTERM, when all accepted requests are answered; 2 if the configuration is invalid.
    """
    click.get_current_context().exit(run(config, operator_file, given_flags(flags)))
