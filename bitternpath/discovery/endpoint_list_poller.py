"""Polls the platform's endpoint list, as a singleton role that a single node has at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import logbook
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.discovery.endpoint_list_client import EndpointList
from bitternpath.net.clock import Clock, Timer, cancel_if_active
from bitternpath.transport.feed_messages import CatalogueEntry, CatalogueUpdate

log = logbook.Logger("discovery")

POLL_INTERVAL_S = 0.9  # well below `drain_ms`, within which a drain in the list must be respected
RETRY_DELAY_S = 0.25  # after a failed reading
RATE_SHARE = 0.5  # share of the platform's rate limit; the rest is for nodes that read the list themselves
MIN_RATE_PER_S = 0.1  # used if the settings allow less


class ListClient(Protocol):
    """The methods of `EndpointListClient` that the poller uses."""

    def read(self) -> Deferred[EndpointList]:
        """Read the complete list."""


class EndpointListPoller:
    """While running, publishes each reading of the list, with the epoch of the role and a serial number."""

    def __init__(
        self,
        clock: Clock,
        client: ListClient,
        epoch: Callable[[], int],
        publish: Callable[[CatalogueUpdate], None],
        max_rate_per_s: float,
    ) -> None:
        """Create a poller that is stopped.

        Args:
            clock: time and timers.
            client: reads the list.
            epoch: returns the epoch in which this node has the role (fencing token).
            publish: called with each reading. The serial number increases with each change of the entries.
            max_rate_per_s: calls per second that the platform allows.
        """
        self._clock = clock
        self._client = client
        self._epoch = epoch
        self._publish = publish
        self._min_interval = 1 / (RATE_SHARE * max(max_rate_per_s, MIN_RATE_PER_S))
        self._running = False
        self._reading = False
        self._next_read: Timer | None = None
        self._serial = 0
        self._last_entries: tuple[CatalogueEntry, ...] | None = None

    def start(self) -> None:
        """Start polling, immediately."""
        if not self._running:
            self._running = True
            self._read()

    def stop(self) -> None:
        """Publish nothing more, not even a reading that is in progress."""
        self._running = False
        self._last_entries = None
        cancel_if_active(self._next_read)

    def _read(self) -> None:
        if not self._running or self._reading:
            return
        self._reading = True
        self._client.read().addCallbacks(self._succeeded, self._failed)

    def _succeeded(self, endpoints: EndpointList) -> None:
        self._reading = False
        if not self._running:
            return
        if endpoints.entries != self._last_entries:
            self._serial += 1
        self._last_entries = endpoints.entries
        age_ms = int((self._clock.seconds() - endpoints.requested_at) * 1000)
        self._publish(CatalogueUpdate(self._epoch(), self._serial, age_ms, endpoints.entries))
        self._schedule(POLL_INTERVAL_S - age_ms / 1000)

    def _failed(self, failure: Failure) -> None:
        self._reading = False
        log.info("event=endpoint_list_read_failed error={!r}", str(failure.value))
        if self._running:
            self._schedule(RETRY_DELAY_S)

    def _schedule(self, interval: float) -> None:
        self._next_read = self._clock.callLater(max(interval, self._min_interval), self._read)
