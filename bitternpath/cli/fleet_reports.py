"""`bitternpath fleet status`, `versions`, `audit` and `explain`."""

from __future__ import annotations

import time

import click

from bitternpath.cli.fleet_client import FleetClient, as_json, with_fleet_client
from bitternpath.cli.fleet_format import (
    applied_version,
    describe_change,
    explain_holder,
    format_time,
    holder_state,
    parse_time,
    print_json,
    print_no_majority,
    print_table,
)


@click.command()
@with_fleet_client
@as_json
def status(fleet: FleetClient, json: bool) -> None:
    """Who leads, which version is in effect, and who holds a lease on which."""
    found, why = fleet.query()
    if json:
        print_json(found | {"no_majority": why})
    else:
        print_no_majority(found, why)
        click.echo(
            f"leader {found['leader'] or '-'}, term {found['term']}; version {found['released']} released, "
            f"{found['latest']} agreed, {found['in_effect']} acted on by all"
        )
        for id in found["voters"]:
            click.echo(f"steward {id}" + (" (leads)" if id == found["leader"] else ""))
        for id in found["learners"]:
            click.echo(f"steward {id} (learns, does not vote yet)")
        rows = [
            (
                h["node"], h["boot"], h["site"], ".".join(map(str, h["release"])), h["fence"],
                h.get("acting", "-"), h.get("have", "-"),
                f"{h['heard']:.1f} s" if h.get("heard") is not None else "-",
                f"{max(h['until'], 0.0):.1f} s" if "until" in h else "-", holder_state(found, h),
            )
            for h in sorted(found["holders"], key=lambda h: (h["node"], h["boot"]))
        ]  # fmt: skip
        print_table(
            ("node", "process", "site", "release", "fence", "acts on", "has", "heard", "lease", "state"), rows
        )
    click.get_current_context().exit(1 if why else 0)


@click.command()
@with_fleet_client
@as_json
def versions(fleet: FleetClient, json: bool) -> None:
    """What was agreed, by whom, why, and since when it is acted on."""
    found, why = fleet.query()
    if json:
        print_json(
            {"versions": found["changes"], "release_times": found["release_times"], "no_majority": why}
        )
    else:
        print_no_majority(found, why)
        rows = []
        for agreed in found["changes"]:
            since = found["release_times"].get(agreed["version"])
            state = "released " + format_time(since) if since is not None else "agreed"
            what = describe_change(agreed["change"]) + (
                f" ({agreed['withdrawn']})" if agreed["withdrawn"] else ""
            )
            rows.append(
                (
                    agreed["version"],
                    format_time(agreed["time"]),
                    agreed["author"],
                    state,
                    what,
                    agreed["reason"],
                )
            )
        print_table(("version", "agreed", "by", "state", "change", "reason"), rows)
    click.get_current_context().exit(1 if why else 0)


@click.command()
@with_fleet_client
@as_json
@click.option("--node", help="of this node alone")
@click.option("--version", type=int, help="what was done under this version alone")
@click.option("--at", metavar="TIME", help="on what each acted at that time")
def audit(fleet: FleetClient, node: str | None, version: int | None, at: str | None, json: bool) -> None:
    """Who acted on which version, from when to when, and what is missing."""
    when = parse_time(at) if at is not None else None
    found, why = fleet.query("audit")
    accounts = [a for a in found["accounts"] if node in (None, a["node"])]
    accounts.sort(key=lambda a: (a["node"], a["lines"][0][1] if a["lines"] else 0.0))
    if json:
        print_json({"accounts": accounts, "no_majority": why})
        click.get_current_context().exit(1 if why else 0)
    print_no_majority(found, why)
    if when is not None:
        print_table(
            ("node", "process", f"at {format_time(when)}"),
            [
                (a["node"], a["boot"], applied_version(a, when))
                for a in accounts
                if a["lines"] and a["lines"][0][1] <= when
            ],
        )
    else:
        rows = [
            (a["node"], a["boot"], number, format_time(since), what, of, fencing_token, detail)
            for a in accounts
            for number, since, what, of, fencing_token, detail, _ in a["lines"]
            if version in (None, of)
        ]
        print_table(("node", "process", "act", "time", "what", "version", "fence", ""), rows)
    for account in accounts:
        for wrong in [*account["faults"], *account["unheard"]]:
            click.echo(f"{account['node']}#{account['boot']}: {wrong}")
    click.get_current_context().exit(1 if why else 0)


@click.command()
@with_fleet_client
@click.argument("node")
def explain(fleet: FleetClient, node: str) -> None:
    """Why a node is where it is: what was last heard, what it acts on, what stops it, what to do."""
    found, why = fleet.query("audit")
    print_no_majority(found, why)
    holders = [h for h in found["holders"] if h["node"] == node]
    accounts = [a for a in found["accounts"] if a["node"] == node]
    if not holders and not accounts:
        raise click.ClickException(f"nobody has heard of {node}")
    for holder in holders:
        click.echo(f"{node}#{holder['boot']}: {explain_holder(found, holder)}")
    held = {h["boot"] for h in holders}
    gone = [a for a in accounts if a["boot"] not in held]
    if gone:
        last = max(gone, key=lambda a: a["lines"][-1][1] if a["lines"] else 0.0)
        click.echo(f"{node}#{last['boot']}: no lease; {applied_version(last, time.time())}")
        if not holders:
            click.echo("It gets a lease by itself once it reaches a steward and can take what is released:")
            click.echo("look whether it runs, at its links, and whether its log has")
            click.echo("`serving_without_lease` or `lease_refused`.")
    click.get_current_context().exit(1 if why else 0)
