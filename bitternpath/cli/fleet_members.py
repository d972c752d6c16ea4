"""`bitternpath fleet members`: the consensus servers that keep the record."""

from __future__ import annotations

import click

from bitternpath.cli.fleet_client import FleetClient, with_fleet_client
from bitternpath.cli.fleet_format import print_no_majority


@click.group()
def members() -> None:
    """Show or change the consensus servers that keep the record; one is added or removed at a time."""


@members.command("list")
@with_fleet_client
def list_(fleet: FleetClient) -> None:
    """List the members, by name and incarnation."""
    status, no_majority = fleet.query()
    print_no_majority(status, no_majority)
    for member_id in status["voters"]:
        click.echo(f"{member_id} voter" + (", leader" if member_id == status["leader"] else ""))
    for member_id in status["learners"]:
        click.echo(f"{member_id} learner")


@members.command()
@with_fleet_client
@click.argument("name")
def add(fleet: FleetClient, name: str) -> None:
    """Add the server NAME, which runs with an empty folder; it votes once it has caught up."""
    from bitternpath.balancer.fleet.messages import ChangeMembers

    fleet.send(ChangeMembers(add=name))
    click.echo(f"{name} is added")


@members.command()
@with_fleet_client
@click.argument("name")
def remove(fleet: FleetClient, name: str) -> None:
    """Remove the server NAME."""
    from bitternpath.balancer.fleet.messages import ChangeMembers

    fleet.send(ChangeMembers(remove=name))
    click.echo(f"{name} is removed")


@members.command()
@with_fleet_client
@click.argument("name")
def lead(fleet: FleetClient, name: str) -> None:
    """Transfer leadership to the server NAME."""
    from bitternpath.balancer.fleet.messages import TransferLeadership

    fleet.send(TransferLeadership(name))
    click.echo(f"leadership passes to {name}")
