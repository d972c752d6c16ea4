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

MAX_ID_LENGTH = 200  # characters of a request's id, all of them visible ASCII: it must pass in any protocol


class Client(Protocol):
    """Takes the answer of one request: exactly one of `served`, `rejected` and `failed` is called, once."""

    def served(self, result: bytes) -> None:
        """The request succeeded with this result."""

    def rejected(self, retry_after: float) -> None:
        """Nothing ran, or a repeat is harmless: the client may retry after so many ms."""

    def failed(self) -> None:
        """The request failed; it may have run."""

    def disconnected(self) -> bool:
        """Whether it has disconnected, though the event may not have been processed yet."""
        ...


class Payload(Protocol):
    """What an upstream client sends on: a request in the platform's form (PROTOCOL, 'Clients to nodes').

    `target` is the path with its query, `/CLASS` and what follows; `headers` has lower-case names:
    `x-call-class`, `x-route-hash`, `x-again`, `x-call-info`, `content-type`, where the client gave them.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class RequestPayload(Struct):
    """The payload of a server that does not speak HTTP."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class UpstreamClient(Protocol):
    """Carries calls to the endpoints of one protocol, and reports their outcomes by `Broker.call_ended`."""

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        """Send a call to an endpoint."""

    def cancel(self, call: UpstreamCall) -> None:
        """Cancel a call, as far as the protocol can."""


UpstreamClients = Mapping[str, UpstreamClient]  # by the protocol of the endpoint
CALLBACK_PROTOCOL = "http"  # the protocol whose endpoints report by call-backs at the listener


class CallState(Enum):
    """The state of a call, as an endpoint reports it."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class CallReport(Struct):
    """An endpoint's report of a call. The field names of its stored form (the handover link) are kept."""

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
    start_deadline: float = inf  # ms; not sent later: an endpoint would no longer recognise a repeat
    protocol: str = CALLBACK_PROTOCOL  # of the endpoint, which selects the upstream client
    finished: bool = False  # its outcome is known; later reports are ignored
    may_have_run: bool = True  # it may have run, as far as is known
    accepted: bool = False  # the endpoint has accepted it (202): its connection no longer matters
    returned: bool = False  # ended by a call-back that handed it back
    timer: Any = None
    transport_state: Any = None  # owned by the upstream client

    @property
    def id(self) -> str:
        """The id of the request that this is an attempt at."""
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
    """Parse `name=value,name=value` (the header `X-Call-Info`); values that are not numbers are left out."""
    values: dict[str, float] = {}
    for pair in info.split(b","):
        name, _, value = pair.strip().partition(b"=")
        try:
            values[name.decode()] = float(value)
        except ValueError:
            continue
    return values
