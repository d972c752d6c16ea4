"""What the HTTP side of an edge node asks of the node itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from bitternpath.configuration.documents import RoutingTable
from bitternpath.transport.records import Message, MessageState


class AcceptResult(Enum):
    """What became of a message that a client handed in."""

    ACCEPTED = "accepted"  # f+1 replicas have it on disk
    REFUSED = "refused"  # never taken, and never will be: a promise
    UNDECIDED = "undecided"  # may have been taken: no promise


@dataclass(frozen=True, slots=True)
class Acceptance:
    """Answer to `accept`. `message_id` names an accepted message; `retry_after_s` is for refused ones."""

    result: AcceptResult
    message_id: str = ""
    retry_after_s: int = 1


@dataclass(frozen=True, slots=True)
class FoundMessage:
    """A message's state; `body` only where it was asked for and is still kept."""

    state: MessageState
    stamp: str
    body: bytes | None


class LookupFailure(Enum):
    """Why there is no state to tell."""

    UNKNOWN_MESSAGE = "no such message"
    UNAVAILABLE = "the shard's owner can't be reached"


@dataclass(frozen=True, slots=True)
class PulledJob:
    """A job for a worker that pulls."""

    lease_id: str
    message: Message


class LeaseAnswer(Enum):
    """Answer to the end or the extension of a lease."""

    ACKNOWLEDGED = 200
    GONE = 409
    UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """What the operator gets. `body` is JSON."""

    status: int
    body: bytes


class PendingPull(Protocol):
    """One waiting worker."""

    result: Deferred[PulledJob | None]

    def cancel(self) -> None:
        """The worker has gone; a job that still comes is handed back."""


class NodeService(Protocol):
    """An edge node, as its HTTP side sees it. No Deferred of it ever fails."""

    def is_ready(self) -> bool:
        """Whether new connections are welcome."""

    def routing(self) -> RoutingTable | None:
        """The configuration in force here; None before the first."""

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Keep a message; answers within `deadline_ms`."""

    def find_message(self, message_id: str, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        """A message by the id that `Acceptance` gave, or by its request id."""

    def pull(self, service: str, instance: str, wait_ms: int) -> PendingPull:
        """A job for a worker; None after `wait_ms`."""

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """A pulling worker's word on its job."""

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """A pulling worker still holds its job."""

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """A call of the operator's API, answered here or forwarded."""
