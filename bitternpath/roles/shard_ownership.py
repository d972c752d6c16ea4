"""One term of ownership of a queue shard: executes what the pure `ShardOwner` decides, and wakes it up.

An ownership lasts from the replica's election until it loses the leadership. What it started and has not
finished by then (a loan, a repeated proposal, a timer) has no effect any more: the next owner decides again
from the replicated state.
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

MIN_EDGES_QUERIED = 4  # edge nodes that are queried for pollers at once, if there are so many
MAX_EDGES_QUERIED = 16  # the next request goes to others, so all are reached after a few
REMOTE_REQUEST_SHARE = 0.25  # of the requests for pollers: those that go to edge nodes of all zones
PROPOSAL_RETRY_S = 0.1  # a leader that transfers its leadership refuses proposals for an election time-out


class ShardOwnership:
    """Drives the `ShardOwner` of one shard for as long as this node owns it."""

    def __init__(
        self, context: ShardContext, group: str, shard_count: int, owner: ShardOwner, polls: PendingPolls
    ) -> None:
        """`group` is the shard's replica group; `shard_count` is that of the whole system."""
        self.owner = owner
        self.active = True
        self._context = context
        self._reactor = context.reactor
        self._group = group
        self._shard_count = shard_count
        self._polls = polls
        self._wakeup: Timer | None = None

    def end(self) -> None:
        """The replica has lost the leadership: do nothing more on behalf of this ownership."""
        self.active = False
        self._cancel_wakeup()

    # ---- actions of the owner

    def execute(self, actions: Iterable[Action]) -> None:
        """Execute the owner's actions in their order, then schedule its next wake-up."""
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
        """Propose a command of the owner itself.

        If ownership is lost meanwhile, the next owner decides again. A command that was surely not proposed
        though this ownership goes on (a leadership transfer that failed) is given back to the owner after a
        pause; else its message would wait for it forever.
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

        def lent(tokens: int) -> None:
            if self.active:
                now = self._reactor.seconds()
                self.execute(self.owner.tokens_lent(now, service, tokens, requested_at))

        home_group = shard_group(home_shard(service, self._shard_count))
        self._context.borrow(home_group, service, wanted).addCallback(lent)

    def _send_callback(self, action: SendCallback) -> None:
        """Without a link nothing is sent: the owner sends it again when no report comes."""
        link = self._context.edges.link(action.edge)
        if link is not None:
            link.send(CallbackRequest(self._group, action.request_id, action.url, action.state, action.stamp))

    def _request_pollers(self, service: str, waiting: int) -> None:
        """Ask some edge nodes for waiting workers.

        Mostly those of this zone, whose workers are mostly near as well; now and then, or where the zone has
        none, edge nodes of all zones.
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
        """Have the owner's `tick` called when it wants it.

        A timer that is set for an earlier time stays: an early tick now and then costs less than moving the
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
