"""What happens to requests and calls, as the broker queues it for its next batch.

The events are small records without behaviour. `Broker.drain` translates each into an event of the decision
module (`balancer.messages`) at the time of the batch.
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
    """The client of a request has disconnected, or its request was answered without the module."""

    request: AcceptedRequest


class CallEnded(Struct):
    """A call has an outcome; `result` is the answer's body where it succeeded."""

    call: UpstreamCall
    outcome: m.AttemptOutcome
    result: bytes = b""


class CallUnusable(Struct):
    """The endpoint rejected the request itself (4xx): no other endpoint would take it."""

    call: UpstreamCall


class CallProgress(Struct):
    """The job of a call has begun to run (`share` is None), or reports the share done (0 to 1)."""

    call: UpstreamCall
    share: float | None


class EndpointsChanged(Struct):
    """The endpoint list, or changes to it; `kind` says which."""

    listing: Listing
    kind: m.ListKind


class TimerExpired(Struct):
    """A timer that the module set (`messages.StartTimer`) is due."""

    label: str


class SettingsChanged(Struct):
    """Other settings hold for requests that arrive from now on."""

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
