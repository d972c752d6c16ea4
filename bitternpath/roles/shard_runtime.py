"""One queue shard on one storage node: its replica, and while this node owns it, its owner's work.

`ShardRuntime` owns the shard's tables; links hand their records over to it, and it answers on them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import logbook
from msgspec.structs import replace
from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from bitternpath.configuration.documents import RoutingTable
from bitternpath.configuration.placement import shard_group, shard_of
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
from bitternpath.queue.commands import COMMANDS, AppendMessage, Command
from bitternpath.queue.owner import OwnerSettings, ShardOwner
from bitternpath.queue.results import AttemptEnded, Result
from bitternpath.queue.sharding import home_shard
from bitternpath.queue.state import QueueState
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.interfaces import NotOwnerError
from bitternpath.roles.edge_links import EdgeLinks
from bitternpath.roles.waiting_polls import WaitingPolls
from bitternpath.transport.connections import Link
from bitternpath.transport.node_messages import NodeDescriptor
from bitternpath.transport.quota_messages import TokenRequest, TokenResponse
from bitternpath.transport.records import AttemptOutcome, MessageState
from bitternpath.transport.shard_messages import (
    AppendRequest,
    AppendResponse,
    CallbackReport,
    CallbackRequest,
    EndAttemptRequest,
    EndAttemptResponse,
    ExtendRequest,
    LeaseGrant,
    Ownership,
    PullCancel,
    PullRequest,
    RefusalReason,
    Refused,
    RequestOutcomeUnknown,
    StateRequest,
    StateResponse,
    WorkAvailable,
)

log = logbook.Logger("shard")

LEAST_ASKED, MOST_ASKED = 4, 16  # edge nodes that are asked for workers at once; the next time, others
ASK_AFAR_SHARE = 0.25  # of the times that workers are asked for
PROPOSE_AGAIN_S = 0.1  # an owner that hands over proposes nothing for up to an election's time, and may stay


Borrow = Callable[[str, str, int], "Deferred[int]"]


def _lent_nothing(group: str, service: str, wanted: int) -> Deferred[int]:
    return succeed(0)


class ShardRuntime:
    """Replica and, at times, owner of one shard. Implements `replication.interfaces.GroupListener`."""

    def __init__(
        self,
        reactor: Any,
        host: ReplicaHost,
        group: str,
        shards: int,
        zone: str,
        bounds: OwnerSettings,
        edges: EdgeLinks,
        has_room: Callable[[], bool],
        random: Random,
        wall_ms: Callable[[], int],
        borrow: Borrow = _lent_nothing,
    ) -> None:
        """`borrow(group, service, wanted)` fires with the tokens that the owner of another shard lends."""
        self.reactor, self.host, self.group = reactor, host, group
        self.shards, self.zone, self.bounds = shards, zone, bounds
        self.edges, self.random = edges, random
        self.state = QueueState(reactor.seconds, wall_ms)
        self.owner: ShardOwner | None = None
        self.epoch = 0
        self.table: RoutingTable | None = None
        self.slots: dict[str, int] | None = None
        self._has_room = has_room
        self._borrow_from = borrow
        self._polls = WaitingPolls()
        self._timer: Any = None

    # ---- GroupListener

    def became_owner(self, epoch: int) -> None:
        """This node owns the shard from now on."""
        log.info("event=owner group={} epoch={} queued={}", self.group, epoch, self.state.queued)
        shard = shard_of(self.group)
        owner = ShardOwner(self.state, shard, self.shards, self.zone, self.bounds, self.random)
        self.owner, self.epoch = owner, epoch
        now = self.reactor.seconds()
        self._do(owner.leadership_acquired(now, epoch))
        if self.table is not None:
            self._do(owner.configure(now, self.table))
        if self.slots is not None:
            self._do(owner.set_capacities(now, self.slots))
        for node in self.edges.nodes():
            self._do(owner.edge_connected(now, node.name, node.zone))
        self._announce(self.edges.links())

    def lost_ownership(self) -> None:
        """Another node does, or will."""
        log.info("event=not_owner group={}", self.group)
        self.owner = None
        self._stop_timer()
        self._polls.answer_all()
        self._announce(self.edges.links())

    def applied(self, index: int, command: bytes, result: object) -> None:
        """A command was applied on this replica."""
        if self.owner is not None and isinstance(result, Result):
            self._do(self.owner.applied(self.reactor.seconds(), result.command, result))

    # ---- configuration and edge nodes

    def configure(self, table: RoutingTable) -> None:
        """Another configuration is in force here."""
        self.table = table
        if self.owner is not None:
            self._do(self.owner.configure(self.reactor.seconds(), table))
            if self.slots is not None:
                self._do(self.owner.set_capacities(self.reactor.seconds(), self.slots))

    def set_capacities(self, slots: dict[str, int]) -> None:
        """Slots of the listed workers, by service."""
        self.slots = slots
        if self.owner is not None:
            self._do(self.owner.set_capacities(self.reactor.seconds(), slots))

    def edge_opened(self, node: NodeDescriptor, link: Link, new_life: bool) -> None:
        """An edge node is connected."""
        self._announce([link])
        if self.owner is None:
            return
        now = self.reactor.seconds()
        if new_life:
            self._do(self.owner.edge_process_ended(now, node.name))
        if node.draining:
            self._do(self.owner.edge_disconnected(now, node.name))
        else:
            self._do(self.owner.edge_connected(now, node.name, node.zone))

    def edge_closed(self, name: str, link: Link) -> None:
        """An edge node's link has ended, and with it the polls that came over it.

        `name` is empty where the node has another link by now: the node is still connected, but a job for
        one of those polls would reach nobody.
        """
        now = self.reactor.seconds()
        for poll_id in self._polls.drop_link(link):
            if self.owner is not None:
                self._do(self.owner.cancel_poll(now, poll_id))
        if name and self.owner is not None:
            self._do(self.owner.edge_disconnected(now, name))

    # ---- requests of edge nodes

    def append(self, link: Link, request: AppendRequest) -> None:
        """Keep a message."""
        if self.owner is None:
            link.send(Refused(request.number, RefusalReason.NOT_OWNER))
        elif not self._has_room() and self.state.find(request.message.request_id) is None:
            link.send(Refused(request.number, RefusalReason.FULL))
        else:
            self._append(link, request, self.owner)

    def _append(self, link: Link, request: AppendRequest, owner: ShardOwner) -> None:
        early: list[Action] = []

        def not_proposed() -> None:
            if early and owner is self.owner:
                owner.append_failed(request.message.request_id)

        command = AppendMessage(request.message)
        self._propose_for(
            link, request.number, command, lambda _: AppendResponse(request.number), not_proposed
        )
        if owner is self.owner:
            early += owner.append_proposed(self.reactor.seconds(), request.message)
            self._do(early)

    def end(self, link: Link, request: EndAttemptRequest) -> None:
        """A delivery has ended."""
        if self.owner is None:
            link.send(Refused(request.number, RefusalReason.NOT_OWNER))
            return
        command = self.owner.end_attempt_command(
            request.request_id, request.lease_id, request.outcome, request.stamp, request.retry_after_ms
        )

        def answer(result: object) -> EndAttemptResponse:
            return EndAttemptResponse(request.number, isinstance(result, AttemptEnded) and result.taken)

        self._propose_for(link, request.number, command, answer)

    def extend(self, link: Link, request: ExtendRequest) -> None:
        """A pulling worker holds its job still. Decided only once a majority has confirmed the ownership:
        an owner that was stopped or cut off may have a successor that gave the job to somebody else."""
        self.host.read_barrier(self.group).addCallbacks(
            lambda _: self._extend(link, request),
            lambda _: link.send(Refused(request.number, RefusalReason.NOT_OWNER)),
        )

    def _extend(self, link: Link, request: ExtendRequest) -> None:
        if self.owner is None:
            link.send(Refused(request.number, RefusalReason.NOT_OWNER))
            return
        held = self.owner.extend(self.reactor.seconds(), request.request_id, request.lease_id)
        link.send(EndAttemptResponse(request.number, held))
        self._plan_tick()

    def pull(self, link: Link, request: PullRequest) -> None:
        """A worker waits for a job."""
        if self.owner is None or link.peer is None:
            link.send(Refused(request.number, RefusalReason.NOT_OWNER))
            return
        poll_id = self._polls.add(link, request.number)
        now = self.reactor.seconds()
        self._do(
            self.owner.poll(
                now, poll_id, link.peer.name, request.service, request.instance, request.wait_ms / 1000
            )
        )

    def cancel_pull(self, link: Link, request: PullCancel) -> None:
        """It waits no more. Its request is answered all the same: the link keeps it until then."""
        poll_id = self._polls.find(link, request.number)
        if poll_id is None:
            return
        self._polls.answer(poll_id)
        if self.owner is not None:
            self._do(self.owner.cancel_poll(self.reactor.seconds(), poll_id))

    def lend(self, service: str, wanted: int) -> int:
        """Tokens of a service whose home is this shard; none from an owner that may have a successor."""
        if self.owner is None or not self.host.has_leader_lease(self.group):
            return 0
        return self.owner.lend_tokens(self.reactor.seconds(), service, wanted)

    def tokens_asked(self, link: Link, request: TokenRequest) -> None:
        """Another shard wants tokens."""
        if self.owner is None:
            link.send(Refused(request.number, RefusalReason.NOT_OWNER))
        else:
            link.send(TokenResponse(request.number, self.lend(request.service, request.wanted)))

    def callback_report(self, report: CallbackReport) -> None:
        """How a call-back went."""
        if self.owner is not None:
            now = self.reactor.seconds()
            self._do(self.owner.callback_report(now, report.request_id, report.taken))

    def find(self, link: Link, request: StateRequest) -> None:
        """The state of a message, confirmed by a majority."""
        self.host.read_barrier(self.group).addCallbacks(
            lambda _: link.send(self._state_answer(request)),
            lambda _: link.send(Refused(request.number, RefusalReason.NOT_OWNER)),
        )

    def _state_answer(self, request: StateRequest) -> StateResponse:
        entry = self.state.find(request.request_id)
        if entry is None:
            return StateResponse(request.number, False, MessageState.QUEUED, "", None)
        body = entry.message.body if request.wants_body else None
        return StateResponse(request.number, True, entry.state, entry.stamp, body)

    # ---- the log

    def _propose_for(
        self,
        link: Link,
        number: int,
        command: Command,
        answer: Callable[[object], Any],
        not_proposed: Callable[[], None] = lambda: None,
    ) -> None:
        def failed(failure: Failure) -> None:
            if isinstance(failure.value, NotOwnerError):
                not_proposed()
                link.send(Refused(number, RefusalReason.NOT_OWNER))
            else:
                link.send(RequestOutcomeUnknown(number))

        proposed = self.host.propose(self.group, COMMANDS.encode(command))
        proposed.addCallbacks(lambda result: link.send(answer(result)), failed)

    def _propose(self, command: Command) -> None:
        """For the owner itself: where ownership is lost meanwhile, the next owner decides anew.

        A command that was surely not proposed, though this owner goes on (a hand-over that came to nothing),
        is the owner's to propose again: else its message would wait for it for ever.
        """
        owner = self.owner

        def failed(failure: Failure) -> None:
            if isinstance(failure.value, NotOwnerError):
                self.reactor.callLater(PROPOSE_AGAIN_S, self._not_proposed, owner, command)

        self.host.propose(self.group, COMMANDS.encode(command)).addErrback(failed)

    def _not_proposed(self, owner: ShardOwner | None, command: Command) -> None:
        if owner is not None and owner is self.owner:
            self._do(owner.proposal_failed(self.reactor.seconds(), command))

    # ---- the owner's actions

    def _do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case ProposeCommand(command):
                    self._propose(command)
                case SendDelivery():
                    self._deliver(action)
                case AnswerPoll(poll_id, _, lease_id, message):
                    self._polls.answer(poll_id, lease_id, message)
                case ExpirePoll(poll_id, _):
                    self._polls.answer(poll_id)
                case RequestPollers(service, waiting):
                    self._ask_for_polls(service, waiting)
                case BorrowTokens(service, wanted):
                    self._borrow(service, wanted)
                case SendCallback():
                    self._call_back(action)
        self._plan_tick()

    def _deliver(self, action: SendDelivery) -> None:
        link = self.edges.link(action.edge)
        if link is None:
            self._return_unsent(action)
            return
        message = replace(action.message, body=b"") if action.body_omitted else action.message
        link.send(
            LeaseGrant(
                self.group,
                action.lease_id,
                action.duration_ms,
                action.attempts,
                action.body_omitted,
                message,
            )
        )

    def _return_unsent(self, action: SendDelivery) -> None:
        """The edge node has gone in this very moment."""
        if self.owner is not None:
            command = self.owner.end_attempt_command(
                action.message.request_id, action.lease_id, AttemptOutcome.NOT_RUN, "", 0
            )
            self._propose(command)

    def _borrow(self, service: str, wanted: int) -> None:
        owner, asked_at = self.owner, self.reactor.seconds()

        def lent(tokens: int) -> None:
            if owner is not None and owner is self.owner:
                self._do(owner.tokens_lent(self.reactor.seconds(), service, tokens, asked_at))

        home = shard_group(home_shard(service, self.shards))
        self._borrow_from(home, service, wanted).addCallback(lent)

    def _call_back(self, action: SendCallback) -> None:
        link = self.edges.link(action.edge)
        if link is not None:
            link.send(CallbackRequest(self.group, action.request_id, action.url, action.state, action.stamp))

    def _ask_for_polls(self, service: str, waiting: int) -> None:
        """Ask nodes nearby, whose workers mostly wait nearby too; now and then, or without any, all."""
        near = [] if self.random.random() < ASK_AFAR_SHARE else self.edges.links_in(self.zone)
        links = near or self.edges.links()
        asked = self.random.sample(links, min(max(2 * waiting, LEAST_ASKED), MOST_ASKED, len(links)))
        for link in asked:
            link.send(WorkAvailable(self.group, service, waiting, len(asked)))

    def _announce(self, links: Iterable[Link]) -> None:
        told = Ownership(self.group, self.epoch, self.owner is not None)
        for link in links:
            link.send(told)

    # ---- time

    def _plan_tick(self) -> None:
        """Have `_tick` called by the owner's next wake-up. A timer that is set for earlier stays: it costs
        less to look in vain now and then than to move the timer with each command."""
        if self.owner is None:
            self._stop_timer()
            return
        now = self.reactor.seconds()
        wakeup = self.owner.next_wakeup(now)
        if wakeup is None or (self._timer is not None and self._timer.getTime() <= wakeup):
            return
        self._stop_timer()
        self._timer = self.reactor.callLater(max(wakeup - now, 0.0), self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.owner is not None:
            self._do(self.owner.tick(self.reactor.seconds()))

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
