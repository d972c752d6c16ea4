"""Accepted requests, their upstream calls, and the interfaces that a protocol implements.

A protocol package has up to three parts. A *server* builds an `AcceptedRequest` and passes it to
`Broker.submit`, with a `Client` that receives its answer. An `UpstreamClient` carries calls to endpoints of
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

MAX_ID_LENGTH = 200  # of a request's id, in visible ASCII characters, which every protocol can carry


class Client(Protocol):
    """Receives the answer to a request: one of `served`, `rejected` and `failed` is called, exactly once."""

    def served(self, result: bytes) -> None:
        """The request succeeded with this result."""

    def rejected(self, retry_after: float) -> None:
        """The job did not run, or may safely run again: the client may retry after `retry_after` ms."""

    def failed(self) -> None:
        """The request failed; it may have run."""

    def disconnected(self) -> bool:
        """Whether the client has disconnected, even if that event has not been processed yet."""
        ...


class Payload(Protocol):
    """The content of a request in the platform's format (PROTOCOL, 'Clients to nodes'), for upstream clients.

    `target` is the path and query that begin with `/CLASS`. Names in `headers` are in lower case, and only
    those that the client sent: `x-call-class`, `x-route-hash`, `x-again`, `x-call-info`, `content-type`.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class RequestPayload(Struct):
    """A payload for servers of protocols other than HTTP."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes


class UpstreamClient(Protocol):
    """Carries calls to the endpoints of one protocol, and reports their outcomes to `Broker.call_ended`."""

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        """Send a call to an endpoint."""

    def cancel(self, call: UpstreamCall) -> None:
        """Cancel a call, as far as the protocol can."""


UpstreamClients = Mapping[str, UpstreamClient]  # by the protocol of the endpoint
CALLBACK_PROTOCOL = "http"  # the protocol whose endpoints report by call-backs to the listener


class CallState(Enum):
    """The state of a call that an endpoint reports."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class CallReport(Struct):
    """An endpoint's report of a call. Field names on the handover link must not change."""

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
    start_deadline: float = inf  # ms; not sent later, as endpoints would no longer detect a repeat
    protocol: str = CALLBACK_PROTOCOL  # of the endpoint; selects the upstream client
    finished: bool = False  # its outcome is known; later reports are ignored
    may_have_run: bool = True  # false once the outcome proves that it did not
    accepted: bool = False  # by the endpoint (202): its connection may close
    returned: bool = False  # ended by a call-back with the state `RETURNED`
    timer: Any = None
    transport_state: Any = None  # owned by the upstream client

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.request.id


class AcceptedRequest(Struct, eq=False):
    """A request that was accepted and must be answered. Times are in ms on the node's clock."""

    id: str
    job_class: str
    deadline: float
    client: Client
    payload: Any  # a Payload; the core does not read it
    key: int | None = None
    hint: float | None = None
    slots: float = 1.0
    memory: float = 0.0
    repeat: bool = False
    answered: bool = False
    calls: list[UpstreamCall] = []
    timer: Any = None


def parse_call_info(info: bytes) -> dict[str, float]:
    """Parse `name=value,name=value` (the header `X-Call-Info`); values that are not numbers are ignored."""
    values: dict[str, float] = {}
    for pair in info.split(b","):
        name, _, value = pair.strip().partition(b"=")
        try:
            values[name.decode()] = float(value)
        except ValueError:
            continue
    return values
