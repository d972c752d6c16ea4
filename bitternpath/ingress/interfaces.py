"""What the HTTP side of an edge node needs of the node itself, and the typed results that it gets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.transport.records import Message, MessageState


class AcceptResult(Enum):
    """What became of a message that a client submitted."""

    ACCEPTED = "accepted"  # f+1 replicas have it on disk
    REJECTED = "rejected"  # not stored, and never will be: a promise that it won't run
    UNKNOWN = "outcome unknown"  # may have been stored: nothing is promised


@dataclass(frozen=True, slots=True)
class Acceptance:
    """The result of `NodeService.accept`."""

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


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """The response to a call of the operator."""

    status: int
    body: bytes  # JSON


class PendingPull(Protocol):
    """One waiting worker."""

    result: Deferred[PulledJob | None]  # None: no job came in time

    def cancel(self) -> None:
        """The worker has disconnected; a job that still comes is handed back."""


class NodeService(Protocol):
    """An edge node, as its HTTP side sees it. None of its Deferreds ever fails."""

    def is_ready(self) -> bool:
        """Whether the node wants new connections."""

    def routing(self) -> RoutingTable | None:
        """The configuration in force here; None before the first."""

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Store a message; fires within `deadline_ms` milliseconds."""

    def find_message(self, message_id: str, *, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        """Look up a message by the id that `Acceptance` gave, or by its request id."""

    def pull(self, service: str, instance: str, wait_ms: int) -> PendingPull:
        """Wait for a job of a service, for `wait_ms` milliseconds at most."""

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """Report the end of a pulled job, as its worker states it."""

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """Extend the lease of a worker that still holds its job."""

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """Carry out a call of the operator's API, here or at the node that leads the configuration."""
