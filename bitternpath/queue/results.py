"""What applying a command to a shard's state did. Each result carries its decoded command."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.commands import (
    AppendMessage,
    ConfirmCallbacks,
    EndAttempt,
    ExpireMessage,
    ForgetMessages,
    GrantLease,
)
from bitternpath.transport.records import MessageState


class Added(Struct, frozen=True):
    """Result of `AppendMessage`. `new` False: the request id was known, and is in `known_state`."""

    command: AppendMessage
    new: bool
    known_state: MessageState


class LeaseGranted(Struct, frozen=True):
    """Result of `GrantLease`. `ok` False: unknown, ended, or not the head of its order key."""

    command: GrantLease
    ok: bool


class AttemptEnded(Struct, frozen=True):
    """Result of `EndAttempt`.

    `taken`: the lease was the current one, or ended before with this very outcome. `effective`: this command
    ended the lease (False for a repetition). `ended_now`: it ended the message.
    """

    command: EndAttempt
    taken: bool
    effective: bool
    ended_now: bool


class Expired(Struct, frozen=True):
    """Result of `ExpireMessage`. `ended_now` False: it had ended, was unknown, or is leased anew."""

    command: ExpireMessage
    ended_now: bool


class CallbacksConfirmed(Struct, frozen=True):
    """Result of `ConfirmCallbacks`. `count`: how many of them were owed."""

    command: ConfirmCallbacks
    count: int


class Forgotten(Struct, frozen=True):
    """Result of `ForgetMessages`: how many tombstones went."""

    command: ForgetMessages
    count: int


Result = Added | LeaseGranted | AttemptEnded | Expired | CallbacksConfirmed | Forgotten
