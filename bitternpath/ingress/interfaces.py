"""What the HTTP servers of an edge node need from the node; results are in `shards.results`."""

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
    """A pull of a waiting worker."""

    result: Deferred[PulledJob | None]  # None if there was no job in time

    def cancel(self) -> None:
        """Called when the worker has disconnected; a job that still arrives is returned."""


class NodeService(Protocol):
    """An edge node, as seen by its HTTP servers. None of its Deferreds ever fails."""

    def is_ready(self) -> bool:
        """Whether the node accepts new connections."""

    def routing(self) -> RoutingTable | None:
        """The configuration in force on this node; None before the first one."""

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Store a message; fires within `deadline_ms` milliseconds."""

    def find_message(self, message_id: str, *, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        """Look up a message by the id in its `Acceptance`, or by its request id."""

    def pull(self, service: str, instance: str, wait_ms: int) -> PendingPull:
        """Wait for a job of a service, for at most `wait_ms` milliseconds."""

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """Report the result of a pulled job, as stated by its worker."""

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """Extend the lease of a worker that is still processing its job."""

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """Execute a call of the operator's API, here or on the configuration's owner."""
