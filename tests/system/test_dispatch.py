"""Deliveries and the choice of workers: leases, routes in force, fresh lists, learning. Virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from typing import Any

from msgspec import structs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.configuration.documents import Configuration, Route, Service
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.discovery.catalogue import Catalogue
from bitternpath.dispatch.body_cache import BodyCache
from bitternpath.dispatch.deliveries import (
    CATALOGUE_STALE_S,
    CONFIGURATION_STALE_S,
    MAX_SENDS,
    RATED_SEND_WITHIN_S,
    DeliveryDispatcher,
    DeliveryParts,
)
from bitternpath.dispatch.selection import WorkerSelection
from bitternpath.shards.reports import AttemptReport
from bitternpath.transport.feed_messages import CatalogueEntry, CatalogueUpdate
from bitternpath.transport.records import AttemptOutcome, Message
from bitternpath.transport.shard_messages import LeaseGrant

DONE = DeliveryResult(AttemptOutcome.SUCCEEDED, "stamp", 200, RefusalKind.NONE, 0.05)
BUSY = DeliveryResult(AttemptOutcome.NOT_RUN, "", 503, RefusalKind.BUSY, 0.002)
NO_CONNECTION = DeliveryResult(AttemptOutcome.NOT_RUN, "", 0, RefusalKind.NO_CONNECTION, 0.25)
WRONG_INSTANCE = DeliveryResult(AttemptOutcome.NOT_RUN, "", 421, RefusalKind.WRONG_INSTANCE, 0.002)
TIMED_OUT = DeliveryResult(AttemptOutcome.UNKNOWN, "", 0, RefusalKind.NONE, 1.0)


def message(target: str = "/listed/1", version: int = 3) -> Message:
    """A message."""
    return Message("r1", "POST", "a.example", target, (), "", "listed", version, 0, "", "edge-1", 0, b"body")


def entry(number: int, service: str = "workers", draining: bool = False, slots: int = 4) -> CatalogueEntry:
    """A listed worker."""
    return CatalogueEntry(f"i{number}", service, f"10.1.0.{number}:80", "z", slots, draining, False)


def table(version: int = 3, *, listed: str = "workers") -> RoutingTable:
    """Routes to listed workers, to an endpoint with a rate, and to workers that pull."""
    routes = (
        Route("listed", "a.example", "/listed/", listed, 1000),
        Route("endpoint", "a.example", "/endpoint/", "endpoint", 1000),
        Route("pulled", "a.example", "/pulled/", "pulled", 1000),
    )
    services = (
        Service("workers"),
        Service("others"),
        Service("endpoint", endpoint="10.9.0.1:80", rate_per_s=10.0),
        Service("pulled", pull_mode=True),
    )
    return RoutingTable(Configuration(version, routes, services))


class FakeNode:
    """What the dispatcher sees of its node, the workers and the attempt reports."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = table()
        self.configuration_s = self.catalogue_s = 0.1
        self.calls: list[tuple[WorkerTarget, Message, Deferred[DeliveryResult]]] = []
        self.reports: list[AttemptReport] = []

    def routing(self) -> RoutingTable | None:
        return self.table

    def configuration_age(self) -> float:
        return self.configuration_s

    def catalogue_age(self) -> float:
        return self.catalogue_s

    def connection_share(self, total: int) -> int:
        return total

    def deliver(self, target: WorkerTarget, message: Message, deadline_ms: int) -> Deferred[DeliveryResult]:
        waiting: Deferred[DeliveryResult] = Deferred()
        self.calls.append((target, message, waiting))
        return waiting

    def send(self, report: AttemptReport) -> None:
        self.reports.append(report)

    def end(self, result: DeliveryResult) -> None:
        self.calls.pop(0)[2].callback(result)


class DeliveryTest(unittest.TestCase):
    """From a lease to its report."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.node = FakeNode()
        self.bodies = BodyCache(100)
        parts = DeliveryParts(self.node, self.node, self.bodies)  # type: ignore[arg-type]
        self.deliveries = DeliveryDispatcher(self.clock, self.node, parts, Random(1))  # type: ignore[arg-type]
        self.deliveries.workers_changed([entry(1), entry(2), entry(3)], [])

    def lease(self, given: Message | None = None, duration_ms: int = 3000, omitted: bool = False) -> None:
        self.deliveries.lease_granted(
            LeaseGrant("queue-0", "l1", duration_ms, 0, omitted, given or message())
        )

    def outcome(self) -> AttemptOutcome:
        self.assertEqual(len(self.node.reports), 1)
        return self.node.reports[0].outcome

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
        self.clock.rightNow += 3.0  # time passes and no timer fires: a stall
        self.lease(message("/endpoint/1"))
        self.clock.advance(0.0)  # its timers fire before the next read
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

    def test_the_configuration_in_force_at_the_send_decides(self) -> None:
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

    def test_a_moved_route_goes_to_the_new_service_alone(self) -> None:
        self.deliveries.workers_changed([entry(1), entry(9, "others")], [])
        self.node.table = table(4, listed="others")
        self.lease()
        self.assertEqual(self.node.calls[0][0].instance, "i9")

    def test_a_stale_catalogue_or_configuration_stops_deliveries(self) -> None:
        self.node.catalogue_s = CATALOGUE_STALE_S + 0.1
        self.lease()
        self.assertEqual(self.outcome(), AttemptOutcome.NOT_RUN)
        self.lease(message("/endpoint/1"))  # an endpoint is on no list
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

    def test_a_body_is_cached_for_the_first_lease_alone(self) -> None:
        self.bodies.keep(message())
        self.lease(structs.replace(message(), body=b""), omitted=True)
        self.assertEqual(self.node.calls[0][1].body, b"body")
        self.lease(structs.replace(message(), body=b""), omitted=True)
        self.assertEqual(self.outcome(), AttemptOutcome.NOT_RUN)

    def test_the_cache_of_bodies_is_bounded(self) -> None:
        for number in range(50):
            self.bodies.keep(structs.replace(message(), request_id=f"r{number}"))
        self.assertIsNone(self.bodies.take("r0"))
        self.assertEqual(self.bodies.take("r49"), b"body")


class SelectionTest(unittest.TestCase):
    """The choice by the networks."""

    def setUp(self) -> None:
        self.selection = WorkerSelection(Random(7))
        self.selection.workers_changed([entry(n, slots=100) for n in range(4)], [])

    def play(self, times: dict[str, float], rounds: int) -> dict[str, int]:
        """One delivery at a time; how often each worker was chosen in the last half."""
        counts = dict.fromkeys(times, 0)
        for number in range(rounds):
            worker = self.selection.choose(float(number), "route", "workers")
            assert worker is not None
            self.selection.delivery_started(worker)
            self.selection.delivery_ended(
                float(number), "route", worker, replace(DONE, elapsed_s=times[worker.name])
            )
            counts[worker.name] += number >= rounds / 2
        return counts

    def test_the_fastest_worker_gets_most_and_others_are_still_explored(self) -> None:
        counts = self.play({"i0": 0.1, "i1": 0.1, "i2": 0.02, "i3": 0.1}, 1000)
        self.assertGreater(counts["i2"], 300)
        self.assertTrue(all(count > 0 for count in counts.values()))

    def test_own_deliveries_in_flight_spread_the_load(self) -> None:
        chosen = []
        for _ in range(40):
            worker = self.selection.choose(0.0, "route", "workers")
            assert worker is not None
            self.selection.delivery_started(worker)
            chosen.append(worker.name)
        self.assertTrue(all(chosen.count(f"i{n}") >= 5 for n in range(4)))

    def test_no_more_than_its_slots(self) -> None:
        self.selection.workers_changed([entry(8, "small", slots=2)], [])
        for _ in range(2):
            worker = self.selection.choose(0.0, "r", "small")
            assert worker is not None
            self.selection.delivery_started(worker)
        self.assertIsNone(self.selection.choose(0.0, "r", "small"))

    def test_an_unhealthy_worker_is_suspended_for_a_while(self) -> None:
        for result, within in ((TIMED_OUT, 1.0), (NO_CONNECTION, 1.0), (BUSY, 0.1), (WRONG_INSTANCE, 6.0)):
            with self.subTest(result=result):
                self.selection.workers_changed([entry(8, "one")], ["i8"])
                worker = self.selection.choose(0.0, "r", "one")
                assert worker is not None
                self.selection.delivery_started(worker)
                self.selection.delivery_ended(0.0, "r", worker, result)
                self.assertIsNone(self.selection.choose(0.01, "r", "one"))
                self.assertIsNotNone(self.selection.choose(within, "r", "one"))

    def test_a_new_incarnation_is_a_new_neuron(self) -> None:
        self.play({"i0": 0.1, "i1": 0.1, "i2": 0.02, "i3": 0.1}, 400)
        self.selection.workers_changed([entry(7)], ["i2"])
        self.assertIsNone(self.selection.worker("i2"))
        self.assertIsNotNone(self.selection.worker("i7"))
        worker = self.selection.choose(1.0, "route", "workers", exclude=["i0", "i1", "i3"])
        self.assertEqual(worker.name if worker else "", "i7")

    def test_a_result_after_the_worker_has_left_is_ignored(self) -> None:
        worker = self.selection.choose(0.0, "route", "workers")
        assert worker is not None
        self.selection.delivery_started(worker)
        self.selection.workers_changed([], [f"i{n}" for n in range(4)])
        self.selection.delivery_ended(1.0, "route", worker, DONE)
        self.assertIsNone(self.selection.choose(1.0, "route", "workers"))


class CatalogueTest(unittest.TestCase):
    """The catalogue as an edge node keeps it (RULES, DRAIN)."""

    def setUp(self) -> None:
        self.changes: list[tuple[list[str], list[str]]] = []
        self.catalogue = Catalogue(
            lambda entries, left: self.changes.append(([each.instance for each in entries], left))
        )

    def update(self, now: float, serial: int, entries: Any, epoch: int = 1, age_ms: int = 100) -> None:
        self.catalogue.update(now, CatalogueUpdate(epoch, serial, age_ms, entries))

    def test_a_draining_or_missing_worker_has_left(self) -> None:
        self.update(1.0, 1, (entry(1), entry(2), entry(3)))
        self.update(2.0, 2, (entry(1), entry(2, draining=True)))
        self.assertEqual(self.changes[-1], (["i1"], ["i2", "i3"]))

    def test_age_counts_from_the_start_of_the_reading(self) -> None:
        self.update(1.0, 1, (entry(1),), age_ms=400)
        self.assertAlmostEqual(self.catalogue.age(1.5), 0.9)
        self.update(2.0, 1, None, age_ms=100)
        self.assertAlmostEqual(self.catalogue.age(2.0), 0.1)

    def test_another_reading_without_entries_confirms_nothing(self) -> None:
        self.update(1.0, 1, (entry(1),))
        self.update(9.0, 2, None)
        self.assertGreater(self.catalogue.age(9.0), 5.0)

    def test_an_older_reading_changes_nothing(self) -> None:
        self.update(5.0, 4, (entry(1),), epoch=2)
        self.update(6.0, 9, (entry(2),), epoch=1)
        self.catalogue.replace(3.0, (entry(3),))
        self.assertEqual(len(self.changes), 1)


if __name__ == "__main__":
    unittest.main()
