"""Checks the fleet's rules against the processes' own records after a run on sockets. Pure.

The inputs are the entries that processes wrote before they acted, the answers to commands, and the
servers' records at the end. All processes of a run share one machine's wall clock.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from bitternpath.balancer.fleet import audit

CLOCK_TOLERANCE = 0.005  # s by which two clock readings on one machine may be out of order


class ServedSpan(Struct, frozen=True):
    """Invocations that a process accepted under one version and fencing token. Times in Unix s."""

    process: str
    version: int
    fencing_token: int
    first: float
    last: float


def served_spans(process: str, entries: list[audit.AuditEntry]) -> list[ServedSpan]:
    spans = []
    for entry in entries:
        if entry.what == audit.INVOCATIONS_SERVED and entry.fencing_token:
            detail = msgspec.json.decode(entry.detail)
            spans.append(
                ServedSpan(process, entry.version, entry.fencing_token, detail["first"], detail["last"])
            )
    return spans


def check_versions_apart(spans: list[ServedSpan]) -> list[str]:
    """Rule 2: no two processes with a lease act on versions that are more than one apart."""
    violations = []
    for index, first_span in enumerate(spans):
        for second_span in spans[index + 1 :]:
            overlap = min(first_span.last, second_span.last) - max(first_span.first, second_span.first)
            if (
                first_span.process != second_span.process
                and overlap > CLOCK_TOLERANCE
                and abs(first_span.version - second_span.version) > 1
            ):
                violations.append(
                    f"apart: {first_span.process} accepted jobs under version {first_span.version} and "
                    f"{second_span.process} under {second_span.version}, "
                    f"both for {overlap:.3f} s from {max(first_span.first, second_span.first):.3f} on"
                )
    return violations


def check_ended_leases(spans: list[ServedSpan], accounts: dict[str, dict[str, Any]]) -> list[str]:
    """Rule 3: no process acts under a lease that the servers had ended."""
    violations = []
    for span in spans:
        for fencing_token, at, reason in accounts.get(span.process, {}).get("let_go", ()):
            if (
                fencing_token == span.fencing_token
                and reason != "it ended"
                and span.last > at + CLOCK_TOLERANCE
            ):
                violations.append(
                    f"over: {span.process} accepted a job at {span.last:.3f} under fencing token "
                    f"{fencing_token}, which ended at {at:.3f}"
                )
    return violations


def check_fencing_tokens(process: str, entries: list[audit.AuditEntry]) -> list[str]:
    """Rule 3: no process acts with a lower fencing token after a higher one."""
    tokens = [
        entry.fencing_token for entry in entries if entry.what in (audit.LEASE_STARTED, audit.VERSION_APPLIED)
    ]
    if tokens != sorted(tokens):
        return [f"fence: {process} acted under fencing tokens {tokens}"]
    return []


def check_audit(process: str, entries: list[audit.AuditEntry], account: dict[str, Any] | None) -> list[str]:
    """Rule 4: each entry that was written is in the audit or reported as missing, and there are no others."""
    audited = [msgspec.convert(entry, audit.AuditEntry) for entry in account["lines"]] if account else []
    written = {entry.number: entry for entry in entries}
    violations = [
        f"audit: {process}: entry {entry.number} is in the audit but was never written"
        for entry in audited
        if written.get(entry.number) != entry
    ]
    if account and account["faults"]:
        violations.append(f"audit: {process}: {account['faults'][0]}, though no entry was altered")
    audited_numbers = {entry.number for entry in audited}
    missing = [number for number in written if number not in audited_numbers]
    dropped = account["dropped"] if account else 0
    if missing and not dropped and not (account and account["unheard"]):
        violations.append(f"audit: {process}: entry {missing[0]} is not in the audit nor reported as missing")
    return violations


def check_changes(records: dict[str, dict[str, Any]], acknowledged: dict[str, int]) -> list[str]:
    """Rule 1: every acknowledged change is there, and all servers have the same versions."""
    violations = []
    newest = max(records.values(), key=lambda record: int(record["applied"]), default=None)
    if newest is None:
        return ["lost: no consensus server is left to query"]
    for id, version in acknowledged.items():
        if newest["ids"].get(id) != version:
            violations.append(
                f"lost: change {id} was answered as version {version}, found {newest['ids'].get(id)}"
            )
    digests: dict[int, tuple[str, bytes]] = {}
    for server, record in records.items():
        for change in record["changes"]:
            version = change["version"]
            if version > record["released"]:
                continue
            name, digest = digests.setdefault(version, (server, change["digest"]))
            if digest != change["digest"]:
                violations.append(f"changed: version {version} differs between {name} and {server}")
    return violations
