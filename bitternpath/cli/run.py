"""Runs a node; imports nothing that only the command-line parser needs."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

from bitternpath.balancer.config.load import Loaded, load_all, reload_all
from bitternpath.balancer.config.platform import ConfigError


def report_error(error: Exception) -> int:
    """Print a one-line error and return the exit code of an invalid configuration."""
    print(f"bitternpath: {error}", file=sys.stderr)
    return 2


def run(config: str | None, operator_file: str | None, flags: Mapping[str, str]) -> int:
    """Run a node until it is stopped; return the exit code."""
    try:
        loaded = load_all(os.environ, config, operator_file, flags)
    except ConfigError as error:
        return report_error(error)
    from bitternpath.balancer import node  # imports the reactor, which an invalid configuration doesn't need
    from bitternpath.balancer.config import logs

    log_settings = loaded.operator.settings.log
    logs.configure(log_settings.level, log_settings.format, log_settings.per_second)

    def reload_configuration(current: Loaded) -> Loaded:
        return reload_all(current, os.environ, config, operator_file, flags)

    return node.serve(loaded, reload_configuration)
