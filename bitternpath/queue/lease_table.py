"""Leases at a shard's owner: to whom they go, what capacity they take, and what is sent when.

The states of a lease, which follow from the message's `phase`, `lease` and `pregrant`:

    ==========  ====================================================  ==================================
    state       meaning                                               goes on to
    ==========  ====================================================  ==================================
    proposed    `GrantLease` is proposed; it takes capacity of its    out, pregranted; released where it
                edge node and service, or a poll is reserved for it   is void, not proposed, or can't be
                                                                      sent any more
    pregranted  committed in advance for a pulling worker; nobody     out, with the next poll; released
                has the message                                       when the message ends
    out         the holder has the message; an extension moves the    released
                lease's end
    released    its time is over, its edge node's process has ended,  out, by an extension of a pulled
                or its attempt has                                    lease that is still current
    ==========  ====================================================  ==================================

In the replicated state (`state`) a lease is current from `GrantLease` to `EndAttempt`, the next `GrantLease`
or the message's end. So the report of a released lease still counts while no other one is granted: a holder
that is late has done the work, and nobody else has begun it.

A message is sent only after its `GrantLease` has been applied, so that each later owner knows of it.
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

# Beyond the route's time-out: way to the edge node, choice of a worker, way back.
PUSH_LEASE_MARGIN_MS = 2_000


class LeaseHolders(Struct, frozen=True):
    """Who may get a lease: edge nodes for messages that are pushed, long polls for those that are pulled."""

    edges: EdgeNodeTable
    polls: LongPollTable


class LeaseTable:
    """Leases that are proposed or out, with the capacity they take of edge nodes, services and polls."""

    def __init__(
        self,
        services: ServiceQueueTable,
        holders: LeaseHolders,
        timers: TimerQueue,
        ids: LeaseIdSequence,
        pull_duration_ms: int,
    ) -> None:
        """Begin without leases; those for pulling workers last `pull_duration_ms`."""
        self.pull_duration_ms = pull_duration_ms
        self._services = services
        self._edges = holders.edges
        self._polls = holders.polls
        self._timers = timers
        self._ids = ids

    def grant(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease | None:
        """Return the command that leases a ready message; None where nobody can take it."""
        if queue.service.pull_mode:
            command = self._grant_to_poll(now, queue, tracked)
        else:
            command = self._grant_to_edge(now, queue, tracked)
        if command is not None:
            queue.record_grant(now)
        return command

    def pregrant(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease:
        """Return the command that leases a message in advance, to whichever worker polls next."""
        lease_id = self._ids.next()
        tracked.lease = InFlightLease(tracked.request_id, lease_id, "", queue.service.name, now)
        tracked.pregrant = GrantLease(tracked.request_id, lease_id, "", self.pull_duration_ms, pulled=True)
        queue.pregranted.add(tracked.request_id)
        return tracked.pregrant

    def dispatch_pregranted(
        self, now: float, queue: ServiceQueue, tracked: TrackedMessage, grant: GrantLease
    ) -> AnswerPoll | None:
        """Give a message whose lease is committed to a worker that waits; None where none does."""
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
        """Count a lease in advance no more: it is handed out, void, or not wanted."""
        if tracked.pregrant is not None:
            tracked.pregrant = None
            for queue in self._services.all():
                queue.pregranted.discard(tracked.request_id)

    def start_lease(self, now: float, tracked: TrackedMessage, duration_ms: int) -> None:
        """Regard a message as leased from now."""
        tracked.enter(MessagePhase.LEASED)
        tracked.lease_ends_at = now + duration_ms / 1000
        self.set_timer(tracked)

    def set_timer(self, tracked: TrackedMessage) -> None:
        """Have the owner re-check a leased message at `lease_ends_at`."""
        self._timers.set(tracked.lease_ends_at, TimerKind.PHASE, tracked)

    def adopt(self, now: float, tracked: TrackedMessage, lease: Lease, duration_ms: int) -> None:
        """Regard a lease as out from now that is current but was granted by another owner, or released."""
        edge = "" if lease.pulled else lease.holder
        service = "" if tracked.route is None else tracked.route.service
        tracked.lease = InFlightLease(tracked.request_id, lease.lease_id, edge, service, now)
        if not lease.pulled:
            self._reserve_capacity(tracked.lease)
        self.start_lease(now, tracked, duration_ms)

    def dispatch(
        self, now: float, tracked: TrackedMessage, command: GrantLease
    ) -> SendDelivery | AnswerPoll | None:
        """Return what is sent now that the grant is committed.

        None: the receiver has disconnected, or the grant took so long that the token of a limited service has
        lapsed; the lease is then to be ended as not run.
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
        """Free the capacity of a lease that is over or was not granted; a worker meant for it waits on."""
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
        """Count the end of the attempt under the message's lease in the concurrency limit of its service."""
        queue = None if tracked.lease is None else self._services.find(tracked.lease.service)
        if queue is not None:
            queue.concurrency.record_outcome(now, outcome, queue.in_flight)

    def _grant_to_poll(self, now: float, queue: ServiceQueue, tracked: TrackedMessage) -> GrantLease | None:
        service = queue.service.name
        poll = self._polls.first(service)
        if poll is None:
            return None
        self._polls.reserve(poll)
        lease_id = self._ids.next()
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
        lease_id = self._ids.next()
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
