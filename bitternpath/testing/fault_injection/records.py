"""Observations of the actors around the system. Times are in seconds on one monotonic clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class DeliveryKind(Enum):
    """How a message reaches a worker: by the platform's list, at one endpoint in order, or by pulling."""

    LISTED = "listed"
    ENDPOINT = "endpoint"
    PULLED = "pulled"


class SendOutcome(Enum):
    """Outcome of one attempt, as its client observed it."""

    OPEN = "open"  # not answered yet
    ACCEPTED = "accepted"
    NOT_EXECUTED = "promised not to run"
    REJECTED = "rejected"
    NOT_SENT = "no connection"
    UNCLEAR = "unclear"


@dataclass(slots=True)
class Send:
    """One attempt of a client to send a message, and its answer once there is one."""

    request_id: str
    at: float
    node: str
    kind: DeliveryKind
    target: str
    body: bytes
    order_key: str = ""
    delay_s: float = 0.0
    wants_callback: bool = False
    outcome: SendOutcome = SendOutcome.OPEN
    ended_at: float = 0.0
    status: int = 0  # 0: no answer
    message_id: str = ""
    connection_closed: bool = False  # whether the connection closed before a complete answer


@dataclass(frozen=True, slots=True)
class Run:
    """A worker started to process a message."""

    request_id: str
    at: float
    service: str
    method: str
    target: str
    body: bytes
    lease_id: str = ""
    instance: str = ""  # the worker's incarnation
    order_key: str | None = None  # None: not recorded by this kind of worker


@dataclass(frozen=True, slots=True)
class Arrival:
    """A delivery arrived at an endpoint, whether it ran or not."""

    at: float
    service: str


@dataclass(slots=True)
class Answer:
    """A worker's answer after a run of a message."""

    request_id: str
    at: float
    status: int
    stamp: str
    read: bool = True  # whether the connection stayed open long enough for the answer to be read
    lease_id: str = ""  # lease of a pulled job, whose answer counts only if a `LeaseEnd` accepted it


@dataclass(frozen=True, slots=True)
class LeaseExtension:
    """An extension of a pulling worker's lease, acknowledged with 200; `at` is when it was sent."""

    request_id: str
    lease_id: str
    at: float


@dataclass(frozen=True, slots=True)
class LeaseEnd:
    """The answer to a pulling worker that reported the end of a job: 200 if `accepted`, else 409."""

    request_id: str
    lease_id: str
    at: float
    status: int  # job status that the worker reported
    accepted: bool


@dataclass(frozen=True, slots=True)
class CallbackReceived:
    """A call-back that arrived at its receiver; `accepted` if it was answered with 200."""

    request_id: str
    at: float
    state: str
    stamp: str
    accepted: bool


@dataclass(frozen=True, slots=True)
class FinalState:
    """The state of a message, read at the end of a run; `state` is empty if no answer came."""

    request_id: str
    at: float
    state: str
    stamp: str = ""
    body: bytes | None = None


class OrderOutcome(Enum):
    """Outcome of a configuration change, as its operator observed it."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    UNCLEAR = "unclear"


@dataclass(frozen=True, slots=True)
class OrderSent:
    """A configuration change that the operator sent, and its outcome; `document` is the new configuration."""

    version: int
    base: int
    sent_at: float
    ended_at: float
    outcome: OrderOutcome
    valid: bool
    document: Any
    status: int = 0
    lost_answers: int = 0  # number of answers that were dropped on the way to the operator


@dataclass(frozen=True, slots=True)
class Outage:
    """A process was stopped at `at` and restarted at `until` (infinity: not restarted yet)."""

    node: str
    at: float
    until: float
    planned: bool


@dataclass(slots=True)
class History:
    """All observations of a run, each list ordered by time."""

    sends: dict[str, Send] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    lease_extensions: list[LeaseExtension] = field(default_factory=list)
    ends: list[LeaseEnd] = field(default_factory=list)
    callbacks: list[CallbackReceived] = field(default_factory=list)
    final_states: dict[str, FinalState] = field(default_factory=dict)
    orders: list[OrderSent] = field(default_factory=list)
    read_back: Any = None
    outages: list[Outage] = field(default_factory=list)
    finished: float = 0.0

    def accepted(self) -> Iterator[Send]:
        """Return the attempts that were answered with 202."""
        return (send for send in self.sends.values() if send.outcome is SendOutcome.ACCEPTED)


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Parameters of the rules that a history is checked against (RULES; DEPLOY, `bounds`)."""

    max_attempts: int
    timeout_s: float
    retention_s: float
    visible_s: float
    contact_s: float
    loss_slack_s: float
    ceiling_window_s: float
    origin_rate_over: float
    early_s: float
    rates: dict[str, float]  # rate limit per second, by service


Clock = Callable[[], float]
