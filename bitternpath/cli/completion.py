"""`bitternpath completion`: the script with which a shell completes our commands and flags."""

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
    """Print the completion script of a shell; its start-up file evaluates it."""
    kind = get_completion_class(shell)
    assert kind is not None
    click.echo(kind(top, {}, "bitternpath", "_BITTERNPATH_COMPLETE").source())
