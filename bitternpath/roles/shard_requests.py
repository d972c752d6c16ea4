"""Requests of edge nodes and other storage nodes to one queue shard.

Each request is answered on its link: by its response, by `Refused` if it certainly had no effect, or by
`RequestOutcomeUnknown` if it may have been committed. A read waits for a read barrier, because an owner that
was paused or partitioned may have a successor.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from bitternpath.queue.actions import Action
from bitternpath.queue.commands import COMMANDS, AppendMessage, Command
from bitternpath.queue.long_polls import LongPollRequest
from bitternpath.queue.results import AttemptEnded
from bitternpath.replication.errors import NotOwnerError
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_ownership import ShardOwnership
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.transport.links import Link
from bitternpath.transport.quota_messages import TokenRequest, TokenResponse
from bitternpath.transport.records import MessageState
from bitternpath.transport.shard_messages import (
    AppendRequest,
    AppendResponse,
    CallbackReport,
    EndAttemptRequest,
    EndAttemptResponse,
    ExtendRequest,
    PullCancel,
    PullRequest,
    RefusalReason,
    Refused,
    RequestOutcomeUnknown,
    StateRequest,
    StateResponse,
)


def _do_nothing() -> None:
    """Default for proposals that leave nothing to undo."""


class ShardRequests:
    """Answers requests to one shard, on the links on which they arrive."""

    def __init__(self, context: ShardContext, shard: ShardRuntime) -> None:
        """`shard` must have been created with the same `context`."""
        self._shard = shard
        self._group = shard.group
        self._reactor = context.reactor
        self._host = context.host
        self._has_capacity = context.has_capacity

    # ---- messages

    def append(self, link: Link, request: AppendRequest) -> None:
        """Commit a message. On a full disk only messages that the shard already has are acknowledged."""
        ownership = self._shard.ownership
        if ownership is None:
            _refuse(link, request.number)
        elif not self._has_capacity() and self._shard.state.find(request.message.request_id) is None:
            link.send(Refused(request.number, RefusalReason.FULL))
        else:
            self._append(link, request, ownership)

    def _append(self, link: Link, request: AppendRequest, ownership: ShardOwnership) -> None:
        """Propose the message and, immediately after it, the lease that its owner can grant at once."""
        owner = ownership.owner
        lease_actions: list[Action] = []

        def not_proposed() -> None:
            if lease_actions and ownership.active:
                owner.append_failed(request.message.request_id)

        command = AppendMessage(request.message)
        self._propose(link, request.number, command, lambda _: AppendResponse(request.number), not_proposed)
        if ownership.active:
            lease_actions += owner.append_proposed(self._reactor.seconds(), request.message)
            ownership.execute(lease_actions)

    def find(self, link: Link, request: StateRequest) -> None:
        """Read the state of a message after a read barrier."""
        self._host.read_barrier(self._group).addCallbacks(
            lambda _: link.send(self._state_response(request)),
            lambda _: _refuse(link, request.number),
        )

    def _state_response(self, request: StateRequest) -> StateResponse:
        entry = self._shard.state.find(request.request_id)
        if entry is None:
            return StateResponse(request.number, False, MessageState.QUEUED, "", None)
        body = entry.message.body if request.wants_body else None
        return StateResponse(request.number, True, entry.state, entry.stamp, body)

    # ---- leases

    def end_attempt(self, link: Link, request: EndAttemptRequest) -> None:
        """Commit the outcome of an attempt."""
        ownership = self._shard.ownership
        if ownership is None:
            _refuse(link, request.number)
            return
        command = ownership.owner.end_attempt_command(
            request.request_id, request.lease_id, request.outcome, request.stamp, request.retry_after_ms
        )

        def response(result: object) -> EndAttemptResponse:
            return EndAttemptResponse(request.number, isinstance(result, AttemptEnded) and result.accepted)

        self._propose(link, request.number, command, response)

    def extend(self, link: Link, request: ExtendRequest) -> None:
        """Extend the lease of a pulling worker after a read barrier.

        Without the barrier, a successor may have given the job to another worker.
        """
        self._host.read_barrier(self._group).addCallbacks(
            lambda _: self._extend(link, request),
            lambda _: _refuse(link, request.number),
        )

    def _extend(self, link: Link, request: ExtendRequest) -> None:
        ownership = self._shard.ownership
        if ownership is None:
            _refuse(link, request.number)
            return
        extended = ownership.owner.extend(self._reactor.seconds(), request.request_id, request.lease_id)
        link.send(EndAttemptResponse(request.number, extended))
        ownership.schedule_wakeup()

    # ---- long polls

    def pull(self, link: Link, request: PullRequest) -> None:
        """Register a long poll of a pulling worker."""
        ownership = self._shard.ownership
        if ownership is None or link.peer is None:
            _refuse(link, request.number)
            return
        poll_id = self._shard.polls.add(link, request.number)
        now = self._reactor.seconds()
        ownership.execute(
            ownership.owner.poll(
                now,
                LongPollRequest(
                    poll_id, link.peer.name, request.service, request.instance, request.wait_ms / 1000
                ),
            )
        )

    def cancel_pull(self, link: Link, request: PullCancel) -> None:
        """Cancel a long poll. The cancelled request is answered, too, as its link keeps it until then."""
        poll_id = self._shard.polls.find(link, request.number)
        if poll_id is None:
            return
        self._shard.polls.answer(poll_id)
        ownership = self._shard.ownership
        if ownership is not None:
            ownership.execute(ownership.owner.cancel_poll(self._reactor.seconds(), poll_id))

    # ---- call-backs and quota

    def callback_report(self, report: CallbackReport) -> None:
        """Record the result of a call-back. Reports have no number and are not answered."""
        ownership = self._shard.ownership
        if ownership is not None:
            now = self._reactor.seconds()
            ownership.execute(
                ownership.owner.callback_report(now, report.request_id, acknowledged=report.accepted)
            )

    def lend_tokens(self, link: Link, request: TokenRequest) -> None:
        """Lend tokens of a service's rate limit to the owner of another shard."""
        if self._shard.ownership is None:
            _refuse(link, request.number)
        else:
            tokens = self._shard.lend_tokens(request.service, request.wanted)
            link.send(TokenResponse(request.number, tokens))

    # ---- the log

    def _propose(
        self,
        link: Link,
        number: int,
        command: Command,
        response: Callable[[object], Any],
        not_proposed: Callable[[], None] = _do_nothing,
    ) -> None:
        """Commit a command, then answer request `number` with `response(result)`.

        `result` is that of `QueueState.apply`. `not_proposed` is called if the command is certainly not in
        the log.
        """

        def failed(failure: Failure) -> None:
            if isinstance(failure.value, NotOwnerError):
                not_proposed()
                _refuse(link, number)
            else:
                link.send(RequestOutcomeUnknown(number))

        proposed = self._host.propose(self._group, COMMANDS.encode(command))
        proposed.addCallbacks(lambda result: link.send(response(result)), failed)


def _refuse(link: Link, number: int) -> None:
    """Answer that this node doesn't own the shard: the request had no effect and may go to another node."""
    link.send(Refused(number, RefusalReason.NOT_OWNER))
