"""Events that the broker queues for its next batch.

They are plain records. `Broker.process_batch` translates each into an event of the decision module
(`balancer.messages`).
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Listing
from bitternpath.balancer.core.requests import AcceptedRequest, UpstreamCall


class RequestArrived(Struct):
    """A server has accepted a request."""

    request: AcceptedRequest


class ClientLeft(Struct):
    """The client of a request has disconnected, or the broker answered the request without the module."""

    request: AcceptedRequest


class CallEnded(Struct):
    """A call has ended; `result` is the body of the response if it succeeded."""

    call: UpstreamCall
    outcome: m.AttemptOutcome
    result: bytes = b""


class CallUnusable(Struct):
    """The endpoint rejected the request itself (4xx): any other endpoint would too."""

    call: UpstreamCall


class CallProgress(Struct):
    """The job of a call has started (`share` is None), or reports the share done (0 to 1)."""

    call: UpstreamCall
    share: float | None


class EndpointsChanged(Struct):
    """The endpoint list, or changes to it; `kind` says which."""

    listing: Listing
    kind: m.ListKind


class TimerExpired(Struct):
    """A timer that the module set (`messages.StartTimer`) has expired."""

    label: str


class SettingsChanged(Struct):
    """New settings apply to requests that arrive from now on."""

    settings: m.Settings


Event = (
    RequestArrived
    | ClientLeft
    | CallEnded
    | CallUnusable
    | CallProgress
    | EndpointsChanged
    | TimerExpired
    | SettingsChanged
)
