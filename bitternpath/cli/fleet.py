"""`bitternpath fleet`: ask the stewards, and change what all nodes act on."""

from __future__ import annotations

import click

from bitternpath.cli.fleet_changes import back, ban, change, withdraw
from bitternpath.cli.fleet_members import members
from bitternpath.cli.fleet_reports import audit, explain, status, versions


@click.group()
def command() -> None:
    """Ask the fleet, and change what all nodes act on. Every command works through any steward.

    Ends with 0 where it went well, with 1 where the answer is no or nobody can give one, with 2 where the
    command or the configuration is wrong.
    """


for each in (status, versions, audit, explain, change, ban, back, withdraw, members):
    command.add_command(each)
