"""Output of the `fleet` commands: tables, times, and the state of a process in words."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

TIME_FORMAT = "%Y-%m-%d %H:%M:%S"  # of times printed and read


def print_no_majority(status: dict[str, Any], reason: str) -> None:
    """Print a warning if the status may be outdated."""
    if reason:
        click.echo(
            f"NO MAJORITY: what follows is what {status['steward']} knows, {age(status)} old ({reason})"
        )


def age(status: dict[str, Any]) -> str:
    """Return how old the status is."""
    return f"{status['heard']:.0f} s"


def print_json(status: dict[str, Any]) -> None:
    """Print everything as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(status, enc_hook=repr), indent=2).decode())


def print_table(heads: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
    """Print a table with columns as wide as their widest cell."""
    texts = [heads, *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[k]) for row in texts) for k in range(len(heads))]
    for row in texts:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def holder_state(status: dict[str, Any], holder: dict[str, Any]) -> str:
    """Return the state of a holder, compared with the released and the latest version."""
    if holder.get("heard") is None:
        return "not heard"
    if holder["refuses"]:
        return "refuses"
    if holder["acting"] < status["released"]:
        return "straggler" if holder["behind"] > status["terms"]["catch_up"] else "behind"
    return "ok" if holder["have"] >= status["latest"] else "takes"


def describe_change(change: dict[str, Any] | None) -> str:
    """Return a change in the syntax of `fleet change`."""
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
    """Return Unix s as local time."""
    return time.strftime(TIME_FORMAT, time.localtime(time_s))


def parse_time(text: str) -> float:
    """Return the Unix s of `YYYY-MM-DD HH:MM:SS`, of `HH:MM:SS` today, or of Unix s."""
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
    """Describe which version a process applied at a time."""
    entries = [
        entry
        for entry in process_audit["lines"]
        if entry[1] <= time_s and entry[2] in ("joined", "acts", "lost", "left")
    ]
    if not entries:
        return "no lease yet" if process_audit["lines"] else "unknown: its entries are no longer kept"
    _, since, kind, version, fencing_token, *_ = entries[-1]
    if kind in ("lost", "left"):
        state = "without lease, still with" if kind == "lost" else "ended, after"
        return f"{state} version {version}, since {format_time(since)}"
    return f"version {version} under fence {fencing_token}, since {format_time(since)}"


def explain_holder(status: dict[str, Any], holder: dict[str, Any]) -> str:
    """Describe the state of a holder, and what to do."""
    state = holder_state(status, holder)
    heard = f"heard {holder['heard']:.1f} s ago" if holder.get("heard") is not None else "not heard yet"
    if state == "not heard":
        return (
            f"has a lease in the record, but the leader has had no request from it; its lease ends "
            f"in {max(holder.get('until', 0.0), 0.0):.1f} s if that stays so. Nothing to do."
        )
    position = f"{heard}, applies {holder['acting']}, has {holder['have']}, {status['released']} is released"
    if state == "refuses":
        return (
            f"{position}. It rejects the next version: {holder['refuses']}. "
            f"Correct its file and send SIGHUP, start a newer release, or "
            f"`bitternpath fleet withdraw {status['released'] + 1}`"
        )
    if state == "straggler":
        return (
            f"{position}. It lags for {holder['behind']:.1f} s; its lease is not renewed until it catches up."
        )
    if holder["heard"] > status["terms"]["lease"] / 2:
        return (
            f"{position}. It is silent; its lease ends in {max(holder['until'], 0.0):.1f} s if that stays so."
        )
    return f"{position}. " + (
        "All is well." if state == "ok" else "It is about to validate or to apply the latest version."
    )
