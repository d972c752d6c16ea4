"""The commands `bitternpath system ...` as click commands: for shell completion, and for a call through them.

Typer has a command-line parser of its own, so its commands are no commands of click. Click's completion needs
this mirror of their names, options and help.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import typer.main

from bitternpath.cli.system import app, main


class SystemGroup(click.Group):
    """All sub-commands. Called, it passes its arguments to typer unparsed."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Run the command by typer, and exit with its code; parse only to complete a command line."""
        if not ctx.resilient_parsing:
            ctx.exit(main(args))
        return super().parse_args(ctx, args)


def _mirror() -> SystemGroup:
    source: Any = typer.main.get_command(app)
    tree = SystemGroup("system", help=source.help)
    for name, each in source.commands.items():
        tree.add_command(click.Command(name, params=[_parameter(one) for one in each.params], help=each.help))
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
