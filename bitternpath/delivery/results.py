"""Typed results of calls to workers and receivers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bitternpath.transport.records import AttemptOutcome


class RefusalKind(Enum):
    """Why a worker did not run a message."""

    NONE = "it ran, or may have"
    BUSY = "no free slot, or over its rate (503, 429)"
    WRONG_INSTANCE = "another worker has that address now (421)"
    NO_CONNECTION = "no connection could be made"
    OTHER = "it said that it did not run (X-Not-Executed)"


@dataclass(frozen=True, slots=True)
class WorkerTarget:
    """Where a delivery goes. `instance` is empty for an endpoint."""

    address: str  # ip:port
    instance: str
    max_connections: int  # share of this node
    send_within_s: float = float("inf")  # else it isn't sent: the ceiling of a service counts on it


@dataclass(frozen=True, slots=True)
class DeliveryResult:
    """How one delivery ended. `elapsed_s` is from its start to its end."""

    outcome: AttemptOutcome
    stamp: str
    status: int  # 0: no answer
    refusal: RefusalKind
    elapsed_s: float


class CallbackResult(Enum):
    """How a call-back ended."""

    ACKNOWLEDGED = "taken"  # 200
    REFUSED = "refused"  # 400: the receiver says that the id is unknown or that the state is no end
    FAILED = "failed"  # anything else: to be repeated
