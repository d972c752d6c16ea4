"""`bitternpath version`: prints the version."""

from __future__ import annotations

import click

from bitternpath import __version__


@click.command()
def command() -> None:
    """Print the version."""
    from importlib import metadata

    click.echo(f"bitternpath {__version__} (Twisted {metadata.version('twisted')})")
