"""Leases at a shard's owner: their holders, the capacity they use, and when their messages are sent.

The states of a lease, determined by the message's `phase`, `lease` and `pregrant`:

    ==========  ====================================================  ==================================
    state       meaning                                               goes on to
    ==========  ====================================================  ==================================
    proposed    `GrantLease` is proposed; it uses capacity of its     in flight; pregranted; released if
                edge node and service, or a poll is reserved for it   it is void, was not proposed, or
                                                                      can no longer be sent
    pregranted  committed in advance for a pulling worker; the        in flight with the next poll;
                message has not been sent                             released when the message ends
    in flight   the message was sent to the holder; an extension      released
                moves the lease's end
    released    the lease has timed out, its edge node's process has  in flight again if the holder
                ended, or the attempt has ended                       extends a pulled lease that is
                                                                      still current
    ==========  ====================================================  ==================================

In the replicated state (`state`) a lease is current from `GrantLease` until `EndAttempt`, the next
`GrantLease` or the end of the message. A report under a released lease is therefore accepted until another
lease is granted: the late holder has done the work and no other holder has started it.

A message is sent only after its `GrantLease` has been applied, so that every later owner knows the lease.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.actions import AnswerPoll, SendDelivery
from bitternpath.queue.commands import GrantLease
from bitternpath.queue.edge_nodes import EdgeNodeTable
from bitternpath.queue.entries import Lease
from bitternpath.queue.long_polls import LongPollTable
from bitternpath.queue.rate_limits import MAX_GRANT_DELAY_S
from bitternpath.queue.service_queues import ServiceQueue, ServiceQueueTable
from bitternpath.queue.sharding import LeaseIdSequence
from bitternpath.queue.timers import TimerKind, TimerQueue
from bitternpath.queue.tracked_messages import InFlightLease, MessagePhase, TrackedMessage
from bitternpath.transport.records import AttemptOutcome

# Added to the route's time-out for the transfer to the edge node, the choice of a worker and the report.
PUSH_LEASE_MARGIN_MS = 2_000


class LeaseHolders(Struct, frozen=True):
    """Possible holders of leases: edge nodes for pushed messages, long polls for pulled messages."""

    edges: EdgeNodeTable
    polls: LongPollTable


class LeaseTable:
    """Proposed and in-flight leases, and the capacity they use of edge nodes, services and polls."""

    def __init__(
        self,
        services: ServiceQueueTable,
        holders: LeaseHolders,
        timers: TimerQueue,
        ids: LeaseIdSequence,
        pull_duration_ms: int,
    ) -> None:
        """Create an empty table; leases of pulling workers last `pull_duration_ms`."""
        self.pull_duration_ms = pull_duration_ms
        self._services = services
        self._edges = holders.edges
        self._polls = holders.polls
        self._timers = timers
        self._lease_ids = ids

    def grant(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease | None:
        """Return the command that leases a ready message, or None if no holder is available."""
        if queue.service.pull_mode:
            command = self._grant_to_poll(now, queue, tracked)
        else:
            command = self._grant_to_edge(now, queue, tracked)
        if command is not None:
            queue.record_grant(now)
        return command

    def pregrant(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease:
        """Return the command that leases a message in advance for the next worker that polls."""
        lease_id = self._lease_ids.next()
        tracked.lease = InFlightLease(tracked.request_id, lease_id, "", queue.service.name, now)
        tracked.pregrant = GrantLease(tracked.request_id, lease_id, "", self.pull_duration_ms, pulled=True)
        queue.pregranted.add(tracked.request_id)
        return tracked.pregrant

    def dispatch_pregranted(
        self, now: float, queue: ServiceQueue, tracked: TrackedMessage, grant: GrantLease
    ) -> AnswerPoll | None:
        """Return the action that sends a pregranted message to a waiting worker, or None if none waits."""
        poll = self._polls.first(queue.service.name)
        if poll is None:
            return None
        self._polls.remove(poll.poll_id)
        self.drop_pregrant(tracked)
        queue.record_grant(now)
        tracked.lease = InFlightLease(
            tracked.request_id, grant.lease_id, "", queue.service.name, now, poll.poll_id
        )
        self.start_lease(now, tracked, grant.duration_ms)
        return AnswerPoll(poll.poll_id, poll.request.edge, grant.lease_id, tracked.entry.message)

    def drop_pregrant(self, tracked: TrackedMessage) -> None:
        """Remove the pregrant of a message: it was dispatched, is void, or is no longer needed."""
        if tracked.pregrant is not None:
            tracked.pregrant = None
            for queue in self._services.all():
                queue.pregranted.discard(tracked.request_id)

    def start_lease(self, now: float, tracked: TrackedMessage, duration_ms: int) -> None:
        """Enter phase LEASED for `duration_ms` from now."""
        tracked.enter(MessagePhase.LEASED)
        tracked.lease_ends_at = now + duration_ms / 1000
        self.set_timer(tracked)

    def set_timer(self, tracked: TrackedMessage) -> None:
        """Set the timer that checks a leased message at `lease_ends_at`."""
        self._timers.set(tracked.lease_ends_at, TimerKind.PHASE, tracked)

    def adopt(self, now: float, tracked: TrackedMessage, lease: Lease, duration_ms: int) -> None:
        """Track a current lease as in flight from now; an earlier owner granted it, or it was released."""
        edge = "" if lease.pulled else lease.holder
        service = "" if tracked.route is None else tracked.route.service
        tracked.lease = InFlightLease(tracked.request_id, lease.lease_id, edge, service, now)
        if not lease.pulled:
            self._reserve_capacity(tracked.lease)
        self.start_lease(now, tracked, duration_ms)

    def dispatch(
        self, now: float, tracked: TrackedMessage, command: GrantLease
    ) -> SendDelivery | AnswerPoll | None:
        """Return the action that sends a message whose grant is committed.

        Returns None if the receiver has disconnected, or if the grant took so long that the token of a
        rate-limited service has expired; the caller then ends the attempt as not run.
        """
        lease = tracked.lease
        assert lease is not None, "the caller has found the lease that the command grants"
        queue = self._services.find(lease.service)
        if queue is not None and queue.bucket is not None and now - lease.proposed_at > MAX_GRANT_DELAY_S:
            self._release_poll(lease)
            return None
        if lease.poll_id is not None:
            return self._answer_poll(lease.poll_id, tracked, command)
        return self._send(lease.edge, tracked, command)

    def release(self, tracked: TrackedMessage) -> None:
        """Free the capacity of a lease that has ended or was not granted; its reserved poll waits again."""
        lease = tracked.lease
        if lease is None:
            return
        tracked.lease = None
        self._release_poll(lease)
        self._services.mark_dirty(lease.service)
        edge = self._edges.get_or_add(lease.edge)
        if edge.leases.pop(lease.lease_id, None) is None:
            return
        edge.leases_by_service[lease.service] -= 1
        queue = self._services.find(lease.service)
        if queue is not None:
            queue.in_flight -= 1

    def record_outcome(self, now: float, tracked: TrackedMessage, outcome: AttemptOutcome) -> None:
        """Record the end of the attempt under the message's lease in its service's concurrency limit."""
        queue = None if tracked.lease is None else self._services.find(tracked.lease.service)
        if queue is not None:
            queue.concurrency.record_outcome(now, outcome, queue.in_flight)

    def _grant_to_poll(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease | None:
        service = queue.service.name
        poll = self._polls.first(service)
        if poll is None:
            return None
        self._polls.reserve(poll)
        lease_id = self._lease_ids.next()
        tracked.lease = InFlightLease(tracked.request_id, lease_id, "", service, now, poll.poll_id)
        return GrantLease(
            tracked.request_id, lease_id, poll.request.instance, self.pull_duration_ms, pulled=True
        )

    def _grant_to_edge(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease | None:
        route = tracked.route
        service = queue.service.name
        assert route is not None, "a ready message has a route"
        edge = self._edges.choose(tracked.entry.message.origin, service, tracked.avoided_edge)
        if edge is None:
            return None
        lease_id = self._lease_ids.next()
        tracked.lease = InFlightLease(tracked.request_id, lease_id, edge.name, service, now)
        self._reserve_capacity(tracked.lease)
        duration_ms = route.timeout_ms + PUSH_LEASE_MARGIN_MS
        return GrantLease(tracked.request_id, lease_id, edge.name, duration_ms, pulled=False)

    def _reserve_capacity(self, lease: InFlightLease) -> None:
        edge = self._edges.get_or_add(lease.edge)
        edge.leases[lease.lease_id] = lease
        edge.leases_by_service[lease.service] += 1
        queue = self._services.find(lease.service)
        if queue is not None:
            queue.in_flight += 1

    def _release_poll(self, lease: InFlightLease) -> None:
        if lease.poll_id is not None:
            self._polls.release(lease.poll_id)

    def _answer_poll(self, poll_id: int, tracked: TrackedMessage, command: GrantLease) -> AnswerPoll | None:
        poll = self._polls.remove(poll_id)
        if poll is None:
            return None
        return AnswerPoll(poll.poll_id, poll.request.edge, command.lease_id, tracked.entry.message)

    def _send(self, name: str, tracked: TrackedMessage, command: GrantLease) -> SendDelivery | None:
        edge = self._edges.get_or_add(name)
        entry = tracked.entry
        if not edge.connected:
            return None
        return SendDelivery(
            name,
            entry.message,
            command.lease_id,
            command.duration_ms,
            entry.attempts,
            body_omitted=self._edges.holds_body(edge, tracked),
        )
