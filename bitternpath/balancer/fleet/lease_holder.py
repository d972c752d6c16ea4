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
REPLY_TIMEOUT = 1.0  # s after which another steward is tried
MAX_LOGS_PER_REPORT = 4  # processes of which lines are sent at a time
FIRST_BACKOFF, MAX_BACKOFF = (
    0.2,
    3.0,
)  # s before another is tried, doubled each time and drawn from half on


class ProcessIdentity(Struct, frozen=True):
    """A process of a node."""

    node: str
    boot: str
    site: str
    release: tuple[int, ...]
    without_lease: str = "serve"


class ProcessEvent(Struct, frozen=True):
    """A change of the process's lease or version; `at` in s on its own clock."""

    at: float
    kind: str  # joined, acts, lost, left
    version: int
    fencing_token: int


class LeaseHolder:
    """One process's side. What it wants done is in `sends`, `acts` and `dial` until it is taken."""

    def __init__(
        self,
        identity: ProcessIdentity,
        servers: list[str],
        random: Random,
        now: float,
        wall_clock: Callable[[], float],
        validate: Callable[[p.Plan], str],
    ) -> None:
        self.identity, self.random, self.wall_clock, self.validate = identity, random, wall_clock, validate
        self.audit_log = audit.AuditLog(identity.boot)
        self.earlier_audit_logs: list[
            audit.AuditLog
        ] = []  # of processes of this node before, not acknowledged yet
        self.plan = p.Plan()  # acted on
        self.validated_plan = p.Plan()  # the last one that was checked whole
        self._pending_plans: list[p.Plan] = []  # taken and not acted on
        self.rejection = ""
        self.refusal = "no steward has answered yet"  # why there is no lease, as last told
        self.fencing_token, self.expires_at, self.lease_length = 0, now, 0.0
        self._last_expired_token = 0  # the last fence of which the lease was over
        self.latest_version = 0  # the last version heard of
        self.outgoing: list[m.ClientMessage] = []
        self.events: list[ProcessEvent] = []
        self.servers = servers[:]
        self.random.shuffle(self.servers)
        self.connected_server = ""  # the steward spoken to
        self.ended = False
        self._release_message: m.LeaseReleased | None = None  # the last word
        self.disconnect = False  # the connection, or the dialling, is given up
        self.server_to_dial: str | None = self.servers[0]  # to be connected to now
        self._attempts = 0
        self._backoff = FIRST_BACKOFF
        self._dial_at = float("inf")
        self._renew_at = float("inf")
        self._reply_due_at = float("inf")

    # ---- the lease

    def holds_lease(self, now: float) -> bool:
        """Whether this process holds a lease at `now`."""
        if self.fencing_token and now >= self.expires_at:
            self._add_event(self.expires_at, audit.LEASE_EXPIRED)
            self._last_expired_token, self.fencing_token = self.fencing_token, 0
        return bool(self.fencing_token)

    def _add_event(self, now: float, kind: str, detail: str = "") -> None:
        self.events.append(ProcessEvent(now, kind, self.plan.version, self.fencing_token))
        self.audit_log.add(self.wall_clock(), kind, self.plan.version, self.fencing_token, detail)

    def record_action(self, kind: str, detail: str) -> None:
        """Something that the node did by itself."""
        self.audit_log.add(self.wall_clock(), kind, self.plan.version, self.fencing_token, detail)

    # ---- inputs

    @property
    def next_timeout_at(self) -> float:
        """When `tick` is wanted next."""
        return min(
            self._dial_at,
            self._renew_at,
            self._reply_due_at,
            self.expires_at if self.fencing_token else float("inf"),
        )

    def tick(self, now: float) -> None:
        self.holds_lease(now)
        if now >= self._dial_at:
            self._dial_at = float("inf")
            self._attempts += 1
            self.server_to_dial = self.servers[self._attempts % len(self.servers)]
        if now >= self._reply_due_at:
            self.connection_lost(now)
        elif self.connected_server and now >= self._renew_at:
            self._renew(now)

    def connection_made(self, now: float, server: str) -> None:
        """The connection that was dialled is there."""
        self.connected_server = server
        self._renew(now)

    def connection_lost(self, now: float) -> None:
        """There is no connection, or nobody answers on it: another steward is tried after a while."""
        self.connected_server, self.server_to_dial, self.disconnect = "", None, True
        self._renew_at = self._reply_due_at = float("inf")
        if self.ended:
            return
        self._dial_at = now + self._backoff * (0.5 + self.random.random())
        self._backoff = min(2 * self._backoff, MAX_BACKOFF)

    def receive(self, now: float, message: m.ForwardableReply) -> None:
        if self.ended:
            return
        match message:
            case m.Lease():
                self._reply_received(now)
                self._handle_lease(now, message)
            case m.LeaseRefused(_, reason, elsewhere):
                self.refusal = reason
                if elsewhere:
                    self.connection_lost(now)
                else:
                    self._reply_received(now)
            case m.VersionChanges(changes):
                self._validate_changes(now, changes)
            case m.PlanSnapshot(plan, changes):
                self._validate_snapshot(now, plan, changes)
            case m.AuditAcknowledged(boot, upto):
                self._audit_acknowledged(boot, upto)
            case m.VersionUpdate(_, latest):
                self.latest_version = max(self.latest_version, latest)
                self._renew(now)

    @property
    def current_plans(self) -> list[p.Plan]:
        """The plan that is acted on, and those that were taken and may be acted on any moment."""
        return [self.plan, *self._pending_plans]

    def shut_down(self, now: float) -> None:
        """Release the lease; the servers are notified once the audit log is on file."""
        if self.holds_lease(now):
            self._add_event(now, audit.LEASE_RELEASED)
            self._release_message = m.LeaseReleased(
                self.identity.node, self.identity.boot, self.fencing_token
            )
            self.fencing_token = 0
        self.ended = True
        self._renew_at = self._dial_at = self._reply_due_at = float("inf")
        self._send_final_messages()

    def audit_written(self, now: float, upto: int | None) -> None:
        """Lines up to that one are on file; None: no file is waited for any more."""
        self.audit_log.written_upto = upto
        if self.ended:
            self._send_final_messages()
        elif self.connected_server:
            self._send_audit_entries()

    def _send_final_messages(self) -> None:
        """The last words, where all is on file."""
        if self.audit_log.written_upto not in (None, self.audit_log.number):
            return
        if self.connected_server:
            self._send_audit_entries()
            if self._release_message is not None:
                self.outgoing.append(self._release_message)
        self.connected_server, self.disconnect = "", True

    # ---- asking

    def _renew(self, now: float) -> None:
        identity = self.identity
        fencing_token = self.fencing_token if self.holds_lease(now) else 0
        self.outgoing.append(
            m.RenewLease(
                identity.node, identity.boot, identity.site, identity.release, identity.without_lease,
                now, fencing_token, self.plan.version, self.validated_plan.version,
                self.validated_plan.digest, self.rejection,
            )
        )  # fmt: skip
        self._send_audit_entries()
        self._renew_at = now + (
            self.lease_length * RENEWAL_SHARE if self.lease_length else FIRST_RENEWAL_INTERVAL
        )
        self._reply_due_at = min(self._reply_due_at, now + REPLY_TIMEOUT)

    def _renew_by(self, at: float) -> None:
        """Renew at `at` if nothing was planned sooner.

        The request for the first lease was sent before its length was known: the interval after it may be
        longer than that lease.
        """
        if self.connected_server:
            self._renew_at = min(self._renew_at, at)

    def _send_audit_entries(self) -> None:
        """What was done and is not acknowledged, the oldest process first."""
        for audit_log in [*self.earlier_audit_logs, self.audit_log][:MAX_LOGS_PER_REPORT]:
            entries = audit_log.next_batch
            if entries or audit_log is not self.audit_log:
                final_count = audit_log.number if audit_log.ended else 0
                self.outgoing.append(m.AuditEntries(self.identity.node, audit_log.boot, entries, final_count))

    def _audit_acknowledged(self, boot: str, upto: int) -> None:
        for audit_log in [*self.earlier_audit_logs, self.audit_log]:
            if audit_log.boot != boot:
                continue
            count_before = len(audit_log.unacknowledged)
            audit_log.acknowledge(upto)
            if not audit_log.unacknowledged and audit_log in self.earlier_audit_logs:
                self.earlier_audit_logs.remove(audit_log)
            if len(audit_log.unacknowledged) < count_before and (
                audit_log.unacknowledged or self.earlier_audit_logs
            ):
                self._send_audit_entries()  # there is more

    def _reply_received(self, now: float) -> None:
        self._reply_due_at = float("inf")
        self._backoff = FIRST_BACKOFF

    def _handle_lease(self, now: float, lease: m.Lease) -> None:
        self.holds_lease(now)
        outdated = (
            lease.fencing_token < self.fencing_token or lease.fencing_token <= self._last_expired_token
        )  # that one is over, renewed or not
        if outdated or lease.sent > now or lease.sent + lease.length <= now:
            return
        starts = (
            lease.fencing_token != self.fencing_token
        )  # while one is in hand, too: two requests to join were on the way
        version_before = self.plan.version
        applied = self._apply_released_version(lease)
        if starts and not applied:
            return  # what is released is not in hand any more: ask again
        self.lease_length, self.refusal = lease.length, ""
        self.expires_at = max(self.expires_at, lease.sent + lease.length)
        self._renew_by(lease.sent + lease.length * RENEWAL_SHARE)
        if starts:
            self.fencing_token = lease.fencing_token
            self._add_event(now, audit.LEASE_STARTED)
        elif self.plan.version != version_before:
            self._add_event(now, audit.VERSION_APPLIED)
        if self.plan.version != version_before:
            self._renew(now)

    def _apply_released_version(self, lease: m.Lease) -> bool:
        """Act on what is released, where that very plan is in hand; whether it is acted on now."""
        candidates = [plan for plan in self._pending_plans if plan.version == lease.released]
        if candidates and candidates[0].digest == lease.digest:
            self.plan = candidates[0]
            self._pending_plans = [plan for plan in self._pending_plans if plan.version > lease.released]
        return (self.plan.version, self.plan.digest) == (lease.released, lease.digest)

    # ---- taking

    def _validate_changes(self, now: float, changes: tuple[p.AgreedVersion, ...]) -> None:
        plan_before, rejection_before = self.validated_plan, self.rejection
        for agreed in changes:
            self.latest_version = max(self.latest_version, agreed.version)
            if agreed.version <= self.validated_plan.version:
                continue
            try:
                plan = self.validated_plan.with_version(agreed)
                error_text = self.validate(plan)
            except p.PlanError as error:
                error_text = str(error)
            if error_text:
                self.rejection = f"version {agreed.version}: {error_text}"
                break
            self.rejection, self.validated_plan = "", plan
            self._pending_plans.append(plan)
        if self.rejection and self.rejection != rejection_before:
            self.record_action(audit.CHANGE_REJECTED, self.rejection)
        if (plan_before, rejection_before) != (self.validated_plan, self.rejection):
            self._renew_if_connected(now)

    def _validate_snapshot(self, now: float, plan: p.Plan, changes: tuple[p.AgreedVersion, ...]) -> None:
        """Replace the plan by the released one: the servers no longer keep the changes between."""
        self.latest_version = max(self.latest_version, plan.version)
        if plan.version < self.plan.version:
            return  # an old one
        if error_text := self.validate(plan):
            rejection_before, self.rejection = self.rejection, f"version {plan.version}: {error_text}"
            if rejection_before != self.rejection:
                self._renew_if_connected(now)
            return
        self._pending_plans = [plan] if plan.version > self.plan.version else []
        self.validated_plan, self.rejection = plan, ""
        self._validate_changes(now, changes)
        self._renew_if_connected(now)

    def _renew_if_connected(self, now: float) -> None:
        if self.connected_server:
            self._renew(now)
