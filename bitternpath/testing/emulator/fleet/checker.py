"""The fleet's rules, held against what happened: entries applied, answers read, leases let go, acts. Pure.

1. A version, once agreed, is never lost nor changed.
2. No two processes with a lease act more than one version apart.
3. No act under a lease that is over, nor with a fence lower than one already used by that process.
4. For each act that happened the audit has a line or names it as missing; for each line there was an act.

Times are the world's own, which nobody in it can read.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import plan as p

MAX_VERSIONS_APART = 1  # versions that two processes may be apart


class FleetViolation(Struct, frozen=True):
    rule: str  # lost, changed, apart, over, fence, split
    at: float
    message: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s: {self.message}"


class LastAct(Struct):
    """What is known of a process by its acts."""

    fencing_token: int
    version: int
    at: float


class FleetChecker:
    def __init__(self) -> None:
        self.violations: list[FleetViolation] = []
        self.entries: dict[int, tuple[int, bytes]] = {}  # index: term and content, as first applied
        self.digests: dict[int, bytes] = {}  # released version: its digest
        self.acknowledged: dict[str, int] = {}  # change id: the version that was answered
        self.ended_leases: dict[
            tuple[str, int], float
        ] = {}  # process and fence: when the record let go of it
        self.current_tokens: dict[str, int] = {}  # process: its fence, as the record has it
        self.last_acts: dict[str, LastAct] = {}  # process: its last act under a lease
        self.last_index = 0  # the highest index applied anywhere
        self.leaders: dict[int, str] = {}  # term: who led it
        self.acts = 0
        self.audited_acts: dict[str, list[tuple[str, int, int]]] = {}  # process: what it did, in order

    def _report(self, rule: str, at: float, message: str) -> None:
        self.violations.append(FleetViolation(rule, at, message))

    # ---- stewards

    def leader_seen(self, at: float, server: str, term: int) -> None:
        if self.leaders.setdefault(term, server) != server:
            self._report("split", at, f"{server} and {self.leaders[term]} both lead term {term}")

    def applied(self, at: float, server: str, index: int, term: int, data: bytes) -> None:
        """A steward takes an entry for agreed."""
        if self.entries.setdefault(index, (term, data)) != (term, data):
            self._report("changed", at, f"{server} has another entry {index} than was agreed before")
        self.last_index = max(self.last_index, index)

    def committed(self, at: float, record: p.Record, index: int, item: p.Item) -> None:
        """An entry has changed the record, at any steward; the first to say so counts."""
        match item:
            case p.Release(version, _):
                digest = record.digest_of(version) or b""
                if self.digests.setdefault(version, digest) != digest:
                    self._report("changed", at, f"version {version} is another one than was released before")
            case p.LeaseStarted(node, boot):
                self.current_tokens.setdefault(f"{node}#{boot}", index)
                self.current_tokens[f"{node}#{boot}"] = max(self.current_tokens[f"{node}#{boot}"], index)
            case p.LeaseEnded(node, boot, fencing_token):
                self.ended_leases.setdefault((f"{node}#{boot}", fencing_token), at)

    def change_acknowledged(self, at: float, id: str, version: int) -> None:
        """A command was told that its change is that version."""
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
                "fence", at, f"{process} acts with fence {fencing_token} after {previous.fencing_token}"
            )
        since = self.ended_leases.get((process, fencing_token))
        if since is not None:
            self._report(
                "over", at, f"{process} acts under fence {fencing_token}, let go of at {since:.3f} s"
            )
        digest = self.digests.get(plan.version, b"")
        if plan.digest != digest:
            self._report("changed", at, f"{process} acts on another version {plan.version} than was released")
        self.last_acts[process] = LastAct(fencing_token, plan.version, at)

    def record_audited_act(self, process: str, what: str, version: int, fencing_token: int) -> None:
        """Something that the audit must have a line of."""
        self.audited_acts.setdefault(process, []).append((what, version, fencing_token))

    def check_versions_apart(self, at: float, versions: dict[str, int]) -> None:
        """Who could act under a lease in this moment, and on which version."""
        if versions and max(versions.values()) - min(versions.values()) > MAX_VERSIONS_APART:
            low, high = min(versions, key=versions.__getitem__), max(versions, key=versions.__getitem__)
            self._report("apart", at, f"{low} acts on {versions[low]} and {high} on {versions[high]}")

    # ---- the end

    def finish(self, at: float, record: p.Record) -> None:
        """The record of the leader at the end has all that was ever answered for."""
        for id, version in self.acknowledged.items():
            if record.change_versions.get(id) != version:
                self._report("lost", at, f"change {id} was answered as version {version} and is not there")
        self._check_audit(at, record)
        for version, digest in self.digests.items():
            digest_found = record.digest_of(version)
            if version > record.released.version or (digest_found is not None and digest_found != digest):
                self._report("lost", at, f"version {version} was released and is not there")

    def _check_audit(self, at: float, record: p.Record) -> None:
        audited_kinds = (audit.LEASE_STARTED, audit.VERSION_APPLIED, *audit.LEASE_END_KINDS)
        for process, account in record.process_audits.items():
            acts = self.audited_acts.get(process, [])
            lines = [line for line in account.entries if line.what in audited_kinds]
            recorded = [(line.what, line.version, line.fencing_token) for line in lines]
            if account.faults:
                self._report("audit", at, f"{process}: {account.faults[0]}, though nobody changed it")
            if recorded != acts[: len(recorded)] and not account.missing and not account.dropped:
                self._report("audit", at, f"{process} did {acts}, and the audit has {recorded}")
            if len(recorded) < len(acts) and not account.missing_entries(process in record.holders):
                self._report("audit", at, f"{process} did {acts[len(recorded) :]}, of which nothing is said")
        for process, acts in self.audited_acts.items():
            if acts and process not in record.process_audits:
                self._report("audit", at, f"{process} did {acts}, and is not in the audit")
