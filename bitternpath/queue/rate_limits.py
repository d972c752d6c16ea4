"""Rate ceilings of services: the share of one shard, as a token bucket.

RULES, "CEILING": in each sliding window of `window_s`, arrivals at a service over all shards stay at or below
`rate * window_s * over + 5`. A token is spent when a lease is granted; the arrival follows within
`SEND_LAG_S`. Tokens spent in a span W by one bucket are at most refill * W + burst, so the bound holds if

    shards * (refill * (window_s + SEND_LAG_S) + burst) <= rate * window_s * over + 5.

A bucket starts empty when a shard gets a new owner: its predecessor may just have spent its burst.

Where equal shares are small, a shard whose keys belong to a busy service has too little while others have too
much. Then each shard has a smaller one, and the rest is a pool: a bucket at the owner of the service's home
shard, which lends tokens to the shards where messages wait. A lent token lapses `QUOTA_LEASE_S` after it was
asked for. An owner of the home shard lends only while it surely leads, and for at most `LEND_LAG_S` beside
its successor, whose pool starts empty. So the pool's tokens arrive within `POOL_LAG_S`, and the bound is

    shards * (refill * (window_s + SEND_LAG_S) + burst)
        + pool refill * (window_s + POOL_LAG_S) + pool burst <= rate * window_s * over + 5.
"""

from __future__ import annotations

from dataclasses import dataclass

ALLOWED_EXCESS = 5.0  # arrivals a window beyond the rate (RULES, "CEILING")
EDGE_SEND_LAG_S = 0.5  # an edge node sends within this time of receiving a lease, or hands it back
GRANT_LAG_S = 0.25  # a lease whose grant takes longer to commit is handed back unsent
SEND_LAG_S = EDGE_SEND_LAG_S + GRANT_LAG_S
# A ceiling is pooled over so many shards where an equal share is below so many tokens in a window: chance
# then loads shards too unevenly. Else equal shares are better: they use nearly all of the rate.
POOLED_FROM_SHARDS, POOLED_BELOW = 8, 16.0
BASE_PART = 0.15  # of a pooled service's rate that is shared equally
QUOTA_LEASE_S = 0.4  # a lent token is spent within this time of being asked for, or lapses
LEND_LAG_S = 0.5  # a former owner of the home shard may lend for so long beside its successor
POOL_LAG_S = SEND_LAG_S + QUOTA_LEASE_S + LEND_LAG_S
_POOL_BURST = 6.0  # tokens, at least where the bound allows it: shards ask ten times a second at most
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


@dataclass(frozen=True, slots=True)
class CeilingSplit:
    """What each shard has for itself, and the pool from which the shards borrow."""

    base: CeilingShare
    pool: CeilingShare

    @property
    def is_pooled(self) -> bool:
        """Whether there is a pool."""
        return self.pool.refill_per_s > 0.0


NO_SHARE = CeilingShare(0.0, 0.0)


def split_ceiling(rate_per_s: float, shards: int, window_s: float, over: float) -> CeilingSplit:
    """Equal shares where they are large, else a part in equal shares and the rest in a pool.

    Where equal shares of a part would take half of what the bound allows, all is in the pool.
    """
    allowed = rate_per_s * window_s * over + ALLOWED_EXCESS
    if shards < POOLED_FROM_SHARDS or allowed / shards >= POOLED_BELOW:
        return CeilingSplit(ceiling_share(rate_per_s, shards, window_s, over), NO_SHARE)
    base = CeilingShare(BASE_PART * rate_per_s / shards, _LEAST_BURST)
    taken = shards * (base.refill_per_s * (window_s + SEND_LAG_S) + base.burst)
    if taken > allowed / 2:
        base, taken = NO_SHARE, 0.0
    span = window_s + POOL_LAG_S
    left = allowed - taken
    burst = min(_POOL_BURST, left / 2)
    refill = min(rate_per_s - shards * base.refill_per_s, (left - burst) / span)
    return CeilingSplit(base, CeilingShare(refill, left - refill * span))


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

    def tokens(self, now: float) -> int:
        """How many whole tokens are there."""
        self._refill(now)
        return int(self._tokens + _ROUNDING)

    def take(self, now: float, most: int) -> int:
        """Take tokens, `most` at most; how many."""
        taken = min(most, self.tokens(now))
        self._tokens -= taken
        return taken

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
