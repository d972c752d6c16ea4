"""Polling of the endpoint list: what is published, and how often the platform is called."""

from __future__ import annotations

import unittest

import logbook
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.discovery.endpoint_list_client import EndpointList, EndpointListUnavailableError
from bitternpath.discovery.endpoint_list_poller import POLL_INTERVAL_S, RETRY_DELAY_S, EndpointListPoller
from bitternpath.transport.feed_messages import CatalogueEntry, CatalogueUpdate

EPOCH = 7
RATE_PER_S = 100.0  # doesn't limit these intervals
SLOW_RATE_PER_S = 0.5


def entry(number: int) -> CatalogueEntry:
    """A worker that is ready."""
    return CatalogueEntry(f"i{number}", "workers", f"10.1.0.{number}:80", "z", 4, False, False)


class FakeClient:
    """Readings that the test completes."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reads: list[tuple[float, Deferred[EndpointList]]] = []

    def read(self) -> Deferred[EndpointList]:
        self.reads.append((self.clock.seconds(), Deferred()))
        return self.reads[-1][1]

    def answer(self, *entries: CatalogueEntry) -> None:
        """Complete the last reading."""
        requested_at, result = self.reads[-1]
        result.callback(EndpointList(requested_at, entries))

    def fail(self) -> None:
        """Fail the last reading."""
        self.reads[-1][1].errback(EndpointListUnavailableError("status 500"))


class EndpointListPollerTest(unittest.TestCase):
    def setUp(self) -> None:
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)
        self.clock = Clock()
        self.client = FakeClient(self.clock)
        self.published: list[CatalogueUpdate] = []
        self.poller = self.make_poller(RATE_PER_S)

    def make_poller(self, rate_per_s: float) -> EndpointListPoller:
        return EndpointListPoller(self.clock, self.client, lambda: EPOCH, self.published.append, rate_per_s)

    def assert_reads(self, number: int) -> None:
        self.assertEqual(len(self.client.reads), number)

    def test_a_reading_is_published_with_epoch_serial_and_age(self) -> None:
        self.poller.start()
        self.clock.advance(0.25)
        self.client.answer(entry(1))
        self.assertEqual(self.published, [CatalogueUpdate(EPOCH, 1, 250, (entry(1),))])

    def test_the_serial_rises_with_each_change_and_not_without_one(self) -> None:
        self.poller.start()
        for entries in ((entry(1),), (entry(1),), (entry(1), entry(2)), ()):
            self.client.answer(*entries)
            self.clock.advance(POLL_INTERVAL_S)
        self.assertEqual([update.serial for update in self.published], [1, 1, 2, 3])

    def test_readings_begin_at_a_fixed_interval(self) -> None:
        self.poller.start()
        self.clock.advance(0.25)
        self.client.answer()
        self.clock.advance(POLL_INTERVAL_S - 0.25 - 0.01)
        self.assert_reads(1)
        self.clock.advance(0.02)
        self.assert_reads(2)

    def test_a_failed_reading_is_repeated_soon_and_publishes_nothing(self) -> None:
        self.poller.start()
        self.client.fail()
        self.clock.advance(RETRY_DELAY_S)
        self.assert_reads(2)
        self.assertEqual(self.published, [])

    def test_at_most_half_of_the_platforms_rate_is_used(self) -> None:
        poller = self.make_poller(SLOW_RATE_PER_S)
        poller.start()
        self.client.answer()
        self.clock.advance(2 / SLOW_RATE_PER_S - 0.01)
        self.assert_reads(1)
        self.clock.advance(0.02)
        self.assert_reads(2)
        self.client.fail()
        self.clock.advance(2 / SLOW_RATE_PER_S - 0.01)
        self.assert_reads(2)

    def test_a_stopped_poller_publishes_and_reads_nothing(self) -> None:
        self.poller.start()
        self.poller.stop()
        self.client.answer(entry(1))
        self.clock.advance(10 * POLL_INTERVAL_S)
        self.assertEqual(self.published, [])
        self.assert_reads(1)

    def test_a_poller_that_is_started_again_publishes_its_first_reading_as_changed(self) -> None:
        self.poller.start()
        self.client.answer(entry(1))
        self.poller.stop()
        self.poller.start()
        self.client.answer(entry(1))
        self.assertEqual([update.serial for update in self.published], [1, 2])


if __name__ == "__main__":
    unittest.main()
