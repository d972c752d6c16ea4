"""Which phase an idle message is in: unrouted, blocked, delayed or ready; or that it is to end."""

from __future__ import annotations

from math import inf

from bitternpath.queue.commands import ExpireMessage
from bitternpath.queue.routes import RouteIndex
from bitternpath.queue.service_queues import ServiceQueueTable
from bitternpath.queue.state import QueueState
from bitternpath.queue.timers import TimerKind, TimerQueue
from bitternpath.queue.tracked_messages import MessagePhase, TrackedMessage

# Seconds between the loss of its route and a message's end. An edge node may accept by a configuration older
# than both the removal of a route and its return; the message was then sent when the route was there again.
UNROUTED_GRACE_S = 3.0


class PhaseAssigner:
    """Puts messages that are neither leased nor ended into a phase, by the configuration in force."""

    def __init__(
        self, state: QueueState, routes: RouteIndex, services: ServiceQueueTable, timers: TimerQueue
    ) -> None:
        """Place by `state` and `routes`, into the queues of `services`, or until a timer of `timers`."""
        self._state = state
        self._routes = routes
        self._services = services
        self._timers = timers

    def assign_route(self, tracked: TrackedMessage) -> None:
        """Set the route of a message by the configuration in force."""
        self._routes.assign(tracked)

    def remove(self, tracked: TrackedMessage) -> None:
        """Remove a message that has ended, or was not appended after all."""
        self._routes.remove(tracked)

    def assign_phase(self, now: float, tracked: TrackedMessage) -> ExpireMessage | None:
        """Enter the phase in which a message is now; returns the command where it is to be ended."""
        self._routes.assign(tracked)
        entry = tracked.entry
        route = tracked.route
        if route is None:
            return self._assign_unrouted(now, tracked)
        tracked.unrouted_since = inf
        retention_ends_at = entry.accepted_at + route.retention_s
        self._watch_retention(tracked, retention_ends_at)
        if now >= retention_ends_at:
            return self._expire(tracked)
        ready_at = max(entry.due_at, tracked.retry_at)
        if not self._state.is_head(entry):
            tracked.enter(MessagePhase.BLOCKED)
        elif now < ready_at:
            tracked.enter(MessagePhase.DELAYED)
            self._timers.set(ready_at, TimerKind.PHASE, tracked)
        else:
            self._make_ready(tracked, route.service)
        return None

    def _assign_unrouted(self, now: float, tracked: TrackedMessage) -> ExpireMessage | None:
        """End a message whose route no longer exists; wait where the table is older than the message."""
        tracked.enter(MessagePhase.UNROUTED)
        table = self._routes.table
        if table is None or table.version < tracked.entry.message.accepted_version:
            return None
        tracked.unrouted_since = min(tracked.unrouted_since, now)
        grace_ends_at = tracked.unrouted_since + UNROUTED_GRACE_S
        if now >= grace_ends_at:
            return self._expire(tracked)
        self._timers.set(grace_ends_at, TimerKind.PHASE, tracked)
        return None

    def _make_ready(self, tracked: TrackedMessage, service: str) -> None:
        queue = self._services.find(service)
        assert queue is not None, "a checked configuration has the service of each route"
        tracked.enter(MessagePhase.READY)
        queue.ready.push(tracked)
        self._services.mark_dirty(service)

    def _watch_retention(self, tracked: TrackedMessage, ends_at: float) -> None:
        if ends_at < tracked.retention_timer:
            tracked.retention_timer = ends_at
            self._timers.set(ends_at, TimerKind.RETENTION, tracked)

    def _expire(self, tracked: TrackedMessage) -> ExpireMessage:
        tracked.enter(MessagePhase.EXPIRING)
        lease = tracked.entry.lease
        return ExpireMessage(tracked.request_id, "" if lease is None else lease.lease_id)
