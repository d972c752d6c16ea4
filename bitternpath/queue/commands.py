"""Commands of a queue shard's replicated log. Applied in order, they give the same state on every replica.

The commands are on disk and on the wire: the order and the types of their fields, and the order of the
classes in `COMMANDS`, don't change.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.records import AttemptOutcome, Message


class AppendMessage(Struct, frozen=True):
    """Accept a message; no effect where its request id is known already."""

    message: Message


class GrantLease(Struct, frozen=True):
    """Lease a message to a holder, in place of the lease that it may have; `state` says when it is void."""

    request_id: str
    lease_id: str  # unique over all shards and owners
    holder: str  # name of an edge node, or instance id of a pulling worker; "": whichever worker polls next
    duration_ms: int
    pulled: bool  # the holder is a pulling worker


class EndAttempt(Struct, frozen=True):
    """End the attempt under a lease; no effect unless the lease is the current one."""

    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str  # of the worker, with a success
    max_attempts: int  # of the route that was in force at the end
    retry_after_ms: int  # the shortest time until the message is leased again


class ExpireMessage(Struct, frozen=True):
    """End a message as a dead letter: its retention is over, or its route no longer exists.

    No effect unless `lease_id` is the message's current lease ("": none): the lease is the fencing token, so
    that a decision which was made before a later grant does not end a message that is out again.
    """

    request_id: str
    lease_id: str = ""


class ConfirmCallbacks(Struct, frozen=True):
    """Record that receivers have acknowledged the call-backs of these messages."""

    request_ids: tuple[str, ...]


class RemoveTombstones(Struct, frozen=True):
    """Remove ended messages whose state nobody may ask for any more; no effect on others."""

    request_ids: tuple[str, ...]


Command = AppendMessage | GrantLease | EndAttempt | ExpireMessage | ConfirmCallbacks | RemoveTombstones

COMMANDS = RecordSet(AppendMessage, GrantLease, EndAttempt, ExpireMessage, ConfirmCallbacks, RemoveTombstones)
