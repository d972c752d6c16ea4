"""The commands `bitternpath system ...` as click commands: for shell completion, and for calls through click.

Typer has its own command-line parser, so its commands aren't click commands. Click's completion needs this
mirror of their names, options and help.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import typer.main

from bitternpath.cli.system import app, main


class SystemGroup(click.Group):
    """All sub-commands. When called, it passes its arguments to typer unparsed."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Run the command through typer and exit with its code; parse only for completion."""
        if not ctx.resilient_parsing:
            ctx.exit(main(args))
        return super().parse_args(ctx, args)


def _mirror() -> SystemGroup:
    source: Any = typer.main.get_command(app)
    tree = SystemGroup("system", help=source.help)
    for name, subcommand in source.commands.items():
        tree.add_command(
            click.Command(
                name, params=[_parameter(parameter) for parameter in subcommand.params], help=subcommand.help
            )
        )
    return tree


def _parameter(source: Any) -> click.Parameter:
    kind = click.Path() if source.type_descriptor.annotation is Path else click.STRING
    if source.param_type_name == "argument":
        return click.Argument([source.name], type=kind, required=False)
    names = [name for name in source.opts if name.startswith("--")]
    if source.secondary_opts:
        return click.Option([f"{names[0]}/{source.secondary_opts[0]}"], help=source.help)
    return click.Option(names, type=kind, help=source.help)


command = _mirror()
