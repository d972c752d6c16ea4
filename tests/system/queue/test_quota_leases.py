"""Pooled rate limits: the split of the rate, quota leases, and the bound over many shards and owners."""

from __future__ import annotations

import heapq
import unittest
from collections.abc import Iterable
from itertools import count
from math import ceil
from random import Random
from unittest.mock import patch

from bitternpath.configuration.documents import Configuration, Route, Service
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue import quota_leases
from bitternpath.queue.actions import BorrowTokens, SendDelivery
from bitternpath.queue.owner import OwnedShard, OwnerSettings, ShardOwner
from bitternpath.queue.quota_leases import (
    MAX_BORROW_INTERVAL_S,
    MAX_BORROWED_TOKENS,
    MIN_BORROW_INTERVAL_S,
    QuotaBorrower,
    QuotaPools,
)
from bitternpath.queue.rate_limits import (
    ALLOWED_EXCESS,
    LENDER_OVERLAP_S,
    MAX_POOL_DELAY_S,
    MAX_SEND_DELAY_S,
    QUOTA_LEASE_S,
    RateBound,
    equal_share,
    split_rate,
)
from bitternpath.queue.sharding import home_shard
from bitternpath.queue.token_bucket import BucketShare, TokenBucket
from tests.system.queue.owner_rig import SUCCEEDED, Rig

SHARDS = 19
RATE = 32.0
WINDOW_S = 5.0
TOLERANCE = 1.1
BOUND = RateBound(SHARDS, WINDOW_S, TOLERANCE)
ALLOWED = RATE * WINDOW_S * TOLERANCE + ALLOWED_EXCESS
ROUTES = (Route("limited", "a.example", "/limited/", "limited", 1_000),)
TABLE = RoutingTable(Configuration(5, ROUTES, (Service("limited", rate_per_s=RATE),)))
STEP_S = 0.02


class Splits(unittest.TestCase):
    def test_base_and_pool_keep_the_bound(self) -> None:
        for rate in (0.1, 0.5, 2.0, 19.5, 32.0, 400.0):
            for shards in (1, 2, 3, 7, 12, 19, 40, 300, 2_000):
                for window_s, tolerance in ((5.0, 1.1), (1.0, 1.0), (10.0, 1.5)):
                    with self.subTest(rate=rate, shards=shards, window_s=window_s, tolerance=tolerance):
                        split = split_rate(rate, RateBound(shards, window_s, tolerance))
                        base, pool = split.base, split.pool
                        spent = shards * (base.refill_per_s * (window_s + MAX_SEND_DELAY_S) + base.burst)
                        lent = pool.refill_per_s * (window_s + MAX_POOL_DELAY_S) + pool.burst
                        self.assertLessEqual(
                            spent + lent, rate * window_s * tolerance + ALLOWED_EXCESS + 1e-6
                        )
                        self.assertLessEqual(shards * base.refill_per_s + pool.refill_per_s, rate + 1e-9)

    def test_a_rate_is_not_lost_over_many_shards(self) -> None:
        for rate, shards in ((32.0, 19), (32.0, 300), (2.0, 300), (19.5, 2_000)):
            with self.subTest(rate=rate, shards=shards):
                split = split_rate(rate, RateBound(shards, WINDOW_S, TOLERANCE))
                self.assertTrue(split.is_pooled)
                total = shards * split.base.refill_per_s + split.pool.refill_per_s
                self.assertGreater(total, 0.75 * rate)

    def test_few_shards_have_equal_shares_and_nothing_is_lent(self) -> None:
        for rate, shards in ((19.5, 3), (2.0, 1), (0.5, 7), (32.0, 7), (400.0, 19)):
            with self.subTest(rate=rate, shards=shards):
                split = split_rate(rate, RateBound(shards, WINDOW_S, TOLERANCE))
                self.assertFalse(split.is_pooled)
                self.assertEqual(split.base, equal_share(rate, RateBound(shards, WINDOW_S, TOLERANCE)))


class QuotaLeases(unittest.TestCase):
    def test_tokens_expire_by_the_time_of_their_request(self) -> None:
        borrower = QuotaBorrower()
        borrower.tokens_lent(100.3, 3, requested_at=100.0)
        self.assertEqual(borrower.available(100.0 + QUOTA_LEASE_S - 0.01), 3)
        self.assertEqual(borrower.available(100.0 + QUOTA_LEASE_S), 0)
        borrower.tokens_lent(101.0, 5, requested_at=100.5)  # the response is too late
        self.assertEqual(borrower.available(101.0), 0)

    def test_tokens_of_two_requests_expire_with_those_of_the_earlier_one(self) -> None:
        borrower = QuotaBorrower()
        borrower.tokens_lent(100.1, 3, requested_at=100.0)
        borrower.tokens_lent(100.2, 2, requested_at=100.1)
        self.assertEqual(borrower.available(100.2), 5)
        self.assertEqual(borrower.available(100.0 + QUOTA_LEASE_S), 0)

    def test_request_intervals_double_while_nothing_is_lent(self) -> None:
        borrower = QuotaBorrower()
        now = 100.0
        intervals = []
        for _ in range(6):
            borrower.request_sent(now)
            intervals.append(round(borrower.next_request_at - now, 6))
            now = borrower.next_request_at
        self.assertEqual(intervals, [0.15, 0.3, 0.4, 0.4, 0.4, 0.4])
        borrower.tokens_lent(now, 1, requested_at=now - 0.01)
        borrower.request_sent(now)
        self.assertAlmostEqual(borrower.next_request_at, now + MIN_BORROW_INTERVAL_S)
        self.assertEqual(intervals[-1], MAX_BORROW_INTERVAL_S)

    def test_a_pool_begins_empty_and_lends_what_it_has(self) -> None:
        home = home_shard("limited", SHARDS)
        pools = QuotaPools(home, BOUND)
        pools.configure(100.0, TABLE.services)
        self.assertEqual(pools.lend(100.0, "limited", 5), 0)
        pool = split_rate(RATE, BOUND).pool
        available = int(0.2 * pool.refill_per_s)
        self.assertEqual(pools.lend(100.2, "limited", 100), ceil(available / 2))
        self.assertEqual(pools.lend(105.0, "limited", 100), ceil(int(pool.burst) / 2))
        self.assertEqual(pools.lend(105.0, "limited", 1), 1)
        self.assertEqual(pools.lend(101.0, "other", 5), 0)

    def test_only_the_home_shard_has_a_pool(self) -> None:
        for shard in range(SHARDS):
            pools = QuotaPools(shard, BOUND)
            pools.configure(100.0, TABLE.services)
            lent = pools.lend(200.0, "limited", 1)
            self.assertEqual(lent, int(shard == home_shard("limited", SHARDS)))


class ShardRig(Rig):
    """A rig for one of `SHARDS` shards."""

    def __init__(self, shard: int) -> None:
        self.shard = shard
        super().__init__(TABLE)

    def new_owner(self) -> ShardOwner:
        shard = OwnedShard(self.shard, SHARDS, "north")
        return ShardOwner(self.state, shard, OwnerSettings(), Random(self.shard))

    def start_owner(self, routing: RoutingTable | None = TABLE, edges: Iterable[str] = ("edge-1",)) -> None:
        super().start_owner(routing, edges)


class Shards:
    """All shards, with delayed requests for tokens and changing owners."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.rigs = [ShardRig(shard) for shard in range(SHARDS)]
        self.home = home_shard("limited", SHARDS)
        # The former owner of the home shard, and the time until which it still lends.
        self.former_lender: tuple[float, ShardOwner] | None = None
        self.arrivals: list[float] = []
        self.started = [0] * SHARDS
        self.messages = count()
        self.events: list[tuple[float, int, object]] = []
        self.order = count()

    def append(self, shard: int, messages: int) -> None:
        for _ in range(messages):
            self.rigs[shard].append(f"m{next(self.messages)}", "/limited/x")

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            now = self.rigs[0].now
            while self.events and self.events[0][0] <= now:
                heapq.heappop(self.events)[2]()  # type: ignore[operator]
            for rig in self.rigs:
                self._act(rig)
                rig.advance(STEP_S)

    def change_owner(self, shard: int) -> None:
        """Elect another owner; a former owner of the home shard still lends until it learns of the change."""
        rig = self.rigs[shard]
        if shard == self.home:
            self.former_lender = rig.now + LENDER_OVERLAP_S, rig.owner
        rig.start_owner()

    def _act(self, rig: ShardRig) -> None:
        for action in rig.take_sent():
            if isinstance(action, BorrowTokens):
                self._borrow(rig, action)
                continue
            self.started[rig.shard] += 1
            self.arrivals.append(rig.now + self.random.uniform(0.0, MAX_SEND_DELAY_S - 0.25))
            rig.end(action, SUCCEEDED)

    def _borrow(self, rig: ShardRig, request: BorrowTokens) -> None:
        requested_at, owner = rig.now, rig.owner

        def lend() -> None:
            now, lender = rig.now, self.rigs[self.home].owner
            if self.former_lender is not None and now < self.former_lender[0] and self.random.random() < 0.7:
                lender = self.former_lender[1]
            tokens = lender.lend_tokens(now, request.service, request.wanted)
            self._later(self.random.uniform(0.0, 0.2), lambda: answer(tokens))

        def answer(tokens: int) -> None:
            if owner is rig.owner:
                rig.execute(owner.tokens_lent(rig.now, request.service, tokens, requested_at))

        self._later(self.random.uniform(0.0, 0.2), lend)

    def _later(self, seconds: float, call: object) -> None:
        heapq.heappush(self.events, (self.rigs[0].now + seconds, next(self.order), call))

    def max_in_a_window(self) -> int:
        arrivals = sorted(self.arrivals)
        maximum = first = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] <= at - WINDOW_S:
                first += 1
            maximum = max(maximum, last - first + 1)
        return maximum


def arrivals_with_owner_changes(seed: int) -> int:
    """Return the maximum arrivals in a window, with messages at all shards and random owner changes."""
    shards = Shards(seed)
    for shard in range(SHARDS):
        shards.append(shard, 40)
    for _ in range(8):
        shards.run(shards.random.uniform(0.5, 4.0))
        shards.change_owner(shards.home if shards.random.random() < 0.6 else shards.random.randrange(SHARDS))
    return shards.max_in_a_window()


def arrivals_with_home_changes(seed: int) -> int:
    """Return the same for owners of the home shard that change as fast as elections allow."""
    shards = Shards(seed)
    for shard in range(SHARDS):
        shards.append(shard, 40)
    for _ in range(20):
        shards.run(0.4)
        shards.change_owner(shards.home)
        shards.former_lender = None
    return shards.max_in_a_window()


class ManyShards(unittest.TestCase):
    def test_a_busy_shard_gets_what_the_others_do_not_use(self) -> None:
        shards = Shards(1)
        busy = (shards.home + 1) % SHARDS
        shards.append(busy, 400)
        shards.run(10.0)
        equal = 10.0 * equal_share(RATE, BOUND).refill_per_s
        self.assertGreater(shards.started[busy], 6 * equal)
        self.assertLessEqual(shards.max_in_a_window(), ALLOWED)

    def test_busy_shards_share_the_pool(self) -> None:
        shards = Shards(2)
        for shard in range(6):
            shards.append(shard, 200)
        shards.run(10.0)
        self.assertGreater(min(shards.started[:6]), 0.5 * max(shards.started[:6]))
        self.assertGreater(sum(shards.started), 10.0 * 0.6 * RATE)

    def test_the_bound_holds_over_owner_changes(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                self.assertLessEqual(arrivals_with_owner_changes(seed), ALLOWED)

    def test_a_shard_with_enough_tokens_requests_none(self) -> None:
        rig = ShardRig(0)
        rig.advance(5.0)
        rig.append("m", "/limited/x")
        self.assertEqual([type(action) for action in rig.take_sent()], [SendDelivery])

    def test_broken_builds_break_the_bound(self) -> None:
        original_init = TokenBucket.__init__

        def full_at_first(bucket: TokenBucket, share: BucketShare, now: float) -> None:
            original_init(bucket, share, now - 1_000.0)

        self.assertLessEqual(arrivals_with_home_changes(1), ALLOWED)
        with patch.object(TokenBucket, "__init__", full_at_first):
            self.assertGreater(arrivals_with_home_changes(1), ALLOWED)
        self.assertLessEqual(arrivals_with_unspent_tokens(), ALLOWED)
        with patch.object(quota_leases, "QUOTA_LEASE_S", 1_000.0):
            self.assertGreater(arrivals_with_unspent_tokens(), ALLOWED)


def arrivals_with_unspent_tokens() -> int:
    """Return the maximum arrivals in a window if all shards borrow long before they have messages."""
    shards = Shards(3)
    for rig in shards.rigs:
        rig.execute(rig.owner.tokens_lent(rig.now, "limited", MAX_BORROWED_TOKENS, rig.now))
    shards.run(2.0)
    for shard in range(SHARDS):
        shards.append(shard, 40)
    shards.run(6.0)
    return shards.max_in_a_window()


if __name__ == "__main__":
    unittest.main()
