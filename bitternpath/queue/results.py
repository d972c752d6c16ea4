"""What applying a command to a shard's state did. Each result carries its decoded command."""

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
    is_new: bool  # False: the request id was known before
    state: MessageState  # of the message with this request id


class LeaseGranted(Struct, frozen=True):
    """Result of `GrantLease`."""

    command: GrantLease
    granted: bool  # False: the message is unknown, has ended, or is not the head of its order key


class AttemptEnded(Struct, frozen=True):
    """Result of `EndAttempt`."""

    command: EndAttempt
    accepted: bool = False  # the lease was the current one, or has ended before with this very outcome
    effective: bool = False  # this command ended the lease; False for a repetition
    ended_message: bool = False  # this command ended the message


class MessageExpired(Struct, frozen=True):
    """Result of `ExpireMessage`."""

    command: ExpireMessage
    ended_message: bool  # False: it had ended, is unknown, or has another lease than the one named


class CallbacksConfirmed(Struct, frozen=True):
    """Result of `ConfirmCallbacks`."""

    command: ConfirmCallbacks
    count: int  # call-backs among them that were pending


class TombstonesRemoved(Struct, frozen=True):
    """Result of `RemoveTombstones`."""

    command: RemoveTombstones
    count: int  # tombstones that were removed


Result = (
    MessageAppended | LeaseGranted | AttemptEnded | MessageExpired | CallbacksConfirmed | TombstonesRemoved
)
