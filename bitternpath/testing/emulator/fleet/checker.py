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

APART = 1  # versions that two processes may be apart


class Broken(Struct, frozen=True):
    rule: str  # lost, changed, apart, over, fence, split
    at: float
    says: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} s: {self.says}"


class Acting(Struct):
    """What is known of a process by its acts."""

    fencing_token: int
    version: int
    at: float


class FleetChecker:
    def __init__(self) -> None:
        self.broken: list[Broken] = []
        self.entries: dict[int, tuple[int, bytes]] = {}  # index: term and content, as first applied
        self.digests: dict[int, bytes] = {}  # released version: its digest
        self.promised: dict[str, int] = {}  # change id: the version that was answered
        self.over: dict[tuple[str, int], float] = {}  # process and fence: when the record let go of it
        self.holders: dict[str, int] = {}  # process: its fence, as the record has it
        self.acting: dict[str, Acting] = {}  # process: its last act under a lease
        self.last = 0  # the highest index applied anywhere
        self.leaders: dict[int, str] = {}  # term: who led it
        self.acts = 0
        self.happened: dict[str, list[tuple[str, int, int]]] = {}  # process: what it did, in order

    def _break(self, rule: str, at: float, says: str) -> None:
        self.broken.append(Broken(rule, at, says))

    # ---- stewards

    def leads(self, at: float, steward: str, term: int) -> None:
        if self.leaders.setdefault(term, steward) != steward:
            self._break("split", at, f"{steward} and {self.leaders[term]} both lead term {term}")

    def applied(self, at: float, steward: str, index: int, term: int, data: bytes) -> None:
        """A steward takes an entry for agreed."""
        if self.entries.setdefault(index, (term, data)) != (term, data):
            self._break("changed", at, f"{steward} has another entry {index} than was agreed before")
        self.last = max(self.last, index)

    def agreed(self, at: float, record: p.Record, index: int, item: p.Item) -> None:
        """An entry has changed the record, at any steward; the first to say so counts."""
        match item:
            case p.Release(version, _):
                digest = record.digest_of(version) or b""
                if self.digests.setdefault(version, digest) != digest:
                    self._break("changed", at, f"version {version} is another one than was released before")
            case p.LeaseStarted(node, boot):
                self.holders.setdefault(f"{node}#{boot}", index)
                self.holders[f"{node}#{boot}"] = max(self.holders[f"{node}#{boot}"], index)
            case p.LeaseEnded(node, boot, fencing_token):
                self.over.setdefault((f"{node}#{boot}", fencing_token), at)

    def answered(self, at: float, id: str, version: int) -> None:
        """A command was told that its change is that version."""
        if self.promised.setdefault(id, version) != version:
            self._break("changed", at, f"change {id} was version {self.promised[id]} and now is {version}")

    # ---- nodes

    def act(self, at: float, process: str, plan: p.Plan, fencing_token: int) -> None:
        """A process acts on a version under its lease."""
        self.acts += 1
        before = self.acting.get(process)
        if before is not None and fencing_token < before.fencing_token:
            self._break(
                "fence", at, f"{process} acts with fence {fencing_token} after {before.fencing_token}"
            )
        since = self.over.get((process, fencing_token))
        if since is not None:
            self._break("over", at, f"{process} acts under fence {fencing_token}, let go of at {since:.3f} s")
        digest = self.digests.get(plan.version, b"")
        if plan.digest != digest:
            self._break("changed", at, f"{process} acts on another version {plan.version} than was released")
        self.acting[process] = Acting(fencing_token, plan.version, at)

    def did(self, process: str, what: str, version: int, fencing_token: int) -> None:
        """Something that the audit must have a line of."""
        self.happened.setdefault(process, []).append((what, version, fencing_token))

    def hold(self, at: float, holding: dict[str, int]) -> None:
        """Who could act under a lease in this moment, and on which version."""
        if holding and max(holding.values()) - min(holding.values()) > APART:
            low, high = min(holding, key=holding.__getitem__), max(holding, key=holding.__getitem__)
            self._break("apart", at, f"{low} acts on {holding[low]} and {high} on {holding[high]}")

    # ---- the end

    def end(self, at: float, record: p.Record) -> None:
        """The record of the leader at the end has all that was ever answered for."""
        for id, version in self.promised.items():
            if record.change_versions.get(id) != version:
                self._break("lost", at, f"change {id} was answered as version {version} and is not there")
        self._audited(at, record)
        for version, digest in self.digests.items():
            found = record.digest_of(version)
            if version > record.released.version or (found is not None and found != digest):
                self._break("lost", at, f"version {version} was released and is not there")

    def _audited(self, at: float, record: p.Record) -> None:
        told = (audit.LEASE_STARTED, audit.VERSION_APPLIED, *audit.LEASE_END_KINDS)
        for process, account in record.process_audits.items():
            did = self.happened.get(process, [])
            lines = [line for line in account.entries if line.what in told]
            heard = [(line.what, line.version, line.fencing_token) for line in lines]
            if account.faults:
                self._break("audit", at, f"{process}: {account.faults[0]}, though nobody changed it")
            if heard != did[: len(heard)] and not account.missing and not account.dropped:
                self._break("audit", at, f"{process} did {did}, and the audit has {heard}")
            if len(heard) < len(did) and not account.missing_entries(process in record.holders):
                self._break("audit", at, f"{process} did {did[len(heard) :]}, of which nothing is said")
        for process, did in self.happened.items():
            if did and process not in record.process_audits:
                self._break("audit", at, f"{process} did {did}, and is not in the audit")
