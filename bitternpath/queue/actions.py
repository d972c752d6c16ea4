"""What the owner of a shard wants done. The role that holds the owner does it, in the order given."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.commands import Command
from bitternpath.transport.records import Message, MessageState


class ProposeCommand(Struct, frozen=True):
    """Append the command to the shard's log."""

    command: Command


class SendDelivery(Struct, frozen=True):
    """Hand a message to an edge node under a lease that is in the log."""

    edge: str
    message: Message
    lease_id: str
    duration_ms: int
    attempts: int  # failed ones before
    body_omitted: bool  # the edge node took the message from the client and still has its body


class AnswerPoll(Struct, frozen=True):
    """Give a job to a waiting worker, under a lease that is in the log."""

    poll_id: int
    edge: str
    lease_id: str
    message: Message


class ExpirePoll(Struct, frozen=True):
    """Nothing came for a waiting worker in time."""

    poll_id: int
    edge: str


class RequestPollers(Struct, frozen=True):
    """Tell edge nodes that so many jobs of a service wait here for workers that pull."""

    service: str
    waiting: int


class BorrowTokens(Struct, frozen=True):
    """Ask the home shard of a service with a rate for tokens, for messages that wait here."""

    service: str
    wanted: int


class SendCallback(Struct, frozen=True):
    """Have an edge node tell the client's URL that a message has ended."""

    edge: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


Action = (
    ProposeCommand | SendDelivery | AnswerPoll | ExpirePoll | RequestPollers | BorrowTokens | SendCallback
)
