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

LINK = 16  # bytes of a link of the chain
AUDIT_LOG_LINES = 2000  # that a process keeps while nobody acknowledges them; the oldest go first
PROCESS_AUDIT_LINES = 500  # that the stewards keep of one process
LET_GO = 50  # ends of leases that are kept of one
AT_ONCE = 100  # lines of one message

# What a line may tell, beside version and fence.
JOINED, ACTS, LOST, LEFT = "joined", "acts", "lost", "left"
OUT, BACK, SERVED, REFUSES = "out by hand", "back by hand", "served", "refuses"
LAST = (LOST, LEFT)  # after these the process acts no more under that fence


class Line(Struct, frozen=True, array_like=True):
    number: int  # from 1 on
    at: float  # Unix s, by the process's own clock
    what: str
    version: int
    fencing_token: int
    detail: str  # a worker, a reason, or counts as JSON
    link: bytes


def linked(
    before: bytes, number: int, at: float, what: str, version: int, fencing_token: int, detail: str
) -> Line:
    """The line that follows."""
    content = msgspec.msgpack.encode((number, at, what, version, fencing_token, detail))
    return Line(number, at, what, version, fencing_token, detail, blake3(before + content).digest(LINK))


def follows(before: bytes, line: Line) -> bool:
    return linked(before, *(getattr(line, name) for name in Line.__struct_fields__[:-1])) == line


class AuditLog:
    """The lines of one process."""

    def __init__(self, boot: str) -> None:
        self.boot = boot
        self.number, self.link = 0, b""
        self.ended = False
        self.unheard: deque[Line] = deque()
        self.fresh: list[Line] = []  # to be written down
        self.written: int | None = None  # up to which line they are on file; None: no file is waited for

    def add(self, at: float, what: str, version: int, fencing_token: int, detail: str = "") -> None:
        self.number += 1
        line = linked(self.link, self.number, at, what, version, fencing_token, detail)
        self.link = line.link
        self.fresh.append(line)
        self.unheard.append(line)
        if len(self.unheard) > AUDIT_LOG_LINES:
            self.unheard.popleft()

    def heard(self, upto: int) -> None:
        """The stewards have all lines up to that one."""
        while self.unheard and self.unheard[0].number <= upto:
            self.unheard.popleft()

    @property
    def next(self) -> tuple[Line, ...]:
        """What to send now."""
        known = self.number if self.written is None else self.written
        return tuple(line for line in islice(self.unheard, AT_ONCE) if line.number <= known)


def read_back(boot: str, lines: list[Line]) -> tuple[AuditLog, str]:
    """The ledger of an earlier process from its file, and what is wrong with the file; empty: nothing."""
    audit_log, why = AuditLog(boot), ""
    audit_log.ended = True
    for line in lines:
        if not why and (line.number != audit_log.number + 1 or not follows(audit_log.link, line)):
            why = f"line {line.number} does not follow from line {audit_log.number}"
        audit_log.number, audit_log.link = line.number, line.link
        audit_log.unheard.append(line)
    return audit_log, why


class ProcessAudit(Struct):
    """What was heard of one process."""

    node: str
    boot: str
    granted: int = 0  # the last fence that it got
    let_go: list[tuple[int, float, str]] = []  # fences that are over: when, by the leader's clock, and why
    upto: int = 0
    link: bytes = b""
    lines: list[Line] = []
    dropped: int = 0  # lines that were heard and are not kept any more
    missing: list[tuple[int, int]] = []  # numbers that never came, from and to
    faults: list[str] = []

    def take(self, lines: tuple[Line, ...], final: int) -> None:
        """Lines in any order of messages; `final`: how many the file of one that has ended has, else 0."""
        if 0 < final < self.upto:
            self._fault(f"its file has {final} lines, and {self.upto} were heard: cut")
        for line in lines:
            if line.number <= self.upto:
                kept = next((old for old in self.lines if old.number == line.number), line)
                if kept != line:
                    self._fault(f"line {line.number} is another one than was heard before: changed")
                continue
            if line.number > self.upto + 1:
                self.missing.append((self.upto + 1, line.number - 1))
            elif not follows(self.link, line):
                self._fault(f"line {line.number} does not follow from line {self.upto}: changed")
            self.upto, self.link = line.number, line.link
            self.lines.append(line)
        if len(self.lines) > PROCESS_AUDIT_LINES:
            self.dropped += len(self.lines) - PROCESS_AUDIT_LINES
            del self.lines[:-PROCESS_AUDIT_LINES]

    def part(self, fencing_token: int, at: float, why: str) -> None:
        """Its lease is over for the stewards."""
        self.let_go.append((fencing_token, at, why))
        del self.let_go[:-LET_GO]

    def agrees(self, lines: tuple[Line, ...]) -> bool:
        """Whether lines that were heard before are the same again."""
        kept = {line.number: line for line in self.lines}
        return all(kept.get(line.number, line) == line for line in lines)

    def forget(self, before: float) -> None:
        """Lines older than that are not kept."""
        keep = [line for line in self.lines if line.at >= before]
        self.dropped += len(self.lines) - len(keep)
        self.lines = keep

    def _fault(self, why: str) -> None:
        if why not in self.faults:
            self.faults.append(why)

    def says_missing(self, holds: bool) -> list[str]:
        """What is missing, in words; `holds`: it has a lease, so that more may be on its way."""
        named = [
            f"act {a} not heard of" if a == b else f"acts {a} to {b} not heard of" for a, b in self.missing
        ]
        last = next((line for line in reversed(self.lines) if line.what in (JOINED, ACTS, *LAST)), None)
        heard = (
            self.granted == 0 if last is None else last.fencing_token >= self.granted and last.what in LAST
        )
        if not holds and not heard:
            named.append(f"nothing heard after act {self.upto} of what it did under fence {self.granted}")
        return named

    def at(self, when: float) -> Line | None:
        """The last line by then that tells on what it acted, or that it did not."""
        told = (JOINED, ACTS, *LAST)
        return next((line for line in reversed(self.lines) if line.at <= when and line.what in told), None)
