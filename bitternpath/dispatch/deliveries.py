"""Deliveries of an edge node: from a lease to the report of how its attempt ended.

A lease allows sends until its end, measured by this node's clock from the lease's arrival. The clock is read
at each send, so a process that was suspended in between sends nothing on an old lease. The route and the
service are those of the node's configuration at that moment. A rejected send, which proves
that the message didn't run, is retried at another worker within the lease; any other result ends the attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import Protocol

from msgspec.structs import replace
from twisted.internet.defer import Deferred

from bitternpath.configuration.documents import Route, Service
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.dispatch.body_cache import BodyCache
from bitternpath.dispatch.selection import ListedWorker, WorkerSelection
from bitternpath.dispatch.stall_detector import StallDetector
from bitternpath.net.clock import Clock
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.transport.feed_messages import CatalogueEntry
from bitternpath.transport.records import AttemptOutcome, Message
from bitternpath.transport.shard_messages import LeaseGrant

MAX_SENDS = 4  # under one lease
# For a service with a rate limit, the time after a lease's arrival in which a send may start. The owner
# relies on it when it issues rate tokens.
RATED_SEND_WITHIN_S = 0.5
LEASE_MARGIN_S = 0.2  # a delivery must end this long before its lease does
CATALOGUE_STALE_S = 1.9  # an older catalogue may still list a worker that drains
CONFIGURATION_STALE_S = 8.0  # nothing is sent after this time without contact to the configuration's owner

# The minimum back-off that a "not run" report asks the owner for, by cause.
RETRY_AT_ONCE_MS = 1  # another node, or another lease, may send the message now
RETRY_NO_WORKER_MS = 80  # no worker accepted it
RETRY_STALE_MS = 300  # this node's configuration or catalogue is out of date


class WorkerSender(Protocol):
    """The part of `delivery.worker_client.WorkerClient` that is used here."""

    def deliver(self, target: WorkerTarget, message: Message, deadline_ms: int) -> Deferred[DeliveryResult]:
        """Send a message once; the Deferred never fails."""


class NodeView(Protocol):
    """The state of the node that a dispatcher reads; implemented by `roles.edge.EdgeNode`."""

    def routing(self) -> RoutingTable | None:
        """The node's current configuration; None before the first."""

    def configuration_age(self) -> float:
        """Seconds since the configuration's owner was last contacted."""

    def catalogue_age(self) -> float:
        """Seconds since the start of the newest reading of the platform's endpoint list."""

    def connection_share(self, total: int) -> int:
        """This node's share of the `total` connections that a worker allows."""


@dataclass(frozen=True, slots=True)
class DeliveryComponents:
    """The components of an edge node that a dispatcher uses."""

    workers: WorkerSender
    reports: AttemptReporter
    bodies: BodyCache


@dataclass(slots=True)
class _Attempt:
    """A lease and its sends. Times are those of this node's clock."""

    lease: LeaseGrant
    message: Message
    arrived_at: float
    ends_at: float
    sends: int = 0
    rejected_by: set[str] = field(default_factory=set)  # instances


@dataclass(slots=True)
class _Send:
    """One send of an attempt, with the route and service of the configuration at that moment."""

    attempt: _Attempt
    route: Route
    service: Service


class DeliveryDispatcher:
    """Carries out leases and reports their outcomes."""

    def __init__(self, clock: Clock, node: NodeView, components: DeliveryComponents, random: Random) -> None:
        self.selection = WorkerSelection(random)
        self.in_flight = 0  # sends
        self.stopping = False  # set when the process drains: leases are then returned unused
        self._clock = clock
        self._node = node
        self._components = components
        self._stalls = StallDetector(clock)

    def start(self) -> None:
        """Start to detect stalls of this process."""
        self._stalls.start()

    def workers_changed(self, entries: list[CatalogueEntry], removed: list[str]) -> None:
        """Update the listed workers: `entries` are usable, instances in `left` no longer are."""
        self.selection.workers_changed(entries, removed)

    def lease_granted(self, lease: LeaseGrant) -> None:
        """Carry out a lease that the owner of a shard has granted to this node."""
        now = self._clock.seconds()
        message = lease.message
        body = self._components.bodies.pop(message.request_id)
        if lease.body_omitted:
            if body is None:
                self._report_not_run(lease, RETRY_AT_ONCE_MS)
                return
            message = replace(message, body=body)
        arrived_at = self._stalls.earliest_arrival(now)
        ends_at = arrived_at + lease.duration_ms / 1000
        self._next_send(_Attempt(lease, message, arrived_at, ends_at))

    # ---- sends

    def _next_send(self, attempt: _Attempt) -> None:
        """Send the message by the current configuration, or report that it can't be sent."""
        if self.stopping:
            self._report_not_run(attempt.lease, RETRY_AT_ONCE_MS)
            return
        table = self._node.routing()
        route = table.match(attempt.message.host, _path(attempt.message.target)) if table else None
        if table is None or route is None:
            self._report_no_route(attempt, table)
            return
        if self._node.configuration_age() > CONFIGURATION_STALE_S:
            self._report_not_run(attempt.lease, RETRY_STALE_MS)
            return
        send = _Send(attempt, route, table.service_of(route))
        if not self._in_time(send) or send.service.pull_mode:
            self._report_not_run(attempt.lease, RETRY_AT_ONCE_MS)
        elif send.service.endpoint is not None:
            self._send_to_endpoint(send, send.service.endpoint)
        else:
            self._send_to_worker(send)

    def _in_time(self, send: _Send) -> bool:
        """Whether the send can end within its lease, and its rate token is still valid."""
        now = self._clock.seconds()
        if send.service.rate_per_s > 0 and not self._token_valid(now, send.attempt):
            return False
        return now + send.route.timeout_ms / 1000 + LEASE_MARGIN_S <= send.attempt.ends_at

    def _token_valid(self, now: float, attempt: _Attempt) -> bool:
        """Whether the rate token that came with a lease may still be used."""
        return not self._stalls.stalled(now) and now - attempt.arrived_at <= RATED_SEND_WITHIN_S

    def _send_within_s(self, send: _Send) -> float:
        """How long the send may still wait for a connection, in seconds."""
        if send.service.rate_per_s <= 0:
            return inf
        return max(send.attempt.arrived_at + RATED_SEND_WITHIN_S - self._clock.seconds(), 0.0)

    def _send_to_endpoint(self, send: _Send, address: str) -> None:
        within_s = self._send_within_s(send)
        share = self._node.connection_share(send.service.max_connections)
        target = WorkerTarget(address, "", share, within_s)
        self._deliver(send, target, lambda result: self._endpoint_ended(send.attempt, result))

    def _endpoint_ended(self, attempt: _Attempt, result: DeliveryResult) -> None:
        retry_after_ms = RETRY_NO_WORKER_MS if result.outcome is AttemptOutcome.NOT_RUN else 0
        self._report(attempt.lease, result.outcome, result.stamp, retry_after_ms)

    def _send_to_worker(self, send: _Send) -> None:
        now = self._clock.seconds()
        attempt = send.attempt
        if self._node.catalogue_age() > CATALOGUE_STALE_S:
            self._report_not_run(attempt.lease, RETRY_STALE_MS)
            return
        worker = self.selection.choose(now, send.route.name, send.service.name, attempt.rejected_by)
        if worker is None:
            self._report_not_run(attempt.lease, RETRY_NO_WORKER_MS)
            return
        share = self._node.connection_share(send.service.max_connections)
        target = WorkerTarget(worker.address, worker.name, share, self._send_within_s(send))
        self.selection.delivery_started(worker)
        self._deliver(send, target, lambda result: self._worker_ended(send, worker, result))

    def _worker_ended(self, send: _Send, worker: ListedWorker, result: DeliveryResult) -> None:
        attempt = send.attempt
        self.selection.delivery_ended(self._clock.seconds(), send.route.name, worker, result)
        if result.outcome is not AttemptOutcome.NOT_RUN:
            self._report(attempt.lease, result.outcome, result.stamp)
            return
        attempt.rejected_by.add(worker.name)
        # A request that was sent has used its rate token, even if the worker rejected it.
        token_used = send.service.rate_per_s > 0 and result.refusal is not RefusalKind.NO_CONNECTION
        if token_used or attempt.sends >= MAX_SENDS:
            self._report_not_run(attempt.lease, RETRY_NO_WORKER_MS)
        else:
            self._next_send(attempt)

    def _deliver(self, send: _Send, target: WorkerTarget, ended: Callable[[DeliveryResult], None]) -> None:
        send.attempt.sends += 1
        self.in_flight += 1

        def finished(result: DeliveryResult) -> None:
            self.in_flight -= 1
            ended(result)

        delivered = self._components.workers.deliver(target, send.attempt.message, send.route.timeout_ms)
        delivered.addCallback(finished)

    # ---- reports

    def _report_no_route(self, attempt: _Attempt, table: RoutingTable | None) -> None:
        if table is not None and table.version >= attempt.message.accepted_version:
            self._report(attempt.lease, AttemptOutcome.ROUTE_GONE)
        else:  # another node has a newer configuration
            self._report_not_run(attempt.lease, RETRY_STALE_MS)

    def _report_not_run(self, lease: LeaseGrant, retry_after_ms: int) -> None:
        self._report(lease, AttemptOutcome.NOT_RUN, retry_after_ms=retry_after_ms)

    def _report(
        self, lease: LeaseGrant, outcome: AttemptOutcome, stamp: str = "", retry_after_ms: int = 0
    ) -> None:
        request_id = lease.message.request_id
        self._components.reports.send(
            AttemptReport(lease.group, request_id, lease.lease_id, outcome, stamp, retry_after_ms)
        )


def _path(target: str) -> str:
    return target.split("?", 1)[0]
