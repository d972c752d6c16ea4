"""Which ready messages are leased now, and to whom; lost with the ownership, like all that decides."""

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

# While jobs wait and no worker that pulls does: workers are asked for at this pause, doubled each time.
MIN_POLLERS_REQUEST_INTERVAL_S, MAX_POLLERS_REQUEST_INTERVAL_S = 0.05, 0.2

# Jobs of a service in one shard that are leased before a worker asks, so that it needn't wait for a round of
# replicas. After a take-over they are taken for handed out, and wait until their leases end.
MAX_PREGRANTED_LEASES = 32


class Granting:
    """Grants leases in the order of the lanes.

    `emit` takes what is to be done; `hold(now, tracked, duration_ms)` regards a message as leased from now.
    """

    def __init__(
        self,
        state: QueueState,
        routes: RouteIndex,
        services: ServiceQueueTable,
        leases: LeaseTable,
        emit: Callable[[Action], None],
        hold: Callable[[float, TrackedMessage, int], None],
    ) -> None:
        self._state, self._routes = state, routes
        self._services, self._leases = services, leases
        self._emit, self._hold = emit, hold

    def at_once(self, now: float, tracked: TrackedMessage) -> GrantLease | None:
        """The command that leases a message that is being appended; None where it has to wait."""
        queue = self._lane_at_once(tracked)
        if queue is None:
            return None
        if queue.ready.first(now) is None and queue.next_grant(now) == now:
            command = self._leases.grant(now, queue, tracked)
            if command is not None:
                return command
        if not _may_grant_ahead(queue):
            return None
        command = self._leases.grant_ahead(now, queue, tracked)
        self._ask_for_polls(now, queue)
        return command

    def grant_ready(self, now: float, queue: ServiceQueue) -> None:
        """Grant what can be granted of one service."""
        while (tracked := queue.ready.first(now)) is not None:
            when = queue.next_grant(now)
            if when != now:
                self._wait(now, queue, when)
                return
            if tracked.ahead is not None and queue.service.pull_mode:
                granted = self._hand_out_ahead(now, queue, tracked, tracked.ahead)
            else:
                granted = self._grant(now, queue, tracked)
            if not granted:
                return
        queue.pollers_request_interval_s = min(
            queue.pollers_request_interval_s, MIN_POLLERS_REQUEST_INTERVAL_S
        )

    def _wait(self, now: float, queue: ServiceQueue, when: float | None) -> None:
        """Nothing of a service can be granted now; `when`: but then, or None: after a lease has ended."""
        if when is not None:
            self._services.wake_at(when, queue)
        if queue.loan is None or not queue.is_short_of_tokens(now):
            return
        if now >= queue.loan.ask_at:
            queue.loan.asked(now)
            self._emit(BorrowTokens(queue.service.name, min(len(queue.ready), MAX_BORROWED_TOKENS)))
        self._services.wake_at(queue.loan.ask_at, queue)

    def _lane_at_once(self, tracked: TrackedMessage) -> ServiceQueue | None:
        """The lane of a message that nothing holds back, as far as is known before its append is applied. An
        earlier one of its order key that is being appended too makes the lease void, as it is applied."""
        message = tracked.entry.message
        if message.delay_ms > 0 or (message.order_key and self._state.order_head(message.order_key)):
            return None
        self._routes.assign(tracked)
        return None if tracked.route is None else self._services.find(tracked.route.service)

    def _grant(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> bool:
        """Propose a lease on a ready message; False where it has to wait, and with it those behind it."""
        self._leases.forget_ahead(tracked)  # the service's workers don't pull any more
        command = self._leases.grant(now, queue, tracked)
        if command is None:
            self._ask_for_polls(now, queue)
            if tracked.entry.leases_granted or not _may_grant_ahead(queue):
                return False  # a worker that had it may still say so: a new lease would refuse its word
            command = self._leases.grant_ahead(now, queue, tracked)
        tracked.enter(MessagePhase.GRANTING)
        self._emit(ProposeCommand(command))
        return True

    def _hand_out_ahead(
        self, now: float, queue: ServiceQueue, tracked: TrackedMessage, command: GrantLease
    ) -> bool:
        """Give a message whose lease is in the log to a worker; False where none waits."""
        action = self._leases.hand_out_ahead(now, queue, tracked)
        if action is None:
            self._ask_for_polls(now, queue)
            return False
        self._hold(now, tracked, command.duration_ms)
        self._emit(action)
        return True

    def _ask_for_polls(self, now: float, queue: ServiceQueue) -> None:
        """Jobs wait for workers that pull, and none waits here: edge nodes may know of some elsewhere."""
        if not queue.service.pull_mode:
            return
        if now >= queue.pollers_requested_at + queue.pollers_request_interval_s:
            queue.pollers_requested_at = now
            queue.pollers_request_interval_s = min(
                2 * queue.pollers_request_interval_s or MIN_POLLERS_REQUEST_INTERVAL_S,
                MAX_POLLERS_REQUEST_INTERVAL_S,
            )
            self._emit(RequestPollers(queue.service.name, max(len(queue.ready), len(queue.ahead), 1)))
        self._services.wake_at(queue.pollers_requested_at + queue.pollers_request_interval_s, queue)


def _may_grant_ahead(queue: ServiceQueue) -> bool:
    return queue.service.pull_mode and len(queue.ahead) < MAX_PREGRANTED_LEASES
