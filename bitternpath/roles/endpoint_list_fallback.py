"""Reads the platform's endpoint list on an edge node itself while the feed delivers no recent one.

The configuration's owner reads the list for all nodes. While there is no owner, or this node is partitioned
from it, the edge nodes read the list independently, each at its share of the rate that the platform allows.
"""

from __future__ import annotations

from random import Random

from bitternpath.configuration.feed_client import FeedClient
from bitternpath.discovery.catalogue import Catalogue
from bitternpath.discovery.endpoint_list_client import EndpointList, EndpointListClient
from bitternpath.net.clock import Clock

MAX_FEED_AGE_S = 1.3  # with an older catalogue, this node reads the list itself
MIN_INTERVAL_S = 0.25  # lower bound of the mean interval between checks
MIN_RATE_PER_S = 0.1  # lower bound of the rate of all nodes together, whatever the settings
JITTER = (0.7, 0.6)  # lower bound and width of a random factor: an interval is 0.7 to 1.3 of its mean


class EndpointListFallback:
    """Checks the age of the catalogue and, if it is too old, reads the list into it."""

    def __init__(
        self,
        reactor: Clock,
        client: EndpointListClient,
        catalogue: Catalogue,
        feed: FeedClient,
        random: Random,
    ) -> None:
        """`client` reads the list into `catalogue`; `feed` has the number of nodes that share the rate."""
        self._reactor = reactor
        self._client = client
        self._catalogue = catalogue
        self._feed = feed
        self._random = random
        self._max_rate_per_s = MIN_RATE_PER_S
        self._reading = False

    def start(self, max_rate_per_s: float) -> None:
        """Start the checks. `max_rate_per_s` is the rate of all nodes together."""
        self._max_rate_per_s = max(max_rate_per_s, MIN_RATE_PER_S)
        self._check()

    def _check(self) -> None:
        node_count = max(self._feed.edge_node_count, 1)
        interval = max(MIN_INTERVAL_S, node_count / self._max_rate_per_s)
        minimum, width = JITTER
        self._reactor.callLater(interval * (minimum + width * self._random.random()), self._check)
        stale = self._catalogue.age(self._reactor.seconds()) > MAX_FEED_AGE_S
        if stale and not self._reading and self._has_listed_workers():
            self._reading = True
            self._client.read().addCallbacks(self._read, self._failed)

    def _has_listed_workers(self) -> bool:
        """Whether any service has listed workers."""
        table = self._feed.table
        services = table.services.values() if table else ()
        return any(service.endpoint is None and not service.pull_mode for service in services)

    def _read(self, endpoints: EndpointList) -> None:
        self._reading = False
        self._catalogue.replace(endpoints.requested_at, endpoints.entries)

    def _failed(self, _: object) -> None:
        """Read again at the next check."""
        self._reading = False
