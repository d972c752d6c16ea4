"""Grants leases of ready messages, in the order of the service queues."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.queue.actions import Action, BorrowTokens, ProposeCommand, RequestPollers
from bitternpath.queue.commands import GrantLease
from bitternpath.queue.lease_table import LeaseTable
from bitternpath.queue.quota_leases import MAX_BORROWED_TOKENS
from bitternpath.queue.routes import RouteIndex
from bitternpath.queue.service_queues import ServiceQueue, ServiceQueueTable
from bitternpath.queue.state import QueueState
from bitternpath.queue.tracked_messages import MessagePhase, TrackedMessage

# Interval between requests for pulling workers while messages wait and no worker polls; it doubles each time.
MIN_POLLERS_REQUEST_INTERVAL_S = 0.05
MAX_POLLERS_REQUEST_INTERVAL_S = 0.2

# Messages per service and shard that are leased before a worker polls, so that the poll is answered without a
# replication round. A new owner treats these leases as dispatched: the messages wait until the leases end.
MAX_PREGRANTED_LEASES = 32


class LeaseGranter:
    """Grants leases of ready messages and of messages whose append is proposed."""

    def __init__(
        self,
        state: QueueState,
        routes: RouteIndex,
        services: ServiceQueueTable,
        leases: LeaseTable,
        emit: Callable[[Action], None],
    ) -> None:
        """Grant leases from the queues of `services` in `leases`; `emit` receives the resulting actions."""
        self._state = state
        self._routes = routes
        self._services = services
        self._leases = leases
        self._emit = emit

    def grant_on_append(self, now: float, tracked: TrackedMessage) -> GrantLease | None:
        """Return the command that leases a message whose append is proposed, or None if it has to wait."""
        queue = self._queue_on_append(tracked)
        if queue is None:
            return None
        if queue.ready.first(now) is None and queue.next_grant_time(now) == now:
            command = self._leases.grant(now, queue, tracked)
            if command is not None:
                return command
        if not _may_pregrant(queue):
            return None
        command = self._leases.pregrant(now, queue, tracked)
        self._request_pollers(now, queue)
        return command

    def grant_ready(self, now: float, queue: ServiceQueue) -> None:
        """Grant leases of one service until its queue is empty or a limit is reached."""
        while (tracked := queue.ready.first(now)) is not None:
            next_grant_at = queue.next_grant_time(now)
            if next_grant_at != now:
                self._schedule_retry(now, queue, next_grant_at)
                return
            if tracked.pregrant is not None and queue.service.pull_mode:
                granted = self._dispatch_pregranted(now, queue, tracked, tracked.pregrant)
            else:
                granted = self._grant(now, queue, tracked)
            if not granted:
                return
        queue.pollers_request_interval_s = min(
            queue.pollers_request_interval_s, MIN_POLLERS_REQUEST_INTERVAL_S
        )

    def _schedule_retry(self, now: float, queue: ServiceQueue, retry_at: float | None) -> None:
        """Schedule the next processing of a queue at `retry_at`.

        If `retry_at` is None, the end of a lease marks the queue dirty.
        """
        if retry_at is not None:
            self._services.wake_at(retry_at, queue)
        borrower = queue.borrower
        if borrower is None or not queue.needs_borrowed_token(now):
            return
        if now >= borrower.next_request_at:
            borrower.request_sent(now)
            self._emit(BorrowTokens(queue.service.name, min(len(queue.ready), MAX_BORROWED_TOKENS)))
        self._services.wake_at(borrower.next_request_at, queue)

    def _queue_on_append(self, tracked: TrackedMessage) -> ServiceQueue | None:
        """Return the queue of a message that may be leased immediately, or None if it has to wait.

        This is an estimate until the append is applied: if an earlier append with the same order key is
        pending too, the grant has no effect when it is applied.
        """
        message = tracked.entry.message
        if message.delay_ms > 0 or (message.order_key and self._state.order_head(message.order_key)):
            return None
        self._routes.assign(tracked)
        return None if tracked.route is None else self._services.find(tracked.route.service)

    def _grant(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> bool:
        """Propose a lease of a ready message; False if it and the messages after it have to wait."""
        self._leases.drop_pregrant(tracked)  # only set here if the service is no longer in pull mode
        command = self._leases.grant(now, queue, tracked)
        if command is None:
            self._request_pollers(now, queue)
            # A worker that received the message may still report its end; a new lease would void that report.
            if tracked.entry.leases_granted or not _may_pregrant(queue):
                return False
            command = self._leases.pregrant(now, queue, tracked)
        tracked.enter(MessagePhase.GRANTING)
        self._emit(ProposeCommand(command))
        return True

    def _dispatch_pregranted(
        self, now: float, queue: ServiceQueue, tracked: TrackedMessage, grant: GrantLease
    ) -> bool:
        """Send a message whose lease is committed to a waiting worker; False if no worker waits."""
        action = self._leases.dispatch_pregranted(now, queue, tracked, grant)
        if action is None:
            self._request_pollers(now, queue)
            return False
        self._emit(action)
        return True

    def _request_pollers(self, now: float, queue: ServiceQueue) -> None:
        """Request pulling workers from the edge nodes, which may have workers that wait at other shards."""
        if not queue.service.pull_mode:
            return
        if now >= queue.pollers_requested_at + queue.pollers_request_interval_s:
            queue.pollers_requested_at = now
            queue.pollers_request_interval_s = min(
                2 * queue.pollers_request_interval_s or MIN_POLLERS_REQUEST_INTERVAL_S,
                MAX_POLLERS_REQUEST_INTERVAL_S,
            )
            waiting = max(len(queue.ready), len(queue.pregranted), 1)
            self._emit(RequestPollers(queue.service.name, waiting))
        self._services.wake_at(queue.pollers_requested_at + queue.pollers_request_interval_s, queue)


def _may_pregrant(queue: ServiceQueue) -> bool:
    return queue.service.pull_mode and len(queue.pregranted) < MAX_PREGRANTED_LEASES
