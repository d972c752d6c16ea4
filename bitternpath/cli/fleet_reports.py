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
    """Show the leader, the version in effect, and the lease holders with their versions."""
    record, no_majority = fleet.query()
    if json:
        print_json(record | {"no_majority": no_majority})
    else:
        print_no_majority(record, no_majority)
        click.echo(
            f"leader {record['leader'] or '-'}, term {record['term']}; version "
            f"{record['released']} released, {record['latest']} agreed, {record['in_effect']} applied by all"
        )
        for member_id in record["voters"]:
            click.echo(f"server {member_id}" + (" (leader)" if member_id == record["leader"] else ""))
        for member_id in record["learners"]:
            click.echo(f"server {member_id} (learner, does not vote yet)")
        rows = [
            (
                h["node"], h["boot"], h["site"], ".".join(map(str, h["release"])), h["fence"],
                h.get("acting", "-"), h.get("have", "-"),
                f"{h['heard']:.1f} s" if h.get("heard") is not None else "-",
                f"{max(h['until'], 0.0):.1f} s" if "until" in h else "-", holder_state(record, h),
            )
            for h in sorted(record["holders"], key=lambda h: (h["node"], h["boot"]))
        ]  # fmt: skip
        print_table(
            ("node", "process", "site", "release", "fence", "applies", "has", "heard", "lease", "state"), rows
        )
    click.get_current_context().exit(1 if no_majority else 0)


@click.command()
@with_fleet_client
@as_json
def versions(fleet: FleetClient, json: bool) -> None:
    """Show the agreed versions: by whom, why, and since when they are released."""
    record, no_majority = fleet.query()
    if json:
        print_json(
            {
                "versions": record["changes"],
                "release_times": record["release_times"],
                "no_majority": no_majority,
            }
        )
    else:
        print_no_majority(record, no_majority)
        rows = []
        for agreed in record["changes"]:
            released_at = record["release_times"].get(agreed["version"])
            state = "released " + format_time(released_at) if released_at is not None else "agreed"
            description = describe_change(agreed["change"]) + (
                f" ({agreed['withdrawn']})" if agreed["withdrawn"] else ""
            )
            rows.append(
                (
                    agreed["version"],
                    format_time(agreed["time"]),
                    agreed["author"],
                    state,
                    description,
                    agreed["reason"],
                )
            )
        print_table(("version", "agreed", "by", "state", "change", "reason"), rows)
    click.get_current_context().exit(1 if no_majority else 0)


@click.command()
@with_fleet_client
@as_json
@click.option("--node", help="only this node")
@click.option("--version", type=int, help="only what was done under this version")
@click.option("--at", metavar="TIME", help="which version each process applied at that time")
def audit(fleet: FleetClient, node: str | None, version: int | None, at: str | None, json: bool) -> None:
    """Show which process applied which version and when, and what is missing from the audit."""
    when = parse_time(at) if at is not None else None
    record, no_majority = fleet.query("audit")
    process_audits = [process for process in record["accounts"] if node in (None, process["node"])]
    process_audits.sort(key=lambda a: (a["node"], a["lines"][0][1] if a["lines"] else 0.0))
    if json:
        print_json({"accounts": process_audits, "no_majority": no_majority})
        click.get_current_context().exit(1 if no_majority else 0)
    print_no_majority(record, no_majority)
    if when is not None:
        print_table(
            ("node", "process", f"at {format_time(when)}"),
            [
                (process["node"], process["boot"], applied_version(process, when))
                for process in process_audits
                if process["lines"] and process["lines"][0][1] <= when
            ],
        )
    else:
        rows = [
            (
                process["node"],
                process["boot"],
                number,
                format_time(logged_at),
                kind,
                entry_version,
                fencing_token,
                detail,
            )
            for process in process_audits
            for number, logged_at, kind, entry_version, fencing_token, detail, _ in process["lines"]
            if version in (None, entry_version)
        ]
        print_table(("node", "process", "entry", "time", "what", "version", "fence", ""), rows)
    for process_audit in process_audits:
        for fault in [*process_audit["faults"], *process_audit["unheard"]]:
            click.echo(f"{process_audit['node']}#{process_audit['boot']}: {fault}")
    click.get_current_context().exit(1 if no_majority else 0)


@click.command()
@with_fleet_client
@click.argument("node")
def explain(fleet: FleetClient, node: str) -> None:
    """Explain the state of a node: when it was heard, what it applies, what blocks it, what to do."""
    record, no_majority = fleet.query("audit")
    print_no_majority(record, no_majority)
    holders = [h for h in record["holders"] if h["node"] == node]
    process_audits = [a for a in record["accounts"] if a["node"] == node]
    if not holders and not process_audits:
        raise click.ClickException(f"node {node} is not in the record")
    for holder in holders:
        click.echo(f"{node}#{holder['boot']}: {explain_holder(record, holder)}")
    with_lease = {h["boot"] for h in holders}
    without_lease = [a for a in process_audits if a["boot"] not in with_lease]
    if without_lease:
        last = max(without_lease, key=lambda a: a["lines"][-1][1] if a["lines"] else 0.0)
        click.echo(f"{node}#{last['boot']}: no lease; {applied_version(last, time.time())}")
        if not holders:
            click.echo("It gets a lease by itself once it reaches a server and accepts the released version:")
            click.echo("check whether it runs, its network links, and whether its log has")
            click.echo("`serving_without_lease` or `lease_refused`.")
    click.get_current_context().exit(1 if no_majority else 0)
