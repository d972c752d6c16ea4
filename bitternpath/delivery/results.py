"""Typed targets and results of calls to workers and receivers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternpath.transport.records import AttemptOutcome


class RefusalKind(Enum):
    """Why a worker did not run a message, which proves that it may be sent to another worker."""

    NONE = "it ran, or may have"
    BUSY = "no free slot, or over its rate (503, 429), or no connection became free in time"
    WRONG_INSTANCE = "another worker has that address now (421)"
    NO_CONNECTION = "no connection could be made"
    OTHER = "it said that it did not run (X-Not-Executed)"


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """Where a delivery goes."""

    address: str  # ip:port
    instance: str  # the incarnation that is expected at the address; "" for an endpoint
    max_connections: int  # to the address, for this node
    send_within_s: float = float("inf")  # else it isn't sent: its rate token is valid for so long


@dataclass(frozen=True, slots=True)
class DeliveryResult:
    """How one delivery ended."""

    outcome: AttemptOutcome
    stamp: str  # the worker's, of a success; else ""
    status: int  # of the response; 0 where there was none
    refusal: RefusalKind
    elapsed_s: float  # from the delivery's start to its end, waiting included


class CallbackResult(Enum):
    """How a call-back ended."""

    ACKNOWLEDGED = "acknowledged"  # 200
    REJECTED = "rejected"  # 400: the receiver knows no such id, or the state is no end; a retry is useless
    FAILED = "failed"  # anything else: to be retried
