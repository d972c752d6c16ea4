"""What came of a request to the shards, as an edge node gives it to whoever asked."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternpath.transport.records import Message, MessageState


class AcceptResult(Enum):
    """What became of a message that a client submitted."""

    ACCEPTED = "accepted"  # f+1 replicas have it on disk
    REJECTED = "rejected"  # not stored, and never will be: a promise that it won't run
    UNKNOWN = "outcome unknown"  # may have been stored: nothing is promised


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The result of submitting a message."""

    result: AcceptResult
    message_id: str = ""  # names an accepted message; "" where its request id does
    retry_after_s: int = 1  # of a rejected message, for the client


@dataclass(frozen=True, slots=True)
class FoundMessage:
    """A message's state."""

    state: MessageState
    stamp: str  # the worker's, of a message that is done; else ""
    body: bytes | None  # None where it wasn't asked for, or is no longer kept


class LookupFailure(Enum):
    """Why a look-up found no state."""

    UNKNOWN_MESSAGE = "no such message"
    UNAVAILABLE = "a shard's owner can't be reached"  # a retry may help


@dataclass(frozen=True, slots=True)
class PulledJob:
    """A job for a pulling worker."""

    lease_id: str
    message: Message


class LeaseAnswer(Enum):
    """The result of a call about a lease: its end or its extension. The values are the HTTP statuses."""

    ACKNOWLEDGED = 200
    NOT_CURRENT = 409  # the lease isn't the current one; a retry is useless
    UNAVAILABLE = 503  # no owner could be reached; a retry may help
