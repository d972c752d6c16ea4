"""Actions that a shard's owner returns to its role, which carries them out in the given order."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.commands import Command
from bitternpath.transport.records import Message, MessageState


class ProposeCommand(Struct, frozen=True):
    """Append the command to the shard's log. Call `ShardOwner.proposal_failed` if that definitely failed."""

    command: Command


class SendDelivery(Struct, frozen=True):
    """Send a message to an edge node under a committed lease."""

    edge: str  # name of the edge node
    message: Message
    lease_id: str
    duration_ms: int  # duration of the lease
    attempts: int  # number of failed attempts so far
    body_omitted: bool  # the edge node accepted the message from the client and still has its body


class AnswerPoll(Struct, frozen=True):
    """Answer a worker's long poll with a message under a committed lease."""

    poll_id: int
    edge: str  # name of the edge node at which the worker waits
    lease_id: str
    message: Message


class ExpirePoll(Struct, frozen=True):
    """Answer a worker's long poll without a message: its deadline has passed."""

    poll_id: int
    edge: str


class RequestPollers(Struct, frozen=True):
    """Notify edge nodes that messages of a service wait at this shard and no worker does."""

    service: str
    waiting: int  # number of waiting messages


class BorrowTokens(Struct, frozen=True):
    """Request tokens from the owner of a rate-limited service's home shard.

    The response goes to `ShardOwner.tokens_lent`.
    """

    service: str
    wanted: int


class SendCallback(Struct, frozen=True):
    """Have an edge node notify the client's URL that a message has ended.

    Its report goes to `ShardOwner.callback_report`.
    """

    edge: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


Action = (
    ProposeCommand | SendDelivery | AnswerPoll | ExpirePoll | RequestPollers | BorrowTokens | SendCallback
)
