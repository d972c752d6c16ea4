"""Checks the fleet's rules against events: entries applied, commands answered, leases ended, acts. Pure.

1. A committed version is never lost or changed.
2. No two processes with a lease act on versions that are more than one apart.
3. No process acts under an ended lease, or with a fencing token lower than one that it used before.
4. The audit has an entry for each act or reports it as missing, and an act for each entry.

Times are true times, which no process can read.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import plan as p

MAX_VERSIONS_APART = 1  # largest difference between the versions that two processes act on


class FleetViolation(Struct, frozen=True):
    rule: str  # lost, changed, apart, over, fence, split, granted, audit
    at: float
    message: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s: {self.message}"


class LastAct(Struct):
    """The last act of a process under a lease."""

    fencing_token: int
    version: int
    at: float


class FleetChecker:
    def __init__(self) -> None:
        self.violations: list[FleetViolation] = []
        self.entries: dict[int, tuple[int, bytes]] = {}  # index: term and content when first applied
        self.digests: dict[int, bytes] = {}  # released version: digest
        self.acknowledged: dict[str, int] = {}  # change id: the version in its answer
        # (process, fencing token): when the record ended the lease
        self.ended_leases: dict[tuple[str, int], float] = {}
        self.current_tokens: dict[str, int] = {}  # process: fencing token in the record
        self.last_acts: dict[str, LastAct] = {}  # process: its last act under a lease
        self.last_index = 0  # the highest index applied by any server
        self.leaders: dict[int, str] = {}  # term: leader
        self.acts = 0
        self.audited_acts: dict[str, list[tuple[str, int, int]]] = {}  # process: its audited acts in order

    def _report(self, rule: str, at: float, message: str) -> None:
        self.violations.append(FleetViolation(rule, at, message))

    # ---- servers

    def leader_seen(self, at: float, server: str, term: int) -> None:
        if self.leaders.setdefault(term, server) != server:
            self._report("split", at, f"{server} and {self.leaders[term]} both lead term {term}")

    def applied(self, at: float, server: str, index: int, term: int, data: bytes) -> None:
        """A server has applied a committed entry."""
        if self.entries.setdefault(index, (term, data)) != (term, data):
            self._report("changed", at, f"{server} has another entry {index} than was committed before")
        self.last_index = max(self.last_index, index)

    def committed(self, at: float, record: p.Record, index: int, item: p.Item) -> None:
        """An entry has changed the record of a server; the first server to apply it counts."""
        match item:
            case p.Release(version, _):
                digest = record.digest_of(version) or b""
                if self.digests.setdefault(version, digest) != digest:
                    self._report("changed", at, f"version {version} differs from the one released before")
            case p.LeaseStarted(node, boot):
                self.current_tokens.setdefault(f"{node}#{boot}", index)
                self.current_tokens[f"{node}#{boot}"] = max(self.current_tokens[f"{node}#{boot}"], index)
            case p.LeaseEnded(node, boot, fencing_token):
                self.ended_leases.setdefault((f"{node}#{boot}", fencing_token), at)

    def change_acknowledged(self, at: float, id: str, version: int) -> None:
        """An operator was told that the change became that version."""
        if self.acknowledged.setdefault(id, version) != version:
            self._report(
                "changed", at, f"change {id} was version {self.acknowledged[id]} and now is {version}"
            )

    # ---- nodes

    def record_act(self, at: float, process: str, plan: p.Plan, fencing_token: int) -> None:
        """A process acts on a version under its lease."""
        self.acts += 1
        previous = self.last_acts.get(process)
        if previous is not None and fencing_token < previous.fencing_token:
            self._report(
                "fence",
                at,
                f"{process} acts with fencing token {fencing_token} after {previous.fencing_token}",
            )
        since = self.ended_leases.get((process, fencing_token))
        if since is not None:
            self._report(
                "over",
                at,
                f"{process} acts under fencing token {fencing_token}, which ended at {since:.3f} s",
            )
        digest = self.digests.get(plan.version, b"")
        if plan.digest != digest:
            self._report(
                "changed",
                at,
                f"{process} acts on a version {plan.version} that differs from the released one",
            )
        self.last_acts[process] = LastAct(fencing_token, plan.version, at)

    def record_audited_act(self, process: str, kind: str, version: int, fencing_token: int) -> None:
        """Records an act that the audit must contain."""
        self.audited_acts.setdefault(process, []).append((kind, version, fencing_token))

    def check_versions_apart(self, at: float, versions: dict[str, int]) -> None:
        """Compares the versions on which processes may act under a lease now."""
        if versions and max(versions.values()) - min(versions.values()) > MAX_VERSIONS_APART:
            low, high = min(versions, key=versions.__getitem__), max(versions, key=versions.__getitem__)
            self._report("apart", at, f"{low} acts on {versions[low]} and {high} on {versions[high]}")

    # ---- end of a run

    def finish(self, at: float, record: p.Record) -> None:
        """Checks that the final leader's record has everything that was acknowledged."""
        for id, version in self.acknowledged.items():
            if record.change_versions.get(id) != version:
                self._report("lost", at, f"change {id} was answered as version {version} and is missing")
        self._check_audit(at, record)
        for version, digest in self.digests.items():
            digest_found = record.digest_of(version)
            if version > record.released.version or (digest_found is not None and digest_found != digest):
                self._report("lost", at, f"version {version} was released and is missing")

    def _check_audit(self, at: float, record: p.Record) -> None:
        audited_kinds = (audit.LEASE_STARTED, audit.VERSION_APPLIED, *audit.LEASE_END_KINDS)
        for process, account in record.process_audits.items():
            acts = self.audited_acts.get(process, [])
            entries = [entry for entry in account.entries if entry.what in audited_kinds]
            recorded = [(entry.what, entry.version, entry.fencing_token) for entry in entries]
            if account.faults:
                self._report("audit", at, f"{process}: {account.faults[0]}, though no entry was altered")
            if recorded != acts[: len(recorded)] and not account.missing and not account.dropped:
                self._report("audit", at, f"{process} did {acts}, and the audit has {recorded}")
            if len(recorded) < len(acts) and not account.missing_entries(process in record.holders):
                self._report(
                    "audit",
                    at,
                    f"{process} did {acts[len(recorded) :]}, neither in the audit nor reported missing",
                )
        for process, acts in self.audited_acts.items():
            if acts and process not in record.process_audits:
                self._report("audit", at, f"{process} did {acts}, and is not in the audit")
