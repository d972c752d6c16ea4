"""Records by which shards lease rate-limit tokens from one another."""

from __future__ import annotations

from msgspec import Struct


class TokenRequest(Struct, frozen=True):
    """A shard wants tokens of a service whose home is `group`."""

    number: int
    group: str
    service: str
    wanted: int


class TokenResponse(Struct, frozen=True):
    """How many it gets; they lapse `ceilings.QUOTA_LEASE_S` after the request went out."""

    number: int
    tokens: int
