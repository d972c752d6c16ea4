"""Records by which shards borrow rate-limit tokens from one another."""

from __future__ import annotations

from msgspec import Struct


class TokenRequest(Struct, frozen=True):
    """Requests tokens of a service from the service's home shard, for another shard.

    Attributes:
        number: number of the request on this link.
        group: replica group of the home shard.
        service: name of the service.
        wanted: number of tokens requested.
    """

    number: int
    group: str
    service: str
    wanted: int


class TokenResponse(Struct, frozen=True):
    """The tokens lent to a shard; they expire one quota lease after the request was sent.

    Attributes:
        number: number of the request.
        tokens: number of tokens; may be less than requested, or 0.
    """

    number: int
    tokens: int
