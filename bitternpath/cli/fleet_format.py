"""The fleet's answers in words: tables, times, how a process stands."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

TIME_FORMAT = "%Y-%m-%d %H:%M:%S"  # how moments are printed, and read


def print_no_majority(found: dict[str, Any], why: str) -> None:
    """One line where what follows may be old."""
    if why:
        click.echo(f"NO MAJORITY: what follows is what {found['steward']} knows, {age(found)} old ({why})")


def age(found: dict[str, Any]) -> str:
    """How old what is known is."""
    return f"{found['heard']:.0f} s"


def print_json(found: dict[str, Any]) -> None:
    """All of it, for machines."""
    click.echo(msgspec.json.format(msgspec.json.encode(found, enc_hook=repr), indent=2).decode())


def print_table(heads: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
    """Columns as wide as their widest cell."""
    texts = [heads, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[k]) for row in texts) for k in range(len(heads))]
    for row in texts:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def holder_state(found: dict[str, Any], holder: dict[str, Any]) -> str:
    """In one word, how a holder stands to what is agreed."""
    if holder.get("heard") is None:
        return "not heard"
    if holder["refuses"]:
        return "refuses"
    if holder["acting"] < found["released"]:
        return "straggler" if holder["behind"] > found["terms"]["catch_up"] else "behind"
    return "ok" if holder["have"] >= found["latest"] else "takes"


def describe_change(change: dict[str, Any] | None) -> str:
    """A change in the words of `fleet change`."""
    if change is None:
        return "withdrawn"
    match change["type"]:
        case "class":
            return " ".join(f"{change['name']}.{key}={value:g}" for key, value in change["fields"].items())
        case "rule":
            return f"{change['section']}.{change['key']}={change['value']:g}"
        case "ban" | "back":
            return f"{change['type']} {change['worker']}"
        case _:
            return f"least-release={'.'.join(map(str, change['release']))}"


def format_time(at: float) -> str:
    """A moment in Unix s, in words."""
    return time.strftime(TIME_FORMAT, time.localtime(at))


def parse_time(text: str) -> float:
    """Unix s of `YYYY-MM-DD HH:MM:SS`, of `HH:MM:SS` today, or as it stands."""
    try:
        return float(text)
    except ValueError:
        pass
    full = text if "-" in text else f"{time.strftime('%Y-%m-%d')} {text}"
    try:
        return time.mktime(time.strptime(full.replace("T", " "), TIME_FORMAT))
    except ValueError as error:
        raise click.UsageError(
            f"--at {text}: allowed are YYYY-MM-DD HH:MM:SS, HH:MM:SS, Unix seconds"
        ) from error


def applied_version(account: dict[str, Any], at: float) -> str:
    """On what a process acted at a moment, in words."""
    told = [
        line for line in account["lines"] if line[1] <= at and line[2] in ("joined", "acts", "lost", "left")
    ]
    if not told:
        return "no lease yet" if account["lines"] else "not known: its lines are not kept any more"
    _, since, what, version, fencing_token, *_ = told[-1]
    if what in ("lost", "left"):
        how = "alone, as in" if what == "lost" else "ended, after"
        return f"{how} version {version}, since {format_time(since)}"
    return f"version {version} under fence {fencing_token}, since {format_time(since)}"


def explain_holder(found: dict[str, Any], holder: dict[str, Any]) -> str:
    """How a holder stands, and what to do, in words."""
    state = holder_state(found, holder)
    heard = f"heard {holder['heard']:.1f} s ago" if holder.get("heard") is not None else "not heard yet"
    if state == "not heard":
        return (
            f"has a lease by the record, and the leader has not heard of it; if that stays so it is let go "
            f"of in {max(holder.get('until', 0.0), 0.0):.1f} s. Nothing to do."
        )
    where = f"{heard}, acts on {holder['acting']}, has {holder['have']}, {found['released']} is released"
    if state == "refuses":
        return (
            f"{where}. It cannot take the next version: {holder['refuses']}. Mend its file and send SIGHUP, "
            f"start a newer release, or `bitternpath fleet withdraw {found['released'] + 1}`"
        )
    if state == "straggler":
        return f"{where}. It lags for {holder['behind']:.1f} s; its lease is not renewed until it acts on it."
    if holder["heard"] > found["terms"]["lease"] / 2:
        return f"{where}. It is silent; its lease ends in {max(holder['until'], 0.0):.1f} s if that stays so."
    return f"{where}. " + (
        "All is well." if state == "ok" else "It is about to take or to act on what is new."
    )
