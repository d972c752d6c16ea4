"""Records of messages, as they are sent between nodes and stored on disk.

The order and the types of the fields and the numbers of the enums are the stored form and must stay.
"""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class Header(Struct, frozen=True):
    """One end-to-end header of a client's request."""

    name: str
    value: str


class Message(Struct, frozen=True):
    """An accepted request, as it will be delivered.

    Attributes:
        request_id: unique in the system; it names the shard.
        method: HTTP method.
        host: HTTP host.
        target: path and query, byte for byte (Latin-1).
        headers: end-to-end headers, in their order.
        order_key: messages with the same key are delivered one after the other; empty: none.
        route: name of its route when it was accepted.
        accepted_version: version of the configuration by which it was accepted.
        delay_ms: how long to wait after acceptance before it is due.
        callback_url: URL that is called when it has ended; empty: none.
        origin: name of the edge node that took it from the client.
        accepted_wall_ms: the origin's wall clock at acceptance, in milliseconds; used only after a restart.
        body: the request's body.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...]
    order_key: str
    route: str
    accepted_version: int
    delay_ms: int
    callback_url: str
    origin: str
    accepted_wall_ms: int
    body: bytes


class MessageState(IntEnum):
    """State of a message (PROTOCOL, "Messages")."""

    QUEUED = 0
    DONE = 1
    DEAD_LETTER = 2


class AttemptOutcome(IntEnum):
    """How a delivery under a lease ended."""

    SUCCEEDED = 0  # 2xx with a stamp
    FAILED = 1  # 500: counts as an attempt
    REJECTED = 2  # 422: can never succeed
    NOT_RUN = 3  # proven not to have run; handed back
    UNKNOWN = 4  # reset, close, silence, time-out: may have run; counts as no attempt
    ROUTE_GONE = 5  # the configuration has dropped its route
