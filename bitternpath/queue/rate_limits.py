"""Division of a service's rate limit among the token buckets of the shards.

RULES, "CEILING": in each sliding window of `window_s`, the arrivals at a service over all shards must not
exceed `rate * window_s * tolerance + 5`. A token is spent when a lease is granted; the arrival follows within
`MAX_SEND_DELAY_S`. One bucket spends at most `refill * W + burst` tokens in a span W, so the bound holds if

    shards * (refill * (window_s + MAX_SEND_DELAY_S) + burst) <= rate * window_s * tolerance + 5.

A bucket starts empty when a shard gets a new owner, since the previous owner may just have spent its burst.

With small equal shares, a shard that stores many messages of a service has too few tokens while other shards
have more than they need. Each shard then gets a smaller base share, and the rest of the rate is a pool: a
bucket at the owner of the service's home shard, which lends tokens to the shards where messages wait
(`quota_leases`). A lent token expires `QUOTA_LEASE_S` after it was requested. The owner of the home shard
lends only while its leadership is confirmed, which overlaps with its successor for at most
`LENDER_OVERLAP_S`; the successor's pool starts empty. The arrivals of pool tokens therefore follow within
`MAX_POOL_DELAY_S`, and the bound is

    shards * (refill * (window_s + MAX_SEND_DELAY_S) + burst)
        + pool refill * (window_s + MAX_POOL_DELAY_S) + pool burst <= rate * window_s * tolerance + 5.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.queue.token_bucket import NO_SHARE, BucketShare

ALLOWED_EXCESS = 5.0  # arrivals per window that may exceed the rate (RULES, "CEILING")
EDGE_SEND_DELAY_S = 0.5  # an edge node sends a leased message within this time or returns it
MAX_GRANT_DELAY_S = 0.25  # a lease whose grant takes longer to commit is returned without sending
MAX_SEND_DELAY_S = EDGE_SEND_DELAY_S + MAX_GRANT_DELAY_S
# A limit is pooled if there are at least this many shards and an equal share has fewer than this many tokens
# per window, since random load is then too uneven between shards. Otherwise equal shares are better because
# they use nearly the full rate.
MIN_POOLED_SHARDS = 8
MAX_POOLED_TOKENS_PER_SHARD = 16.0
BASE_FRACTION = 0.15  # fraction of a pooled service's rate that is divided into equal shares
QUOTA_LEASE_S = 0.4  # a lent token expires this long after it was requested
LENDER_OVERLAP_S = 0.5  # maximum time in which a former owner of the home shard and its successor both lend
MAX_POOL_DELAY_S = MAX_SEND_DELAY_S + QUOTA_LEASE_S + LENDER_OVERLAP_S
_POOL_BURST = 6.0  # tokens, if the bound allows it; shards request tokens at most ten times a second
_MIN_BURST = 1.0  # a bucket with a smaller burst never contains a full token


class RateBound(Struct, frozen=True):
    """Bound on the arrivals at each rate-limited service; its settings are the same on all nodes."""

    shard_count: int
    window_s: float
    tolerance: float  # factor by which the rate may be exceeded within a window, at least 1

    def allowed(self, rate_per_s: float) -> float:
        """Return the maximum number of arrivals at a service per window, over all shards."""
        return rate_per_s * self.window_s * self.tolerance + ALLOWED_EXCESS


class RateSplit(Struct, frozen=True):
    """Division of a service's rate into equal shares and a pool."""

    base: BucketShare  # share of each shard
    pool: BucketShare  # share of the pool from which the shards borrow

    @property
    def is_pooled(self) -> bool:
        """Whether there is a pool."""
        return self.pool.refill_per_s > 0.0


def equal_share(rate_per_s: float, bound: RateBound) -> BucketShare:
    """Return the largest share up to rate/shards that keeps the bound with a burst of at least one token.

    With many shards or a low rate the bound requires a refill below rate/shards, and the service gets less
    than its rate. If even one token per window and shard would exceed the bound
    (rate * window_s * tolerance + 5 < shards), the share is empty.
    """
    allowed = bound.allowed(rate_per_s) / bound.shard_count
    if allowed < _MIN_BURST:
        return NO_SHARE
    span = bound.window_s + MAX_SEND_DELAY_S
    refill = min(rate_per_s / bound.shard_count, (allowed - _MIN_BURST) / span)
    return BucketShare(refill, max(_MIN_BURST, allowed - refill * span))


def split_rate(rate_per_s: float, bound: RateBound) -> RateSplit:
    """Divide a rate into equal shares, or into smaller base shares and a pool if equal shares are small.

    If the base shares alone would use more than half of the allowed arrivals, everything goes to the pool.
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
