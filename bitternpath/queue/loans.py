"""Tokens of services with a rate that shards borrow: the borrower's side, and the pools of home shards."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from bitternpath.configuration.documents import Service
from bitternpath.queue.rate_limits import QUOTA_LEASE_S, TokenBucket, split_ceiling
from bitternpath.queue.sharding import home_shard

MOST_BORROWED = 16  # tokens at once
BORROW_FIRST_S, BORROW_MOST_S = 0.15, 0.4  # between requests; doubled while nothing is lent


class Loan:
    """Borrowed tokens of one service in one shard, and when to ask for more."""

    def __init__(self) -> None:
        self.ask_at = float("-inf")  # not before
        self._pause = BORROW_FIRST_S
        self._tokens = 0
        self._ends_at = 0.0

    def tokens(self, now: float) -> int:
        """How many haven't lapsed."""
        return self._tokens if now < self._ends_at else 0

    def spend(self) -> None:
        """Take one that `tokens` has found."""
        self._tokens -= 1

    def asked(self, now: float) -> None:
        """A request goes out."""
        self.ask_at = now + self._pause
        self._pause = min(2 * self._pause, BORROW_MOST_S)

    def lent(self, now: float, tokens: int, asked_at: float) -> None:
        """The answer to a request. Tokens of two requests lapse with those of the earlier one."""
        ends_at = asked_at + QUOTA_LEASE_S
        if tokens <= 0 or now >= ends_at:
            return
        left = self.tokens(now)
        self._ends_at = min(self._ends_at, ends_at) if left else ends_at
        self._tokens = left + tokens
        self._pause = BORROW_FIRST_S


class TokenPools:
    """The pools of the services whose home is one shard, at its owner. Each begins empty."""

    def __init__(self, shard: int, shards: int, window_s: float, over: float) -> None:
        self._shard, self._shards = shard, shards
        self._window_s, self._over = window_s, over
        self._pools: dict[str, TokenBucket] = {}

    def configure(self, now: float, services: Mapping[str, Service]) -> None:
        """Take the services of a configuration."""
        before, self._pools = self._pools, {}
        for name, service in services.items():
            if service.rate_per_s <= 0 or home_shard(name, self._shards) != self._shard:
                continue
            split = split_ceiling(service.rate_per_s, self._shards, self._window_s, self._over)
            if not split.is_pooled:
                continue
            pool = self._pools[name] = before.get(name) or TokenBucket(split.pool, now)
            pool.configure(now, split.pool)

    def lend(self, now: float, service: str, wanted: int) -> int:
        """How many tokens a shard gets: half of those there at most, as others may be about to ask."""
        pool = self._pools.get(service)
        if pool is None:
            return 0
        return pool.take(now, min(wanted, MOST_BORROWED, ceil(pool.tokens(now) / 2)))
