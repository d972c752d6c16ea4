"""Tokens that shards borrow of a rate-limited service: the borrower's side, and the pools of home shards.

A quota lease is a number of tokens that the owner of a service's home shard lends to another shard for
`rate_limits.QUOTA_LEASE_S`; what is not spent by then lapses. `rate_limits` has the bound that this keeps.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from bitternpath.configuration.documents import Service
from bitternpath.queue.rate_limits import QUOTA_LEASE_S, RateBound, split_rate
from bitternpath.queue.sharding import home_shard
from bitternpath.queue.token_bucket import TokenBucket

MAX_BORROWED_TOKENS = 16  # per loan
MIN_BORROW_INTERVAL_S = 0.15  # between requests; doubled while nothing is lent
MAX_BORROW_INTERVAL_S = 0.4


class QuotaBorrower:
    """Borrowed tokens of one service in one shard, and when to ask for more."""

    def __init__(self) -> None:
        """Begin without tokens."""
        self.next_request_at = float("-inf")
        self._interval_s = MIN_BORROW_INTERVAL_S
        self._tokens = 0
        self._expires_at = 0.0

    def available(self, now: float) -> int:
        """Return the number of tokens that haven't lapsed."""
        return self._tokens if now < self._expires_at else 0

    def spend(self) -> None:
        """Take a token; the caller has checked `available`."""
        self._tokens -= 1

    def request_sent(self, now: float) -> None:
        """Back off the next request."""
        self.next_request_at = now + self._interval_s
        self._interval_s = min(2 * self._interval_s, MAX_BORROW_INTERVAL_S)

    def tokens_lent(self, now: float, tokens: int, requested_at: float) -> None:
        """Take the answer to a request. Tokens of two requests lapse with those of the earlier one."""
        expires_at = requested_at + QUOTA_LEASE_S
        if tokens <= 0 or now >= expires_at:
            return
        remaining = self.available(now)
        self._expires_at = min(self._expires_at, expires_at) if remaining else expires_at
        self._tokens = remaining + tokens
        self._interval_s = MIN_BORROW_INTERVAL_S


class QuotaPools:
    """The pools of the services whose home is one shard, at its owner. Each begins empty."""

    def __init__(self, shard: int, bound: RateBound) -> None:
        """Hold the pools of `shard`."""
        self._shard = shard
        self._bound = bound
        self._pools: dict[str, TokenBucket] = {}

    def configure(self, now: float, services: Mapping[str, Service]) -> None:
        """Take the services of a configuration."""
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
        """Take tokens for a shard: up to half of those there, as others may request soon."""
        pool = self._pools.get(service)
        if pool is None:
            return 0
        return pool.take(now, min(wanted, MAX_BORROWED_TOKENS, ceil(pool.available(now) / 2)))
