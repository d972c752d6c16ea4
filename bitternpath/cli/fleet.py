"""`bitternpath fleet`: query the consensus servers, and change the plan that all nodes apply."""

from __future__ import annotations

import click

from bitternpath.cli.fleet_changes import back, ban, change, withdraw
from bitternpath.cli.fleet_members import members
from bitternpath.cli.fleet_reports import audit, explain, status, versions


@click.group()
def command() -> None:
    """Query the fleet, and change the plan that all nodes apply. Any consensus server accepts the commands.

    Exit status: 0 on success, 1 if the command is refused or gets no answer, 2 if the command line or the
    configuration is invalid.
    """


for each in (status, versions, audit, explain, change, ban, back, withdraw, members):
    command.add_command(each)
