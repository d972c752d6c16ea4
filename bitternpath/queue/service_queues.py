"""The queue of each service in one shard: its ready messages and the limits on their leases."""

from __future__ import annotations

import heapq
from math import ceil

from bitternpath.configuration.documents import Service
from bitternpath.queue.adaptive_limit import AdaptiveConcurrencyLimit
from bitternpath.queue.quota_leases import QuotaBorrower
from bitternpath.queue.rate_limits import RateBound, split_rate
from bitternpath.queue.ready_queue import ReadyQueue
from bitternpath.queue.token_bucket import BucketShare, TokenBucket

LEASES_PER_SLOT = 2.0  # more than one, since a lease also covers the network transfers and the log write
MIN_IN_FLIGHT = 2  # leases of a service without listed workers, which probe whether it has any


class ServiceQueue:
    """Ready messages of one service, its concurrency limits, and its rate limit if it has one."""

    def __init__(self, service: Service) -> None:
        """Create an empty queue without limits."""
        self.service = service
        self.ready = ReadyQueue()
        self.concurrency = AdaptiveConcurrencyLimit()
        self.bucket: TokenBucket | None = None
        self.borrower: QuotaBorrower | None = None  # in addition to the bucket, if the rate limit is pooled
        self.max_in_flight: int | None = None  # limit by the slots of listed workers; None if unlimited
        self.in_flight = 0  # leases of pushed messages; pulling workers limit theirs by their polls
        self.wakeup_at: float | None = None  # earliest time for which `ServiceQueueTable.wake_at` was called
        self.pregranted: set[str] = set()  # request ids of messages leased in advance for the next poll
        self.pollers_requested_at = float("-inf")
        self.pollers_request_interval_s = 0.0  # until the next request; doubles while messages wait

    def next_grant_time(self, now: float) -> float | None:
        """Return when a lease may be granted, `now` if immediately, or None if a lease has to end first."""
        when = self._next_concurrent_grant_time(now)
        if when is None or self.bucket is None:
            return when
        token_at = self._next_token_time(now, self.bucket)
        return None if token_at is None else max(when, token_at)

    def needs_borrowed_token(self, now: float) -> bool:
        """Whether only a missing token prevents a lease and the token may be borrowed."""
        if self.bucket is None or self.borrower is None or self._next_concurrent_grant_time(now) != now:
            return False
        return self._next_token_time(now, self.bucket) != now

    def record_grant(self, now: float) -> None:
        """Record a new lease and spend a token, preferably a borrowed one."""
        if self.borrower is not None and self.borrower.available(now):
            self.borrower.spend()
        elif self.bucket is not None:
            self.bucket.spend()
        if not self.service.pull_mode:
            self.concurrency.record_grant(now)

    def _next_concurrent_grant_time(self, now: float) -> float | None:
        """Return when the concurrency limits allow a lease, or None as in `next_grant_time`."""
        if self.service.pull_mode:
            return now
        if self.max_in_flight is not None and self.in_flight >= self.max_in_flight:
            return None
        return self.concurrency.next_grant_time(now, self.in_flight)

    def _next_token_time(self, now: float, bucket: TokenBucket) -> float | None:
        if self.borrower is not None and self.borrower.available(now):
            return now
        return bucket.next_token_time(now)


class ServiceQueueTable:
    """The queues of all services, the dirty queues, and the times at which others become dirty.

    A queue is dirty if a lease of its service may have become possible. The owner processes all dirty queues
    at the end of each event.
    """

    def __init__(self, bound: RateBound) -> None:
        """Create an empty table."""
        self._bound = bound
        self._queues: dict[str, ServiceQueue] = {}
        self._dirty: dict[str, None] = {}  # in the order in which they became dirty
        self._wakeups: list[tuple[float, str]] = []

    def find(self, service: str) -> ServiceQueue | None:
        """Return the queue of a service that is or was configured, or None."""
        return self._queues.get(service)

    def all(self) -> list[ServiceQueue]:
        """Return the queues of all services."""
        return list(self._queues.values())

    def configure(self, now: float, services: dict[str, Service]) -> None:
        """Apply the services of a configuration. New rate limits start with an empty bucket."""
        for name, service in services.items():
            queue = self._queues.get(name)
            if queue is None:
                queue = self._queues[name] = ServiceQueue(service)
            queue.service = service
            self._configure_rate_limit(now, queue)
        self.mark_all_dirty()

    def set_capacities(self, slots: dict[str, int]) -> None:
        """Limit the leases in flight to listed workers by the number of their slots.

        Waiting messages thus stay in this queue, in its order, and not at the workers. A service without
        listed workers is allowed `MIN_IN_FLIGHT` leases as probes.
        """
        for name, queue in self._queues.items():
            listed = not queue.service.pull_mode and queue.service.endpoint is None
            share = ceil(LEASES_PER_SLOT * slots.get(name, 0) / self._bound.shard_count)
            queue.max_in_flight = max(share, MIN_IN_FLIGHT) if listed else None
        self.mark_all_dirty()

    def new_bucket(self, now: float, share: BucketShare) -> TokenBucket:
        """Create the bucket of a service to which this owner has not applied a rate limit before."""
        return TokenBucket(share, now)

    def mark_dirty(self, service: str) -> None:
        """Mark the queue of a service dirty if the service is configured."""
        if service in self._queues:
            self._dirty[service] = None

    def mark_all_dirty(self) -> None:
        """Mark all queues dirty."""
        self._dirty.update(dict.fromkeys(self._queues))

    def pop_dirty(self) -> list[ServiceQueue]:
        """Return the dirty queues in the order in which they became dirty, and clear them."""
        queues = [self._queues[name] for name in self._dirty]
        self._dirty.clear()
        return queues

    def wake_at(self, when: float, queue: ServiceQueue) -> None:
        """Mark a queue dirty at `when`, or earlier if an earlier time is already set."""
        if queue.wakeup_at is None or when < queue.wakeup_at:
            queue.wakeup_at = when
            heapq.heappush(self._wakeups, (when, queue.service.name))

    def wake_due(self, now: float) -> None:
        """Mark the queues dirty whose wake-up time has passed."""
        while self._wakeups and self._wakeups[0][0] <= now:
            name = heapq.heappop(self._wakeups)[1]
            self._queues[name].wakeup_at = None
            self.mark_dirty(name)

    def next_wakeup(self) -> float | None:
        """Return when to call `wake_due` next, or None if no time is set."""
        return self._wakeups[0][0] if self._wakeups else None

    def _configure_rate_limit(self, now: float, queue: ServiceQueue) -> None:
        rate = queue.service.rate_per_s
        if rate <= 0:
            queue.bucket = None
            queue.borrower = None
            return
        split = split_rate(rate, self._bound)
        if queue.bucket is None:
            queue.bucket = self.new_bucket(now, split.base)
        else:
            queue.bucket.configure(now, split.base)
        if not split.is_pooled:
            queue.borrower = None
        elif queue.borrower is None:
            queue.borrower = QuotaBorrower()
