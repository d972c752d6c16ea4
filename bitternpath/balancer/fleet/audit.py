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
    before: bytes, number: int, at: float, what: str, version: int, fencing_token: int, detail: str
) -> AuditEntry:
    """The line that follows."""
    content = msgspec.msgpack.encode((number, at, what, version, fencing_token, detail))
    return AuditEntry(
        number, at, what, version, fencing_token, detail, blake3(before + content).digest(DIGEST_BYTES)
    )


def follows(before: bytes, line: AuditEntry) -> bool:
    return next_entry(before, *(getattr(line, name) for name in AuditEntry.__struct_fields__[:-1])) == line


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
        line = next_entry(self.link, self.number, at, what, version, fencing_token, detail)
        self.link = line.link
        self.fresh.append(line)
        self.unacknowledged.append(line)
        if len(self.unacknowledged) > MAX_UNACKNOWLEDGED_ENTRIES:
            self.unacknowledged.popleft()

    def acknowledge(self, upto: int) -> None:
        """The stewards have all lines up to that one."""
        while self.unacknowledged and self.unacknowledged[0].number <= upto:
            self.unacknowledged.popleft()

    @property
    def next_batch(self) -> tuple[AuditEntry, ...]:
        """What to send now."""
        known = self.number if self.written_upto is None else self.written_upto
        return tuple(
            line for line in islice(self.unacknowledged, ENTRIES_PER_MESSAGE) if line.number <= known
        )


def restore_audit_log(boot: str, lines: list[AuditEntry]) -> tuple[AuditLog, str]:
    """The ledger of an earlier process from its file, and what is wrong with the file; empty: nothing."""
    audit_log, why = AuditLog(boot), ""
    audit_log.ended = True
    for line in lines:
        if not why and (line.number != audit_log.number + 1 or not follows(audit_log.link, line)):
            why = f"line {line.number} does not follow from line {audit_log.number}"
        audit_log.number, audit_log.link = line.number, line.link
        audit_log.unacknowledged.append(line)
    return audit_log, why


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

    def add_entries(self, lines: tuple[AuditEntry, ...], final: int) -> None:
        """Lines in any order of messages; `final`: how many the file of one that has ended has, else 0."""
        if 0 < final < self.upto:
            self._add_fault(f"its file has {final} lines, and {self.upto} were heard: cut")
        for line in lines:
            if line.number <= self.upto:
                kept = next((old for old in self.entries if old.number == line.number), line)
                if kept != line:
                    self._add_fault(f"line {line.number} is another one than was heard before: changed")
                continue
            if line.number > self.upto + 1:
                self.missing.append((self.upto + 1, line.number - 1))
            elif not follows(self.link, line):
                self._add_fault(f"line {line.number} does not follow from line {self.upto}: changed")
            self.upto, self.link = line.number, line.link
            self.entries.append(line)
        if len(self.entries) > MAX_ENTRIES_PER_PROCESS:
            self.dropped += len(self.entries) - MAX_ENTRIES_PER_PROCESS
            del self.entries[:-MAX_ENTRIES_PER_PROCESS]

    def end_lease(self, fencing_token: int, at: float, why: str) -> None:
        """Its lease is over for the stewards."""
        self.ended_leases.append((fencing_token, at, why))
        del self.ended_leases[:-MAX_ENDED_LEASES]

    def matches_recorded(self, lines: tuple[AuditEntry, ...]) -> bool:
        """Whether lines that were heard before are the same again."""
        kept = {line.number: line for line in self.entries}
        return all(kept.get(line.number, line) == line for line in lines)

    def drop_entries_before(self, before: float) -> None:
        """Lines older than that are not kept."""
        keep = [line for line in self.entries if line.at >= before]
        self.dropped += len(self.entries) - len(keep)
        self.entries = keep

    def _add_fault(self, why: str) -> None:
        if why not in self.faults:
            self.faults.append(why)

    def missing_entries(self, holds: bool) -> list[str]:
        """What is missing, in words; `holds`: it has a lease, so that more may be on its way."""
        named = [
            f"act {a} not heard of" if a == b else f"acts {a} to {b} not heard of" for a, b in self.missing
        ]
        last = next(
            (
                line
                for line in reversed(self.entries)
                if line.what in (LEASE_STARTED, VERSION_APPLIED, *LEASE_END_KINDS)
            ),
            None,
        )
        heard = (
            self.last_fencing_token == 0
            if last is None
            else last.fencing_token >= self.last_fencing_token and last.what in LEASE_END_KINDS
        )
        if not holds and not heard:
            named.append(
                f"nothing heard after act {self.upto} of what it did under fence {self.last_fencing_token}"
            )
        return named

    def last_state_at(self, when: float) -> AuditEntry | None:
        """The last line by then that tells on what it acted, or that it did not."""
        told = (LEASE_STARTED, VERSION_APPLIED, *LEASE_END_KINDS)
        return next((line for line in reversed(self.entries) if line.at <= when and line.what in told), None)
