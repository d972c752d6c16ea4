"""What the HTTP side of an edge node needs of the node itself; results are in `shards.results`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.shards.results import Acceptance, FoundMessage, LeaseAnswer, LookupFailure, PulledJob
from bitternpath.transport.records import Message


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
