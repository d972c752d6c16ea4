"""Records of messages, as sent between nodes and stored on disk.

The order and the types of the fields and the numbers of the enums are the storage format and must not change.
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
        request_id: unique in the system; determines the shard.
        method: HTTP method.
        host: HTTP host.
        target: path and query, byte for byte (Latin-1).
        headers: end-to-end headers, in their order.
        order_key: messages with the same key are delivered one after another; empty for none.
        route: name of its route when it was accepted.
        accepted_version: version of the configuration under which it was accepted.
        delay_ms: time from acceptance until it is due.
        callback_url: URL that is called when it has ended; empty for none.
        origin: name of the edge node that received it from the client.
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
    """The result of a delivery under a lease."""

    SUCCEEDED = 0  # 2xx with a stamp
    FAILED = 1  # 500: counts as an attempt
    REJECTED = 2  # 422: can never succeed
    NOT_RUN = 3  # certainly not run; returned to the queue
    UNKNOWN = 4  # reset, close or time-out: may have run; doesn't count as an attempt
    ROUTE_GONE = 5  # its route was removed from the configuration
