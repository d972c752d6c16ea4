"""Which phase a waiting message is in: held, blocked, waiting, ready, or to be ended."""

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


class Placement:
    """Puts messages that are neither leased nor ended where they belong, by the configuration in force."""

    def __init__(
        self, state: QueueState, routes: RouteIndex, services: ServiceQueueTable, timers: TimerQueue
    ) -> None:
        self._state = state
        self._routes = routes
        self._services = services
        self._timers = timers

    def place(self, now: float, tracked: TrackedMessage) -> ExpireMessage | None:
        """Enter the phase in which a message is now; returns the command where it is to be ended."""
        self._routes.assign(tracked)
        entry, route = tracked.entry, tracked.route
        if route is None:
            return self._place_unrouted(now, tracked)
        tracked.unrouted_since = inf
        self._watch_retention(tracked, entry.accepted + route.retention_s)
        if now >= entry.accepted + route.retention_s:
            return self._end(tracked)
        retry_at = max(entry.due, tracked.retry_at)
        if not self._state.is_head(entry):
            tracked.enter(MessagePhase.BLOCKED)
        elif now < retry_at:
            tracked.enter(MessagePhase.DELAYED)
            self._timers.set(retry_at, TimerKind.PHASE, tracked)
        else:
            self._make_ready(tracked, route.service)
        return None

    def _place_unrouted(self, now: float, tracked: TrackedMessage) -> ExpireMessage | None:
        """End a message whose route is gone; wait where the table is older than the message."""
        tracked.enter(MessagePhase.UNROUTED)
        table = self._routes.table
        if table is None or table.version < tracked.entry.message.accepted_version:
            return None
        tracked.unrouted_since = min(tracked.unrouted_since, now)
        ends = tracked.unrouted_since + UNROUTED_GRACE_S
        if now >= ends:
            return self._end(tracked)
        self._timers.set(ends, TimerKind.PHASE, tracked)
        return None

    def _make_ready(self, tracked: TrackedMessage, service: str) -> None:
        queue = self._services.find(service)
        assert queue is not None, "a checked configuration has the service of each route"
        tracked.enter(MessagePhase.READY)
        queue.ready.push(tracked)
        self._services.mark_dirty(service)

    def _watch_retention(self, tracked: TrackedMessage, ends: float) -> None:
        if ends < tracked.retention_timer:
            tracked.retention_timer = ends
            self._timers.set(ends, TimerKind.RETENTION, tracked)

    def _end(self, tracked: TrackedMessage) -> ExpireMessage:
        tracked.enter(MessagePhase.EXPIRING)
        lease = tracked.entry.lease
        return ExpireMessage(tracked.request_id, "" if lease is None else lease.lease_id)
