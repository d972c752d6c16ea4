"""A node's client of the fleet's record, on sockets: a `LeaseHolder` with its connection and its files.

The node supplies the validation of a plan, a callback for a new plan, and its registry of providers. It calls
`admission_delay` before it accepts an invocation: the lease is checked there, in the same turn of the event
loop in which the invocation is accepted. What must survive a restart is in `fleet.folder`, if set
(node_folder.py): the audit log of each process, and the plan last applied, with which a node serves that
starts while no server can be reached.
"""

from __future__ import annotations

import secrets
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import structlog
from msgspec import Struct

from bitternpath import __version__
from bitternpath.balancer.config.operator import Fleet
from bitternpath.balancer.config.platform import Address
from bitternpath.balancer.core.endpoint_registry import BY_OPERATOR, EndpointRegistry
from bitternpath.balancer.fleet import audit, clock
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.balancer.fleet.connection import FleetConnection
from bitternpath.balancer.fleet.consensus_server import CONNECT_TIMEOUT, server_addresses
from bitternpath.balancer.fleet.lease_holder import LeaseHolder, ProcessIdentity
from bitternpath.balancer.fleet.node_folder import NodeFolder
from bitternpath.net.sockets import dial

log = structlog.get_logger(part="record_client")

BY_FLEET = "fleet"  # marks ejections by the fleet's plan
NO_LEASE = 0  # fencing token of what is done without a lease


class ServiceSpan(Struct):
    """Counts invocations accepted under one version and fencing token, or without a lease."""

    version: int
    fencing_token: int
    first: float = 0.0  # Unix s
    last: float = 0.0
    accepted: Counter[str] = msgspec.field(default_factory=Counter)  # by job class

    def detail(self) -> str:
        return msgspec.json.encode(
            {"first": round(self.first, 3), "last": round(self.last, 3), "taken": dict(self.accepted)}
        ).decode()


def parse_release(version: str) -> tuple[int, ...]:
    """Return the leading numbers of a version."""
    numbers = []
    for part in version.split("."):
        if not part.isdigit():
            break
        numbers.append(int(part))
    return tuple(numbers)


class RecordClient:
    """The fleet's client in one node process."""

    def __init__(
        self,
        reactor: Any,
        fleet: Fleet,
        node: str,
        site: str,
        registry: EndpointRegistry,
        validate: Callable[[p.Plan], str],
        on_plan_change: Callable[[p.Plan], None],
        retry_delay: Callable[[str], float],
    ) -> None:
        self.reactor, self.fleet, self.registry, self.on_plan_change, self.retry_delay = (
            reactor,
            fleet,
            registry,
            on_plan_change,
            retry_delay,
        )
        self.servers: dict[str, Address] = server_addresses(fleet)
        identity = ProcessIdentity(
            node, secrets.token_hex(4), fleet.site or site, parse_release(__version__), fleet.alone
        )
        self.holder = LeaseHolder(
            identity, list(self.servers), Random(), clock.elapsed(), time.time, validate
        )
        self.connection: FleetConnection | None = None
        self.fleet_id = ""  # of the first fleet that granted a lease; empty before
        self._timer: Any = None
        self.service_span = ServiceSpan(0, NO_LEASE)
        registry.on_ejection_change = self._ejection_changed
        self.folder = self._open_folder(Path(fleet.folder)) if fleet.folder else None

    # ---- queries of the node

    def admission_delay(self, job_class: str) -> float | None:
        """Return None to accept an invocation, or the ms after which to retry it (`alone = "leave"`)."""
        holder = self.holder
        if holder.fencing_token != self.service_span.fencing_token or (
            holder.fencing_token and clock.elapsed() >= holder.expires_at
        ):
            self.process_effects()
        service_span = self.service_span
        if service_span.fencing_token == NO_LEASE and self.fleet.alone == "leave":
            return self.retry_delay(job_class)
        service_span.last = time.time()
        service_span.first = service_span.first or service_span.last
        service_span.accepted[job_class] += 1
        return None

    def accepts_clients(self) -> bool:
        """Whether clients may be sent to this node."""
        return self.fleet.alone == "serve" or self.holder.holds_lease(clock.elapsed())

    # ---- files

    def _open_folder(self, path: Path) -> NodeFolder | None:
        """Open the folder, and restore earlier audit logs and the last plan; errors do not stop the node."""
        holder = self.holder
        try:
            folder = NodeFolder(self.reactor, path, holder.identity.boot, self._audit_written)
            holder.earlier_audit_logs += folder.older()
        except OSError as error:
            log.error("audit_log_open_failed", folder=str(path), why=error)
            return None
        holder.audit_log.written_upto = 0
        plan = folder.plan()
        if plan is not None and (error_text := holder.validate(plan)):
            log.warning("last_plan_rejected", version=plan.version, why=error_text)
        elif plan is not None:
            holder.plan = holder.validated_plan = plan
            self.service_span.version = plan.version
        return folder

    def _audit_written(self, upto: int | None) -> None:
        self.holder.audit_written(clock.elapsed(), upto)
        self.process_effects()

    def _write_to_folder(self, plan: p.Plan | None = None) -> None:
        """Queue new audit entries and the plan, in order; entries are sent only once they are on file."""
        audit_log = self.holder.audit_log
        entries, audit_log.fresh = audit_log.fresh, []
        if self.folder is not None and (entries or plan is not None):
            self.folder.write(entries, plan)

    # ---- effects

    def start(self) -> None:
        """Apply the plan last on file, and request a lease."""
        if self.holder.plan.version:
            self._apply_plan(self.holder.plan)
        self.process_effects()

    def process_effects(self) -> None:
        """Carry out the holder's effects in order: audit entries to file, then actions, then messages."""
        holder, now = self.holder, clock.elapsed()
        fencing_token = holder.fencing_token if holder.holds_lease(now) else NO_LEASE
        if (holder.plan.version, fencing_token) != (
            self.service_span.version,
            self.service_span.fencing_token,
        ):
            self._start_service_span(fencing_token)
        self._write_to_folder()
        holder.events.clear()
        messages, holder.outgoing = holder.outgoing, []
        for message in messages:
            if self.connection is not None:
                self.connection.send(message)
        if holder.disconnect:
            holder.disconnect = False
            connection, self.connection = self.connection, None
            if connection is not None:
                connection.close()
        if holder.server_to_dial is not None:
            server_name, holder.server_to_dial = holder.server_to_dial, None
            self._connect(server_name)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if holder.next_timeout_at != float("inf"):
            self._timer = self.reactor.callLater(max(holder.next_timeout_at - now, 0.0), self._tick)

    def _start_service_span(self, fencing_token: int) -> None:
        """Begin a new span: the version has changed, or a lease was granted or has ended."""
        plan, version_before = self.holder.plan, self.service_span.version
        self._close_service_span()
        self.service_span = ServiceSpan(plan.version, fencing_token)
        changed = plan.version != version_before
        self._write_to_folder(plan if changed else None)
        if changed:
            self._apply_plan(plan)
        log.info(
            "serving_without_lease" if fencing_token == NO_LEASE else "serving_under_lease",
            version=plan.version,
            fencing_token=fencing_token,
        )

    def _close_service_span(self) -> None:
        service_span = self.service_span
        if service_span.accepted:
            self.holder.audit_log.add(
                time.time(),
                audit.INVOCATIONS_SERVED,
                service_span.version,
                service_span.fencing_token,
                service_span.detail(),
            )
            service_span.accepted = Counter()

    def _apply_plan(self, plan: p.Plan) -> None:
        for worker in plan.ejections:
            self.registry.eject(worker, time.time() * 1000.0, BY_FLEET)
        for worker in self.registry.ejected_by(BY_FLEET):
            if worker not in plan.ejections:
                self.registry.reinstate(worker, time.time() * 1000.0, BY_FLEET)
        self.on_plan_change(plan)

    def _ejection_changed(self, worker: str, by: str, ejected: bool) -> None:
        """Record that an operator ejected or reinstated a worker at this node's own console."""
        if by == BY_OPERATOR:
            self.holder.record_action(audit.WORKER_EJECTED if ejected else audit.WORKER_REINSTATED, worker)
            self._write_to_folder()

    def stop(self) -> None:
        """Release the lease: the node ends."""
        self._close_service_span()
        self.holder.shut_down(clock.elapsed())
        self.process_effects()

    # ---- the connection

    def _tick(self) -> None:
        self.holder.tick(clock.elapsed())
        self.process_effects()

    def _connect(self, server_name: str) -> None:
        identity = self.holder.identity
        hello = m.Hello(m.PROTOCOL_VERSION, self.fleet_id, "agent", f"{identity.node}#{identity.boot}")
        connection = FleetConnection(self.reactor, hello, self._receive, self._lost)
        connection.server_name = server_name
        self.connection = connection
        connecting = dial(self.reactor, *self.servers[server_name], CONNECT_TIMEOUT, connection)
        connecting.addErrback(lambda failure: self._lost(connection))

    def _receive(self, connection: FleetConnection, message: m.FleetMessage) -> None:
        if connection is not self.connection:
            return
        now = clock.elapsed()
        if isinstance(message, m.Hello):
            self.holder.connection_made(now, connection.server_name)
        elif isinstance(
            message,
            m.Lease
            | m.LeaseRefused
            | m.VersionChanges
            | m.PlanSnapshot
            | m.VersionUpdate
            | m.AuditAcknowledged,
        ):
            if isinstance(message, m.Lease) and not self.fleet_id and connection.peer is not None:
                self.fleet_id = connection.peer.fleet
            refusal_before = self.holder.refusal
            self.holder.receive(now, message)
            if isinstance(message, m.LeaseRefused) and message.reason != refusal_before:
                log.warning("lease_refused", server=connection.server_name, why=message.reason)
        else:
            connection.abort(f"unexpected message from a consensus server: {type(message).__name__}")
        self.process_effects()

    def _lost(self, connection: FleetConnection) -> None:
        if connection is self.connection:
            self.connection = None
            self.holder.connection_lost(clock.elapsed())
            self.process_effects()
