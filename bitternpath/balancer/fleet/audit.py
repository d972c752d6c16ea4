"""The audit log of a node process: numbered entries, each chained to the one before by a digest. Does no I/O.

An `AuditLog` belongs to the process itself; entries are sent again until they are acknowledged. A
`ProcessAudit` is what the consensus servers have received from one process; missing entries and entries that
do not follow from the one before are reported as faults.
"""

from __future__ import annotations

from collections import deque
from itertools import islice

import msgspec
from blake3 import blake3
from msgspec import Struct

DIGEST_BYTES = 16  # of an entry's link
MAX_UNACKNOWLEDGED_ENTRIES = 2000  # in a process; beyond it the oldest are dropped
MAX_ENTRIES_PER_PROCESS = 500  # in the record
MAX_ENDED_LEASES = 50  # per process, in the record
ENTRIES_PER_MESSAGE = 100

# Kinds of entries (`AuditEntry.what`), as stored and sent.
LEASE_STARTED, VERSION_APPLIED, LEASE_EXPIRED, LEASE_RELEASED = "joined", "acts", "lost", "left"
WORKER_EJECTED, WORKER_REINSTATED, INVOCATIONS_SERVED, CHANGE_REJECTED = (
    "out by hand",
    "back by hand",
    "served",
    "refuses",
)
LEASE_END_KINDS = (LEASE_EXPIRED, LEASE_RELEASED)  # after these the process no longer uses the fencing token


class AuditEntry(Struct, frozen=True, array_like=True):
    """An entry; `link` is a digest of the other fields and the link of the entry before."""

    number: int  # from 1
    at: float  # Unix s, on the process's own clock
    what: str
    version: int
    fencing_token: int
    detail: str  # a worker, a reason, or counts as JSON, by kind
    link: bytes


def next_entry(
    previous_link: bytes, number: int, at: float, what: str, version: int, fencing_token: int, detail: str
) -> AuditEntry:
    """Return the entry that follows the one with `previous_link`."""
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
    """The audit log of one process, on the process's side."""

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.number, self.link = 0, b""
        self.ended = False  # whether it belongs to an earlier process
        self.unacknowledged: deque[AuditEntry] = deque()
        self.fresh: list[AuditEntry] = []  # not passed to the file yet
        self.written_upto: int | None = None  # last entry on file; None: sends do not wait for a file

    def add(self, at: float, what: str, version: int, fencing_token: int, detail: str = "") -> None:
        self.number += 1
        entry = next_entry(self.link, self.number, at, what, version, fencing_token, detail)
        self.link = entry.link
        self.fresh.append(entry)
        self.unacknowledged.append(entry)
        if len(self.unacknowledged) > MAX_UNACKNOWLEDGED_ENTRIES:
            self.unacknowledged.popleft()

    def acknowledge(self, upto: int) -> None:
        """Drop the entries up to number `upto`: the record has them."""
        while self.unacknowledged and self.unacknowledged[0].number <= upto:
            self.unacknowledged.popleft()

    @property
    def next_batch(self) -> tuple[AuditEntry, ...]:
        """The entries to send now."""
        sendable_upto = self.number if self.written_upto is None else self.written_upto
        return tuple(
            entry
            for entry in islice(self.unacknowledged, ENTRIES_PER_MESSAGE)
            if entry.number <= sendable_upto
        )


def restore_audit_log(boot: str, entries: list[AuditEntry]) -> tuple[AuditLog, str]:
    """Return an earlier process's audit log from its file, and the file's first fault or an empty string."""
    audit_log, fault = AuditLog(boot), ""
    audit_log.ended = True
    for entry in entries:
        if not fault and (entry.number != audit_log.number + 1 or not follows(audit_log.link, entry)):
            fault = f"line {entry.number} does not follow from line {audit_log.number}"
        audit_log.number, audit_log.link = entry.number, entry.link
        audit_log.unacknowledged.append(entry)
    return audit_log, fault


class ProcessAudit(Struct):
    """The audit of one process in the record."""

    node: str
    boot: str
    last_fencing_token: int = msgspec.field(default=0, name="granted")  # of its latest lease
    # fencing token, end in Unix s on the leader's clock, and reason
    ended_leases: list[tuple[int, float, str]] = msgspec.field(default_factory=list, name="let_go")
    upto: int = 0  # number of the last entry received
    link: bytes = b""
    entries: list[AuditEntry] = msgspec.field(default_factory=list, name="lines")
    dropped: int = 0  # entries received and no longer kept
    missing: list[tuple[int, int]] = []  # ranges of entry numbers never received, first and last
    faults: list[str] = []  # signs of a changed or truncated audit log

    def add_entries(self, entries: tuple[AuditEntry, ...], final_count: int) -> None:
        """Add received entries; `final_count` is the file's entry count for an ended process, else 0.

        The texts of faults are part of the replicated state: servers of all releases must write the same.
        """
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
        """Note that a lease of the process has ended in the record."""
        self.ended_leases.append((fencing_token, at, reason))
        del self.ended_leases[:-MAX_ENDED_LEASES]

    def matches_recorded(self, entries: tuple[AuditEntry, ...]) -> bool:
        """Whether entries that are recorded already are the same as before."""
        recorded = {entry.number: entry for entry in self.entries}
        return all(recorded.get(entry.number, entry) == entry for entry in entries)

    def drop_entries_before(self, before: float) -> None:
        """Drop entries older than `before` (Unix s)."""
        kept = [entry for entry in self.entries if entry.at >= before]
        self.dropped += len(self.entries) - len(kept)
        self.entries = kept

    def _add_fault(self, fault: str) -> None:
        if fault not in self.faults:
            self.faults.append(fault)

    def missing_entries(self, has_lease: bool) -> list[str]:
        """Describe what is missing; with `has_lease`, later entries may still arrive."""
        missing = [
            f"entry {first} not received" if first == end else f"entries {first} to {end} not received"
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
                f"nothing received after entry {self.upto} under fencing token {self.last_fencing_token}"
            )
        return missing

    def last_state_at(self, time: float) -> AuditEntry | None:
        """Return the last entry up to `time` that says which version the process applied, or none."""
        state_kinds = (LEASE_STARTED, VERSION_APPLIED, *LEASE_END_KINDS)
        return next(
            (entry for entry in reversed(self.entries) if entry.at <= time and entry.what in state_kinds),
            None,
        )
