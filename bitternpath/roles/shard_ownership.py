"""A term of ownership of a queue shard: executes the pure `ShardOwner`'s decisions and schedules its ticks.

An ownership lasts from the replica's election until it loses the leadership. Operations that it started and
that have not finished by then (a loan, a repeated proposal, a timer) have no effect any more: the next owner
decides again from the replicated state.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec.structs import replace
from twisted.python.failure import Failure

from bitternpath.configuration.placement import shard_group
from bitternpath.net.clock import Timer, cancel_if_active
from bitternpath.queue.actions import (
    Action,
    AnswerPoll,
    BorrowTokens,
    ExpirePoll,
    ProposeCommand,
    RequestPollers,
    SendCallback,
    SendDelivery,
)
from bitternpath.queue.commands import COMMANDS, Command
from bitternpath.queue.owner import ShardOwner
from bitternpath.queue.sharding import home_shard
from bitternpath.replication.errors import NotOwnerError
from bitternpath.roles.pending_polls import PendingPolls
from bitternpath.roles.shard_context import ShardContext
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import CallbackRequest, LeaseGrant, WorkAvailable

MIN_EDGES_QUERIED = 4  # edge nodes that are queried for pollers at once, if there are that many
MAX_EDGES_QUERIED = 16  # each request draws a new sample, so all are reached after a few requests
REMOTE_REQUEST_SHARE = 0.25  # share of the requests for pollers that go to edge nodes of all zones
PROPOSAL_RETRY_S = 0.1  # a leader that transfers its leadership refuses proposals for an election time-out


class ShardOwnership:
    """Runs the `ShardOwner` of one shard for as long as this node owns it."""

    def __init__(
        self, context: ShardContext, group: str, shard_count: int, owner: ShardOwner, polls: PendingPolls
    ) -> None:
        """`group` is the shard's replica group; `shard_count` is the number of shards in the system."""
        self.owner = owner
        self.active = True
        self._context = context
        self._reactor = context.reactor
        self._group = group
        self._shard_count = shard_count
        self._polls = polls
        self._wakeup: Timer | None = None

    def end(self) -> None:
        """Called when the replica has lost the leadership: no more is done on behalf of this ownership."""
        self.active = False
        self._cancel_wakeup()

    # ---- actions of the owner

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute the owner's actions in order, then schedule its next tick."""
        for action in actions:
            match action:
                case ProposeCommand(command):
                    self._propose(command)
                case SendDelivery():
                    self._send_lease(action)
                case AnswerPoll(poll_id, _, lease_id, message):
                    self._polls.answer(poll_id, lease_id, message)
                case ExpirePoll(poll_id, _):
                    self._polls.answer(poll_id)
                case RequestPollers(service, waiting):
                    self._request_pollers(service, waiting)
                case BorrowTokens(service, wanted):
                    self._borrow_tokens(service, wanted)
                case SendCallback():
                    self._send_callback(action)
        self.schedule_wakeup()

    def _propose(self, command: Command) -> None:
        """Propose a command that the owner itself decided.

        If ownership is lost in the meantime, the next owner decides again. If a command was certainly not
        proposed but this ownership continues (a leadership transfer that failed), it is returned to the owner
        after a delay; otherwise its message would wait for it forever.
        """

        def failed(failure: Failure) -> None:
            if isinstance(failure.value, NotOwnerError):
                self._reactor.callLater(PROPOSAL_RETRY_S, self._proposal_refused, command)

        self._context.host.propose(self._group, COMMANDS.encode(command)).addErrback(failed)

    def _proposal_refused(self, command: Command) -> None:
        if self.active:
            self.execute(self.owner.proposal_failed(self._reactor.seconds(), command))

    def _send_lease(self, action: SendDelivery) -> None:
        link = self._context.edges.link(action.edge)
        if link is None:
            self._return_lease(action)
            return
        message = replace(action.message, body=b"") if action.body_omitted else action.message
        link.send(
            LeaseGrant(
                self._group,
                action.lease_id,
                action.duration_ms,
                action.attempts,
                action.body_omitted,
                message,
            )
        )

    def _return_lease(self, action: SendDelivery) -> None:
        """End a lease whose edge node disconnected after the owner had chosen it."""
        if self.active:
            command = self.owner.end_attempt_command(
                action.message.request_id, action.lease_id, AttemptOutcome.NOT_RUN, "", 0
            )
            self._propose(command)

    def _borrow_tokens(self, service: str, wanted: int) -> None:
        requested_at = self._reactor.seconds()

        def tokens_received(tokens: int) -> None:
            if self.active:
                now = self._reactor.seconds()
                self.execute(self.owner.tokens_lent(now, service, tokens, requested_at))

        home_group = shard_group(home_shard(service, self._shard_count))
        self._context.borrow(home_group, service, wanted).addCallback(tokens_received)

    def _send_callback(self, action: SendCallback) -> None:
        """Send a call-back, if the edge node is connected; the owner sends it again if no report arrives."""
        link = self._context.edges.link(action.edge)
        if link is not None:
            link.send(CallbackRequest(self._group, action.request_id, action.url, action.state, action.stamp))

    def _request_pollers(self, service: str, waiting: int) -> None:
        """Ask some edge nodes for waiting workers.

        These are mostly edge nodes of this zone, whose workers are mostly nearby, too; sometimes, or if the
        zone has none, edge nodes of all zones.
        """
        edges = self._context.edges
        random = self._context.random
        nearby = [] if random.random() < REMOTE_REQUEST_SHARE else edges.links_in(self._context.zone)
        links = nearby or edges.links()
        count = min(max(2 * waiting, MIN_EDGES_QUERIED), MAX_EDGES_QUERIED, len(links))
        for link in random.sample(links, count):
            link.send(WorkAvailable(self._group, service, waiting, count))

    # ---- wake-ups

    def schedule_wakeup(self) -> None:
        """Schedule the owner's next `tick`.

        A timer that is set for an earlier time stays: an occasional early tick costs less than moving the
        timer with each command.
        """
        if not self.active:
            self._cancel_wakeup()
            return
        now = self._reactor.seconds()
        wakeup = self.owner.next_wakeup(now)
        if wakeup is None or (self._wakeup is not None and self._wakeup.getTime() <= wakeup):
            return
        self._cancel_wakeup()
        self._wakeup = self._reactor.callLater(max(wakeup - now, 0.0), self._tick)

    def _tick(self) -> None:
        self._wakeup = None
        if self.active:
            self.execute(self.owner.tick(self._reactor.seconds()))

    def _cancel_wakeup(self) -> None:
        cancel_if_active(self._wakeup)
        self._wakeup = None
