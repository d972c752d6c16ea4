"""The fleet's answers in words: tables, times, how a process stands."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

TIME_FORMAT = "%Y-%m-%d %H:%M:%S"  # how moments are printed, and read


def print_no_majority(status: dict[str, Any], reason: str) -> None:
    """One line where what follows may be old."""
    if reason:
        click.echo(
            f"NO MAJORITY: what follows is what {status['steward']} knows, {age(status)} old ({reason})"
        )


def age(status: dict[str, Any]) -> str:
    """How old what is known is."""
    return f"{status['heard']:.0f} s"


def print_json(status: dict[str, Any]) -> None:
    """All of it, for machines."""
    click.echo(msgspec.json.format(msgspec.json.encode(status, enc_hook=repr), indent=2).decode())


def print_table(heads: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
    """Columns as wide as their widest cell."""
    texts = [heads, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[k]) for row in texts) for k in range(len(heads))]
    for row in texts:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def holder_state(status: dict[str, Any], holder: dict[str, Any]) -> str:
    """In one word, how a holder stands to what is agreed."""
    if holder.get("heard") is None:
        return "not heard"
    if holder["refuses"]:
        return "refuses"
    if holder["acting"] < status["released"]:
        return "straggler" if holder["behind"] > status["terms"]["catch_up"] else "behind"
    return "ok" if holder["have"] >= status["latest"] else "takes"


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


def format_time(time_s: float) -> str:
    """A moment in Unix s, in words."""
    return time.strftime(TIME_FORMAT, time.localtime(time_s))


def parse_time(text: str) -> float:
    """Unix s of `YYYY-MM-DD HH:MM:SS`, of `HH:MM:SS` today, or as it stands."""
    try:
        return float(text)
    except ValueError:
        pass
    date_and_time = text if "-" in text else f"{time.strftime('%Y-%m-%d')} {text}"
    try:
        return time.mktime(time.strptime(date_and_time.replace("T", " "), TIME_FORMAT))
    except ValueError as error:
        raise click.UsageError(
            f"--at {text}: allowed are YYYY-MM-DD HH:MM:SS, HH:MM:SS, Unix seconds"
        ) from error


def applied_version(process_audit: dict[str, Any], time_s: float) -> str:
    """On what a process acted at a moment, in words."""
    entries = [
        entry
        for entry in process_audit["lines"]
        if entry[1] <= time_s and entry[2] in ("joined", "acts", "lost", "left")
    ]
    if not entries:
        return "no lease yet" if process_audit["lines"] else "not known: its lines are not kept any more"
    _, since, kind, version, fencing_token, *_ = entries[-1]
    if kind in ("lost", "left"):
        state = "alone, as in" if kind == "lost" else "ended, after"
        return f"{state} version {version}, since {format_time(since)}"
    return f"version {version} under fence {fencing_token}, since {format_time(since)}"


def explain_holder(status: dict[str, Any], holder: dict[str, Any]) -> str:
    """How a holder stands, and what to do, in words."""
    state = holder_state(status, holder)
    heard = f"heard {holder['heard']:.1f} s ago" if holder.get("heard") is not None else "not heard yet"
    if state == "not heard":
        return (
            f"has a lease by the record, and the leader has not heard of it; if that stays so it is let go "
            f"of in {max(holder.get('until', 0.0), 0.0):.1f} s. Nothing to do."
        )
    position = f"{heard}, acts on {holder['acting']}, has {holder['have']}, {status['released']} is released"
    if state == "refuses":
        return (
            f"{position}. It cannot take the next version: {holder['refuses']}. "
            f"Mend its file and send SIGHUP, start a newer release, or "
            f"`bitternpath fleet withdraw {status['released'] + 1}`"
        )
    if state == "straggler":
        return (
            f"{position}. It lags for {holder['behind']:.1f} s; its lease is not renewed until it acts on it."
        )
    if holder["heard"] > status["terms"]["lease"] / 2:
        return (
            f"{position}. It is silent; its lease ends in {max(holder['until'], 0.0):.1f} s if that stays so."
        )
    return f"{position}. " + (
        "All is well." if state == "ok" else "It is about to take or to act on what is new."
    )
