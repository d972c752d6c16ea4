"""Targets and results of deliveries to workers, and results of call-backs to receivers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternpath.transport.records import AttemptOutcome


class RefusalKind(Enum):
    """Reason why a worker did not run a message, which may then be sent to another worker."""

    NONE = "the message ran or may have run"
    BUSY = "no free slot or rate limit exceeded (503, 429), or no connection became free in time"
    WRONG_INSTANCE = "another worker has the address now (421)"
    NO_CONNECTION = "no connection could be established"
    OTHER = "the worker reported that it did not run the message (X-Not-Executed)"


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """Target of a delivery."""

    address: str  # ip:port
    instance: str  # worker instance that is expected at the address; "" for an endpoint
    max_connections: int  # maximum number of connections from this node to the address
    send_within_s: float = float("inf")  # the delivery is not sent later, since its rate token then expires


@dataclass(frozen=True, slots=True)
class DeliveryResult:
    """Result of one delivery."""

    outcome: AttemptOutcome
    stamp: str  # the worker's stamp if the attempt succeeded, else ""
    status: int  # status of the response; 0 without a response
    refusal: RefusalKind
    elapsed_s: float  # from the start to the end of the delivery, including the wait for a connection


class CallbackResult(Enum):
    """Result of a call-back."""

    ACKNOWLEDGED = "acknowledged"  # 200
    REJECTED = "rejected"  # 400: unknown id, or the state is not an end state; a retry does not help
    FAILED = "failed"  # any other response or none; the call-back is to be retried
