"""Deliveries of one edge node: from a lease to the report of how it ended.

A lease allows sends until its end, by this node's clock counted from its arrival; the clock is looked at in
the moment of each send, so that a process that was stopped in between sends nothing on an old lease. The
route and the service are those of the configuration in force here at that moment. A refused send (proven not
run) is tried again at another worker within the lease; anything else ends the attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Any, Protocol

import logbook
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from bitternpath.configuration.documents import Route, RoutingTable, Service
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.dispatch.selection import ListedWorker, WorkerSelection
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.transport.feed_messages import CatalogueEntry
from bitternpath.transport.records import AttemptOutcome, Message
from bitternpath.transport.shard_messages import LeaseGrant

log = logbook.Logger("dispatch")

MOST_SENDS = 4  # under one lease
SEND_WITHIN_S = 0.5  # of a lease's arrival, for services with a rate: the owner's tokens count on it
LEASE_MARGIN_S = 0.2  # a delivery must be over so long before its lease
CATALOGUE_STALE_S = 1.9  # an older list may miss a worker that drains
CONFIGURATION_STALE_S = 8.0  # without word of the configuration's owner deliveries are held
BEAT_S = 0.25  # of the watch on this process itself
STALL_S = 0.75  # without a beat: the process stood still, and what it reads now may have waited long
AFTER_STALL_S = 0.3
RETURN_PAUSE_MS = 80  # before the owner hands a message out again that found no worker
STALE_PAUSE_MS = 300


class Workers(Protocol):
    """`delivery.worker_client.WorkerClient`, as far as deliveries need it."""

    def deliver(self, target: WorkerTarget, message: Message, deadline_ms: int) -> Deferred[DeliveryResult]:
        """Send a message; never fails."""


class NodeView(Protocol):
    """What a dispatcher must know of its node."""

    def routing(self) -> RoutingTable | None:
        """The configuration in force here."""

    def configuration_age(self) -> float:
        """Seconds since the configuration's owner was last heard."""

    def catalogue_age(self) -> float:
        """Seconds since the newest reading of the platform's list began."""

    def connection_share(self, total: int) -> int:
        """This node's share of a worker's connections."""


@dataclass(slots=True)
class _Task:
    """A lease and the sends under it."""

    delivery: LeaseGrant
    message: Message
    ends_at: float
    arrived_at: float
    sends: int = 0
    tried: set[str] = field(default_factory=set)


class BodyCache:
    """Bodies of messages that this node accepted, for the owner's first lease, which comes without one."""

    def __init__(self, most_bytes: int) -> None:
        self._bodies: dict[str, bytes] = {}
        self._most_bytes, self._bytes = most_bytes, 0

    def keep(self, message: Message) -> None:
        """Remember a body; the oldest go where there are too many."""
        self._bodies[message.request_id] = message.body
        self._bytes += len(message.body)
        while self._bytes > self._most_bytes and self._bodies:
            oldest = next(iter(self._bodies))
            self._bytes -= len(self._bodies.pop(oldest))

    def take(self, request_id: str) -> bytes | None:
        """The body, which isn't kept any longer; None where it isn't here."""
        body = self._bodies.pop(request_id, None)
        if body is not None:
            self._bytes -= len(body)
        return body


class DeliveryDispatcher:
    """Carries out leases."""

    def __init__(
        self,
        reactor: Any,
        node: NodeView,
        workers: Workers,
        reports: AttemptReporter,
        bodies: BodyCache,
        random: Random,
    ) -> None:
        self.reactor, self.node, self.workers, self.reports = reactor, node, workers, reports
        self.bodies, self.random = bodies, random
        self.selection = WorkerSelection(random)
        self.in_flight = 0
        self.stopping = False
        self._watched = False
        self._beat_at = reactor.seconds()
        self._stall_began = 0.0
        self._stalled_until = 0.0

    def workers_changed(self, entries: list[CatalogueEntry], left: list[str]) -> None:
        """The usable workers are these."""
        self.selection.workers_changed(entries, left)

    def lease_granted(self, delivery: LeaseGrant) -> None:
        """The owner of a shard has given this node a lease."""
        now = self.reactor.seconds()
        message = delivery.message
        if delivery.body_omitted:
            body = self.bodies.take(message.request_id)
            if body is None:
                self._report(delivery, AttemptOutcome.NOT_RUN, retry_after_ms=1)
                return
            message = replace(message, body=body)
        else:
            self.bodies.take(message.request_id)
        arrived_at = self._arrival(now)
        ends_at = arrived_at + delivery.duration_ms / 1000
        self._begin(_Task(delivery, message, ends_at, arrived_at))

    # ---- sends

    def _begin(self, task: _Task) -> None:
        if self.stopping:
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=1)
            return
        table = self.node.routing()
        route = table.match(task.message.host, _path(task.message.target)) if table else None
        if table is None or route is None:
            self._without_route(task, table)
            return
        if self.node.configuration_age() > CONFIGURATION_STALE_S:
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=STALE_PAUSE_MS)
            return
        service = table.service_of(route)
        if not self._in_time(task, route, service) or service.pull_mode:
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=1)
        elif service.endpoint is not None:
            self._to_endpoint(task, route, service, service.endpoint)
        else:
            self._to_worker(task, route, service)

    def start(self) -> None:
        """Begin to watch whether this process stands still."""
        now = self.reactor.seconds()
        if self._watched and now - self._beat_at > STALL_S:
            self._stall_began = self._beat_at
            self._stalled_until = now + AFTER_STALL_S
        self._watched = True
        self._beat_at = now
        self.reactor.callLater(BEAT_S, self.start)

    def _arrival(self, now: float) -> float:
        """When a lease that is read now came, at the earliest.

        It may have waited here as long as this process stood still: the owner has counted its time meanwhile,
        and may have given the message to another node.
        """
        if now < self._stalled_until:
            return self._stall_began
        if self._watched and now - self._beat_at > STALL_S:
            return float(self._beat_at)
        return now

    def _stalled(self, now: float) -> bool:
        """Whether leases that arrive now may have waited while this process stood still."""
        return now - self._beat_at > STALL_S or now < self._stalled_until

    def _without_route(self, task: _Task, table: RoutingTable | None) -> None:
        if table is not None and table.version >= task.message.accepted_version:
            self._report(task.delivery, AttemptOutcome.ROUTE_GONE)
        else:  # another node knows a newer configuration
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=STALE_PAUSE_MS)

    def _in_time(self, task: _Task, route: Route, service: Service) -> bool:
        now = self.reactor.seconds()
        if service.rate_per_s > 0 and self._stalled(now):
            return False
        if service.rate_per_s > 0 and now - task.arrived_at > SEND_WITHIN_S:
            return False
        return bool(now + route.timeout_ms / 1000 + LEASE_MARGIN_S <= task.ends_at)

    def _to_endpoint(self, task: _Task, route: Route, service: Service, address: str) -> None:
        within_s = self._send_within_s(task, service)
        target = WorkerTarget(address, "", self.node.connection_share(service.max_connections), within_s)
        self._send(task, route, target, lambda result: self._endpoint_ended(task, result))

    def _send_within_s(self, task: _Task, service: Service) -> float:
        """How long a send may still wait for a connection."""
        if service.rate_per_s <= 0:
            return inf
        return max(task.arrived_at + SEND_WITHIN_S - float(self.reactor.seconds()), 0.0)

    def _endpoint_ended(self, task: _Task, result: DeliveryResult) -> None:
        pause = RETURN_PAUSE_MS if result.outcome is AttemptOutcome.NOT_RUN else 0
        self._report(task.delivery, result.outcome, result.stamp, pause)

    def _to_worker(self, task: _Task, route: Route, service: Service) -> None:
        now = self.reactor.seconds()
        if self.node.catalogue_age() > CATALOGUE_STALE_S:
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=STALE_PAUSE_MS)
            return
        worker = self.selection.choose(now, route.name, service.name, task.tried)
        if worker is None:
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=RETURN_PAUSE_MS)
            return
        share = self.node.connection_share(service.max_connections)
        target = WorkerTarget(worker.address, worker.name, share, self._send_within_s(task, service))
        self.selection.started(worker)
        self._send(
            task, route, target, lambda result: self._worker_ended(task, route, service, worker, result)
        )

    def _worker_ended(
        self, task: _Task, route: Route, service: Service, worker: ListedWorker, result: DeliveryResult
    ) -> None:
        self.selection.ended(self.reactor.seconds(), route.name, worker, result)
        if result.outcome is not AttemptOutcome.NOT_RUN:
            self._report(task.delivery, result.outcome, result.stamp)
            return
        task.tried.add(worker.name)
        once = service.rate_per_s > 0 and result.refusal is not RefusalKind.NO_CONNECTION
        if once or task.sends >= MOST_SENDS:
            self._report(task.delivery, AttemptOutcome.NOT_RUN, retry_after_ms=RETURN_PAUSE_MS)
        else:
            self._begin(task)

    def _send(
        self, task: _Task, route: Route, target: WorkerTarget, ended: Callable[[DeliveryResult], None]
    ) -> None:
        task.sends += 1
        self.in_flight += 1

        def finished(result: DeliveryResult) -> None:
            self.in_flight -= 1
            ended(result)

        self.workers.deliver(target, task.message, route.timeout_ms).addCallback(finished)

    def _report(
        self, delivery: LeaseGrant, outcome: AttemptOutcome, stamp: str = "", retry_after_ms: int = 0
    ) -> None:
        report = AttemptReport(
            delivery.group, delivery.message.request_id, delivery.lease_id, outcome, stamp, retry_after_ms
        )
        self.reports.send(report)


def _path(target: str) -> str:
    return target.split("?", 1)[0]
