"""The audit log of a node's process: numbered lines, each chained to the one before by a digest. Pure.

An `AuditLog` is the process's own; lines that are written and not acknowledged are sent again. A
`ProcessAudit` is what the consensus servers have received from one process; lines that are missing or do
not follow from the line before are reported as faults.
"""

from __future__ import annotations

from collections import deque
from itertools import islice

import msgspec
from blake3 import blake3
from msgspec import Struct

DIGEST_BYTES = 16  # bytes of a link of the chain
MAX_UNACKNOWLEDGED_ENTRIES = 2000  # that a process keeps while nobody acknowledges them; the oldest go first
MAX_ENTRIES_PER_PROCESS = 500  # that the stewards keep of one process
MAX_ENDED_LEASES = 50  # ends of leases that are kept of one
ENTRIES_PER_MESSAGE = 100  # lines of one message

# What a line may tell, beside version and fence.
LEASE_STARTED, VERSION_APPLIED, LEASE_EXPIRED, LEASE_RELEASED = "joined", "acts", "lost", "left"
WORKER_EJECTED, WORKER_REINSTATED, INVOCATIONS_SERVED, CHANGE_REJECTED = (
    "out by hand",
    "back by hand",
    "served",
    "refuses",
)
LEASE_END_KINDS = (LEASE_EXPIRED, LEASE_RELEASED)  # after these the process acts no more under that fence


class AuditEntry(Struct, frozen=True, array_like=True):
    number: int  # from 1 on
    at: float  # Unix s, by the process's own clock
    what: str
    version: int
    fencing_token: int
    detail: str  # a worker, a reason, or counts as JSON
    link: bytes


def next_entry(
    previous_link: bytes, number: int, at: float, what: str, version: int, fencing_token: int, detail: str
) -> AuditEntry:
    """The line that follows."""
    content = msgspec.msgpack.encode((number, at, what, version, fencing_token, detail))
    return AuditEntry(
        number, at, what, version, fencing_token, detail, blake3(previous_link + content).digest(DIGEST_BYTES)
    )


def follows(previous_link: bytes, entry: AuditEntry) -> bool:
    return (
        next_entry(previous_link, *(getattr(entry, name) for name in AuditEntry.__struct_fields__[:-1]))
        == entry
    )


class AuditLog:
    """The lines of one process."""

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.number, self.link = 0, b""
        self.ended = False
        self.unacknowledged: deque[AuditEntry] = deque()
        self.fresh: list[AuditEntry] = []  # to be written down
        self.written_upto: int | None = None  # up to which line they are on file; None: no file is waited for

    def add(self, at: float, what: str, version: int, fencing_token: int, detail: str = "") -> None:
        self.number += 1
        entry = next_entry(self.link, self.number, at, what, version, fencing_token, detail)
        self.link = entry.link
        self.fresh.append(entry)
        self.unacknowledged.append(entry)
        if len(self.unacknowledged) > MAX_UNACKNOWLEDGED_ENTRIES:
            self.unacknowledged.popleft()

    def acknowledge(self, upto: int) -> None:
        """The stewards have all lines up to that one."""
        while self.unacknowledged and self.unacknowledged[0].number <= upto:
            self.unacknowledged.popleft()

    @property
    def next_batch(self) -> tuple[AuditEntry, ...]:
        """What to send now."""
        sendable_upto = self.number if self.written_upto is None else self.written_upto
        return tuple(
            entry
            for entry in islice(self.unacknowledged, ENTRIES_PER_MESSAGE)
            if entry.number <= sendable_upto
        )


def restore_audit_log(boot: str, entries: list[AuditEntry]) -> tuple[AuditLog, str]:
    """The ledger of an earlier process from its file, and what is wrong with the file; empty: nothing."""
    audit_log, fault = AuditLog(boot), ""
    audit_log.ended = True
    for entry in entries:
        if not fault and (entry.number != audit_log.number + 1 or not follows(audit_log.link, entry)):
            fault = f"line {entry.number} does not follow from line {audit_log.number}"
        audit_log.number, audit_log.link = entry.number, entry.link
        audit_log.unacknowledged.append(entry)
    return audit_log, fault


class ProcessAudit(Struct):
    """What was heard of one process."""

    node: str
    boot: str
    last_fencing_token: int = msgspec.field(default=0, name="granted")  # the last fence that it got
    # fences that are over: when, by the leader's clock, and why
    ended_leases: list[tuple[int, float, str]] = msgspec.field(default_factory=list, name="let_go")
    upto: int = 0
    link: bytes = b""
    entries: list[AuditEntry] = msgspec.field(default_factory=list, name="lines")
    dropped: int = 0  # lines that were heard and are not kept any more
    missing: list[tuple[int, int]] = []  # numbers that never came, from and to
    faults: list[str] = []

    def add_entries(self, entries: tuple[AuditEntry, ...], final_count: int) -> None:
        """Lines in any order of messages; `final`: how many the file of one that has ended has, else 0."""
        if 0 < final_count < self.upto:
            self._add_fault(f"its file has {final_count} lines, and {self.upto} were heard: cut")
        for entry in entries:
            if entry.number <= self.upto:
                recorded = next((known for known in self.entries if known.number == entry.number), entry)
                if recorded != entry:
                    self._add_fault(f"line {entry.number} is another one than was heard before: changed")
                continue
            if entry.number > self.upto + 1:
                self.missing.append((self.upto + 1, entry.number - 1))
            elif not follows(self.link, entry):
                self._add_fault(f"line {entry.number} does not follow from line {self.upto}: changed")
            self.upto, self.link = entry.number, entry.link
            self.entries.append(entry)
        if len(self.entries) > MAX_ENTRIES_PER_PROCESS:
            self.dropped += len(self.entries) - MAX_ENTRIES_PER_PROCESS
            del self.entries[:-MAX_ENTRIES_PER_PROCESS]

    def end_lease(self, fencing_token: int, at: float, reason: str) -> None:
        """Its lease is over for the stewards."""
        self.ended_leases.append((fencing_token, at, reason))
        del self.ended_leases[:-MAX_ENDED_LEASES]

    def matches_recorded(self, entries: tuple[AuditEntry, ...]) -> bool:
        """Whether lines that were heard before are the same again."""
        recorded = {entry.number: entry for entry in self.entries}
        return all(recorded.get(entry.number, entry) == entry for entry in entries)

    def drop_entries_before(self, before: float) -> None:
        """Lines older than that are not kept."""
        kept = [entry for entry in self.entries if entry.at >= before]
        self.dropped += len(self.entries) - len(kept)
        self.entries = kept

    def _add_fault(self, fault: str) -> None:
        if fault not in self.faults:
            self.faults.append(fault)

    def missing_entries(self, has_lease: bool) -> list[str]:
        """What is missing, in words; `holds`: it has a lease, so that more may be on its way."""
        missing = [
            f"act {first} not heard of" if first == end else f"acts {first} to {end} not heard of"
            for first, end in self.missing
        ]
        last = next(
            (
                entry
                for entry in reversed(self.entries)
                if entry.what in (LEASE_STARTED, VERSION_APPLIED, *LEASE_END_KINDS)
            ),
            None,
        )
        complete = (
            self.last_fencing_token == 0
            if last is None
            else last.fencing_token >= self.last_fencing_token and last.what in LEASE_END_KINDS
        )
        if not has_lease and not complete:
            missing.append(
                f"nothing heard after act {self.upto} of what it did under fence {self.last_fencing_token}"
            )
        return missing

    def last_state_at(self, time: float) -> AuditEntry | None:
        """The last line by then that tells on what it acted, or that it did not."""
        state_kinds = (LEASE_STARTED, VERSION_APPLIED, *LEASE_END_KINDS)
        return next(
            (entry for entry in reversed(self.entries) if entry.at <= time and entry.what in state_kinds),
            None,
        )
