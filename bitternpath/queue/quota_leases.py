"""Tokens that shards borrow for a rate-limited service: the borrower's side and the pools of home shards.

A quota lease is a number of tokens that the owner of a service's home shard lends to another shard for
`rate_limits.QUOTA_LEASE_S`; unspent tokens then expire. `rate_limits` derives the bound that this keeps.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from bitternpath.configuration.documents import Service
from bitternpath.queue.rate_limits import QUOTA_LEASE_S, RateBound, split_rate
from bitternpath.queue.sharding import home_shard
from bitternpath.queue.token_bucket import TokenBucket

MAX_BORROWED_TOKENS = 16  # per request
MIN_BORROW_INTERVAL_S = 0.15  # between requests; doubled after each request until tokens are lent
MAX_BORROW_INTERVAL_S = 0.4


class QuotaBorrower:
    """Borrowed tokens of one service in one shard, and the time of the next request for tokens."""

    def __init__(self) -> None:
        """Create a borrower without tokens."""
        self.next_request_at = float("-inf")
        self._interval_s = MIN_BORROW_INTERVAL_S
        self._tokens = 0
        self._expires_at = 0.0

    def available(self, now: float) -> int:
        """Return the number of tokens that have not expired."""
        return self._tokens if now < self._expires_at else 0

    def spend(self) -> None:
        """Spend a token; the caller has checked `available`."""
        self._tokens -= 1

    def request_sent(self, now: float) -> None:
        """Delay the next request and double the interval."""
        self.next_request_at = now + self._interval_s
        self._interval_s = min(2 * self._interval_s, MAX_BORROW_INTERVAL_S)

    def tokens_lent(self, now: float, tokens: int, requested_at: float) -> None:
        """Add the tokens of a response. Tokens of two requests expire together, with the earlier ones."""
        expires_at = requested_at + QUOTA_LEASE_S
        if tokens <= 0 or now >= expires_at:
            return
        remaining = self.available(now)
        self._expires_at = min(self._expires_at, expires_at) if remaining else expires_at
        self._tokens = remaining + tokens
        self._interval_s = MIN_BORROW_INTERVAL_S


class QuotaPools:
    """Pools of the services whose home shard is this one, at the shard's owner. Each pool starts empty."""

    def __init__(self, shard: int, bound: RateBound) -> None:
        """Create the table of `shard` without pools."""
        self._shard = shard
        self._bound = bound
        self._pools: dict[str, TokenBucket] = {}

    def configure(self, now: float, services: Mapping[str, Service]) -> None:
        """Create, update and remove pools for the services of a configuration."""
        old_pools = self._pools
        self._pools = {}
        for name, service in services.items():
            if service.rate_per_s <= 0 or home_shard(name, self._bound.shard_count) != self._shard:
                continue
            split = split_rate(service.rate_per_s, self._bound)
            if not split.is_pooled:
                continue
            pool = self._pools[name] = old_pools.get(name) or TokenBucket(split.pool, now)
            pool.configure(now, split.pool)

    def lend(self, now: float, service: str, wanted: int) -> int:
        """Lend up to half of the available tokens, since other shards may request some soon."""
        pool = self._pools.get(service)
        if pool is None:
            return 0
        return pool.take(now, min(wanted, MAX_BORROWED_TOKENS, ceil(pool.available(now) / 2)))
