"""Commands of a queue shard's replicated log. Applied in order, they give the same state on every replica."""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.records import AttemptOutcome, Message


class AppendMessage(Struct, frozen=True):
    """Accept a message; no effect where its request id is known already."""

    message: Message


class GrantLease(Struct, frozen=True):
    """Give a message to a holder. `lease_id` is unique over all shards and owners."""

    request_id: str
    lease_id: str
    holder: str  # edge node's name, or the instance id of a worker that pulls
    duration_ms: int
    pulled: bool


class EndAttempt(Struct, frozen=True):
    """A holder's word on its delivery; no effect unless the lease is the current one."""

    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str
    max_attempts: int  # of the route when it ended
    retry_after_ms: int  # the least pause before the message is handed out again


class ExpireMessage(Struct, frozen=True):
    """Its retention is over, or its route is gone: it ends as a dead letter.

    No effect unless `lease_id` is the message's current lease ("": none), so that an order which was decided
    before a later grant does not end a message that is out again.
    """

    request_id: str
    lease_id: str = ""


class ConfirmCallbacks(Struct, frozen=True):
    """The receivers have taken the call-backs of these messages."""

    request_ids: tuple[str, ...]


class RemoveTombstones(Struct, frozen=True):
    """Tombstones older than `status_s` go."""

    request_ids: tuple[str, ...]


Command = AppendMessage | GrantLease | EndAttempt | ExpireMessage | ConfirmCallbacks | RemoveTombstones

COMMANDS = RecordSet(AppendMessage, GrantLease, EndAttempt, ExpireMessage, ConfirmCallbacks, RemoveTombstones)
