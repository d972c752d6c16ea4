"""The command line."""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Sequence

from bitternpath import __version__
from bitternpath.net.config import Config, ConfigError, load, reload


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="bitternpath", description="A node that passes jobs to workers.")
    commands = top.add_subparsers(dest="command", metavar="COMMAND")
    serve = commands.add_parser("serve", help="run a node (the default)")
    check = commands.add_parser("check-config", help="read the configuration, say what is wrong, and end")
    for command in (serve, check):
        command.add_argument("--config", metavar="FILE", help="the JSON file; else $PROXY_CONFIG names it")
    serve.add_argument(
        "--log-level", default="info", choices=("debug", "info", "warning", "error"), help="default: info"
    )
    commands.add_parser("version", help="print the version")
    return top


def main(arguments: Sequence[str] | None = None) -> int:
    given = list(sys.argv[1:] if arguments is None else arguments)
    options = parser().parse_args(given or ["serve"])
    if options.command == "version":
        from importlib import metadata  # slow to import, and a restarting node is waited for

        print(f"bitternpath {__version__} (Twisted {metadata.version('twisted')})")
        return 0
    if options.command is None:
        parser().print_help()
        return 2
    try:
        config = load(os.environ, options.config)
    except ConfigError as error:
        print(f"bitternpath: {error}", file=sys.stderr)
        return 2
    if options.command == "check-config":
        print(f"{config.name}: listens on {config.listen[0]}:{config.listen[1]}, configuration is good")
        return 0
    from bitternpath.net import logs, node  # the reactor is not needed to look at a configuration

    logs.start(options.log_level)

    def read_again(running: Config) -> Config:
        return reload(running, os.environ, options.config)

    return node.serve(config, read_again)
