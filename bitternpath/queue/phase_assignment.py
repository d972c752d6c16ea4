"""Assigns the phase of an idle message: unrouted, blocked, delayed or ready, or expiring if it is to end."""

from __future__ import annotations

from math import inf

from bitternpath.queue.commands import ExpireMessage
from bitternpath.queue.routes import RouteIndex
from bitternpath.queue.service_queues import ServiceQueueTable
from bitternpath.queue.state import QueueState
from bitternpath.queue.timers import TimerKind, TimerQueue
from bitternpath.queue.tracked_messages import MessagePhase, TrackedMessage

# Seconds from the removal of a message's route to the end of the message. A client may send a message after a
# removed route has returned, to an edge node that still accepts by a configuration older than both changes.
UNROUTED_GRACE_S = 3.0


class PhaseAssigner:
    """Assigns phases to messages that are neither leased nor ended, by the current configuration."""

    def __init__(
        self, state: QueueState, routes: RouteIndex, services: ServiceQueueTable, timers: TimerQueue
    ) -> None:
        """Use the order keys of `state` and the routes of `routes`.

        Ready messages enter the queues of `services`; other phases set timers in `timers`.
        """
        self._state = state
        self._routes = routes
        self._services = services
        self._timers = timers

    def assign_route(self, tracked: TrackedMessage) -> None:
        """Set the route of a message by the current configuration."""
        self._routes.assign(tracked)

    def remove(self, tracked: TrackedMessage) -> None:
        """Remove a message that has ended or whose append has failed."""
        self._routes.remove(tracked)

    def assign_phase(self, now: float, tracked: TrackedMessage) -> ExpireMessage | None:
        """Assign the current phase of a message; returns a command if the message is to end."""
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
        """End a message whose route was removed, after a grace period.

        A message that is newer than the routing table waits for a newer table.
        """
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
