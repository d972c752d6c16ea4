"""The replicated state: the plan with its versions, lease holders, audit logs, and pending changes. Pure.

Every consensus server applies the same entries in the same order to a `Record`, and so has the same state. A
change gets the next version when it is committed, and is *released* by an entry of its own: from then on
nodes apply it. A version that is not released yet can be withdrawn: it stays in the record as a no-op.

The digest of a version is that of its change chained to the digest before, so that two nodes that name the
same digest hold the same plan. Records are stored: tags and stored field names are fixed (see `name=`).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from blake3 import blake3
from msgspec import Struct

from bitternpath.balancer.fleet.audit import Line, ProcessAudit

KEPT_CHANGES = 256  # released ones that are kept for those who lag; who lags more gets the whole plan
KEPT_FOR = 7 * 86400.0  # s for which lines of the audit are kept
KEPT_IDS = 4096  # ids of changes, by which one that is asked for again is known
CLASS_FIELDS = ("aim", "giveUp", "value", "lateWorth")  # numbers that operators may set for a class
RULES = ("drainGrace", "graceToAnswer", "warmWithin", "coldFrom", "tipMultiple")
ALLOWED = ("tryLimit", "maxRetryAfter", "secondCopies", "cancel")


class PlanError(Exception):
    """An invalid change: the caller's fault; the text says why, in one line."""


# ---- changes


class SetClass(Struct, frozen=True, tag="class"):
    """Fields of a job class, in the platform's words."""

    name: str
    fields: dict[str, float]


class SetRule(Struct, frozen=True, tag="rule"):
    """A key of `settings.rules` or `settings.allowed`, in the platform's words."""

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
    """Processes of an older release get no lease."""

    release: tuple[int, ...]


Change = SetClass | SetRule | EjectWorker | ReinstateWorker | LeastRelease


class AgreedVersion(Struct, frozen=True):
    """A version."""

    version: int
    id: str
    author: str
    reason: str
    time: float  # Unix s, by the leader's clock
    change: Change | None  # None: withdrawn
    digest: bytes
    withdrawn: str = ""  # by whom and why


class Plan(Struct, frozen=True):
    """The configuration that nodes apply on top of their own files."""

    version: int = 0
    digest: bytes = b""
    classes: dict[str, dict[str, float]] = {}
    rules: dict[str, dict[str, float | bool]] = {}
    ejections: dict[str, int] = msgspec.field(
        default_factory=dict, name="bans"
    )  # worker: since which version
    least_release: tuple[int, ...] = ()

    def after(self, agreed: AgreedVersion) -> Plan:
        """With the next version; PlanError where the change cannot be."""
        if agreed.version != self.version + 1:
            raise PlanError(f"version {agreed.version} does not follow {self.version}")
        made = self if agreed.change is None else self._with(agreed.change, agreed.version)
        return msgspec.structs.replace(made, version=agreed.version, digest=agreed.digest)

    def _with(self, change: Change, version: int) -> Plan:
        match change:
            case SetClass(name, fields):
                if not name or not fields:
                    raise PlanError("a class change names the class and at least one field")
                for key, value in fields.items():
                    if key not in CLASS_FIELDS:
                        raise PlanError(f"{name}.{key}: unknown field; allowed are {', '.join(CLASS_FIELDS)}")
                    least = key in ("aim", "giveUp")
                    if not 0 <= value < float("inf") or (least and value == 0):
                        raise PlanError(
                            f"{name}.{key} = {value}: must be a number above 0" + " or 0" * (not least)
                        )
                merged = self.classes.get(name, {}) | fields
                return msgspec.structs.replace(self, classes=self.classes | {name: merged})
            case SetRule(section, key, value):
                keys = {"rules": RULES, "allowed": ALLOWED}.get(section)
                if keys is None or key not in keys:
                    some = ", ".join([f"rules.{k}" for k in RULES] + [f"allowed.{k}" for k in ALLOWED])
                    raise PlanError(f"{section}.{key}: unknown; allowed are {some}")
                if not 0 <= value < float("inf") or (key == "tryLimit" and value < 1):
                    raise PlanError(f"{section}.{key} = {value}: must be a number above 0")
                changed = self.rules.get(section, {}) | {key: value}
                return msgspec.structs.replace(self, rules=self.rules | {section: changed})
            case EjectWorker(worker):
                if not worker or worker in self.ejections:
                    raise PlanError(
                        f"{worker or 'no worker'}: is banned already" if worker else "no worker is named"
                    )
                return msgspec.structs.replace(self, ejections=self.ejections | {worker: version})
            case ReinstateWorker(worker):
                if worker not in self.ejections:
                    raise PlanError(f"{worker}: is not banned by the fleet")
                left = {id: since for id, since in self.ejections.items() if id != worker}
                return msgspec.structs.replace(self, ejections=left)
            case LeastRelease(release):
                if not release or any(part < 0 for part in release):
                    raise PlanError(f"release {release}: must be numbers, as 1.4.0")
                return msgspec.structs.replace(self, least_release=release)


def chained(before: bytes, version: int, change: Change | None) -> bytes:
    """The digest of a version."""
    return blake3(before + version.to_bytes(8, "big") + msgspec.msgpack.encode(change)).digest()


# ---- entries of the log


class LeaseTerms(Struct, frozen=True):
    """Times in s; `drift` is by how much of its time any clock may run fast or slow. The fleet has one set of
    them, or stewards would not agree when a lease is over."""

    lease: float = 4.0
    drift: float = 0.02
    catch_up: float = 5.0  # for which a holder may lag

    @property
    def longest(self) -> float:
        """For how long, on the leader's clock, a lease may hold at its node."""
        return self.lease * (1.0 + self.drift) / (1.0 - self.drift)


class Bootstrap(Struct, frozen=True, tag="found"):
    """The first entry of a fleet; `id` is random, so that two fleets are told apart."""

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
    """Withdraw a version, if it is not released."""

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
    alone: str
    have: int
    digest: bytes
    time: float


class LeaseEnded(Struct, frozen=True, tag="parted"):
    """A lease has expired or was released."""

    node: str
    boot: str
    fencing_token: int = msgspec.field(name="fence")
    why: str
    time: float


class AuditRecorded(Struct, frozen=True, tag="noted"):
    """Lines of a process's audit log were received."""

    node: str
    boot: str
    lines: tuple[Line, ...]
    final: int
    time: float


Item = Bootstrap | AgreeChange | WithdrawVersion | Release | LeaseStarted | LeaseEnded | AuditRecorded


class Holder(Struct):
    """A node process that holds a lease, by the record."""

    node: str
    boot: str
    site: str
    release: tuple[int, ...]
    alone: str
    fencing_token: int = msgspec.field(name="fence")
    joined: float  # Unix s

    @property
    def key(self) -> str:
        return f"{self.node}#{self.boot}"


class Record(Struct):
    """The replicated state machine: only `apply` changes it, and it is deterministic."""

    fleet: str = ""
    terms: LeaseTerms = LeaseTerms()
    released: Plan = Plan()
    latest: Plan = Plan()  # with all that is agreed
    changes: list[AgreedVersion] = []  # the released ones that are kept, then those that are not released
    release_times: dict[int, float] = {}
    holders: dict[str, Holder] = {}
    ids: dict[str, int] = {}  # of changes: their version
    accounts: dict[str, ProcessAudit] = {}  # process: what it did, as far as was heard

    @property
    def waiting(self) -> list[AgreedVersion]:
        """Agreed and not released."""
        return [agreed for agreed in self.changes if agreed.version > self.released.version]

    def find(self, version: int) -> AgreedVersion | None:
        first = self.changes[0].version if self.changes else 0
        at = version - first
        return self.changes[at] if self.changes and 0 <= at < len(self.changes) else None

    def digest_of(self, version: int) -> bytes | None:
        """None where that version is not kept."""
        if version == self.released.version:
            return self.released.digest
        found = self.find(version)
        return found.digest if found is not None else None

    def apply(self, index: int, item: Item) -> str:
        """Apply a committed entry; return an empty text, or why the entry changes nothing."""
        match item:
            case Bootstrap(terms, id):
                self.terms, self.fleet = terms, id
                return ""
            case AgreeChange():
                return self._adopt(item)
            case WithdrawVersion():
                return self._void(item)
            case Release(version, time):
                if version != self.released.version + 1 or self.find(version) is None:
                    return f"version {version} is not the next one"
                found = self.find(version)
                assert found is not None
                self.released = self.released.after(found)
                self.release_times[version] = time
                while len(self.changes) - len(self.waiting) > KEPT_CHANGES:
                    self.release_times.pop(self.changes.pop(0).version, None)
                return ""
            case LeaseStarted():
                digest = self.digest_of(item.have)
                if item.have < self.released.version - 1 or digest != item.digest:
                    return f"{item.node} is at version {item.have}, {self.released.version} is released"
                holder = Holder(
                    item.node, item.boot, item.site, item.release, item.alone, index, item.time
                )  # fmt: skip
                self.holders[holder.key] = holder
                self.accounts.setdefault(holder.key, ProcessAudit(item.node, item.boot)).granted = index
                return ""
            case LeaseEnded(node, boot, fencing_token, why, time):
                holder_ = self.holders.get(f"{node}#{boot}")
                if holder_ is None or holder_.fencing_token != fencing_token:
                    return f"{node} does not hold fence {fencing_token}"
                del self.holders[holder_.key]
                self.accounts.setdefault(holder_.key, ProcessAudit(node, boot)).part(fencing_token, time, why)
                return ""
            case AuditRecorded(node, boot, lines, final, time):
                key = f"{node}#{boot}"
                account = self.accounts.setdefault(key, ProcessAudit(node, boot))
                account.take(lines, final)
                self._forget(time - KEPT_FOR)
                return ""

    def _forget(self, before: float) -> None:
        """What is too old, and processes of which nothing is left."""
        for key, account in list(self.accounts.items()):
            if account.lines and account.lines[0].at < before:
                account.forget(before)
            ended = account.let_go[-1][1] if account.let_go else 0.0  # a lease of which nothing was told
            if not account.lines and key not in self.holders and ended < before:
                del self.accounts[key]

    def _adopt(self, item: AgreeChange) -> str:
        if item.id in self.ids:
            return ""
        version, before = self.latest.version + 1, self.latest.digest
        agreed = AgreedVersion(
            version, item.id, item.author, item.reason, item.time, item.change,
            chained(before, version, item.change),
        )  # fmt: skip
        try:
            self.latest = self.latest.after(agreed)
        except PlanError as error:
            return str(error)
        self.changes.append(agreed)
        self.ids[item.id] = version
        while len(self.ids) > KEPT_IDS:
            del self.ids[next(iter(self.ids))]
        return ""

    def _void(self, item: WithdrawVersion) -> str:
        if item.version <= self.released.version:
            return f"version {item.version} is released; make another change that takes it back"
        if self.find(item.version) is None:
            return f"there is no version {item.version}; the last one is {self.latest.version}"
        plan, changes = self.released, [a for a in self.changes if a.version <= self.released.version]
        for agreed in self.waiting:
            change, withdrawn = agreed.change, agreed.withdrawn
            if agreed.version == item.version:
                change, withdrawn = None, f"{item.author}: {item.reason}"
            digest = chained(plan.digest, agreed.version, change)
            again = msgspec.structs.replace(agreed, change=change, digest=digest, withdrawn=withdrawn)
            try:
                plan = plan.after(again)
            except PlanError as error:
                return f"version {agreed.version} rests on it: {error}"
            changes.append(again)
        self.latest, self.changes = plan, changes
        return ""

    def since(self, version: int, digest: bytes) -> Iterable[AgreedVersion] | None:
        """What follows that version; None where that is not kept, or where it is not ours."""
        if self.digest_of(version) != digest and not (version == 0 and not digest):
            return None
        kept = [agreed for agreed in self.changes if agreed.version > version]
        whole = len(kept) == self.latest.version - version
        return kept if whole else None


_encoder = msgspec.msgpack.Encoder()
_items = msgspec.msgpack.Decoder(Item)
_records = msgspec.msgpack.Decoder(Record)


def item_bytes(item: Item) -> bytes:
    return _encoder.encode(item)


def item_from(data: bytes) -> Item:
    return _items.decode(data)


def record_bytes(record: Record) -> bytes:
    return _encoder.encode(record)


def record_from(data: bytes) -> Record:
    return _records.decode(data) if data else Record()
