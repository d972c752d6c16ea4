"""Reads the platform's list again and again, as a role that one node holds, or for a node by itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from twisted.python.failure import Failure

from bitternpath.discovery.endpoint_list_client import EndpointList, EndpointListClient
from bitternpath.transport.feed_messages import CatalogueUpdate

log = logbook.Logger("discovery")

READ_EVERY_S = 0.9  # well below `drain_ms`, from which what a reading shows must be heeded
RETRY_S = 0.25


class EndpointListPoller:
    """While it runs, `publish` hears each reading."""

    def __init__(
        self,
        reactor: Any,
        platform: EndpointListClient,
        epoch: Callable[[], int],
        publish: Callable[[CatalogueUpdate], None],
        rate_per_s: float,
    ) -> None:
        self.reactor, self.platform, self._epoch, self._publish = reactor, platform, epoch, publish
        self._least_pause = max(2.0 / max(rate_per_s, 0.1), 0.0)  # at most half of the platform's rate
        self._running = False
        self._reading = False
        self._timer: Any = None
        self._serial = 0
        self._last: EndpointList | None = None

    def start(self) -> None:
        """Begin to read."""
        if not self._running:
            self._running = True
            self._read()

    def stop(self) -> None:
        """Read no more."""
        self._running = False
        self._last = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _read(self) -> None:
        if not self._running or self._reading:
            return
        self._reading = True
        self.platform.read().addCallbacks(self._succeeded, self._failed)

    def _succeeded(self, reading: EndpointList) -> None:
        self._reading = False
        if not self._running:
            return
        if self._last is None or reading.entries != self._last.entries:
            self._serial += 1
        self._last = reading
        age_ms = int((self.reactor.seconds() - reading.requested_at) * 1000)
        self._publish(CatalogueUpdate(self._epoch(), self._serial, age_ms, reading.entries))
        self._again(max(READ_EVERY_S - age_ms / 1000, self._least_pause))

    def _failed(self, failure: Failure) -> None:
        self._reading = False
        log.info("event=endpoint_list_read_failed error={!r}", str(failure.value))
        if self._running:
            self._again(max(RETRY_S, self._least_pause))

    def _again(self, pause: float) -> None:
        self._timer = self.reactor.callLater(pause, self._read)
