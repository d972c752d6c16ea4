"""Deliveries: leases, the current configuration, stale catalogues, reports. Virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from msgspec import structs

from bitternpath.dispatch.deliveries import (
    CATALOGUE_STALE_S,
    CONFIGURATION_STALE_S,
    MAX_SENDS,
    RATED_SEND_WITHIN_S,
)
from bitternpath.shards.reports import AttemptReport
from bitternpath.transport.records import AttemptOutcome
from tests.system.dispatch.delivery_case import (
    BUSY,
    DONE,
    NO_CONNECTION,
    WRONG_INSTANCE,
    DeliveryCase,
    entry,
    message,
    table,
)


class DeliveryTest(DeliveryCase):
    """From a lease to its report."""

    def test_a_success_is_reported_with_its_stamp(self) -> None:
        self.lease()
        target, sent, _ = self.node.calls[0]
        self.assertEqual((target.instance, sent.body), (target.instance, b"body"))
        self.node.end(DONE)
        self.assertEqual(
            self.node.reports, [AttemptReport("queue-0", "r1", "l1", AttemptOutcome.SUCCEEDED, "stamp")]
        )

    def test_outcomes_that_may_have_run_end_the_attempt(self) -> None:
        for outcome in (AttemptOutcome.FAILED, AttemptOutcome.REJECTED, AttemptOutcome.UNKNOWN):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.lease()
                self.node.end(replace(DONE, outcome=outcome, stamp=""))
                self.assertEqual((self.outcome(), self.node.calls), (outcome, []))

    def test_a_rejected_send_is_retried_at_other_workers_within_the_lease(self) -> None:
        for refusal in (BUSY, NO_CONNECTION, WRONG_INSTANCE):
            with self.subTest(refusal=refusal.refusal):
                self.setUp()
                self.lease()
                tried = []
                while self.node.calls:
                    tried.append(self.node.calls[0][0].instance)
                    self.node.end(refusal)
                self.assertEqual(sorted(tried), ["i1", "i2", "i3"])
                self.assertLessEqual(len(tried), MAX_SENDS)
                self.assertEqual(self.outcome(), AttemptOutcome.NOT_RUN)

    def test_a_send_never_outlives_its_lease(self) -> None:
        self.lease(duration_ms=1500)
        self.clock.advance(0.4)
        self.node.end(BUSY)
        self.assertEqual((self.outcome(), self.node.calls), (AttemptOutcome.NOT_RUN, []))

    def test_an_endpoint_with_a_rate_gets_one_send_a_lease_and_in_time(self) -> None:
        self.lease(message("/endpoint/1"))
        self.node.end(BUSY)
        self.assertEqual((self.outcome(), self.node.calls), (AttemptOutcome.NOT_RUN, []))
        self.assertLess(RATED_SEND_WITHIN_S, 1.0)

    def test_a_stalled_process_sends_nothing_to_a_service_with_a_rate(self) -> None:
        self.deliveries.start()
        self.clock.advance(0.2)
        self.clock.rightNow += 3.0  # a stall: time passes and no timer fires
        self.lease(message("/endpoint/1"))
        self.clock.advance(0.0)  # timers fire before the next read
        self.lease(message("/endpoint/1"))
        self.assertEqual([report.outcome for report in self.node.reports], [AttemptOutcome.NOT_RUN] * 2)
        self.clock.pump([0.1] * 5)
        self.lease(message("/endpoint/1"))
        self.assertEqual(len(self.node.calls), 1)

    def test_a_send_to_a_service_with_a_rate_does_not_wait_beyond_its_token(self) -> None:
        self.lease(message("/endpoint/1"))
        self.lease()
        self.assertEqual(
            [call[0].send_within_s for call in self.node.calls], [RATED_SEND_WITHIN_S, float("inf")]
        )

    def test_the_configuration_at_the_time_of_the_send_counts(self) -> None:
        cases = (
            ("dropped, table as new", table(3), "/none/1", AttemptOutcome.ROUTE_GONE),
            ("unknown, table older than the message", table(2), "/none/1", AttemptOutcome.NOT_RUN),
            ("no configuration", None, "/listed/1", AttemptOutcome.NOT_RUN),
            ("its service pulls now", table(3), "/pulled/1", AttemptOutcome.NOT_RUN),
        )
        for label, in_force, target, expected in cases:
            with self.subTest(label):
                self.setUp()
                self.node.table = in_force
                self.lease(message(target))
                self.assertEqual((self.outcome(), self.node.calls), (expected, []))

    def test_a_moved_route_is_sent_to_the_new_service_only(self) -> None:
        self.deliveries.workers_changed([entry(1), entry(9, "others")], [])
        self.node.table = table(4, listed="others")
        self.lease()
        self.assertEqual(self.node.calls[0][0].instance, "i9")

    def test_a_stale_catalogue_or_configuration_stops_deliveries(self) -> None:
        self.node.catalogue_s = CATALOGUE_STALE_S + 0.1
        self.lease()
        self.assertEqual(self.outcome(), AttemptOutcome.NOT_RUN)
        self.lease(message("/endpoint/1"))  # endpoints are not in the catalogue
        self.assertEqual(len(self.node.calls), 1)
        self.node.configuration_s = CONFIGURATION_STALE_S + 0.1
        self.lease(message("/endpoint/1"))
        self.assertEqual((len(self.node.calls), len(self.node.reports)), (1, 2))

    def test_without_a_worker_or_while_draining_the_lease_is_returned(self) -> None:
        self.deliveries.workers_changed([], ["i1", "i2", "i3"])
        self.lease()
        self.deliveries.stopping = True
        self.lease(message("/endpoint/1"))
        self.assertEqual([report.outcome for report in self.node.reports], [AttemptOutcome.NOT_RUN] * 2)

    def test_a_body_is_cached_for_the_first_lease_only(self) -> None:
        self.bodies.add(message())
        self.lease(structs.replace(message(), body=b""), omitted=True)
        self.assertEqual(self.node.calls[0][1].body, b"body")
        self.lease(structs.replace(message(), body=b""), omitted=True)
        self.assertEqual(self.outcome(), AttemptOutcome.NOT_RUN)

    def test_the_cache_of_bodies_is_bounded(self) -> None:
        for number in range(50):
            self.bodies.add(structs.replace(message(), request_id=f"r{number}"))
        self.assertIsNone(self.bodies.pop("r0"))
        self.assertEqual(self.bodies.pop("r49"), b"body")


if __name__ == "__main__":
    unittest.main()
