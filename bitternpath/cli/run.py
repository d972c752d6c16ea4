"""Running a node, without what only the command line needs."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

from bitternpath.balancer.config.load import Loaded, load_all, reload_all
from bitternpath.balancer.config.platform import ConfigError


def report_error(error: Exception) -> int:
    """One line on standard error, and the exit code of a wrong configuration."""
    print(f"bitternpath: {error}", file=sys.stderr)
    return 2


def run(config: str | None, operator_file: str | None, flags: Mapping[str, str]) -> int:
    """Run a node until it is told to stop; the exit code."""
    try:
        loaded = load_all(os.environ, config, operator_file, flags)
    except ConfigError as error:
        return report_error(error)
    from bitternpath.balancer import node  # the reactor is not needed to find a fault in a configuration
    from bitternpath.balancer.config import logs

    log_settings = loaded.operator.settings.log
    logs.start(log_settings.level, log_settings.format, log_settings.per_second)

    def reload_configuration(current: Loaded) -> Loaded:
        return reload_all(current, os.environ, config, operator_file, flags)

    return node.serve(loaded, reload_configuration)
