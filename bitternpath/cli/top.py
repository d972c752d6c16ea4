"""The command tree. The module of a sub-command is imported when it is called."""

from __future__ import annotations

from importlib import import_module

import click

COMMANDS = {  # in the order of --help
    "serve": "Run a node (the default).",
    "check-config": "Check the configuration; print each setting with its origin.",
    "system": "The whole ingest and dispatch service: roles, checks, state of a running system.",
    "consensus-server": "Run a consensus server, a replica of the fleet's record.",
    "fleet": "Query and change the fleet's record.",
    "user": "Create password hashes for the operator file.",
    "demo": "Real nodes, workers and clients on loopback for 20 s, with the failure of one site.",
    "emulate": "Play a scenario of the emulator, in virtual time or with real nodes.",
    "campaign": "Many runs of the fleet or the system with faults, on all cores.",
    "completion": "Print the completion script of a shell.",
    "version": "Print the version.",
}

MODULES = {"system": "system_tree"}  # only modules whose name differs from the command
ALIASES = {"steward": "consensus-server"}  # former names, hidden from --help

EPILOG = """\b
Examples:
  bitternpath serve --config node.json
  bitternpath serve --config node.json --amqp-listen 127.0.0.1:5672
  bitternpath check-config --config node.json --operator-file operator.toml
  bitternpath user hash reminders

\b
Exit codes:
  0  success
  1  the command ran, and failed or found an error
  2  invalid arguments or configuration, with a one-line error
"""


class Commands(click.Group):
    """A group whose sub-commands are imported when they are called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in COMMANDS:
            return None
        module = MODULES.get(name, name.replace("-", "_"))
        command: click.Command = import_module(f"bitternpath.cli.{module}").command
        return command

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        current = ALIASES.get(args[0])
        if current is not None:
            if not ctx.resilient_parsing:  # no output during shell completion
                click.echo(f"bitternpath {args[0]}: the command is now called {current}", err=True)
            args = [current, *args[1:]]
        return super().resolve_command(ctx, args)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl(list(COMMANDS.items()))


@click.group(cls=Commands, invoke_without_command=True, epilog=EPILOG)
@click.pass_context
def top(ctx: click.Context) -> None:
    """A node that accepts jobs and dispatches each to one of many workers."""
    if ctx.invoked_subcommand is None:
        from bitternpath.cli.run import run

        ctx.exit(run(None, None, {}))
