"""Records between edge nodes and the owners of queue shards."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct

from bitternpath.transport.records import AttemptOutcome, Message, MessageState


class Ownership(Struct, frozen=True):
    """A storage node owns a shard, or no longer does."""

    group: str
    epoch: int
    owns: bool


class RefusalReason(IntEnum):
    """Why a request did nothing at all."""

    NOT_OWNER = 0
    FULL = 1  # of disk or memory
    NOT_READY = 2


class Refused(Struct, frozen=True):
    """The request did nothing, and never will."""

    number: int
    reason: RefusalReason


class RequestOutcomeUnknown(Struct, frozen=True):
    """The request may or may not have been done: the owner lost its shard meanwhile."""

    number: int


class AppendRequest(Struct, frozen=True):
    """Keep this message; done once where the same request id comes again."""

    number: int
    group: str
    message: Message


class AppendResponse(Struct, frozen=True):
    """f+1 replicas have it on disk."""

    number: int


class LeaseGrant(Struct, frozen=True):
    """A lease on a message for the receiving edge node. `message.body` is empty where `body_omitted`."""

    group: str
    lease_id: str
    duration_ms: int
    attempts: int  # failed ones before
    body_omitted: bool
    message: Message


class EndAttemptRequest(Struct, frozen=True):
    """How a delivery under a lease ended."""

    number: int
    group: str
    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str
    retry_after_ms: int


class EndAttemptResponse(Struct, frozen=True):
    """`taken`: the lease was the current one, or this very end was taken before."""

    number: int
    taken: bool


class CallbackRequest(Struct, frozen=True):
    """The receiving edge node is to tell the client's URL that the message has ended."""

    group: str
    request_id: str
    url: str
    state: MessageState
    stamp: str


class CallbackReport(Struct, frozen=True):
    """How that went."""

    group: str
    request_id: str
    taken: bool


class StateRequest(Struct, frozen=True):
    """Asks for a message's state, and its body."""

    number: int
    group: str
    request_id: str
    wants_body: bool


class StateResponse(Struct, frozen=True):
    """`known` False: the shard has never had it, or has forgotten it."""

    number: int
    known: bool
    state: MessageState
    stamp: str
    body: bytes | None


class PullRequest(Struct, frozen=True):
    """A worker waits for a job of `service` at this node, for so long."""

    number: int
    group: str
    service: str
    instance: str
    wait_ms: int


class PullCancel(Struct, frozen=True):
    """The worker waits no more; a job on its way comes back as not run."""

    number: int
    group: str


class PullResponse(Struct, frozen=True):
    """A job under a lease, or None: nothing came in time."""

    number: int
    lease_id: str
    message: Message | None


class WorkAvailable(Struct, frozen=True):
    """So many jobs of a service wait at a shard, and no worker does. `nodes`: edge nodes that are told."""

    group: str
    service: str
    waiting: int
    nodes: int


class ExtendRequest(Struct, frozen=True):
    """The worker holds a pulled job still."""

    number: int
    group: str
    request_id: str
    lease_id: str
