"""Commands of a queue shard's replicated log. Applied in order, they produce the same state on every replica.

The commands are stored on disk and sent over the network: the order and the types of their fields and the
order of the classes in `COMMANDS` must not change.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.transport.codec import RecordSet
from bitternpath.transport.records import AttemptOutcome, Message


class AppendMessage(Struct, frozen=True):
    """Accept a message; no effect if its request id is already known."""

    message: Message


class GrantLease(Struct, frozen=True):
    """Lease a message to a holder and replace any current lease; `state` defines when it has no effect."""

    request_id: str
    lease_id: str  # unique over all shards and owners
    holder: str  # name of an edge node, or instance id of a pulling worker; "" for the next worker that polls
    duration_ms: int
    pulled: bool  # the holder is a pulling worker


class EndAttempt(Struct, frozen=True):
    """End the attempt under a lease; no effect unless the lease is the current one."""

    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str  # the worker's stamp if the attempt succeeded
    max_attempts: int  # limit of the message's route when the attempt ended
    retry_after_ms: int  # minimum time until the message is leased again


class ExpireMessage(Struct, frozen=True):
    """End a message as a dead letter because its retention is over or its route was removed.

    No effect unless `lease_id` is the message's current lease, or "" if it has none. The lease serves as a
    fencing token: a decision made before a later grant does not end a message that is in flight again.
    """

    request_id: str
    lease_id: str = ""


class ConfirmCallbacks(Struct, frozen=True):
    """Record that receivers have acknowledged the call-backs of these messages."""

    request_ids: tuple[str, ...]


class RemoveTombstones(Struct, frozen=True):
    """Remove ended messages whose state clients can no longer query; no effect on other messages."""

    request_ids: tuple[str, ...]


Command = AppendMessage | GrantLease | EndAttempt | ExpireMessage | ConfirmCallbacks | RemoveTombstones

COMMANDS = RecordSet(AppendMessage, GrantLease, EndAttempt, ExpireMessage, ConfirmCallbacks, RemoveTombstones)
