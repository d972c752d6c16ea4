"""The replicated state: the plan and its versions, lease holders, audits. Does no I/O.

Every consensus server applies the same entries in the same order to a `Record`, and so has the same state. A
change gets the next version when it is committed. A separate entry *releases* the version; from then on nodes
apply it. A version that is not released yet can be withdrawn: it stays in the record as a no-op.

The digest of a version covers its change and the digest of the version before, so that two nodes with the
same digest have the same plan. Records are stored: tags and stored field names are fixed (see `name=`).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from blake3 import blake3
from msgspec import Struct

from bitternpath.balancer.fleet.audit import AuditEntry, ProcessAudit

RETAINED_CHANGES = 256  # released versions kept for lagging processes; others get the whole plan
AUDIT_RETENTION = 7 * 86400.0  # s
RETAINED_CHANGE_IDS = 4096  # latest change ids kept to recognize retries
CLASS_FIELDS = ("aim", "giveUp", "value", "lateWorth")  # fields of a job class that a change may set
RULE_KEYS = ("drainGrace", "graceToAnswer", "warmWithin", "coldFrom", "tipMultiple")
ALLOWED_KEYS = ("tryLimit", "maxRetryAfter", "secondCopies", "cancel")


class PlanError(Exception):
    """The change is invalid; the text says why, in one line."""


# ---- changes


class SetClass(Struct, frozen=True, tag="class"):
    """Set fields of a job class, by their names in the platform's configuration."""

    name: str
    fields: dict[str, float]


class SetRule(Struct, frozen=True, tag="rule"):
    """Set a key of `settings.rules` or `settings.allowed` in the platform's configuration."""

    section: str
    key: str
    value: float | bool


class EjectWorker(Struct, frozen=True, tag="ban"):
    """Eject a calendar worker by hand: no node sends it new jobs."""

    worker: str


class ReinstateWorker(Struct, frozen=True, tag="back"):
    """End the ejection of a calendar worker."""

    worker: str


class LeastRelease(Struct, frozen=True, tag="least release"):
    """Set the oldest release whose processes can get a lease."""

    release: tuple[int, ...]


Change = SetClass | SetRule | EjectWorker | ReinstateWorker | LeastRelease


class AgreedVersion(Struct, frozen=True):
    """A committed version: its change, who made it, and the digest up to it."""

    version: int
    id: str
    author: str
    reason: str
    time: float  # Unix s, on the leader's clock
    change: Change | None  # None: withdrawn
    digest: bytes
    withdrawn: str = ""  # by whom and why; empty if it is not withdrawn


class Plan(Struct, frozen=True):
    """The configuration that nodes apply on top of their own files."""

    version: int = 0
    digest: bytes = b""
    classes: dict[str, dict[str, float]] = {}
    rules: dict[str, dict[str, float | bool]] = {}
    # worker: the version that ejected it
    ejections: dict[str, int] = msgspec.field(default_factory=dict, name="bans")
    least_release: tuple[int, ...] = ()

    def with_version(self, next_version: AgreedVersion) -> Plan:
        """Return the plan with the next version; raise PlanError if the change is invalid."""
        if next_version.version != self.version + 1:
            raise PlanError(f"version {next_version.version} does not follow {self.version}")
        plan = (
            self
            if next_version.change is None
            else self._with_change(next_version.change, next_version.version)
        )
        return msgspec.structs.replace(plan, version=next_version.version, digest=next_version.digest)

    def _with_change(self, change: Change, version: int) -> Plan:
        match change:
            case SetClass(name, fields):
                if not name or not fields:
                    raise PlanError("a class change names the class and at least one field")
                for key, value in fields.items():
                    if key not in CLASS_FIELDS:
                        raise PlanError(f"{name}.{key}: unknown field; allowed are {', '.join(CLASS_FIELDS)}")
                    must_be_positive = key in ("aim", "giveUp")
                    if not 0 <= value < float("inf") or (must_be_positive and value == 0):
                        raise PlanError(
                            f"{name}.{key} = {value}: must be a number above 0"
                            + " or 0" * (not must_be_positive)
                        )
                merged = self.classes.get(name, {}) | fields
                return msgspec.structs.replace(self, classes=self.classes | {name: merged})
            case SetRule(section, key, value):
                keys = {"rules": RULE_KEYS, "allowed": ALLOWED_KEYS}.get(section)
                if keys is None or key not in keys:
                    allowed = ", ".join(
                        [f"rules.{k}" for k in RULE_KEYS] + [f"allowed.{k}" for k in ALLOWED_KEYS]
                    )
                    raise PlanError(f"{section}.{key}: unknown; allowed are {allowed}")
                if not 0 <= value < float("inf") or (key == "tryLimit" and value < 1):
                    raise PlanError(f"{section}.{key} = {value}: must be a number above 0")
                merged_rules = self.rules.get(section, {}) | {key: value}
                return msgspec.structs.replace(self, rules=self.rules | {section: merged_rules})
            case EjectWorker(worker):
                if not worker or worker in self.ejections:
                    raise PlanError(
                        f"{worker or 'no worker'}: is banned already" if worker else "no worker is named"
                    )
                return msgspec.structs.replace(self, ejections=self.ejections | {worker: version})
            case ReinstateWorker(worker):
                if worker not in self.ejections:
                    raise PlanError(f"{worker}: is not banned by the fleet")
                remaining = {other: since for other, since in self.ejections.items() if other != worker}
                return msgspec.structs.replace(self, ejections=remaining)
            case LeastRelease(release):
                if not release or any(part < 0 for part in release):
                    raise PlanError(f"release {release}: must be numbers, such as 1.4.0")
                return msgspec.structs.replace(self, least_release=release)


def chained_digest(previous_digest: bytes, version: int, change: Change | None) -> bytes:
    """Return the digest of a version."""
    return blake3(previous_digest + version.to_bytes(8, "big") + msgspec.msgpack.encode(change)).digest()


# ---- entries of the log


class LeaseTerms(Struct, frozen=True):
    """The lease times in s, and `drift`: the fraction by which a clock may run fast or slow.

    They are part of the record: with different terms servers would disagree on when a lease has expired.
    """

    lease: float = 4.0
    drift: float = 0.02
    catch_up: float = 5.0  # how long a holder may lag

    @property
    def max_duration(self) -> float:
        """How long a lease may be valid at its node, measured on the leader's clock."""
        return self.lease * (1.0 + self.drift) / (1.0 - self.drift)


class Bootstrap(Struct, frozen=True, tag="found"):
    """The first entry of a fleet; its random `id` distinguishes it from other fleets."""

    terms: LeaseTerms
    id: str


class AgreeChange(Struct, frozen=True, tag="adopt"):
    """Commit a change as the next version, if it is valid; idempotent by `id`."""

    id: str
    author: str
    reason: str
    time: float
    change: Change


class WithdrawVersion(Struct, frozen=True, tag="void"):
    """Withdraw a version, if it is not released yet."""

    version: int
    author: str
    reason: str


class Release(Struct, frozen=True, tag="release"):
    """Release a version: nodes apply it."""

    version: int
    time: float


class LeaseStarted(Struct, frozen=True, tag="joined"):
    """A node process gets a lease; its fencing token is the index of this entry."""

    node: str
    boot: str
    site: str
    release: tuple[int, ...]
    without_lease: str = msgspec.field(name="alone")
    validated_version: int = msgspec.field(name="have")
    digest: bytes
    time: float


class LeaseEnded(Struct, frozen=True, tag="parted"):
    """A lease has expired or was released."""

    node: str
    boot: str
    fencing_token: int = msgspec.field(name="fence")
    reason: str = msgspec.field(name="why")
    time: float


class AuditRecorded(Struct, frozen=True, tag="noted"):
    """Entries of a process's audit log were received."""

    node: str
    boot: str
    entries: tuple[AuditEntry, ...] = msgspec.field(name="lines")
    final_count: int = msgspec.field(name="final")
    time: float


Item = Bootstrap | AgreeChange | WithdrawVersion | Release | LeaseStarted | LeaseEnded | AuditRecorded


class Holder(Struct):
    """A node process that holds a lease."""

    node: str
    boot: str
    site: str
    release: tuple[int, ...]
    without_lease: str = msgspec.field(name="alone")
    fencing_token: int = msgspec.field(name="fence")
    started_at: float = msgspec.field(name="joined")  # Unix s

    @property
    def key(self) -> str:
        return f"{self.node}#{self.boot}"


class Record(Struct):
    """The replicated state machine: only `apply` changes it, and it is deterministic."""

    fleet: str = ""
    terms: LeaseTerms = LeaseTerms()
    released: Plan = Plan()
    latest: Plan = Plan()  # the released plan with all later versions
    changes: list[AgreedVersion] = []  # retained released ones, then unreleased ones
    release_times: dict[int, float] = {}  # version: Unix s
    holders: dict[str, Holder] = {}
    # change id: the version it was committed as
    change_versions: dict[str, int] = msgspec.field(default_factory=dict, name="ids")
    # by process (node#boot)
    process_audits: dict[str, ProcessAudit] = msgspec.field(default_factory=dict, name="accounts")

    @property
    def unreleased(self) -> list[AgreedVersion]:
        """Versions that are committed and not released yet."""
        return [agreed for agreed in self.changes if agreed.version > self.released.version]

    def find_version(self, version: int) -> AgreedVersion | None:
        first = self.changes[0].version if self.changes else 0
        position = version - first
        return self.changes[position] if self.changes and 0 <= position < len(self.changes) else None

    def digest_of(self, version: int) -> bytes | None:
        """Return the digest of a version, or None if the version is not retained."""
        if version == self.released.version:
            return self.released.digest
        found = self.find_version(version)
        return found.digest if found is not None else None

    def apply(self, index: int, item: Item) -> str:
        """Apply a committed entry; return an empty text, or why the entry changes nothing."""
        match item:
            case Bootstrap(terms, id):
                self.terms, self.fleet = terms, id
                return ""
            case AgreeChange():
                return self._commit_change(item)
            case WithdrawVersion():
                return self._withdraw_version(item)
            case Release(version, time):
                if version != self.released.version + 1 or self.find_version(version) is None:
                    return f"version {version} is not the next one"
                found = self.find_version(version)
                assert found is not None
                self.released = self.released.with_version(found)
                self.release_times[version] = time
                while len(self.changes) - len(self.unreleased) > RETAINED_CHANGES:
                    self.release_times.pop(self.changes.pop(0).version, None)
                return ""
            case LeaseStarted():
                digest = self.digest_of(item.validated_version)
                if item.validated_version < self.released.version - 1 or digest != item.digest:
                    return (
                        f"{item.node} is at version {item.validated_version}, "
                        f"{self.released.version} is released"
                    )
                holder = Holder(
                    item.node, item.boot, item.site, item.release, item.without_lease, index, item.time
                )  # fmt: skip
                self.holders[holder.key] = holder
                self.process_audits.setdefault(
                    holder.key, ProcessAudit(item.node, item.boot)
                ).last_fencing_token = index
                return ""
            case LeaseEnded(node, boot, fencing_token, reason, time):
                ended_holder = self.holders.get(f"{node}#{boot}")
                if ended_holder is None or ended_holder.fencing_token != fencing_token:
                    return f"{node} does not hold fencing token {fencing_token}"
                del self.holders[ended_holder.key]
                self.process_audits.setdefault(ended_holder.key, ProcessAudit(node, boot)).end_lease(
                    fencing_token, time, reason
                )
                return ""
            case AuditRecorded(node, boot, entries, final_count, time):
                key = f"{node}#{boot}"
                process_audit = self.process_audits.setdefault(key, ProcessAudit(node, boot))
                process_audit.add_entries(entries, final_count)
                self._drop_old_audits(time - AUDIT_RETENTION)
                return ""

    def _drop_old_audits(self, oldest: float) -> None:
        """Drop entries older than `oldest`, and the audits of processes without entries or a recent lease."""
        for key, process_audit in list(self.process_audits.items()):
            if process_audit.entries and process_audit.entries[0].at < oldest:
                process_audit.drop_entries_before(oldest)
            # The audit of an ended lease without entries is retained, so that they are reported as missing.
            last_lease_end = process_audit.ended_leases[-1][1] if process_audit.ended_leases else 0.0
            if not process_audit.entries and key not in self.holders and last_lease_end < oldest:
                del self.process_audits[key]

    def _commit_change(self, item: AgreeChange) -> str:
        if item.id in self.change_versions:
            return ""
        version, previous_digest = self.latest.version + 1, self.latest.digest
        agreed = AgreedVersion(
            version, item.id, item.author, item.reason, item.time, item.change,
            chained_digest(previous_digest, version, item.change),
        )  # fmt: skip
        try:
            self.latest = self.latest.with_version(agreed)
        except PlanError as error:
            return str(error)
        self.changes.append(agreed)
        self.change_versions[item.id] = version
        while len(self.change_versions) > RETAINED_CHANGE_IDS:
            del self.change_versions[next(iter(self.change_versions))]
        return ""

    def _withdraw_version(self, item: WithdrawVersion) -> str:
        if item.version <= self.released.version:
            return f"version {item.version} is released; revert it with another change"
        if self.find_version(item.version) is None:
            return f"there is no version {item.version}; the latest is {self.latest.version}"
        plan, changes = self.released, [a for a in self.changes if a.version <= self.released.version]
        for agreed in self.unreleased:
            change, withdrawn = agreed.change, agreed.withdrawn
            if agreed.version == item.version:
                change, withdrawn = None, f"{item.author}: {item.reason}"
            digest = chained_digest(plan.digest, agreed.version, change)
            replaced = msgspec.structs.replace(agreed, change=change, digest=digest, withdrawn=withdrawn)
            try:
                plan = plan.with_version(replaced)
            except PlanError as error:
                return f"version {agreed.version} depends on it: {error}"
            changes.append(replaced)
        self.latest, self.changes = plan, changes
        return ""

    def changes_since(self, version: int, digest: bytes) -> Iterable[AgreedVersion] | None:
        """Return the versions after `version`; None if they are not retained or the digest is not ours."""
        if self.digest_of(version) != digest and not (version == 0 and not digest):
            return None
        changes = [agreed for agreed in self.changes if agreed.version > version]
        complete = len(changes) == self.latest.version - version
        return changes if complete else None


_encoder = msgspec.msgpack.Encoder()
_item_decoder = msgspec.msgpack.Decoder(Item)
_record_decoder = msgspec.msgpack.Decoder(Record)


def encode_item(item: Item) -> bytes:
    return _encoder.encode(item)


def decode_item(data: bytes) -> Item:
    return _item_decoder.decode(data)


def encode_record(record: Record) -> bytes:
    return _encoder.encode(record)


def decode_record(data: bytes) -> Record:
    return _record_decoder.decode(data) if data else Record()
