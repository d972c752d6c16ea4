"""Results of applying commands to a shard's state. Each result contains its decoded command."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.commands import (
    AppendMessage,
    ConfirmCallbacks,
    EndAttempt,
    ExpireMessage,
    GrantLease,
    RemoveTombstones,
)
from bitternpath.transport.records import MessageState


class MessageAppended(Struct, frozen=True):
    """Result of `AppendMessage`."""

    command: AppendMessage
    is_new: bool  # False if the request id was already known
    state: MessageState  # state of the message with this request id


class LeaseGranted(Struct, frozen=True):
    """Result of `GrantLease`."""

    command: GrantLease
    granted: bool  # False if the message is unknown, has ended, or is not the first of its order key


class AttemptEnded(Struct, frozen=True):
    """Result of `EndAttempt`."""

    command: EndAttempt
    accepted: bool = False  # the lease was current, or had already ended with the same outcome
    effective: bool = False  # this command ended the lease; False for a repeated report
    ended_message: bool = False  # this command ended the message


class MessageExpired(Struct, frozen=True):
    """Result of `ExpireMessage`."""

    command: ExpireMessage
    ended_message: bool  # False if it is unknown, had ended, or has another lease than the command names


class CallbacksConfirmed(Struct, frozen=True):
    """Result of `ConfirmCallbacks`."""

    command: ConfirmCallbacks
    count: int  # number of call-backs that were pending


class TombstonesRemoved(Struct, frozen=True):
    """Result of `RemoveTombstones`."""

    command: RemoveTombstones
    count: int  # number of removed tombstones


Result = (
    MessageAppended | LeaseGranted | AttemptEnded | MessageExpired | CallbacksConfirmed | TombstonesRemoved
)
