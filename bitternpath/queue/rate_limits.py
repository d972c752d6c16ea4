"""How the rate limit of a service is divided among the token buckets of the shards.

RULES, "CEILING": in each sliding window of `window_s`, arrivals at a service over all shards stay at or below
`rate * window_s * tolerance + 5`. A token is spent when a lease is granted; the arrival follows within
`MAX_SEND_DELAY_S`. Tokens spent in a span W by one bucket are at most refill * W + burst, so the bound holds
if

    shards * (refill * (window_s + MAX_SEND_DELAY_S) + burst) <= rate * window_s * tolerance + 5.

A bucket starts empty when a shard gets a new owner: its predecessor may just have spent its burst.

Where equal shares are small, a shard whose keys belong to a busy service has too little while others have too
much. Then each shard has a smaller one, and the rest is a pool: a bucket at the owner of the service's home
shard, which lends tokens to the shards where messages wait (`quota_leases`). A lent token lapses
`QUOTA_LEASE_S` after it was asked for. An owner of the home shard lends only while it surely leads, and for
at most `LENDER_OVERLAP_S` beside its successor, whose pool starts empty. So the pool's tokens arrive within
`MAX_POOL_DELAY_S`, and the bound is

    shards * (refill * (window_s + MAX_SEND_DELAY_S) + burst)
        + pool refill * (window_s + MAX_POOL_DELAY_S) + pool burst <= rate * window_s * tolerance + 5.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.token_bucket import NO_SHARE, BucketShare

ALLOWED_EXCESS = 5.0  # arrivals a window beyond the rate (RULES, "CEILING")
EDGE_SEND_DELAY_S = 0.5  # an edge node sends within this time of receiving a lease, or hands it back
MAX_GRANT_DELAY_S = 0.25  # a lease whose grant takes longer to commit is handed back unsent
MAX_SEND_DELAY_S = EDGE_SEND_DELAY_S + MAX_GRANT_DELAY_S
# A limit is pooled over so many shards where an equal share is below so many tokens in a window: chance then
# loads shards too unevenly. Else equal shares are better: they use nearly all of the rate.
MIN_POOLED_SHARDS = 8
MAX_POOLED_TOKENS_PER_SHARD = 16.0
BASE_FRACTION = 0.15  # of a pooled service's rate that is shared equally
QUOTA_LEASE_S = 0.4  # a lent token is spent within this time of being asked for, or lapses
LENDER_OVERLAP_S = 0.5  # a former owner of the home shard may lend for so long beside its successor
MAX_POOL_DELAY_S = MAX_SEND_DELAY_S + QUOTA_LEASE_S + LENDER_OVERLAP_S
_POOL_BURST = 6.0  # tokens, at least where the bound allows it: shards ask ten times a second at most
_MIN_BURST = 1.0  # a smaller bucket never holds a complete token


class RateBound(Struct, frozen=True):
    """The bound on the arrivals at each rate-limited service, by settings that all nodes have in common."""

    shard_count: int
    window_s: float
    tolerance: float  # factor on the rate, 1 or more

    def allowed(self, rate_per_s: float) -> float:
        """Return the arrivals at a service that a window may have, over all shards."""
        return rate_per_s * self.window_s * self.tolerance + ALLOWED_EXCESS


class RateSplit(Struct, frozen=True):
    """How a service's rate is divided."""

    base: BucketShare  # of each shard
    pool: BucketShare  # from which the shards borrow

    @property
    def is_pooled(self) -> bool:
        """Whether there is a pool."""
        return self.pool.refill_per_s > 0.0


def equal_share(rate_per_s: float, bound: RateBound) -> BucketShare:
    """Return the largest share up to rate/shards that keeps the bound with a burst of one token or more.

    Many shards or a low rate can push the refill under rate/shards: the bound goes first, and the service
    then gets less than its rate. Where even one token a window for each shard would break the bound
    (rate * window_s * tolerance + 5 < shards), the share is nothing at all.
    """
    allowed = bound.allowed(rate_per_s) / bound.shard_count
    if allowed < _MIN_BURST:
        return NO_SHARE
    span = bound.window_s + MAX_SEND_DELAY_S
    refill = min(rate_per_s / bound.shard_count, (allowed - _MIN_BURST) / span)
    return BucketShare(refill, max(_MIN_BURST, allowed - refill * span))


def split_rate(rate_per_s: float, bound: RateBound) -> RateSplit:
    """Divide a rate: equal shares where they are large, else a part in equal shares and the rest in a pool.

    Where equal shares of a part would take half of what the bound allows, all is in the pool.
    """
    allowed = bound.allowed(rate_per_s)
    shards = bound.shard_count
    if shards < MIN_POOLED_SHARDS or allowed / shards >= MAX_POOLED_TOKENS_PER_SHARD:
        return RateSplit(equal_share(rate_per_s, bound), NO_SHARE)
    base = BucketShare(BASE_FRACTION * rate_per_s / shards, _MIN_BURST)
    base_arrivals = shards * (base.refill_per_s * (bound.window_s + MAX_SEND_DELAY_S) + base.burst)
    if base_arrivals > allowed / 2:
        base = NO_SHARE
        base_arrivals = 0.0
    span = bound.window_s + MAX_POOL_DELAY_S
    pool_arrivals = allowed - base_arrivals
    burst = min(_POOL_BURST, pool_arrivals / 2)
    refill = min(rate_per_s - shards * base.refill_per_s, (pool_arrivals - burst) / span)
    return RateSplit(base, BucketShare(refill, pool_arrivals - refill * span))
