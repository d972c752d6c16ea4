"""A delivery dispatcher with a fake node and fake workers, in virtual time."""

from __future__ import annotations

import unittest
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.configuration.documents import Configuration, Route, Service
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.dispatch.body_cache import BodyCache
from bitternpath.dispatch.deliveries import (
    DeliveryComponents,
    DeliveryDispatcher,
)
from bitternpath.shards.reports import AttemptReport
from bitternpath.transport.feed_messages import CatalogueEntry
from bitternpath.transport.records import AttemptOutcome, Message
from bitternpath.transport.shard_messages import LeaseGrant

DONE = DeliveryResult(AttemptOutcome.SUCCEEDED, "stamp", 200, RefusalKind.NONE, 0.05)
BUSY = DeliveryResult(AttemptOutcome.NOT_RUN, "", 503, RefusalKind.BUSY, 0.002)
NO_CONNECTION = DeliveryResult(AttemptOutcome.NOT_RUN, "", 0, RefusalKind.NO_CONNECTION, 0.25)
WRONG_INSTANCE = DeliveryResult(AttemptOutcome.NOT_RUN, "", 421, RefusalKind.WRONG_INSTANCE, 0.002)
TIMED_OUT = DeliveryResult(AttemptOutcome.UNKNOWN, "", 0, RefusalKind.NONE, 1.0)


def message(target: str = "/listed/1", version: int = 3) -> Message:
    """A message that node edge-1 accepted."""
    return Message("r1", "POST", "a.example", target, (), "", "listed", version, 0, "", "edge-1", 0, b"body")


def entry(number: int, service: str = "workers", draining: bool = False, slots: int = 4) -> CatalogueEntry:
    """A catalogue entry of a worker."""
    return CatalogueEntry(f"i{number}", service, f"10.1.0.{number}:80", "z", slots, draining, False)


def table(version: int = 3, *, listed: str = "workers") -> RoutingTable:
    """Routes to listed workers, to an endpoint with a rate limit, and to workers that pull."""
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
    """Stands in for the node, the worker client and the reporter of attempts."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = table()
        self.configuration_s = 0.1
        self.catalogue_s = 0.1
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


class DeliveryCase(unittest.TestCase):
    """A dispatcher with three listed workers, in virtual time."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.node = FakeNode()
        self.bodies = BodyCache(100)
        components = DeliveryComponents(self.node, self.node, self.bodies)  # type: ignore[arg-type]
        self.deliveries = DeliveryDispatcher(self.clock, self.node, components, Random(1))  # type: ignore[arg-type]
        self.deliveries.workers_changed([entry(1), entry(2), entry(3)], [])

    def lease(
        self, message_sent: Message | None = None, duration_ms: int = 3000, omitted: bool = False
    ) -> None:
        self.deliveries.lease_granted(
            LeaseGrant("queue-0", "l1", duration_ms, 0, omitted, message_sent or message())
        )

    def outcome(self) -> AttemptOutcome:
        self.assertEqual(len(self.node.reports), 1)
        return self.node.reports[0].outcome
