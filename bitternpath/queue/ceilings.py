"""Rate ceilings of services: the share of one shard, as a token bucket.

RULES, "CEILING": in each sliding window of `window_s`, arrivals at a service over all shards stay at or below
`rate * window_s * over + 5`. A token is spent when a lease is granted; the arrival follows within
`SEND_LAG_S`. Tokens spent in a span W by one bucket are at most refill * W + burst, so the bound holds if

    shards * (refill * (window_s + SEND_LAG_S) + burst) <= rate * window_s * over + 5.

A bucket starts empty when a shard gets a new owner: its predecessor may just have spent its burst.
"""

from __future__ import annotations

from dataclasses import dataclass

ALLOWED_EXCESS = 5.0  # arrivals a window beyond the rate (RULES, "CEILING")
EDGE_SEND_LAG_S = 0.5  # an edge node sends within this time of receiving a lease, or hands it back
GRANT_LAG_S = 0.25  # a lease whose grant takes longer to commit is handed back unsent
SEND_LAG_S = EDGE_SEND_LAG_S + GRANT_LAG_S
_LEAST_BURST = 1.0  # a smaller bucket never holds a whole token
_ROUNDING = 1e-9  # tokens; keeps sums of small refills from missing a whole token


@dataclass(frozen=True, slots=True)
class CeilingShare:
    """Refill (tokens a second) and burst (tokens) of one shard's bucket."""

    refill_per_s: float
    burst: float


def ceiling_share(rate_per_s: float, shards: int, window_s: float, over: float) -> CeilingShare:
    """The largest share up to rate/shards that keeps the bound above with a burst of one token or more.

    Many shards or a low rate can push the refill under rate/shards: the bound goes first, and the service
    then gets less than its rate. Where even one token a window for each shard would break the bound
    (rate * window_s * over + 5 < shards), the share is nothing at all.
    """
    allowed = (rate_per_s * window_s * over + ALLOWED_EXCESS) / shards
    if allowed < _LEAST_BURST:
        return CeilingShare(0.0, 0.0)
    span = window_s + SEND_LAG_S
    refill = min(rate_per_s / shards, (allowed - _LEAST_BURST) / span)
    return CeilingShare(refill, max(_LEAST_BURST, allowed - refill * span))


class TokenBucket:
    """Tokens of one service in one shard; empty at first."""

    def __init__(self, share: CeilingShare, now: float) -> None:
        self._share = share
        self._tokens = 0.0
        self._updated = now

    def configure(self, now: float, share: CeilingShare) -> None:
        """Go on with another share; saved tokens beyond its burst lapse."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def ready(self, now: float) -> bool:
        """Whether a token is there."""
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING

    def spend(self) -> None:
        """Take a token that `ready` has found."""
        self._tokens -= 1.0

    def next_ready(self, now: float) -> float | None:
        """When the next token will be there; None where there is no refill."""
        self._refill(now)
        if self._tokens >= 1.0 - _ROUNDING:
            return now
        if self._share.refill_per_s <= 0.0:
            return None
        return now + (1.0 - self._tokens) / self._share.refill_per_s

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._tokens = min(self._share.burst, self._tokens + elapsed * self._share.refill_per_s)
