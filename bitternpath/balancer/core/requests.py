"""Accepted requests, their upstream calls, and the interfaces that a protocol implements.

A protocol package has up to three parts. A *server* builds an `AcceptedRequest` and passes it to
`Broker.submit` with a `Client` that takes the one answer. An `UpstreamClient` carries calls to endpoints of
its protocol. A *source* reports endpoints to the registry (`core.endpoint_registry.Listing`).
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from math import inf
from typing import TYPE_CHECKING, Any, Protocol

from msgspec import Struct, field

if TYPE_CHECKING:
    from bitternpath.balancer.core.endpoint_registry import Endpoint

ID_LIMIT = 200  # characters of a request's id, all of them visible ASCII: it must pass in any protocol


class Client(Protocol):
    """The side that waits for the answer of one request; exactly one of its answers is called, once."""

    def served(self, result: bytes) -> None: ...

    def rejected(self, retry_after: float) -> None: ...

    def failed(self) -> None: ...

    def gone(self) -> bool:
        """Whether it has left, though nobody may have heard of that yet."""
        ...


class Payload(Protocol):
    """What an upstream client sends on: a request in the platform's own words (PROTOCOL, 'Clients to nodes').

    `target` is the path with its query, `/CLASS` and what follows; `headers` has lower-case names:
    `x-call-class`, `x-route-hash`, `x-again`, `x-call-info`, `content-type`, where the client gave them."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class Work(Struct):
    """A payload of a front that does not speak HTTP."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class UpstreamClient(Protocol):
    """The side that carries calls to endpoints. What becomes of them it tells by `Broker.ended`."""

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None: ...

    def give_up(self, call: UpstreamCall) -> None: ...


UpstreamClients = Mapping[str, UpstreamClient]  # by the protocol of the endpoint
CALLS_BACK = "http"  # the protocol whose endpoints report by call-backs at the listener


class CallState(Enum):
    """What an endpoint reports of a call."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class CallReport(Struct):
    """An endpoint's report of a call: what it says, and of which job."""

    id: str
    endpoint: str = field(name="provider")
    state: CallState
    share: float | None
    result: bytes


class UpstreamCall(Struct, eq=False):
    """One attempt of a request at an endpoint."""

    request: AcceptedRequest
    number: int
    endpoint: str
    sent: float
    expires: float
    begin_by: float = inf  # later it may not go out: what has run is no longer known to be the same job
    protocol: str = CALLS_BACK  # of the endpoint, and so whose upstream client carries it
    over: bool = False  # its outcome is known; what comes later is passed over
    ran: bool = True  # it may have run, as far as is known
    accepted: bool = False  # the endpoint has taken the job: its connection no longer matters
    returned: bool = False  # ended by a call-back that handed it back
    timer: Any = None
    transport_state: Any = None  # the upstream client's own

    @property
    def id(self) -> str:
        return self.request.id


class AcceptedRequest(Struct, eq=False):
    """A request that was taken and is owed one answer. Times are in ms on the node's clock."""

    id: str
    job_class: str
    deadline: float
    client: Client
    payload: Any  # a Payload; nothing in the core looks inside
    key: int | None = None
    hint: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    answered: bool = False
    calls: list[UpstreamCall] = []
    timer: Any = None


def parse_call_info(info: bytes) -> dict[str, float]:
    """The further figures of a request: `name=value,name=value`, those whose values are numbers."""
    found: dict[str, float] = {}
    for pair in info.split(b","):
        name, _, value = pair.strip().partition(b"=")
        try:
            found[name.decode()] = float(value)
        except ValueError:
            continue
    return found
