"""Records between edge nodes and the owners of queue shards.

`group` is the name of a shard's replica group, `number` the request's on its link. A `stamp` is what a
worker's successful response carries (PROTOCOL); empty where there is none.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from bitternpath.transport.records import AttemptOutcome, Message, MessageState

# ---- ownership


class Ownership(Struct, frozen=True):
    """A storage node tells edge nodes that it owns a shard, or no longer does.

    Attributes:
        group: the shard.
        epoch: term of the ownership; of two owners the one with the higher term is the later (fencing token).
        owns: whether it owns the shard.
    """

    group: str
    epoch: int
    owns: bool


# ---- responses to any request


class RefusalReason(IntEnum):
    """Why a request did nothing at all. The numbers are sent and documented (docs/ERRORS.md)."""

    NOT_OWNER = 0
    FULL = 1  # of disk or memory
    NOT_READY = 2


class Refused(Struct, frozen=True):
    """The request did nothing and never will; a retry at the owner is safe."""

    number: int
    reason: RefusalReason


class RequestOutcomeUnknown(Struct, frozen=True):
    """The owner lost its shard while the request was in flight: it may or may not take effect."""

    number: int


# ---- messages and attempts


class AppendRequest(Struct, frozen=True):
    """Store a message; only once where the same request id comes again."""

    number: int
    group: str
    message: Message


class AppendResponse(Struct, frozen=True):
    """The message is on the disks of f+1 replicas."""

    number: int


class LeaseGrant(Struct, frozen=True):
    """A lease on a message for the receiving edge node, which delivers it to a worker.

    Attributes:
        group: the shard.
        lease_id: identifies the lease.
        duration_ms: how long it lasts.
        attempts: how many failed attempts there were before.
        body_omitted: the message's body is left out, as the receiver has it.
        message: what is to be delivered.
    """

    group: str
    lease_id: str
    duration_ms: int
    attempts: int
    body_omitted: bool
    message: Message


class EndAttemptRequest(Struct, frozen=True):
    """How a delivery under a lease ended.

    Attributes:
        number: of the request.
        group: the shard.
        request_id: of the message.
        lease_id: of the lease.
        outcome: how it ended.
        stamp: the worker's.
        retry_after_ms: pause that the worker asked for before the next attempt; 0 for none.
    """

    number: int
    group: str
    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str
    retry_after_ms: int


class EndAttemptResponse(Struct, frozen=True):
    """`accepted`: the lease was the current one, or the same end was accepted before."""

    number: int
    accepted: bool


class ExtendRequest(Struct, frozen=True):
    """Extend the lease of a pulled message: its worker is running it still."""

    number: int
    group: str
    request_id: str
    lease_id: str


# ---- call-backs and state


class CallbackRequest(Struct, frozen=True):
    """The receiving edge node is asked to call the client's URL: a message has ended.

    Attributes:
        group: the shard.
        request_id: of the message.
        url: the client's.
        state: in which the message has ended.
        stamp: the worker's.
    """

    group: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


class CallbackReport(Struct, frozen=True):
    """Result of a `CallbackRequest`; `accepted`: the client has acknowledged it."""

    group: str
    request_id: str
    accepted: bool


class StateRequest(Struct, frozen=True):
    """Asks for a message's state, and for its body where that is wanted."""

    number: int
    group: str
    request_id: str
    wants_body: bool


class StateResponse(Struct, frozen=True):
    """A message's state.

    Attributes:
        number: of the request.
        known: False where the shard has never had the message, or has forgotten it; the rest doesn't count
            then.
        state: of the message.
        stamp: the worker's.
        body: the message's, where it was wanted and is stored still.
    """

    number: int
    known: bool
    state: MessageState
    stamp: str
    body: bytes | None


# ---- workers that pull


class PullRequest(Struct, frozen=True):
    """A worker waits at this edge node for a message (long poll).

    Attributes:
        number: of the request.
        group: the shard that is asked.
        service: the worker's service.
        instance: the worker's name.
        wait_ms: how long it waits.
    """

    number: int
    group: str
    service: str
    instance: str
    wait_ms: int


class PullCancel(Struct, frozen=True):
    """The worker waits no more; a message on its way to it is handed back as not run."""

    number: int
    group: str


class PullResponse(Struct, frozen=True):
    """A message under a lease; `message` None: none came in time."""

    number: int
    lease_id: str
    message: Message | None


class WorkAvailable(Struct, frozen=True):
    """A shard has messages of a service and no waiting worker.

    Attributes:
        group: the shard.
        service: name of the service.
        waiting: how many messages are ready.
        nodes: how many edge nodes get this record.
    """

    group: str
    service: str
    waiting: int
    nodes: int
