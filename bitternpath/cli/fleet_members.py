"""`bitternpath fleet members`: which stewards keep the record."""

from __future__ import annotations

import click

from bitternpath.cli.fleet_asking import Fleet, asks
from bitternpath.cli.fleet_words import say_no_majority


@click.group()
def members() -> None:
    """Which stewards keep the record; one is added or taken away at a time."""


@members.command("list")
@asks
def list_(fleet: Fleet) -> None:
    """The members, by name and incarnation."""
    found, why = fleet.look()
    say_no_majority(found, why)
    for id in found["voters"]:
        click.echo(f"{id} votes" + (", leads" if id == found["leader"] else ""))
    for id in found["learners"]:
        click.echo(f"{id} learns")


@members.command()
@asks
@click.argument("name")
def add(fleet: Fleet, name: str) -> None:
    """The steward NAME, which runs and has an empty folder, takes part; it votes once it has caught up."""
    from bitternpath.balancer.fleet.messages import ChangeMembers

    fleet.ask(ChangeMembers(add=name))
    click.echo(f"{name} is added")


@members.command()
@asks
@click.argument("name")
def remove(fleet: Fleet, name: str) -> None:
    """The steward NAME takes part no longer."""
    from bitternpath.balancer.fleet.messages import ChangeMembers

    fleet.ask(ChangeMembers(remove=name))
    click.echo(f"{name} is removed")


@members.command()
@asks
@click.argument("name")
def lead(fleet: Fleet, name: str) -> None:
    """The steward NAME shall lead."""
    from bitternpath.balancer.fleet.messages import PassOn

    fleet.ask(PassOn(name))
    click.echo(f"leadership passes to {name}")
