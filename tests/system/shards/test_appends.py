"""Appends: the choice of the shard and the result for the client, in virtual time."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from bitternpath.configuration.placement import shard_group
from bitternpath.queue.sharding import message_id, shard_for
from bitternpath.shards.appends import Appender
from bitternpath.shards.results import Acceptance, AcceptResult
from bitternpath.transport.shard_messages import (
    AppendResponse,
    RefusalReason,
    Refused,
    RequestOutcomeUnknown,
)
from tests.system.shards.shard_case import SHARDS, ShardCase, message


class AppendTest(ShardCase):
    """A message is rejected only if it cannot have been appended (RULES, REFUSED)."""

    def setUp(self) -> None:
        super().setUp()
        self.appender = Appender(self.clock, self.owners, "z0", Random(1))
        self.appender.shard_count = SHARDS

    def accept(self, order_key: str = "", deadline_ms: int = 400) -> Deferred[Acceptance]:
        return self.appender.accept(message(order_key=order_key), deadline_ms)

    def test_an_unordered_message_goes_to_the_owner_in_the_zone(self) -> None:
        waiting = self.accept()
        self.links[0].answer(AppendResponse(1))
        self.assertEqual(self.result(waiting), Acceptance(AcceptResult.ACCEPTED, message_id(0, "r1")))

    def test_an_unordered_message_goes_to_where_a_worker_of_this_node_waits(self) -> None:
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        for group in (1, 2):
            appender = Appender(
                self.clock, self.owners, "z0", Random(1), lambda _, group=group: shard_group(group)
            )
            appender.shard_count = SHARDS
            before = len(self.links[group].requests)
            for _ in range(5):
                appender.accept(message(), 400)
            self.assertEqual(len(self.links[group].requests), before + 5)

    def test_without_one_in_the_zone_it_goes_to_another(self) -> None:
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        self.accept()
        self.assertEqual(sum(len(link.requests) for link in self.links), 1)

    def test_an_ordered_message_goes_to_the_shard_of_its_key_or_is_rejected(self) -> None:
        shard = shard_for("k", 0, SHARDS)
        self.accept("k")
        self.assertEqual(
            [len(link.requests) for link in self.links], [int(n == shard) for n in range(SHARDS)]
        )
        self.owners.link_closed(self.links[shard])  # type: ignore[arg-type]
        rejected = self.result(self.accept("k"))
        self.assertEqual(rejected.result, AcceptResult.REJECTED)
        self.assertGreaterEqual(rejected.retry_after_s, 1)

    def test_before_the_placement_is_known_all_are_rejected(self) -> None:
        self.appender.shard_count = 0
        self.assertEqual(self.result(self.accept()).result, AcceptResult.REJECTED)

    def test_results_by_the_owners_responses(self) -> None:
        refusal = Refused(1, RefusalReason.NOT_OWNER)
        cases: tuple[tuple[str, list[Any], AcceptResult], ...] = (
            ("appended", [AppendResponse(1)], AcceptResult.ACCEPTED),
            ("refused", [refusal], AcceptResult.REJECTED),
            ("full", [Refused(1, RefusalReason.FULL)], AcceptResult.REJECTED),
            (
                "unknown, then appended",
                [RequestOutcomeUnknown(1), AppendResponse(1)],
                AcceptResult.ACCEPTED,
            ),
            (
                "unknown, then refused until the deadline",
                [RequestOutcomeUnknown(1), refusal, refusal],
                AcceptResult.UNKNOWN,
            ),
            ("response lost, then appended", [None, AppendResponse(1)], AcceptResult.ACCEPTED),
            ("response lost, then refused", [None, refusal], AcceptResult.UNKNOWN),
            ("no response", [], AcceptResult.UNKNOWN),
        )
        for label, answers, expected in cases:
            with self.subTest(label):
                self.links[0].requests.clear()
                waiting = self.accept()
                for answer in answers:
                    self.clock.advance(0.03)
                    if answer is None:
                        self.links[0].lose()
                    else:
                        self.links[0].answer(answer)
                self.clock.advance(0.5)
                self.assertEqual(self.result(waiting).result, expected)
                self.assertEqual(self.appender.in_flight, 0)

    def test_after_a_lost_response_it_is_retried_at_its_shard_under_its_id(self) -> None:
        waiting = self.accept()
        self.links[0].lose()
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        self.clock.pump([0.05, 0.05])
        self.owned(0, self.links[2], 2)
        self.clock.advance(0.05)
        request = self.links[2].requests[0][0]
        self.assertEqual((request.group, request.message.request_id), (shard_group(0), "r1"))
        self.links[2].answer(AppendResponse(1))
        self.assertEqual(self.result(waiting).message_id, message_id(0, "r1"))

    def test_a_response_after_the_deadline_changes_nothing(self) -> None:
        waiting = self.accept()
        self.clock.advance(0.5)
        self.links[0].answer(AppendResponse(1))
        self.assertEqual(self.result(waiting).result, AcceptResult.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
