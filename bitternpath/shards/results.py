"""Results of requests to the shards, as returned to the other components of an edge node."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternpath.transport.records import Message, MessageState


class AcceptResult(Enum):
    """Outcome of submitting a client's message."""

    ACCEPTED = "accepted"  # stored on disk by f+1 replicas
    REJECTED = "rejected"  # not stored and never will be; guarantees that it will not run
    UNKNOWN = "outcome unknown"  # may have been stored; nothing is guaranteed


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Result of submitting a message, for the response to the client."""

    result: AcceptResult
    message_id: str = ""  # id of an accepted message; "" if its request id identifies it
    retry_after_s: int = 1  # for the client of a rejected message


@dataclass(frozen=True, slots=True)
class FoundMessage:
    """State of a message that was found."""

    state: MessageState
    stamp: str  # the worker's stamp if the message is done, else ""
    body: bytes | None  # None if it was not requested or is no longer stored


class LookupFailure(Enum):
    """Reason why a look-up found no state."""

    UNKNOWN_MESSAGE = "no such message"
    UNAVAILABLE = "the owner of a shard can't be reached"  # a retry may help


@dataclass(frozen=True, slots=True)
class PulledJob:
    """A job for a pulling worker."""

    lease_id: str
    message: Message


class LeaseAnswer(Enum):
    """Result of a call that ends or extends a lease. The values are HTTP statuses."""

    ACKNOWLEDGED = 200
    NOT_CURRENT = 409  # the lease is not the current one; a retry does not help
    UNAVAILABLE = 503  # no owner could be reached; a retry may help
