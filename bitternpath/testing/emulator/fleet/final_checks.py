"""The fleet's rules, held against the processes' own records after a run on sockets. Pure.

What counts is what happened: lines that processes wrote before they acted, answers that commands got, and
what the stewards' records say at the end. All processes of a run share one machine's wall clock.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from bitternpath.balancer.fleet import audit

SAME = 0.005  # s within which two clock readings of one machine may be out of order


class Served(Struct, frozen=True):
    """Invocations taken by a process under one version and fence. Times in Unix s."""

    process: str
    version: int
    fencing_token: int
    first: float
    last: float


def served(process: str, lines: list[audit.AuditEntry]) -> list[Served]:
    found = []
    for line in lines:
        if line.what == audit.INVOCATIONS_SERVED and line.fencing_token:
            told = msgspec.json.decode(line.detail)
            found.append(Served(process, line.version, line.fencing_token, told["first"], told["last"]))
    return found


def apart(spans: list[Served]) -> list[str]:
    """Rule 2: no two processes with a lease act more than one version apart."""
    broken = []
    for k, one in enumerate(spans):
        for other in spans[k + 1 :]:
            together = min(one.last, other.last) - max(one.first, other.first)
            if one.process != other.process and together > SAME and abs(one.version - other.version) > 1:
                broken.append(
                    f"apart: {one.process} took jobs under version {one.version} and {other.process} under "
                    f"{other.version}, both for {together:.3f} s from {max(one.first, other.first):.3f} on"
                )
    return broken


def over(spans: list[Served], accounts: dict[str, dict[str, Any]]) -> list[str]:
    """Rule 3: no act under a lease that the stewards had let go of."""
    broken = []
    for span in spans:
        for fencing_token, at, why in accounts.get(span.process, {}).get("let_go", ()):
            if fencing_token == span.fencing_token and why != "it ended" and span.last > at + SAME:
                broken.append(
                    f"over: {span.process} took a job at {span.last:.3f} under fence "
                    f"{fencing_token}, which was let go of at {at:.3f}"
                )
    return broken


def fences(process: str, lines: list[audit.AuditEntry]) -> list[str]:
    """Rule 3: nor with a lower fence after a higher one."""
    under = [
        line.fencing_token for line in lines if line.what in (audit.LEASE_STARTED, audit.VERSION_APPLIED)
    ]
    if under != sorted(under):
        return [f"fence: {process} acted under fences {under}"]
    return []


def heard(process: str, lines: list[audit.AuditEntry], account: dict[str, Any] | None) -> list[str]:
    """Rule 4: each line that was written is in the audit, or named as missing; none else is there."""
    told = [msgspec.convert(line, audit.AuditEntry) for line in account["lines"]] if account else []
    written = {line.number: line for line in lines}
    broken = [
        f"audit: {process}: line {line.number} is in the audit and was never written"
        for line in told
        if written.get(line.number) != line
    ]
    if account and account["faults"]:
        broken.append(f"audit: {process}: {account['faults'][0]}, though nobody changed it")
    known = {line.number for line in told}
    lacks = [number for number in written if number not in known]
    dropped = account["dropped"] if account else 0
    if lacks and not dropped and not (account and account["unheard"]):
        broken.append(f"audit: {process}: line {lacks[0]} is not in the audit, and nothing says so")
    return broken


def kept(records: dict[str, dict[str, Any]], promised: dict[str, int]) -> list[str]:
    """Rule 1: what was answered for is there, and all stewards have the same versions."""
    broken = []
    newest = max(records.values(), key=lambda record: int(record["applied"]), default=None)
    if newest is None:
        return ["lost: no steward is left to ask"]
    for id, version in promised.items():
        if newest["ids"].get(id) != version:
            broken.append(
                f"lost: change {id} was answered as version {version}, found {newest['ids'].get(id)}"
            )
    digests: dict[int, tuple[str, bytes]] = {}
    for steward, record in records.items():
        for agreed in record["changes"]:
            version = agreed["version"]
            if version > record["released"]:
                continue
            name, digest = digests.setdefault(version, (steward, agreed["digest"]))
            if digest != agreed["digest"]:
                broken.append(f"changed: version {version} differs between {name} and {steward}")
    return broken
