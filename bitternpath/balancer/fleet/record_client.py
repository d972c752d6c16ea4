"""A node's client of the fleet's record, on sockets: a `LeaseHolder` with its connection and its files.

The node supplies a check of a plan, a function that applies one, and its roster of providers. It calls `gate`
before it accepts an invocation; the lease is checked there, in the same turn of the event loop in which the
invocation is accepted. What must survive a restart is in `fleet.folder`, if set (node_folder.py): the audit
log of each process, and the plan last applied, with which a node serves that starts while no server can be
reached.
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
from bitternpath.balancer.fleet.consensus_server import DIAL_WITHIN, server_addresses
from bitternpath.balancer.fleet.lease_holder import LeaseHolder, ProcessIdentity
from bitternpath.balancer.fleet.node_folder import Folder
from bitternpath.net.sockets import dial

log = structlog.get_logger(part="record_client")

BY_FLEET = "fleet"  # who takes providers out
NO_LEASE = 0  # the fence of what is done without a lease


class ServiceSpan(Struct):
    """Invocations accepted under one version and fencing token, or without a lease."""

    version: int
    fencing_token: int
    first: float = 0.0  # Unix s
    last: float = 0.0
    taken: Counter[str] = msgspec.field(default_factory=Counter)  # by class

    def detail(self) -> str:
        return msgspec.json.encode(
            {"first": round(self.first, 3), "last": round(self.last, 3), "taken": dict(self.taken)}
        ).decode()


def release_of(version: str) -> tuple[int, ...]:
    """The numbers that a version begins with."""
    numbers = []
    for part in version.split("."):
        if not part.isdigit():
            break
        numbers.append(int(part))
    return tuple(numbers)


class RecordClient:
    """One process of a node."""

    def __init__(
        self,
        reactor: Any,
        fleet: Fleet,
        node: str,
        site: str,
        registry: EndpointRegistry,
        check: Callable[[p.Plan], str],
        act: Callable[[p.Plan], None],
        advice: Callable[[str], float],
    ) -> None:
        self.reactor, self.fleet, self.registry, self.act, self.advice = reactor, fleet, registry, act, advice
        self.servers: dict[str, Address] = server_addresses(fleet)
        who = ProcessIdentity(
            node, secrets.token_hex(4), fleet.site or site, release_of(__version__), fleet.alone
        )
        self.holder = LeaseHolder(who, list(self.servers), Random(), clock.elapsed(), time.time, check)
        self.connection: FleetConnection | None = None
        self.fleet_id = ""  # of the first fleet that granted a lease
        self._alarm: Any = None
        self.service_span = ServiceSpan(0, NO_LEASE)
        registry.on_ejection_change = self._noted
        self.folder = self._open(Path(fleet.folder)) if fleet.folder else None

    # ---- what the node asks

    def gate(self, job_class: str) -> float | None:
        """Return None to accept an invocation, or the ms after which to retry it (`alone = "leave"`)."""
        holder = self.holder
        if holder.fencing_token != self.service_span.fencing_token or (
            holder.fencing_token and clock.elapsed() >= holder.until
        ):
            self.settle()
        service_span = self.service_span
        if service_span.fencing_token == NO_LEASE and self.fleet.alone == "leave":
            return self.advice(job_class)
        service_span.last = time.time()
        service_span.first = service_span.first or service_span.last
        service_span.taken[job_class] += 1
        return None

    def welcome(self) -> bool:
        """Whether consumers may be sent here."""
        return self.fleet.alone == "serve" or self.holder.holds(clock.elapsed())

    # ---- files

    def _open(self, path: Path) -> Folder | None:
        """What earlier processes did and had agreed. Nothing of it keeps a node from starting."""
        holder = self.holder
        try:
            folder = Folder(self.reactor, path, holder.who.boot, self._written)
            holder.older += folder.older()
        except OSError as error:
            log.error("audit_log_open_failed", folder=str(path), why=error)
            return None
        holder.audit_log.written = 0
        plan = folder.plan()
        if plan is not None and (why := holder.check(plan)):
            log.warning("last_plan_rejected", version=plan.version, why=why)
        elif plan is not None:
            holder.plan = holder.taken = plan
            self.service_span.version = plan.version
        return folder

    def _written(self, upto: int | None) -> None:
        self.holder.wrote(clock.elapsed(), upto)
        self.settle()

    def _write_down(self, plan: p.Plan | None = None) -> None:
        """In the order in which it is done; a steward hears of it once it is on file."""
        audit_log = self.holder.audit_log
        fresh, audit_log.fresh = audit_log.fresh, []
        if self.folder is not None and (fresh or plan is not None):
            self.folder.write(fresh, plan)

    # ---- what is done

    def begin(self) -> None:
        """Serve as last agreed, and ask for a lease."""
        if self.holder.plan.version:
            self._apply_plan(self.holder.plan)
        self.settle()

    def settle(self) -> None:
        """Carry out the holder's effects in order: audit lines to file, then actions, then messages."""
        holder, now = self.holder, clock.elapsed()
        fencing_token = holder.fencing_token if holder.holds(now) else NO_LEASE
        if (holder.plan.version, fencing_token) != (
            self.service_span.version,
            self.service_span.fencing_token,
        ):
            self._change_version(fencing_token)
        self._write_down()
        holder.acts.clear()
        sends, holder.sends = holder.sends, []
        for message in sends:
            if self.connection is not None:
                self.connection.send(message)
        if holder.hang_up:
            holder.hang_up = False
            connection, self.connection = self.connection, None
            if connection is not None:
                connection.close()
        if holder.dial is not None:
            name, holder.dial = holder.dial, None
            self._dial(name)
        if self._alarm is not None and self._alarm.active():
            self._alarm.cancel()
        self._alarm = None
        if holder.alarm != float("inf"):
            self._alarm = self.reactor.callLater(max(holder.alarm - now, 0.0), self._tick)

    def _change_version(self, fencing_token: int) -> None:
        """Another version, or a lease got or lost: what comes from now on is under that."""
        plan, before = self.holder.plan, self.service_span.version
        self._close_service_span()
        self.service_span = ServiceSpan(plan.version, fencing_token)
        changed = plan.version != before
        self._write_down(plan if changed else None)
        if changed:
            self._apply_plan(plan)
        log.info(
            "serving_without_lease" if fencing_token == NO_LEASE else "serving_under_lease",
            version=plan.version,
            fencing_token=fencing_token,
        )

    def _close_service_span(self) -> None:
        service_span = self.service_span
        if service_span.taken:
            self.holder.audit_log.add(
                time.time(),
                audit.SERVED,
                service_span.version,
                service_span.fencing_token,
                service_span.detail(),
            )
            service_span.taken = Counter()

    def _apply_plan(self, plan: p.Plan) -> None:
        for id in plan.ejections:
            self.registry.eject(id, time.time() * 1000.0, BY_FLEET)
        for id in self.registry.ejected_by(BY_FLEET):
            if id not in plan.ejections:
                self.registry.reinstate(id, time.time() * 1000.0, BY_FLEET)
        self.act(plan)

    def _noted(self, id: str, by: str, out: bool) -> None:
        """Staff have taken a provider out, or back, at this node's own console."""
        if by == BY_OPERATOR:
            self.holder.note(audit.OUT if out else audit.BACK, id)
            self._write_down()

    def stop(self) -> None:
        """The node ends: it acts no more."""
        self._close_service_span()
        self.holder.end(clock.elapsed())
        self.settle()

    # ---- the connection

    def _tick(self) -> None:
        self.holder.tick(clock.elapsed())
        self.settle()

    def _dial(self, name: str) -> None:
        who = self.holder.who
        hello = m.Hello(m.VERSION, self.fleet_id, "agent", f"{who.node}#{who.boot}")
        connection = FleetConnection(self.reactor, hello, self._receive, self._lost)
        connection.name = name
        self.connection = connection
        made = dial(self.reactor, *self.servers[name], DIAL_WITHIN, connection)
        made.addErrback(lambda failure: self._lost(connection))

    def _receive(self, connection: FleetConnection, message: m.FleetMessage) -> None:
        if connection is not self.connection:
            return
        now = clock.elapsed()
        if isinstance(message, m.Hello):
            self.holder.up(now, connection.name)
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
            before = self.holder.withheld
            self.holder.receive(now, message)
            if isinstance(message, m.LeaseRefused) and message.why != before:
                log.warning("lease_refused", server=connection.name, why=message.why)
        else:
            connection.drop(f"a steward does not say {type(message).__name__} to an agent")
        self.settle()

    def _lost(self, connection: FleetConnection) -> None:
        if connection is self.connection:
            self.connection = None
            self.holder.lost(clock.elapsed())
            self.settle()
