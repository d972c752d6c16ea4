"""Two properties from inside the processes: one owner an epoch, and committed is never lost. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from bitternpath.rehearsal.checker import Violation
from bitternpath.simulation.checks.history import SystemHistory, SystemRule, SystemTerms


def check_one_owner(history: SystemHistory, terms: SystemTerms) -> Iterator[Violation]:
    """At most one member owns a group in an epoch."""
    owners: dict[tuple[str, int], str] = {}
    for owner in history.inside.owners:
        other = owners.setdefault((owner.group, owner.epoch), owner.member)
        if other != owner.member:
            text = f"{other} and {owner.member} own epoch {owner.epoch} of {owner.group}"
            yield Violation(SystemRule.OWNER, "", text)


def check_committed_kept(history: SystemHistory, terms: SystemTerms) -> Iterator[Violation]:
    """All members hold the same at a committed index, and a later owner has all that was committed."""
    entries: dict[tuple[str, int], tuple[int, bytes, str]] = {}
    newest: dict[str, list[tuple[float, int, int]]] = {}
    for entry in sorted(history.inside.committed, key=lambda entry: entry.at):
        held = entries.setdefault((entry.group, entry.index), (entry.epoch, entry.digest, entry.member))
        if held[:2] != (entry.epoch, entry.digest):
            text = f"{held[2]} and {entry.member} committed differently at {entry.index} of {entry.group}"
            yield Violation(SystemRule.COMMITTED, "", text)
        newest.setdefault(entry.group, []).append((entry.at, entry.epoch, entry.index))
    for log in history.inside.owner_logs:
        before = [
            index for at, epoch, index in newest.get(log.group, ()) if at <= log.at and epoch < log.epoch
        ]
        if before and log.last_index < max(before):
            text = f"{log.member} owns epoch {log.epoch} of {log.group} up to {log.last_index}"
            yield Violation(SystemRule.COMMITTED, "", f"{text}, and {max(before)} was committed before")
