"""`bitternpath fleet change`, `ban`, `back` and `withdraw`."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import Any

import click

from bitternpath.cli.fleet_client import FleetClient, with_fleet_client
from bitternpath.cli.fleet_format import holder_state

POLL_INTERVAL = 0.2  # s between two queries whether a change is in effect


def parse_change(words: tuple[str, ...]) -> Any:
    """Return the change given by `KEY=VALUE` words; raise click.UsageError if they give none."""
    from bitternpath.balancer.fleet import plan as p

    pairs = [word.partition("=") for word in words]
    if not pairs or any(not equals for _, equals, _ in pairs):
        raise click.UsageError(
            "give KEY=VALUE: CLASS.FIELD=..., rules.KEY=..., allowed.KEY=..., least-release=1.4.0"
        )
    key, _, text = pairs[0]
    try:
        if key == "least-release" and len(pairs) == 1:
            return p.LeastRelease(tuple(int(part) for part in text.split(".")))
        section, has_section, name = key.rpartition(".")
        if not has_section:
            raise click.UsageError(
                f"{key}: unknown; allowed are CLASS.FIELD, rules.KEY, allowed.KEY, least-release"
            )
        if section in ("rules", "allowed") and len(pairs) == 1:
            value = {"true": True, "false": False}.get(text)
            return p.SetRule(section, name, float(text) if value is None else value)
        if any(other.rpartition(".")[0] != section for other, _, _ in pairs) or section in (
            "rules",
            "allowed",
        ):
            raise click.UsageError("only one change at a time: fields of one class, or one other key")
        return p.SetClass(section, {other.rpartition(".")[2]: float(value) for other, _, value in pairs})
    except ValueError as error:
        raise click.UsageError(f"{key}={text}: {error}") from error


def propose(fleet: FleetClient, change: Any, reason: str, id: str | None, required: bool) -> None:
    from bitternpath.balancer.fleet.messages import Propose

    id = id or secrets.token_hex(8)
    reply = fleet.send(Propose(id, fleet.author, reason, change))
    version = reply["version"]
    click.echo(f"agreed as version {version} (id {id})")
    if required:
        _await_effect(fleet, version)


def _await_effect(fleet: FleetClient, version: int) -> None:
    """Wait until all lease holders apply the version.

    The wait ends: a holder that is silent or lags loses its lease. If half of the holders reject the change,
    it ends with an error.
    """
    printed = ""
    while True:
        status, no_majority = fleet.query()
        behind = [h for h in status["holders"] if h.get("acting", -1) < version]
        if not no_majority and status["released"] >= version and not behind:
            click.echo(f"version {version} is in effect at {len(status['holders'])} processes")
            return
        rejecting = [h for h in status["holders"] if h.get("refuses")]
        if rejecting and 2 * len(rejecting) >= len(status["holders"]):
            raise click.ClickException(
                f"version {version} is refused by {len(rejecting)} of {len(status['holders'])}, first by "
                f"{rejecting[0]['node']}: {rejecting[0]['refuses']}; "
                f"`bitternpath fleet withdraw {version}` ends it"
            )
        waiting_for = ", ".join(f"{h['node']} ({holder_state(status, h)})" for h in behind) or "the release"
        line = f"no majority: {no_majority}" if no_majority else f"waiting for {waiting_for}"
        if line != printed:
            click.echo(line)
            printed = line
        time.sleep(POLL_INTERVAL)


def _change_options(function: Callable[..., Any]) -> Callable[..., Any]:
    function = click.option("--required", is_flag=True, help="wait until all lease holders apply the change")(
        function
    )
    function = click.option("--id", help="id of the change; a retry with the same id is the same change")(
        function
    )
    return with_fleet_client(
        click.option("--reason", required=True, help="why; stored in the record")(function)
    )


@click.command()
@_change_options
@click.argument("words", nargs=-1, metavar="KEY=VALUE...")
def change(fleet: FleetClient, words: tuple[str, ...], reason: str, id: str | None, required: bool) -> None:
    """Change a class, a rule, or the least release that can get a lease, for all nodes."""
    propose(fleet, parse_change(words), reason, id, required)


@click.command()
@_change_options
@click.argument("worker")
def ban(fleet: FleetClient, worker: str, reason: str, id: str | None, required: bool) -> None:
    """Eject a calendar worker: no node sends it new jobs."""
    from bitternpath.balancer.fleet.plan import EjectWorker

    propose(fleet, EjectWorker(worker), reason, id, required)


@click.command()
@_change_options
@click.argument("worker")
def back(fleet: FleetClient, worker: str, reason: str, id: str | None, required: bool) -> None:
    """End the fleet's ban of a calendar worker; a ban at a node's own console stays."""
    from bitternpath.balancer.fleet.plan import ReinstateWorker

    propose(fleet, ReinstateWorker(worker), reason, id, required)


@click.command()
@with_fleet_client
@click.option("--reason", required=True, help="why; stored in the record")
@click.argument("version", type=int)
def withdraw(fleet: FleetClient, version: int, reason: str) -> None:
    """Turn a version that is agreed and not released into a no-op."""
    from bitternpath.balancer.fleet.messages import Withdraw

    fleet.send(Withdraw(version, fleet.author, reason))
    click.echo(f"version {version} is withdrawn")
