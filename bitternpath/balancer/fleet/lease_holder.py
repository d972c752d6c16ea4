"""A node process's side of the lease protocol: its lease and the versions it has. Pure.

    no lease --lease granted, and the released plan is validated--> holds --expiry or end--> no lease

- A lease expires `length` seconds after this process *sent* the request that renewed it, by its own clock. No
  message or timer is needed for that: the caller checks `holds` first, in the same turn.
- A change is *taken* once the plan with it has passed `check`, the node's validation. A change that fails is
  reported with the reason, and so is every later one until it is withdrawn.
- A version is *applied* when a lease says that it is released and its digest equals that of the plan taken.
- A lease that has expired is never resumed: the next one has a new fencing token.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec import Struct

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p

RENEWAL_SHARE = 1 / 3  # of a lease, after which it is renewed
FIRST_RENEWAL_INTERVAL = 1.0  # s between requests while nobody has told how long a lease is
ANSWER_WITHIN = 1.0  # s after which another steward is tried
OLDER_AT_ONCE = 4  # processes of which lines are sent at a time
FIRST_BACKOFF, LONGEST_BACKOFF = (
    0.2,
    3.0,
)  # s before another is tried, doubled each time and drawn from half on


class ProcessIdentity(Struct, frozen=True):
    """A process of a node."""

    node: str
    boot: str
    site: str
    release: tuple[int, ...]
    alone: str = "serve"


class ProcessEvent(Struct, frozen=True):
    """A change of the process's lease or version; `at` in s on its own clock."""

    at: float
    what: str  # joined, acts, lost, left
    version: int
    fencing_token: int


class LeaseHolder:
    """One process's side. What it wants done is in `sends`, `acts` and `dial` until it is taken."""

    def __init__(
        self,
        who: ProcessIdentity,
        servers: list[str],
        random: Random,
        now: float,
        wall: Callable[[], float],
        check: Callable[[p.Plan], str],
    ) -> None:
        self.who, self.random, self.wall, self.check = who, random, wall, check
        self.audit_log = audit.AuditLog(who.boot)
        self.older: list[audit.AuditLog] = []  # of processes of this node before, not acknowledged yet
        self.plan = p.Plan()  # acted on
        self.taken = p.Plan()  # the last one that was checked whole
        self._next: list[p.Plan] = []  # taken and not acted on
        self.refuses = ""
        self.withheld = "no steward has answered yet"  # why there is no lease, as last told
        self.fencing_token, self.until, self.length = 0, now, 0.0
        self._lost = 0  # the last fence of which the lease was over
        self.latest = 0  # the last version heard of
        self.sends: list[m.ClientMessage] = []
        self.acts: list[ProcessEvent] = []
        self.servers = servers[:]
        self.random.shuffle(self.servers)
        self.connected = ""  # the steward spoken to
        self.ended = False
        self._parting: m.LeaseReleased | None = None  # the last word
        self.hang_up = False  # the connection, or the dialling, is given up
        self.dial: str | None = self.servers[0]  # to be connected to now
        self._tried = 0
        self._backoff = FIRST_BACKOFF
        self._dial_at = float("inf")
        self._renew_at = float("inf")
        self._answer_by = float("inf")

    # ---- the lease

    def holds(self, now: float) -> bool:
        """Whether this process holds a lease at `now`."""
        if self.fencing_token and now >= self.until:
            self._act(self.until, audit.LOST)
            self._lost, self.fencing_token = self.fencing_token, 0
        return bool(self.fencing_token)

    def _act(self, now: float, what: str, detail: str = "") -> None:
        self.acts.append(ProcessEvent(now, what, self.plan.version, self.fencing_token))
        self.audit_log.add(self.wall(), what, self.plan.version, self.fencing_token, detail)

    def note(self, what: str, detail: str) -> None:
        """Something that the node did by itself."""
        self.audit_log.add(self.wall(), what, self.plan.version, self.fencing_token, detail)

    # ---- inputs

    @property
    def alarm(self) -> float:
        """When `tick` is wanted next."""
        return min(
            self._dial_at, self._renew_at, self._answer_by, self.until if self.fencing_token else float("inf")
        )

    def tick(self, now: float) -> None:
        self.holds(now)
        if now >= self._dial_at:
            self._dial_at = float("inf")
            self._tried += 1
            self.dial = self.servers[self._tried % len(self.servers)]
        if now >= self._answer_by:
            self.lost(now)
        elif self.connected and now >= self._renew_at:
            self._renew(now)

    def up(self, now: float, server: str) -> None:
        """The connection that was dialled is there."""
        self.connected = server
        self._renew(now)

    def lost(self, now: float) -> None:
        """There is no connection, or nobody answers on it: another steward is tried after a while."""
        self.connected, self.dial, self.hang_up = "", None, True
        self._renew_at = self._answer_by = float("inf")
        if self.ended:
            return
        self._dial_at = now + self._backoff * (0.5 + self.random.random())
        self._backoff = min(2 * self._backoff, LONGEST_BACKOFF)

    def receive(self, now: float, message: m.ForwardableReply) -> None:
        if self.ended:
            return
        match message:
            case m.Lease():
                self._answered(now)
                self._lease(now, message)
            case m.LeaseRefused(_, why, elsewhere):
                self.withheld = why
                if elsewhere:
                    self.lost(now)
                else:
                    self._answered(now)
            case m.VersionChanges(changes):
                self._take_changes(now, changes)
            case m.PlanSnapshot(plan, changes):
                self._take_snapshot(now, plan, changes)
            case m.AuditAcknowledged(boot, upto):
                self._audit_acknowledged(boot, upto)
            case m.VersionUpdate(_, latest):
                self.latest = max(self.latest, latest)
                self._renew(now)

    @property
    def current_plans(self) -> list[p.Plan]:
        """The plan that is acted on, and those that were taken and may be acted on any moment."""
        return [self.plan, *self._next]

    def end(self, now: float) -> None:
        """Release the lease; the servers are notified once the audit log is on file."""
        if self.holds(now):
            self._act(now, audit.LEFT)
            self._parting = m.LeaseReleased(self.who.node, self.who.boot, self.fencing_token)
            self.fencing_token = 0
        self.ended = True
        self._renew_at = self._dial_at = self._answer_by = float("inf")
        self._leave()

    def wrote(self, now: float, upto: int | None) -> None:
        """Lines up to that one are on file; None: no file is waited for any more."""
        self.audit_log.written = upto
        if self.ended:
            self._leave()
        elif self.connected:
            self._report()

    def _leave(self) -> None:
        """The last words, where all is on file."""
        if self.audit_log.written not in (None, self.audit_log.number):
            return
        if self.connected:
            self._report()
            if self._parting is not None:
                self.sends.append(self._parting)
        self.connected, self.hang_up = "", True

    # ---- asking

    def _renew(self, now: float) -> None:
        who = self.who
        fencing_token = self.fencing_token if self.holds(now) else 0
        self.sends.append(
            m.RenewLease(
                who.node, who.boot, who.site, who.release, who.alone, now, fencing_token, self.plan.version,
                self.taken.version, self.taken.digest, self.refuses,
            )
        )  # fmt: skip
        self._report()
        self._renew_at = now + (self.length * RENEWAL_SHARE if self.length else FIRST_RENEWAL_INTERVAL)
        self._answer_by = min(self._answer_by, now + ANSWER_WITHIN)

    def _renew_by(self, at: float) -> None:
        """Renew at `at` if nothing was planned sooner.

        The request for the first lease was sent before its length was known: the interval after it may be
        longer than that lease.
        """
        if self.connected:
            self._renew_at = min(self._renew_at, at)

    def _report(self) -> None:
        """What was done and is not acknowledged, the oldest process first."""
        for audit_log in [*self.older, self.audit_log][:OLDER_AT_ONCE]:
            lines = audit_log.next
            if lines or audit_log is not self.audit_log:
                final = audit_log.number if audit_log.ended else 0
                self.sends.append(m.AuditLines(self.who.node, audit_log.boot, lines, final))

    def _audit_acknowledged(self, boot: str, upto: int) -> None:
        for audit_log in [*self.older, self.audit_log]:
            if audit_log.boot != boot:
                continue
            before = len(audit_log.unheard)
            audit_log.heard(upto)
            if not audit_log.unheard and audit_log in self.older:
                self.older.remove(audit_log)
            if len(audit_log.unheard) < before and (audit_log.unheard or self.older):
                self._report()  # there is more

    def _answered(self, now: float) -> None:
        self._answer_by = float("inf")
        self._backoff = FIRST_BACKOFF

    def _lease(self, now: float, lease: m.Lease) -> None:
        self.holds(now)
        old = (
            lease.fencing_token < self.fencing_token or lease.fencing_token <= self._lost
        )  # that one is over, renewed or not
        if old or lease.sent > now or lease.sent + lease.length <= now:
            return
        joins = (
            lease.fencing_token != self.fencing_token
        )  # while one is in hand, too: two requests to join were on the way
        before = self.plan.version
        current = self._advance(lease)
        if joins and not current:
            return  # what is released is not in hand any more: ask again
        self.length, self.withheld = lease.length, ""
        self.until = max(self.until, lease.sent + lease.length)
        self._renew_by(lease.sent + lease.length * RENEWAL_SHARE)
        if joins:
            self.fencing_token = lease.fencing_token
            self._act(now, audit.JOINED)
        elif self.plan.version != before:
            self._act(now, audit.ACTS)
        if self.plan.version != before:
            self._renew(now)

    def _advance(self, lease: m.Lease) -> bool:
        """Act on what is released, where that very plan is in hand; whether it is acted on now."""
        ahead = [plan for plan in self._next if plan.version == lease.released]
        if ahead and ahead[0].digest == lease.digest:
            self.plan = ahead[0]
            self._next = [plan for plan in self._next if plan.version > lease.released]
        return (self.plan.version, self.plan.digest) == (lease.released, lease.digest)

    # ---- taking

    def _take_changes(self, now: float, changes: tuple[p.AgreedVersion, ...]) -> None:
        had, refused = self.taken, self.refuses
        for agreed in changes:
            self.latest = max(self.latest, agreed.version)
            if agreed.version <= self.taken.version:
                continue
            try:
                plan = self.taken.after(agreed)
                why = self.check(plan)
            except p.PlanError as error:
                why = str(error)
            if why:
                self.refuses = f"version {agreed.version}: {why}"
                break
            self.refuses, self.taken = "", plan
            self._next.append(plan)
        if self.refuses and self.refuses != refused:
            self.note(audit.REFUSES, self.refuses)
        if (had, refused) != (self.taken, self.refuses):
            self._renew_if_connected(now)

    def _take_snapshot(self, now: float, plan: p.Plan, changes: tuple[p.AgreedVersion, ...]) -> None:
        """Replace the plan by the released one: the servers no longer keep the changes between."""
        self.latest = max(self.latest, plan.version)
        if plan.version < self.plan.version:
            return  # an old one
        if why := self.check(plan):
            again, self.refuses = self.refuses, f"version {plan.version}: {why}"
            if again != self.refuses:
                self._renew_if_connected(now)
            return
        self._next = [plan] if plan.version > self.plan.version else []
        self.taken, self.refuses = plan, ""
        self._take_changes(now, changes)
        self._renew_if_connected(now)

    def _renew_if_connected(self, now: float) -> None:
        if self.connected:
            self._renew(now)
