"""Records by which shards lease rate-limit tokens from one another."""

from __future__ import annotations

from msgspec import Struct


class TokenRequest(Struct, frozen=True):
    """A shard asks for tokens of a service at the service's home shard.

    Attributes:
        number: of the request on this link.
        group: replica group of the home shard.
        service: name of the service.
        wanted: how many tokens.
    """

    number: int
    group: str
    service: str
    wanted: int


class TokenResponse(Struct, frozen=True):
    """How many tokens the shard gets; they lapse a quota lease's time after the request was sent.

    Attributes:
        number: of the request.
        tokens: perhaps fewer than wanted, or none.
    """

    number: int
    tokens: int
