"""Leases of a shard's owner: who gets a message, what room that takes, and what goes out when."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.queue.actions import AnswerPoll, SendDelivery
from bitternpath.queue.commands import GrantLease
from bitternpath.queue.edges import EdgeTable
from bitternpath.queue.entries import Lease
from bitternpath.queue.lanes import LaneTable, ServiceLane
from bitternpath.queue.polls import PollTable
from bitternpath.queue.rate_limits import GRANT_LAG_S
from bitternpath.queue.tracked import OutLease, Tracked
from bitternpath.transport.records import AttemptOutcome

PUSH_LEASE_MARGIN_MS = (
    2_000  # beyond the route's time-out: way to the edge node, choice of a worker, way back
)


class LeaseTable:
    """Leases that are being granted or are out.

    `next_lease_id` draws identifiers; `pull_duration_ms` is that of leases for workers that pull.
    """

    def __init__(
        self,
        lanes: LaneTable,
        edges: EdgeTable,
        polls: PollTable,
        next_lease_id: Callable[[], str],
        pull_duration_ms: int,
    ) -> None:
        self._lanes = lanes
        self._edges = edges
        self._polls = polls
        self._next_lease_id = next_lease_id
        self._pull_duration_ms = pull_duration_ms

    def grant(self, now: float, lane: ServiceLane, tracked: Tracked) -> GrantLease | None:
        """The command that leases a ready message; None where nobody can take it."""
        if lane.service.pull_mode:
            command = self._grant_to_poll(now, lane, tracked)
        else:
            command = self._grant_to_edge(now, lane, tracked)
        if command is not None:
            lane.granted(now)
        return command

    def grant_ahead(self, now: float, lane: ServiceLane, tracked: Tracked) -> GrantLease:
        """The command that leases a message to whichever worker asks next: its lease is in the log before."""
        lease_id = self._next_lease_id()
        tracked.lease = OutLease(tracked.request_id, lease_id, "", lane.service.name, now)
        tracked.ahead = GrantLease(tracked.request_id, lease_id, "", self._pull_duration_ms, True)
        lane.ahead.add(tracked.request_id)
        return tracked.ahead

    def hand_out_ahead(self, now: float, lane: ServiceLane, tracked: Tracked) -> AnswerPoll | None:
        """Give a message whose lease is in the log to a worker that waits; None where none does."""
        poll, command = self._polls.first(lane.service.name), tracked.ahead
        if poll is None or command is None:
            return None
        self._polls.remove(poll.poll_id)
        self.forget_ahead(tracked)
        lane.granted(now)
        tracked.lease = OutLease(
            tracked.request_id, command.lease_id, "", lane.service.name, now, poll.poll_id
        )
        return AnswerPoll(poll.poll_id, poll.edge, command.lease_id, tracked.entry.message)

    def forget_ahead(self, tracked: Tracked) -> None:
        """A lease that was granted ahead is handed out, void, or not wanted any more."""
        if tracked.ahead is not None:
            tracked.ahead = None
            for lane in self._lanes.all():
                lane.ahead.discard(tracked.request_id)

    def adopt(self, now: float, tracked: Tracked, lease: Lease) -> None:
        """Count a lease that is in the state but was granted or given up earlier."""
        edge = "" if lease.pulled else lease.holder
        service = "" if tracked.route is None else tracked.route.service
        tracked.lease = OutLease(tracked.request_id, lease.lease_id, edge, service, now)
        if not lease.pulled:
            self._occupy(tracked.lease)

    def hand_out(self, now: float, tracked: Tracked, command: GrantLease) -> SendDelivery | AnswerPoll | None:
        """What goes out now that the grant is in the log.

        None: its receiver has gone, or it took so long that the token of a limited service has lapsed; the
        lease is then to be ended as not run.
        """
        lease = tracked.lease
        assert lease is not None
        lane = self._lanes.find(lease.service)
        if lane is not None and lane.bucket is not None and now - lease.proposed_at > GRANT_LAG_S:
            self._let_wait(lease)
            return None
        if lease.poll_id is not None:
            return self._answer_poll(lease.poll_id, tracked, command)
        return self._send(lease.edge, tracked, command)

    def release(self, tracked: Tracked) -> None:
        """A lease is over, or was not granted: its room is free; a worker that was to have it waits on."""
        lease, tracked.lease = tracked.lease, None
        if lease is None:
            return
        self._let_wait(lease)
        self._lanes.mark(lease.service)
        edge = self._edges.find(lease.edge)
        if edge.leases.pop(lease.lease_id, None) is None:
            return
        edge.out[lease.service] -= 1
        lane = self._lanes.find(lease.service)
        if lane is not None:
            lane.out -= 1

    def record(self, now: float, tracked: Tracked, outcome: AttemptOutcome) -> None:
        """Tell the service's retry budget how the attempt under the message's lease has ended."""
        lane = None if tracked.lease is None else self._lanes.find(tracked.lease.service)
        if lane is not None:
            lane.budget.record(now, outcome, lane.out)

    def _grant_to_poll(self, now: float, lane: ServiceLane, tracked: Tracked) -> GrantLease | None:
        service = lane.service.name
        poll = self._polls.first(service)
        if poll is None:
            return None
        self._polls.reserve(poll)
        lease_id = self._next_lease_id()
        tracked.lease = OutLease(tracked.request_id, lease_id, "", service, now, poll.poll_id)
        return GrantLease(tracked.request_id, lease_id, poll.instance, self._pull_duration_ms, True)

    def _grant_to_edge(self, now: float, lane: ServiceLane, tracked: Tracked) -> GrantLease | None:
        route, service = tracked.route, lane.service.name
        assert route is not None
        edge = self._edges.choose(tracked.entry.message.origin, service, tracked.avoided_edge)
        if edge is None:
            return None
        lease_id = self._next_lease_id()
        tracked.lease = OutLease(tracked.request_id, lease_id, edge.name, service, now)
        self._occupy(tracked.lease)
        duration_ms = route.timeout_ms + PUSH_LEASE_MARGIN_MS
        return GrantLease(tracked.request_id, lease_id, edge.name, duration_ms, False)

    def _occupy(self, lease: OutLease) -> None:
        edge = self._edges.find(lease.edge)
        edge.leases[lease.lease_id] = lease
        edge.out[lease.service] += 1
        lane = self._lanes.find(lease.service)
        if lane is not None:
            lane.out += 1

    def _let_wait(self, lease: OutLease) -> None:
        if lease.poll_id is not None:
            self._polls.release(lease.poll_id)

    def _answer_poll(self, poll_id: int, tracked: Tracked, command: GrantLease) -> AnswerPoll | None:
        poll = self._polls.remove(poll_id)
        if poll is None:
            return None
        return AnswerPoll(poll.poll_id, poll.edge, command.lease_id, tracked.entry.message)

    def _send(self, name: str, tracked: Tracked, command: GrantLease) -> SendDelivery | None:
        edge, entry = self._edges.find(name), tracked.entry
        if not edge.connected:
            return None
        omitted = self._edges.has_body(edge, tracked)
        return SendDelivery(
            name, entry.message, command.lease_id, command.duration_ms, entry.attempts, omitted
        )
