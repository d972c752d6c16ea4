"""Records of messages that cross the network or are written to disk."""

from __future__ import annotations

from enum import IntEnum

from msgspec import Struct


class Header(Struct, frozen=True):
    """One end-to-end header of a client's request."""

    name: str
    value: str


class Message(Struct, frozen=True):
    """An accepted request, as it will be delivered. `target` is path and query, byte for byte (Latin-1)."""

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...]
    order_key: str  # empty: none
    route: str  # its name when the message was accepted
    accepted_version: int  # of the configuration by which it was accepted
    delay_ms: int
    callback_url: str  # empty: none
    origin: str  # name of the edge node that took it from the client
    accepted_wall_ms: int  # the origin's time of day; used only after a restart
    body: bytes


class MessageState(IntEnum):
    """Where a message is (PROTOCOL, "Messages")."""

    QUEUED = 0
    DONE = 1
    DEAD_LETTER = 2


class AttemptOutcome(IntEnum):
    """How a delivery under a lease ended."""

    SUCCEEDED = 0  # 2xx with a stamp
    FAILED = 1  # 500: counts as an attempt
    REJECTED = 2  # 422: can never be done
    NOT_RUN = 3  # proven not to have run; handed back
    UNKNOWN = 4  # reset, close, silence, time-out: may have run; counts as no attempt
    ROUTE_GONE = 5  # the configuration has dropped its route
