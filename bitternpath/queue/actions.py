"""Instructions of a shard's owner to the role that holds it, to be carried out in the order given."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.commands import Command
from bitternpath.transport.records import Message, MessageState


class ProposeCommand(Struct, frozen=True):
    """Append the command to the shard's log. Where that surely fails, call `ShardOwner.proposal_failed`."""

    command: Command


class SendDelivery(Struct, frozen=True):
    """Hand a message to an edge node, under a lease that is committed."""

    edge: str  # name of the edge node
    message: Message
    lease_id: str
    duration_ms: int  # of the lease
    attempts: int  # failed ones so far
    body_omitted: bool  # the edge node took the message from the client and still has its body


class AnswerPoll(Struct, frozen=True):
    """Answer a worker's long poll with a message, under a lease that is committed."""

    poll_id: int
    edge: str  # name of the edge node at which the worker waits
    lease_id: str
    message: Message


class ExpirePoll(Struct, frozen=True):
    """Answer a worker's long poll with nothing: its deadline has passed."""

    poll_id: int
    edge: str


class RequestPollers(Struct, frozen=True):
    """Tell edge nodes that messages wait here for pulling workers, and no worker waits."""

    service: str
    waiting: int  # messages


class BorrowTokens(Struct, frozen=True):
    """Ask the owner of a rate-limited service's home shard for tokens. Answer: `ShardOwner.tokens_lent`."""

    service: str
    wanted: int


class SendCallback(Struct, frozen=True):
    """Have an edge node notify the client's URL that a message has ended.

    Answer: `ShardOwner.callback_report`.
    """

    edge: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


Action = (
    ProposeCommand | SendDelivery | AnswerPoll | ExpirePoll | RequestPollers | BorrowTokens | SendCallback
)
