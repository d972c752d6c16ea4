"""Which ready messages are leased now, and to whom; lost with the ownership, like all that decides."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.queue.actions import Action, BorrowTokens, ProposeCommand, RequestPollers
from bitternpath.queue.commands import GrantLease
from bitternpath.queue.lanes import LaneTable, ServiceLane
from bitternpath.queue.leases import LeaseTable
from bitternpath.queue.loans import MOST_BORROWED
from bitternpath.queue.routes import RouteIndex
from bitternpath.queue.state import QueueState
from bitternpath.queue.tracked import Phase, Tracked

# While jobs wait and no worker that pulls does: workers are asked for at this pause, doubled each time.
POLLS_ASKED_FIRST_S, POLLS_ASKED_MOST_S = 0.05, 0.2

# Jobs of a service in one shard that are leased before a worker asks, so that it needn't wait for a round of
# replicas. After a take-over they are taken for handed out, and wait until their leases end.
MOST_AHEAD = 32


class Granting:
    """Grants leases in the order of the lanes.

    `emit` takes what is to be done; `hold(now, tracked, duration_ms)` regards a message as leased from now.
    """

    def __init__(
        self,
        state: QueueState,
        routes: RouteIndex,
        lanes: LaneTable,
        leases: LeaseTable,
        emit: Callable[[Action], None],
        hold: Callable[[float, Tracked, int], None],
    ) -> None:
        self._state, self._routes = state, routes
        self._lanes, self._leases = lanes, leases
        self._emit, self._hold = emit, hold

    def at_once(self, now: float, tracked: Tracked) -> GrantLease | None:
        """The command that leases a message that is being appended; None where it has to wait."""
        lane = self._lane_at_once(tracked)
        if lane is None:
            return None
        if lane.ready.first(now) is None and lane.next_grant(now) == now:
            command = self._leases.grant(now, lane, tracked)
            if command is not None:
                return command
        if not _may_grant_ahead(lane):
            return None
        command = self._leases.grant_ahead(now, lane, tracked)
        self._ask_for_polls(now, lane)
        return command

    def grant_ready(self, now: float, lane: ServiceLane) -> None:
        """Grant what can be granted of one service."""
        while (tracked := lane.ready.first(now)) is not None:
            when = lane.next_grant(now)
            if when != now:
                self._wait(now, lane, when)
                return
            if tracked.ahead is not None and lane.service.pull_mode:
                granted = self._hand_out_ahead(now, lane, tracked, tracked.ahead)
            else:
                granted = self._grant(now, lane, tracked)
            if not granted:
                return
        lane.polls_asked_pause = min(lane.polls_asked_pause, POLLS_ASKED_FIRST_S)

    def _wait(self, now: float, lane: ServiceLane, when: float | None) -> None:
        """Nothing of a service can be granted now; `when`: but then, or None: after a lease has ended."""
        if when is not None:
            self._lanes.wake_at(when, lane)
        if lane.loan is None or not lane.awaits_token(now):
            return
        if now >= lane.loan.ask_at:
            lane.loan.asked(now)
            self._emit(BorrowTokens(lane.service.name, min(len(lane.ready), MOST_BORROWED)))
        self._lanes.wake_at(lane.loan.ask_at, lane)

    def _lane_at_once(self, tracked: Tracked) -> ServiceLane | None:
        """The lane of a message that nothing holds back, as far as is known before its append is applied. An
        earlier one of its order key that is being appended too makes the lease void, as it is applied."""
        message = tracked.entry.message
        if message.delay_ms > 0 or (message.order_key and self._state.order_head(message.order_key)):
            return None
        self._routes.assign(tracked)
        return None if tracked.route is None else self._lanes.find(tracked.route.service)

    def _grant(self, now: float, lane: ServiceLane, tracked: Tracked) -> bool:
        """Propose a lease on a ready message; False where it has to wait, and with it those behind it."""
        self._leases.forget_ahead(tracked)  # the service's workers don't pull any more
        command = self._leases.grant(now, lane, tracked)
        if command is None:
            self._ask_for_polls(now, lane)
            if tracked.entry.leases_granted or not _may_grant_ahead(lane):
                return False  # a worker that had it may still say so: a new lease would refuse its word
            command = self._leases.grant_ahead(now, lane, tracked)
        tracked.enter(Phase.GRANTING)
        self._emit(ProposeCommand(command))
        return True

    def _hand_out_ahead(self, now: float, lane: ServiceLane, tracked: Tracked, command: GrantLease) -> bool:
        """Give a message whose lease is in the log to a worker; False where none waits."""
        action = self._leases.hand_out_ahead(now, lane, tracked)
        if action is None:
            self._ask_for_polls(now, lane)
            return False
        self._hold(now, tracked, command.duration_ms)
        self._emit(action)
        return True

    def _ask_for_polls(self, now: float, lane: ServiceLane) -> None:
        """Jobs wait for workers that pull, and none waits here: edge nodes may know of some elsewhere."""
        if not lane.service.pull_mode:
            return
        if now >= lane.polls_asked_at + lane.polls_asked_pause:
            lane.polls_asked_at = now
            lane.polls_asked_pause = min(
                2 * lane.polls_asked_pause or POLLS_ASKED_FIRST_S, POLLS_ASKED_MOST_S
            )
            self._emit(RequestPollers(lane.service.name, max(len(lane.ready), len(lane.ahead), 1)))
        self._lanes.wake_at(lane.polls_asked_at + lane.polls_asked_pause, lane)


def _may_grant_ahead(lane: ServiceLane) -> bool:
    return lane.service.pull_mode and len(lane.ahead) < MOST_AHEAD
