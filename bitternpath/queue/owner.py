"""Decisions of the owner of a queue shard.

`ShardOwner` is a pure decider: its inputs are typed calls with the time, its outputs are actions for the role
that holds it. It reads the replicated state and writes nothing but proposals. All it knows beyond the state
is lost with the ownership; a new owner starts from `leadership_acquired`.

A message leaves the shard only after its `GrantLease` has been applied, so that each later owner knows of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bitternpath.configuration.documents import RoutingTable
from bitternpath.queue.actions import Action, ExpirePoll, ProposeCommand
from bitternpath.queue.backoff import pause_after
from bitternpath.queue.callbacks import CallbackQueue
from bitternpath.queue.commands import (
    AppendMessage,
    Command,
    ConfirmCallbacks,
    EndAttempt,
    ExpireMessage,
    ForgetMessages,
    GrantLease,
)
from bitternpath.queue.edges import EdgeTable
from bitternpath.queue.entries import Entry, Lease, provisional_entry
from bitternpath.queue.granting import Granting
from bitternpath.queue.lanes import LaneTable
from bitternpath.queue.leases import LeaseTable
from bitternpath.queue.loans import TokenPools
from bitternpath.queue.placement import Placement
from bitternpath.queue.polls import Poll, PollTable
from bitternpath.queue.results import (
    Added,
    AttemptEnded,
    CallbacksConfirmed,
    Expired,
    Forgotten,
    LeaseGranted,
    Result,
)
from bitternpath.queue.routes import RouteIndex
from bitternpath.queue.sharding import lease_id
from bitternpath.queue.state import QueueState
from bitternpath.queue.timers import Timer, TimerKind, TimerQueue
from bitternpath.queue.tombstones import TombstoneQueue
from bitternpath.queue.tracked import Phase, Tracked
from bitternpath.transport.records import AttemptOutcome, Message

PULL_LEASE_MARGIN_MS = (
    500  # beyond `visible_ms`: the worker counts from an answer that is later than the grant
)
DEFAULT_RETENTION_S = 90.0  # for tombstones while there is no configuration
UNLIMITED_ATTEMPTS = 2**31 - 1  # for ends of messages whose route is not known here (yet, or any more)

RETURNS_BEFORE_EDGE_CHANGE = 2  # in a row, not run or without an answer

_IDLE = frozenset({Phase.HELD, Phase.BLOCKED, Phase.WAITING, Phase.READY})


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Figures of the settings' `bounds` (DEPLOY, "Settings of a process") that shards need."""

    visible_ms: int = 3_000
    status_s: float = 120.0
    ceiling_window_s: float = 5.0
    origin_rate_over: float = 1.1


class ShardOwner:
    """Owner of one shard of `shards`, on a node in `zone`, over the state that its replica applies."""

    def __init__(
        self, state: QueueState, shard: int, shards: int, zone: str, bounds: OwnerSettings, random: Random
    ) -> None:
        self._state = state
        self._shard = shard
        self._bounds = bounds
        self._random = random
        self._epoch = 0
        self._leases_counted = 0
        self._tracked: dict[str, Tracked] = {}
        self._routes = RouteIndex()
        self._lanes = LaneTable(shards, bounds.ceiling_window_s, bounds.origin_rate_over)
        self._pools = TokenPools(shard, shards, bounds.ceiling_window_s, bounds.origin_rate_over)
        self._edges = EdgeTable(zone, random)
        self._polls = PollTable()
        self._pull_duration_ms = bounds.visible_ms + PULL_LEASE_MARGIN_MS
        self._leases = LeaseTable(
            self._lanes, self._edges, self._polls, self._next_lease_id, self._pull_duration_ms
        )
        self._granting = Granting(
            state, self._routes, self._lanes, self._leases, self._emit, self._enter_leased
        )
        self._timers = TimerQueue()
        self._placement = Placement(state, self._routes, self._lanes, self._timers)
        self._callbacks = CallbackQueue(self._edges, random)
        self._tombstones = TombstoneQueue(bounds.status_s)
        self._actions: list[Action] = []

    # ---- inputs: ownership, configuration, edge nodes

    def leadership_acquired(self, now: float, epoch: int) -> list[Action]:
        """Begin, once all commands of earlier epochs are applied. Each lease counts as extended now."""
        self._epoch = epoch
        for entry in self._state:
            if entry.ended:
                self._keep_tombstone(entry)
            else:
                self._take_in(now, entry)
        return self._finish(now)

    def configure(self, now: float, table: RoutingTable) -> list[Action]:
        """Follow another configuration from now on; an older one than the present one is ignored."""
        if self._routes.table is not None and table.version < self._routes.table.version:
            return []
        self._lanes.configure(now, table.services)
        self._pools.configure(now, table.services)
        for tracked in self._routes.configure(table):
            if tracked.phase in _IDLE:
                self._place(now, tracked)
        return self._finish(now)

    def set_capacities(self, now: float, slots: dict[str, int]) -> list[Action]:
        """How many slots the listed workers of each service have, by the platform's list."""
        self._lanes.set_capacities(slots)
        return self._finish(now)

    def lend_tokens(self, now: float, service: str, wanted: int) -> int:
        """Tokens for another shard, or this one, of a service whose home is here. The caller knows that this
        owner has no successor yet."""
        return self._pools.lend(now, service, wanted)

    def tokens_lent(self, now: float, service: str, tokens: int, asked_at: float) -> list[Action]:
        """The answer to `BorrowTokens`, which was handed over at `asked_at`."""
        lane = self._lanes.find(service)
        if lane is not None and lane.loan is not None:
            lane.loan.lent(now, tokens, asked_at)
            self._lanes.mark(service)
        return self._finish(now)

    def edge_connected(self, now: float, name: str, zone: str) -> list[Action]:
        """An edge node is connected. Of a new life, call `edge_process_ended` for the old one first."""
        edge = self._edges.find(name)
        edge.zone = zone
        edge.connected = True
        self._lanes.mark_all()
        return self._finish(now)

    def edge_disconnected(self, now: float, name: str) -> list[Action]:
        """The connection to an edge node has ended. Its leases go on: it may be at work."""
        self._edges.find(name).connected = False
        self._polls.remove_of_edge(name)
        return self._finish(now)

    def edge_process_ended(self, now: float, name: str) -> list[Action]:
        """The process of an edge node has ended.

        Its leases on messages without an order key are over. A worker may still run one that has a key: that
        lease goes on until its end.
        """
        edge = self._edges.find(name)
        edge.connected = False
        edge.lost_at = now
        self._polls.remove_of_edge(name)
        for lease in list(edge.leases.values()):
            tracked = self._tracked[lease.request_id]
            if tracked.phase is Phase.LEASED and not tracked.entry.message.order_key:
                self._lease_over(now, tracked)
        return self._finish(now)

    # ---- inputs: workers that pull, ends, call-backs

    def poll(
        self, now: float, poll_id: int, edge: str, service: str, instance: str, wait_s: float
    ) -> list[Action]:
        """A worker waits for a job at an edge node. `poll_id` is unique over all edge nodes."""
        local = self._edges.is_local(edge)
        self._polls.add(Poll(poll_id, edge, service, instance, now + wait_s, local))
        self._lanes.mark(service)
        return self._finish(now)

    def cancel_poll(self, now: float, poll_id: int) -> list[Action]:
        """The worker waits no more; a job that is being granted to it will be handed back."""
        self._polls.remove(poll_id)
        return self._finish(now)

    def extend(self, now: float, request_id: str, lease_id: str) -> bool:
        """A worker still holds its pulled job; False where the lease is gone. Not in the log."""
        tracked = self._tracked.get(request_id)
        lease = None if tracked is None else tracked.entry.lease
        if tracked is None or lease is None or lease.lease_id != lease_id or not lease.pulled:
            return False
        if tracked.phase is Phase.LEASED:
            tracked.ends_at = now + self._pull_duration_ms / 1000
            return True
        if tracked.phase not in _IDLE:
            return False
        self._hold_lease(now, tracked, lease, self._pull_duration_ms)
        return True

    def end_attempt_command(
        self, request_id: str, lease_id: str, outcome: AttemptOutcome, stamp: str, retry_after_ms: int
    ) -> EndAttempt:
        """The command for a holder's word, with the `max_attempts` in force. The caller proposes it.

        A holder's word that the route is gone hands the message back: its configuration may be older than the
        message. Whether the message ends is decided here, by the table in force.
        """
        if outcome is AttemptOutcome.ROUTE_GONE:
            outcome = AttemptOutcome.NOT_RUN
        tracked = self._tracked.get(request_id)
        if tracked is not None:
            self._routes.assign(tracked)
        route = None if tracked is None else tracked.route
        attempts = UNLIMITED_ATTEMPTS if route is None else route.max_attempts
        return EndAttempt(request_id, lease_id, outcome, stamp, attempts, retry_after_ms)

    def callback_report(self, now: float, request_id: str, taken: bool) -> list[Action]:
        """How a call-back went."""
        self._callbacks.report(now, request_id, taken)
        return self._finish(now)

    # ---- inputs: the log, time

    def append_proposed(self, now: float, message: Message) -> list[Action]:
        """A message's append has just been proposed. Where it can be leased at once, its lease goes into the
        log right behind it: one round of replicas and one sync for both. Empty where it can't; else
        `append_failed` is to be called should the append surely never be in the log.
        """
        if message.request_id in self._tracked or self._state.find(message.request_id) is not None:
            return []
        tracked = Tracked(provisional_entry(message, now), accepted_here=True)
        command = self._granting.at_once(now, tracked)
        if command is None:
            self._routes.remove(tracked)
            return []
        self._tracked[message.request_id] = tracked
        tracked.enter(Phase.GRANTING)
        self._actions.append(ProposeCommand(command))
        return self._finish(now)

    def append_failed(self, request_id: str) -> None:
        """An append for which `append_proposed` gave actions is surely not in the log, nor is its lease."""
        tracked = self._tracked.pop(request_id, None)
        if tracked is not None:
            self._leases.forget_ahead(tracked)
            self._leases.release(tracked)
            self._routes.remove(tracked)

    def applied(self, now: float, command: Command, result: Result) -> list[Action]:
        """A command has been applied to the state; to be called after each one, before the next."""
        match result:
            case Added(new=True):
                self._message_added(now, result)
            case LeaseGranted():
                self._lease_granted(now, result)
            case AttemptEnded(effective=True):
                self._attempt_ended(now, result)
            case Expired():
                self._expiry_applied(now, result)
            case CallbacksConfirmed() | Forgotten():
                for request_id in result.command.request_ids:
                    self._callbacks.confirmed(request_id)
            case _:
                pass
        return self._finish(now)

    def proposal_failed(self, now: float, command: Command) -> list[Action]:
        """A proposal of this owner will surely never be in the log, though it still owns the shard."""
        match command:
            case GrantLease():
                tracked = self._tracked.get(command.request_id)
                lease = None if tracked is None else tracked.lease
                if tracked is not None and lease is not None and lease.lease_id == command.lease_id:
                    self._not_granted(now, tracked)
            case ExpireMessage():
                tracked = self._tracked.get(command.request_id)
                if tracked is not None and tracked.phase is Phase.ENDING:
                    self._not_granted(now, tracked)
            case ConfirmCallbacks():
                for request_id in command.request_ids:
                    self._callbacks.reopen(request_id)
            case ForgetMessages():
                for request_id in command.request_ids:
                    entry = self._state.find(request_id)
                    if entry is not None:
                        self._tombstones.retry(now, entry)
            case EndAttempt():
                tracked = self._tracked.get(command.request_id)
                lease = None if tracked is None else tracked.lease
                if lease is not None and lease.lease_id == command.lease_id:
                    self._actions.append(ProposeCommand(command))
            case AppendMessage():
                pass
        return self._finish(now)

    def _not_granted(self, now: float, tracked: Tracked) -> None:
        self._leases.forget_ahead(tracked)
        self._leases.release(tracked)
        self._place(now, tracked)

    def tick(self, now: float) -> list[Action]:
        """Let everything happen whose time has come."""
        while (timer := self._timers.pop_due(now)) is not None:
            self._fire(now, timer)
        self._lanes.advance(now)
        while (poll := self._polls.pop_expired(now)) is not None:
            self._actions.append(ExpirePoll(poll.poll_id, poll.edge))
        for command in self._tombstones.collect(now, self._longest_retention()):
            self._actions.append(ProposeCommand(command))
        return self._finish(now)

    def next_wakeup(self, now: float) -> float | None:
        """When `tick` is wanted next; None: not before another input."""
        times = (
            self._timers.next_time(),
            self._lanes.next_wakeup(),
            self._polls.next_deadline(),
            self._callbacks.next_wakeup(),
            self._tombstones.next_wakeup(),
        )
        return min((max(now, when) for when in times if when is not None), default=None)

    # ---- messages and their phases

    def _take_in(self, now: float, entry: Entry) -> None:
        """Track a message at a take-over. Its holder may be at work on it: the lease counts from now."""
        tracked = self._tracked[entry.message.request_id] = Tracked(entry, accepted_here=False)
        if entry.lease is None:
            self._place(now, tracked)
        else:
            self._routes.assign(tracked)
            self._hold_lease(now, tracked, entry.lease, entry.lease.duration_ms)

    def _hold_lease(self, now: float, tracked: Tracked, lease: Lease, duration_ms: int) -> None:
        """Regard the lease in the state as out, from now on."""
        self._leases.adopt(now, tracked, lease)
        self._enter_leased(now, tracked, duration_ms)

    def _enter_leased(self, now: float, tracked: Tracked, duration_ms: int) -> None:
        tracked.enter(Phase.LEASED)
        tracked.ends_at = now + duration_ms / 1000
        self._timers.set(tracked.ends_at, TimerKind.PHASE, tracked)

    def _place(self, now: float, tracked: Tracked) -> None:
        """Put a message that is neither leased nor ended where it belongs now."""
        command = self._placement.place(now, tracked)
        if command is not None:
            self._actions.append(ProposeCommand(command))

    def _fire(self, now: float, timer: Timer) -> None:
        tracked = timer.tracked
        if timer.kind is TimerKind.RETENTION:
            if timer.when == tracked.retention_timer:
                tracked.retention_timer = float("inf")
            if tracked.phase in _IDLE:
                self._place(now, tracked)
        elif tracked.phase in (Phase.WAITING, Phase.HELD):
            self._place(now, tracked)
        elif tracked.phase is Phase.LEASED and now < tracked.ends_at:
            self._timers.set(tracked.ends_at, TimerKind.PHASE, tracked)
        elif tracked.phase is Phase.LEASED:
            self._lease_over(now, tracked)

    def _lease_over(self, now: float, tracked: Tracked) -> None:
        """Its holder has said nothing in time. Until the next grant the state still takes its word."""
        if tracked.lease is not None:
            tracked.avoided_edge = tracked.lease.edge
        self._leases.release(tracked)
        self._place(now, tracked)

    # ---- leases

    def _finish(self, now: float) -> list[Action]:
        """Grant what can be granted, send call-backs, and hand over the actions."""
        for lane in self._lanes.take_marked():
            self._granting.grant_ready(now, lane)
        self._actions.extend(self._callbacks.advance(now))
        proposes = any(isinstance(action, ProposeCommand) for action in self._actions)
        if (command := self._callbacks.confirmation(now, proposes)) is not None:
            self._actions.append(ProposeCommand(command))
        actions, self._actions = self._actions, []
        return actions

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def _next_lease_id(self) -> str:
        self._leases_counted += 1
        return lease_id(self._shard, self._epoch, self._leases_counted)

    # ---- applied commands

    def _message_added(self, now: float, result: Added) -> None:
        entry = self._state.find(result.command.message.request_id)
        if entry is None or entry.ended:
            return
        self._state.count_delay_from_now(entry)
        early = self._tracked.get(entry.message.request_id)
        if early is not None:
            early.entry = entry  # its lease is the next command
            return
        tracked = self._tracked[entry.message.request_id] = Tracked(entry, accepted_here=True)
        self._place(now, tracked)

    def _lease_granted(self, now: float, result: LeaseGranted) -> None:
        command = result.command
        tracked = self._tracked.get(command.request_id)
        if tracked is None or tracked.lease is None or tracked.lease.lease_id != command.lease_id:
            return
        if not result.ok:
            self._not_granted(now, tracked)
            return
        if tracked.ahead is not None and tracked.ahead.lease_id == command.lease_id:
            tracked.lease = None
            self._place(now, tracked)
            return
        self._enter_leased(now, tracked, command.duration_ms)
        action = self._leases.hand_out(now, tracked, command)
        if action is None:
            self._return_unsent(command)
        else:
            self._actions.append(action)

    def _return_unsent(self, grant: GrantLease) -> None:
        command = self.end_attempt_command(grant.request_id, grant.lease_id, AttemptOutcome.NOT_RUN, "", 0)
        self._actions.append(ProposeCommand(command))

    def _attempt_ended(self, now: float, result: AttemptEnded) -> None:
        command = result.command
        tracked = self._tracked.get(command.request_id)
        if tracked is None:
            return
        edge = ""
        if tracked.lease is not None and tracked.lease.lease_id == command.lease_id:
            edge = tracked.lease.edge
            self._leases.record(now, tracked, command.outcome)
            self._leases.release(tracked)
        if result.ended_now:
            self._message_ended(now, tracked)
            return
        repetitions = tracked.count_outcome(command.outcome)
        in_vain = command.outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.UNKNOWN)
        if in_vain and repetitions + 1 >= RETURNS_BEFORE_EDGE_CHANGE:
            tracked.avoided_edge = edge
        pause = pause_after(command.outcome, repetitions, command.retry_after_ms, self._random)
        tracked.not_before = now + pause
        if tracked.phase not in (Phase.GRANTING, Phase.ENDING):
            self._place(now, tracked)

    def _expiry_applied(self, now: float, result: Expired) -> None:
        tracked = self._tracked.get(result.command.request_id)
        if tracked is None:
            return
        if result.ended_now:
            self._message_ended(now, tracked)
        elif tracked.phase is Phase.ENDING:
            self._place(now, tracked)

    def _message_ended(self, now: float, tracked: Tracked) -> None:
        """Keep the tombstone, and let the next message of its order key go."""
        self._leases.forget_ahead(tracked)
        self._leases.release(tracked)
        tracked.enter(Phase.ENDED)
        del self._tracked[tracked.request_id]
        self._routes.remove(tracked)
        self._keep_tombstone(tracked.entry)
        key = tracked.entry.message.order_key
        head = self._state.order_head(key) if key else None
        successor = None if head is None else self._tracked.get(head.message.request_id)
        if successor is not None and successor.phase is Phase.BLOCKED:
            self._place(now, successor)

    def _keep_tombstone(self, entry: Entry) -> None:
        self._tombstones.add(entry)
        if entry.callback_pending:
            self._callbacks.owe(entry)

    def _longest_retention(self) -> float:
        table = self._routes.table
        if table is None:
            return DEFAULT_RETENTION_S
        return max((route.retention_s for route in table.routes.values()), default=DEFAULT_RETENTION_S)
