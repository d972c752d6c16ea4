"""`bitternpath completion`: the shell script that completes commands and flags."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class

from bitternpath.cli.top import top


@click.command(
    epilog="""\b
Examples:
  eval "$(bitternpath completion bash)"
  bitternpath completion fish > ~/.config/fish/completions/bitternpath.fish
"""
)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def command(shell: str) -> None:
    """Print the completion script of a shell, to be evaluated by its start-up file."""
    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(top, {}, "bitternpath", "_BITTERNPATH_COMPLETE").source())
