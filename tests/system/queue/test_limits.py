"""Conformance of a shard owner: back-off, concurrency limits and rate limits."""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.queue.actions import AnswerPoll, SendDelivery
from bitternpath.queue.adaptive_limit import MIN_LIMIT, PACING_INTERVAL_S, AdaptiveConcurrencyLimit
from bitternpath.queue.backoff import backoff_after
from bitternpath.queue.edge_nodes import MAX_LEASES_PER_EDGE
from bitternpath.queue.rate_limits import ALLOWED_EXCESS, MAX_SEND_DELAY_S, RateBound, equal_share
from bitternpath.queue.service_queues import MIN_IN_FLIGHT
from bitternpath.queue.token_bucket import TokenBucket
from tests.system.queue.owner_rig import FAILED, NOT_RUN, SUCCEEDED, UNKNOWN, Rig


class Backoff(unittest.TestCase):
    """Back-off delays and the adaptive limit on leases to a failing service."""

    def test_delays_of_each_outcome(self) -> None:
        cases = (
            (FAILED, (0.1, 0.2, 0.4, 0.8, 1.6, 2.0, 2.0)),
            (UNKNOWN, (0.2, 0.4, 0.8, 1.6, 2.0, 2.0)),
            (NOT_RUN, (0.05, 0.1, 0.2, 0.3, 0.3, 0.3)),
            (SUCCEEDED, (0.0,)),
        )
        random = Random(1)
        for outcome, delays in cases:
            for repetition, expected in enumerate(delays):
                with self.subTest(outcome=outcome, repetition=repetition):
                    delays_drawn = [backoff_after(outcome, repetition, 0, random) for _ in range(50)]
                    self.assertGreaterEqual(min(delays_drawn), expected * 0.75)
                    self.assertLessEqual(max(delays_drawn), expected * 1.25)
        self.assertEqual(backoff_after(FAILED, 0, 5_000, random), 5.0)

    def test_a_message_waits_for_its_back_off(self) -> None:
        rig = Rig()
        rig.append("m")
        rig.end(rig.delivery(), UNKNOWN, retry_after_ms=700)
        rig.advance(0.69)
        self.assertEqual(rig.sent, [])
        rig.advance(0.02)
        rig.delivery()

    def test_the_limit_falls_with_failures_and_recovers_with_successes(self) -> None:
        limit = AdaptiveConcurrencyLimit()
        now = 0.0
        for _ in range(40):
            now += 0.2
            limit.record_outcome(now, FAILED, 64)
        self.assertEqual(limit.limit, MIN_LIMIT)
        self.assertIsNone(limit.next_grant_time(now, 4))
        for _ in range(4):
            limit.record_outcome(now, SUCCEEDED, 4)
        self.assertEqual(limit.limit, MIN_LIMIT * 16)

    def test_a_few_failures_among_successes_limit_nothing(self) -> None:
        limit = AdaptiveConcurrencyLimit()
        for number in range(200):
            limit.record_outcome(number * 0.2, FAILED if number % 3 == 0 else SUCCEEDED, 10)
        self.assertEqual(limit.next_grant_time(100.0, 500), 100.0)

    def test_a_service_that_is_down_costs_few_leases(self) -> None:
        rig = Rig()
        for number in range(500):
            rig.append(f"m{number}")
        grants = 0
        for _ in range(1_000):
            for delivery in rig.take_sent(SendDelivery):
                grants += 1
                rig.end(delivery, NOT_RUN)
            rig.advance(0.01)
        self.assertLess(grants, 10.0 / PACING_INTERVAL_S + 2 * MAX_LEASES_PER_EDGE)
        for delivery in rig.take_sent(SendDelivery):
            rig.end(delivery, SUCCEEDED)
        rig.advance(0.1)
        self.assertGreater(len(rig.take_sent(SendDelivery)), 30, "no longer limited")


class SlotLimits(unittest.TestCase):
    """The slots of listed workers limit the leases, so that the queue determines which message is next."""

    def test_slots_bound_the_leases_and_fresh_messages_go_before_late_ones(self) -> None:
        rig = Rig()
        rig.execute(rig.owner.set_capacities(rig.now, {"worker": 3}))
        for number in range(30):
            rig.append(f"old{number}")
        in_flight = rig.take_sent(SendDelivery)
        self.assertEqual(len(in_flight), 6)
        rig.advance(2.0)  # past the start target of a second
        rig.append("fresh")
        rig.end(in_flight[0], SUCCEEDED)
        self.assertEqual(rig.delivery().message.request_id, "fresh")
        rig.end(in_flight[1], SUCCEEDED)
        self.assertEqual(rig.delivery().message.request_id, "old6")

    def test_more_slots_allow_more_leases_and_no_list_means_no_bound(self) -> None:
        rig = Rig()
        for number in range(20):
            rig.append(f"m{number}")
        self.assertEqual(len(rig.take_sent(SendDelivery)), 20)
        rig = Rig()
        rig.execute(rig.owner.set_capacities(rig.now, {}))
        for number in range(20):
            rig.append(f"m{number}")
        self.assertEqual(len(rig.take_sent(SendDelivery)), MIN_IN_FLIGHT)
        rig.execute(rig.owner.set_capacities(rig.now, {"worker": 5}))
        self.assertEqual(len(rig.take_sent(SendDelivery)), 10 - MIN_IN_FLIGHT)

    def test_slots_do_not_bound_workers_that_pull(self) -> None:
        rig = Rig()
        rig.execute(rig.owner.set_capacities(rig.now, {}))
        for number in range(5):
            rig.poll(number)
            rig.append(f"j{number}", "/jobs/x")
        self.assertEqual(len(rig.take_sent(AnswerPoll)), 5)


class RateLimits(unittest.TestCase):
    """Shares of a service's rate limit, and leases under it."""

    def test_shares_keep_the_bound(self) -> None:
        for rate in (0.1, 0.5, 2.0, 19.5, 400.0):
            for shards in range(1, 13):
                for window_s, tolerance in ((5.0, 1.1), (1.0, 1.0), (10.0, 1.5)):
                    with self.subTest(rate=rate, shards=shards, window_s=window_s, tolerance=tolerance):
                        share = equal_share(rate, RateBound(shards, window_s, tolerance))
                        spent = share.refill_per_s * (window_s + MAX_SEND_DELAY_S) + share.burst
                        allowed = rate * window_s * tolerance + ALLOWED_EXCESS
                        self.assertLessEqual(shards * spent, allowed + 1e-6)
                        self.assertLessEqual(share.refill_per_s, rate / shards)
                        self.assertTrue(share.burst >= 1.0 or share.refill_per_s == 0.0)

    def test_nearly_the_full_rate_is_used(self) -> None:
        for shards in (1, 2, 3, 4):
            share = equal_share(19.5, RateBound(shards, 5.0, 1.1))
            self.assertGreater(share.refill_per_s * shards, 0.9 * 19.5)

    def test_a_bucket_is_empty_at_first_and_never_over_its_burst(self) -> None:
        share = equal_share(2.0, RateBound(1, 5.0, 1.1))
        bucket = TokenBucket(share, 100.0)
        self.assertFalse(bucket.has_token(100.0))
        self.assertAlmostEqual(bucket.next_token_time(100.0), 100.0 + 1.0 / share.refill_per_s)
        spent = 0
        while bucket.has_token(1_000.0):
            bucket.spend()
            spent += 1
        self.assertEqual(spent, int(share.burst))

    def test_leases_follow_the_rate_also_under_a_new_owner(self) -> None:
        rig = Rig()
        for number in range(50):
            rig.append(f"m{number}", "/limited/x")
        self.assertEqual(rig.sent, [])
        rig.advance(10.0)
        self.assertIn(len(rig.take_sent()), (19, 20))
        rig.start_owner()
        self.assertEqual(rig.take_sent(), [])
        rig.advance(5.0)
        self.assertIn(len(rig.take_sent()), (9, 10))

    def test_a_grant_that_takes_too_long_is_not_sent(self) -> None:
        rig = Rig()
        rig.automatic = False
        rig.append("m", "/limited/x")
        rig.advance(0.6)
        (command,) = rig.take_proposed()
        rig.now += 0.3
        rig.apply(command)
        self.assertEqual(rig.sent, [])
        (command,) = rig.proposed
        self.assertEqual((command.request_id, command.outcome), ("m", NOT_RUN))
