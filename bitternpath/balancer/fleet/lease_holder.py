"""A node process's side of the lease protocol: its lease and the versions it has. Does no I/O.

    no lease --lease granted, and the released plan is validated--> lease held --expiry or end--> no lease

- A lease expires `length` seconds after this process *sent* the request that renewed it, by its own clock.
  This needs no message and no timer: the caller checks `holds_lease` before each use, in the same turn.
- A change is *validated* by passing the plan with it to `validate`, which the node supplies. A change that
  fails is reported with the reason, and blocks all later ones until it is withdrawn.
- A version is *applied* when a lease names it as released and its digest equals that of the validated plan.
- A lease that has expired is never resumed: the next one has a new fencing token.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from msgspec import Struct

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p

RENEWAL_SHARE = 1 / 3  # fraction of a lease after which it is renewed
FIRST_RENEWAL_INTERVAL = 1.0  # s between requests until the first lease tells its length
REPLY_TIMEOUT = 1.0  # s without a reply after which another server is tried
MAX_LOGS_PER_REPORT = 4  # audit logs, the process's own or earlier ones, sent at a time
# s before the next server is tried: doubled each time, with a random factor from 0.5 to 1.5
FIRST_BACKOFF, MAX_BACKOFF = 0.2, 3.0


class ProcessIdentity(Struct, frozen=True):
    """Identifies a process of a node; `boot` is random, `without_lease` is "serve" or "leave"."""

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
    """The lease protocol of one process.

    The caller carries out what is in `outgoing`, `events`, `server_to_dial` and `disconnect`, and clears it.
    """

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
        # of earlier processes of this node, not acknowledged yet
        self.earlier_audit_logs: list[audit.AuditLog] = []
        self.plan = p.Plan()  # the version that is applied
        self.validated_plan = p.Plan()  # the last version that passed validation
        self._pending_plans: list[p.Plan] = []  # validated and not applied yet
        self.rejection = ""
        self.refusal = "no server has replied yet"  # why there is no lease, by the last reply
        self.fencing_token, self.expires_at, self.lease_length = 0, now, 0.0
        self._last_expired_token = 0  # of the last lease that expired
        self.latest_version = 0  # the highest version known to exist
        self.outgoing: list[m.ClientMessage] = []
        self.events: list[ProcessEvent] = []
        self.servers = servers[:]
        self.random.shuffle(self.servers)
        self.connected_server = ""  # empty: none
        self.ended = False
        self._release_message: m.LeaseReleased | None = None  # sent once the audit log is on file
        self.disconnect = False  # whether to close the connection or to cancel connecting
        self.server_to_dial: str | None = self.servers[0]  # the server to connect to now
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
        """Record an action of the node in its audit log."""
        self.audit_log.add(self.wall_clock(), kind, self.plan.version, self.fencing_token, detail)

    # ---- input

    @property
    def next_timeout_at(self) -> float:
        """The time at which `tick` must be called next."""
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
        """Handle that the connection to `server` is established."""
        self.connected_server = server
        self._renew(now)

    def connection_lost(self, now: float) -> None:
        """Handle a failed or silent connection: try another server after a backoff."""
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
        """The applied plan, and the validated ones that may be applied at any moment."""
        return [self.plan, *self._pending_plans]

    def shut_down(self, now: float) -> None:
        """Release the lease; the server is notified once the audit log is on file."""
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
        """Handle that entries up to number `upto` are on file; None: there is no file to wait for."""
        self.audit_log.written_upto = upto
        if self.ended:
            self._send_final_messages()
        elif self.connected_server:
            self._send_audit_entries()

    def _send_final_messages(self) -> None:
        """Send the last audit entries and release the lease, if all entries are on file."""
        if self.audit_log.written_upto not in (None, self.audit_log.number):
            return
        if self.connected_server:
            self._send_audit_entries()
            if self._release_message is not None:
                self.outgoing.append(self._release_message)
        self.connected_server, self.disconnect = "", True

    # ---- requests

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
        """Renew at `at` if no earlier renewal is planned.

        The request for the first lease was sent before its length was known: the interval after it may be
        longer than that lease.
        """
        if self.connected_server:
            self._renew_at = min(self._renew_at, at)

    def _send_audit_entries(self) -> None:
        """Send unacknowledged audit entries, those of the oldest process first."""
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
                self._send_audit_entries()  # more entries remain

    def _reply_received(self, now: float) -> None:
        self._reply_due_at = float("inf")
        self._backoff = FIRST_BACKOFF

    def _handle_lease(self, now: float, lease: m.Lease) -> None:
        self.holds_lease(now)
        # An expired lease is not resumed, even if a renewal was granted in time.
        outdated = lease.fencing_token < self.fencing_token or lease.fencing_token <= self._last_expired_token
        if outdated or lease.sent > now or lease.sent + lease.length <= now:
            return
        # A new lease can also arrive while one is held, if two requests were under way.
        starts = lease.fencing_token != self.fencing_token
        version_before = self.plan.version
        applied = self._apply_released_version(lease)
        if starts and not applied:
            return  # the released plan is no longer at hand: request again
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
        """Apply the released version if its validated plan is at hand; return whether it is applied now."""
        candidates = [plan for plan in self._pending_plans if plan.version == lease.released]
        if candidates and candidates[0].digest == lease.digest:
            self.plan = candidates[0]
            self._pending_plans = [plan for plan in self._pending_plans if plan.version > lease.released]
        return (self.plan.version, self.plan.digest) == (lease.released, lease.digest)

    # ---- validation

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
        """Replace the plan by the released one: the servers no longer retain the changes between."""
        self.latest_version = max(self.latest_version, plan.version)
        if plan.version < self.plan.version:
            return  # outdated
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
