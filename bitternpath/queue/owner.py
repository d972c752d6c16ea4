"""Decisions of the owner of a queue shard.

`ShardOwner` does no input or output. Its inputs are events, each a method call with the current time; its
outputs are `actions`, which its role carries out. It reads the replicated state and changes it only through
the commands that it proposes. Everything else that it stores is lost when ownership changes; a new owner
starts from `leadership_acquired`.

Invariants:

- A message is sent only after its `GrantLease` has been applied, so that every later owner knows the lease.
- A lease granted by an earlier owner restarts when a new owner takes over, since its holder may be running
  the message.
- After each event the owner's role calls `next_wakeup`, and calls `tick` at that time, so that a due timer
  never waits for an unrelated event.

Faults that left messages undelivered, and what prevents them:

- A failed leadership transfer had rejected proposals: `proposal_failed` retries each of them.
- An edge node partitioned from the workers returned the same message repeatedly: after
  `lifecycle.RETURNS_BEFORE_EDGE_CHANGE` returns the message goes to another edge node.
- A message for pulling workers waited at one shard while workers waited at others: `RequestPollers` moves
  workers to the shard.
"""

from __future__ import annotations

from random import Random

from msgspec import Struct

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.actions import Action, ExpirePoll, ProposeCommand
from bitternpath.queue.commands import (
    AppendMessage,
    Command,
    ConfirmCallbacks,
    EndAttempt,
    ExpireMessage,
    GrantLease,
    RemoveTombstones,
)
from bitternpath.queue.edge_nodes import EdgeNodeTable
from bitternpath.queue.ended_messages import EndedMessages
from bitternpath.queue.entries import provisional_entry
from bitternpath.queue.lease_granting import LeaseGranter
from bitternpath.queue.lease_table import LeaseHolders, LeaseTable
from bitternpath.queue.lifecycle import MessageLifecycle
from bitternpath.queue.long_polls import LongPoll, LongPollRequest, LongPollTable
from bitternpath.queue.phase_assignment import PhaseAssigner
from bitternpath.queue.quota_leases import QuotaPools
from bitternpath.queue.rate_limits import RateBound
from bitternpath.queue.results import (
    AttemptEnded,
    CallbacksConfirmed,
    LeaseGranted,
    MessageAppended,
    MessageExpired,
    Result,
    TombstonesRemoved,
)
from bitternpath.queue.routes import RouteIndex
from bitternpath.queue.service_queues import ServiceQueueTable
from bitternpath.queue.sharding import LeaseIdSequence
from bitternpath.queue.state import QueueState
from bitternpath.queue.timers import TimerQueue
from bitternpath.queue.tracked_messages import TrackedMessage
from bitternpath.transport.records import AttemptOutcome, Message

# Added to the visibility time-out: the worker measures it from the response, which arrives after the grant.
PULL_LEASE_MARGIN_MS = 500
DEFAULT_RETENTION_S = 90.0  # used for tombstones while no configuration is known


class OwnerSettings(Struct, frozen=True):
    """Values of the settings' `bounds` (DEPLOY, "Settings of a process") that shards need."""

    visibility_timeout_ms: int = 3_000  # `visible_ms`: how long a pulled message is hidden from other workers
    status_retention_s: float = 120.0  # `status_s`: how long clients may query the state of an ended message
    rate_window_s: float = 5.0  # `ceiling_window_s`: sliding window of rate limits
    rate_tolerance: float = 1.1  # `origin_rate_over`: factor by which a window may exceed the rate


class OwnedShard(Struct, frozen=True):
    """Number of the owned shard, and the environment of its owner."""

    number: int
    shard_count: int  # number of shards in the system
    zone: str  # zone of the owner's node


class ShardOwner:
    """Owner of one shard; reads the state that its replica applies.

    Each event method returns the actions to carry out, in order. Times are in seconds on the local steady
    clock and never decrease.
    """

    def __init__(self, state: QueueState, shard: OwnedShard, settings: OwnerSettings, random: Random) -> None:
        """Create an owner without messages; call `leadership_acquired` before any other method."""
        bound = RateBound(shard.shard_count, settings.rate_window_s, settings.rate_tolerance)
        self._state = state
        self._actions: list[Action] = []
        self._lease_ids = LeaseIdSequence(shard.number)
        self._routes = RouteIndex()
        self._services = ServiceQueueTable(bound)
        self._pools = QuotaPools(shard.number, bound)
        self._edges = EdgeNodeTable(shard.zone, random)
        self._polls = LongPollTable()
        self._timers = TimerQueue()
        self._leases = LeaseTable(
            self._services,
            LeaseHolders(self._edges, self._polls),
            self._timers,
            self._lease_ids,
            settings.visibility_timeout_ms + PULL_LEASE_MARGIN_MS,
        )
        self._granter = LeaseGranter(state, self._routes, self._services, self._leases, self._emit)
        self._ended_messages = EndedMessages(self._edges, random, settings.status_retention_s)
        self._lifecycle = MessageLifecycle(
            state,
            PhaseAssigner(state, self._routes, self._services, self._timers),
            self._leases,
            self._ended_messages,
            random,
        )

    # ---- events: ownership, configuration, edge nodes

    def leadership_acquired(self, now: float, epoch: int) -> list[Action]:
        """Adopt the messages of the state. Each existing lease restarts at `now`.

        The caller has applied all commands of earlier epochs.
        """
        self._lease_ids.epoch = epoch
        for entry in self._state:
            if entry.ended:
                self._ended_messages.add(entry)
            else:
                self._emit_optional(self._lifecycle.adopt(now, entry))
        return self._grant_and_collect_actions(now)

    def configure(self, now: float, table: RoutingTable) -> list[Action]:
        """Apply a configuration; one older than the current one is ignored."""
        if self._routes.table is not None and table.version < self._routes.table.version:
            return []
        self._services.configure(now, table.services)
        self._pools.configure(now, table.services)
        for tracked in self._routes.configure(table):
            self._emit_optional(self._lifecycle.reassign_if_idle(now, tracked))
        return self._grant_and_collect_actions(now)

    def set_capacities(self, now: float, slots: dict[str, int]) -> list[Action]:
        """Set the number of slots that the listed workers of each service have."""
        self._services.set_capacities(slots)
        return self._grant_and_collect_actions(now)

    def edge_connected(self, now: float, name: str, zone: str) -> list[Action]:
        """Send messages to an edge node that has connected.

        If it replaces an earlier process of the same node, call `edge_process_ended` first.
        """
        edge = self._edges.get_or_add(name)
        edge.zone = zone
        edge.connected = True
        self._services.mark_all_dirty()
        return self._grant_and_collect_actions(now)

    def edge_disconnected(self, now: float, name: str) -> list[Action]:
        """Stop sending to an edge node. Its leases remain, since it may be running the messages."""
        self._edges.get_or_add(name).connected = False
        self._polls.remove_of_edge(name)
        return self._grant_and_collect_actions(now)

    def edge_process_ended(self, now: float, name: str) -> list[Action]:
        """Release the leases of an edge node whose process has ended, except for ordered messages."""
        edge = self._edges.get_or_add(name)
        edge.connected = False
        edge.process_ended_at = now
        self._polls.remove_of_edge(name)
        for lease in list(edge.leases.values()):
            self._emit_optional(self._lifecycle.edge_process_ended(now, lease.request_id))
        return self._grant_and_collect_actions(now)

    # ---- events: rate limits that shards share

    def lend_tokens(self, now: float, service: str, wanted: int) -> int:
        """Lend tokens of a service whose home shard is this one; returns the number lent.

        The caller has confirmed that this owner has no successor yet.
        """
        return self._pools.lend(now, service, wanted)

    def tokens_lent(self, now: float, service: str, tokens: int, requested_at: float) -> list[Action]:
        """Process the response to a `BorrowTokens` action that was returned at `requested_at`."""
        queue = self._services.find(service)
        if queue is not None and queue.borrower is not None:
            queue.borrower.tokens_lent(now, tokens, requested_at)
            self._services.mark_dirty(service)
        return self._grant_and_collect_actions(now)

    # ---- events: workers that pull, reports of holders, call-backs

    def poll(self, now: float, request: LongPollRequest) -> list[Action]:
        """Register a worker that waits for a message at an edge node."""
        is_local = self._edges.is_local(request.edge)
        self._polls.add(LongPoll(request, now + request.wait_s, is_local))
        self._services.mark_dirty(request.service)
        return self._grant_and_collect_actions(now)

    def cancel_poll(self, now: float, poll_id: int) -> list[Action]:
        """Cancel a worker's poll; a message that is being leased to it will be returned."""
        self._polls.remove(poll_id)
        return self._grant_and_collect_actions(now)

    def extend(self, now: float, request_id: str, lease_id: str) -> bool:
        """Extend the lease of a pulled message; False if the lease is not current.

        Extensions are not written to the log.
        """
        return self._lifecycle.extend(now, request_id, lease_id)

    def end_attempt_command(
        self, request_id: str, lease_id: str, outcome: AttemptOutcome, stamp: str, retry_after_ms: int
    ) -> EndAttempt:
        """Return the command for a holder's report, with the current `max_attempts`. The caller proposes it.

        A report that the route no longer exists only returns the message, since the holder's configuration
        may be older than the message. The owner's own routing table decides whether the message ends.
        """
        return self._lifecycle.end_attempt_command(request_id, lease_id, outcome, stamp, retry_after_ms)

    def callback_report(self, now: float, request_id: str, *, acknowledged: bool) -> list[Action]:
        """Process an edge node's report on whether a receiver acknowledged a call-back."""
        self._ended_messages.callbacks.report(now, request_id, acknowledged=acknowledged)
        return self._grant_and_collect_actions(now)

    # ---- events: the log

    def append_proposed(self, now: float, message: Message) -> list[Action]:
        """Lease a message whose append has just been proposed, if it can be leased immediately.

        The grant follows the append in the log, so that both share one replication round and one sync.
        Returns no actions if the message has to wait. If it returns actions and the append is known to have
        failed, the caller calls `append_failed`.
        """
        request_id = message.request_id
        if self._lifecycle.find(request_id) is not None or self._state.find(request_id) is not None:
            return []
        tracked = TrackedMessage(provisional_entry(message, now), accepted_by_this_owner=True)
        command = self._granter.grant_on_append(now, tracked)
        if command is None:
            self._routes.remove(tracked)
            return []
        self._lifecycle.add_provisional(tracked)
        self._emit(ProposeCommand(command))
        return self._grant_and_collect_actions(now)

    def append_failed(self, request_id: str) -> None:
        """Drop a message for which `append_proposed` returned actions but whose append has failed.

        The caller knows that the append will never be in the log.
        """
        self._lifecycle.remove_provisional(request_id)

    def applied(self, now: float, result: Result) -> list[Action]:
        """Process the result of an applied command; called after each command, before the next is applied."""
        match result:
            case MessageAppended(is_new=True):
                self._emit_optional(self._lifecycle.message_appended(now, result))
            case LeaseGranted():
                self._emit_optional(self._lifecycle.lease_granted(now, result))
            case AttemptEnded(effective=True):
                self._emit_optional(self._lifecycle.attempt_ended(now, result))
            case MessageExpired():
                self._emit_optional(self._lifecycle.expiry_applied(now, result))
            case CallbacksConfirmed() | TombstonesRemoved():
                for request_id in result.command.request_ids:
                    self._ended_messages.callbacks.remove(request_id)
            case _:
                pass
        return self._grant_and_collect_actions(now)

    def proposal_failed(self, now: float, command: Command) -> list[Action]:
        """Retry or undo a proposal that is known not to be in the log; this owner still owns the shard."""
        match command:
            case GrantLease():
                self._emit_optional(self._lifecycle.grant_not_proposed(now, command))
            case ExpireMessage():
                self._emit_optional(self._lifecycle.expiry_not_proposed(now, command))
            case EndAttempt():
                self._emit_optional(self._lifecycle.end_not_proposed(command))
            case ConfirmCallbacks():
                for request_id in command.request_ids:
                    self._ended_messages.callbacks.confirmation_failed(request_id)
            case RemoveTombstones():
                self._retry_removal(now, command)
            case AppendMessage():
                pass  # the edge node gets a refusal; it retries the append or rejects the client's message
        return self._grant_and_collect_actions(now)

    # ---- time

    def tick(self, now: float) -> list[Action]:
        """Fire all due timers."""
        while (timer := self._timers.pop_due(now)) is not None:
            self._emit_optional(self._lifecycle.timer_fired(now, timer))
        self._services.wake_due(now)
        while (poll := self._polls.pop_expired(now)) is not None:
            self._emit(ExpirePoll(poll.poll_id, poll.request.edge))
        for command in self._ended_messages.tombstones.collect(now, self._longest_retention()):
            self._emit(ProposeCommand(command))
        return self._grant_and_collect_actions(now)

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call `tick` next; None if no timer is set."""
        times = (
            self._timers.next_time(),
            self._services.next_wakeup(),
            self._polls.next_deadline(),
            self._ended_messages.callbacks.next_wakeup(),
            self._ended_messages.tombstones.next_wakeup(),
        )
        return min((max(now, when) for when in times if when is not None), default=None)

    def _longest_retention(self) -> float:
        table = self._routes.table
        if table is None:
            return DEFAULT_RETENTION_S
        return max((route.retention_s for route in table.routes.values()), default=DEFAULT_RETENTION_S)

    def _retry_removal(self, now: float, command: RemoveTombstones) -> None:
        for request_id in command.request_ids:
            entry = self._state.find(request_id)
            if entry is not None:
                self._ended_messages.tombstones.retry(now, entry)

    # ---- actions

    def _emit(self, action: Action) -> None:
        self._actions.append(action)

    def _emit_optional(self, action: Action | None) -> None:
        if action is not None:
            self._actions.append(action)

    def _grant_and_collect_actions(self, now: float) -> list[Action]:
        """Grant ready leases, advance call-backs, and return the collected actions."""
        for queue in self._services.pop_dirty():
            self._granter.grant_ready(now, queue)
        self._actions.extend(self._ended_messages.callbacks.advance(now))
        others_proposed = any(isinstance(action, ProposeCommand) for action in self._actions)
        confirmation = self._ended_messages.callbacks.pop_confirmation(now, others_proposed=others_proposed)
        if confirmation is not None:
            self._actions.append(ProposeCommand(confirmation))
        actions = self._actions
        self._actions = []
        return actions
