"""Records between edge nodes and the owners of queue shards.

`group` is the name of a shard's replica group, `number` that of the request on its link. A `stamp` is the
value that a worker's successful response carries (PROTOCOL); empty if there is none.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from bitternpath.transport.records import AttemptOutcome, Message, MessageState

# ---- ownership


class Ownership(Struct, frozen=True):
    """Announces to edge nodes that a storage node owns a shard, or no longer does.

    Attributes:
        group: the shard.
        epoch: term of the ownership; of two owners, the one with the higher term is the later one (fencing
            token).
        owns: whether the sender owns the shard.
    """

    group: str
    epoch: int
    owns: bool


# ---- responses to any request


class RefusalReason(IntEnum):
    """Why a request had no effect. The numbers are sent and documented (docs/ERRORS.md)."""

    NOT_OWNER = 0
    FULL = 1  # disk or memory is full
    NOT_READY = 2


class Refused(Struct, frozen=True):
    """The request had no effect and never will; a retry at the owner is safe."""

    number: int
    reason: RefusalReason


class RequestOutcomeUnknown(Struct, frozen=True):
    """The owner lost its shard while the request was in flight; the request may take effect."""

    number: int


# ---- messages and attempts


class AppendRequest(Struct, frozen=True):
    """Requests to store a message; idempotent by request id."""

    number: int
    group: str
    message: Message


class AppendResponse(Struct, frozen=True):
    """The message is stored on the disks of f+1 replicas."""

    number: int


class LeaseGrant(Struct, frozen=True):
    """Grants a lease on a message to the receiving edge node, which delivers it to a worker.

    Attributes:
        group: the shard.
        lease_id: identifies the lease.
        duration_ms: duration of the lease.
        attempts: number of failed attempts so far.
        body_omitted: whether the message's body is left out because the receiver has it.
        message: the message to deliver.
    """

    group: str
    lease_id: str
    duration_ms: int
    attempts: int
    body_omitted: bool
    message: Message


class EndAttemptRequest(Struct, frozen=True):
    """Reports the result of a delivery under a lease.

    Attributes:
        number: number of the request.
        group: the shard.
        request_id: request id of the message.
        lease_id: id of the lease.
        outcome: the result.
        stamp: the worker's stamp.
        retry_after_ms: delay before the next attempt that the worker requested; 0 for none.
    """

    number: int
    group: str
    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str
    retry_after_ms: int


class EndAttemptResponse(Struct, frozen=True):
    """`accepted`: the lease was the current one, or the same result was accepted before."""

    number: int
    accepted: bool


class ExtendRequest(Struct, frozen=True):
    """Requests to extend the lease of a pulled message, as its worker is still processing it."""

    number: int
    group: str
    request_id: str
    lease_id: str


# ---- call-backs and state


class CallbackRequest(Struct, frozen=True):
    """Requests the receiving edge node to call the client's URL, because a message has ended.

    Attributes:
        group: the shard.
        request_id: request id of the message.
        url: the client's URL.
        state: final state of the message.
        stamp: the worker's stamp.
    """

    group: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


class CallbackReport(Struct, frozen=True):
    """Result of a `CallbackRequest`; `accepted`: the client has acknowledged the call."""

    group: str
    request_id: str
    accepted: bool


class StateRequest(Struct, frozen=True):
    """Requests a message's state and, if `wants_body`, its body."""

    number: int
    group: str
    request_id: str
    wants_body: bool


class StateResponse(Struct, frozen=True):
    """A message's state.

    Attributes:
        number: number of the request.
        known: False if the shard has never had the message or has forgotten it; the other fields are then
            meaningless.
        state: state of the message.
        stamp: the worker's stamp.
        body: the message's body, if it was requested and is still stored.
    """

    number: int
    known: bool
    state: MessageState
    stamp: str
    body: bytes | None


# ---- workers that pull


class PullRequest(Struct, frozen=True):
    """A long poll: a worker waits for a message at the sending edge node.

    Attributes:
        number: number of the request.
        group: the shard that is polled.
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
    """Cancels a long poll; a message that is already on its way to the worker is returned as not run."""

    number: int
    group: str


class PullResponse(Struct, frozen=True):
    """A message under a lease; `message` is None if there was none in time."""

    number: int
    lease_id: str
    message: Message | None


class WorkAvailable(Struct, frozen=True):
    """A shard has messages of a service but no waiting worker.

    Attributes:
        group: the shard.
        service: name of the service.
        waiting: number of messages that are ready.
        nodes: number of edge nodes that receive this record.
    """

    group: str
    service: str
    waiting: int
    nodes: int
