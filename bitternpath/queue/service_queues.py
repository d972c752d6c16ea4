"""What limits and orders the leases of each service in one shard."""

from __future__ import annotations

import heapq
from math import ceil

from bitternpath.configuration.documents import Service
from bitternpath.queue.backoff import AdaptiveConcurrencyLimit
from bitternpath.queue.quota_leases import QuotaBorrower
from bitternpath.queue.rate_limits import BucketShare, TokenBucket, split_rate
from bitternpath.queue.ready import ReadyQueue

LEASES_PER_SLOT = 2.0  # leases out for each slot: a lease also covers the way there and back, and the log
MIN_IN_FLIGHT = 2


class ServiceQueue:
    """Ready messages of one service, its retry budget, and its ceiling where it has one."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.ready = ReadyQueue()
        self.concurrency = AdaptiveConcurrencyLimit()
        self.bucket: TokenBucket | None = None
        self.loan: QuotaBorrower | None = None  # beside the bucket, where the service's ceiling is pooled
        self.max_in_flight: int | None = None  # by the slots of its listed workers; None: not known
        self.out = 0  # deliveries out; jobs that workers pull are bounded by the workers
        self.wakeup_at: float | None = None
        self.ahead: set[str] = set()  # messages with a lease for whichever worker asks next
        self.pollers_requested_at = float("-inf")  # workers that pull were last asked for
        self.pollers_request_interval_s = 0.0  # until they may be asked for again; grows while jobs wait

    def next_grant(self, now: float) -> float | None:
        """When a lease may be granted (`now`: at once); None: only after a lease has ended."""
        when = self._next_turn(now)
        if when is None or self.bucket is None:
            return when
        token = self._next_token(now, self.bucket)
        return None if token is None else max(when, token)

    def is_short_of_tokens(self, now: float) -> bool:
        """Whether nothing but a token is wanted, and one may be borrowed."""
        if self.bucket is None or self.loan is None or self._next_turn(now) != now:
            return False
        return self._next_token(now, self.bucket) != now

    def _next_turn(self, now: float) -> float | None:
        """When a lease may be granted as far as slots and the retry budget go."""
        if self.service.pull_mode:
            return now
        if self.max_in_flight is not None and self.out >= self.max_in_flight:
            return None
        return self.concurrency.next_grant(now, self.out)

    def _next_token(self, now: float, bucket: TokenBucket) -> float | None:
        if self.loan is not None and self.loan.tokens(now):
            return now
        return bucket.next_ready(now)

    def granted(self, now: float) -> None:
        """A lease goes out."""
        if self.loan is not None and self.loan.tokens(now):
            self.loan.spend()
        elif self.bucket is not None:
            self.bucket.spend()
        if not self.service.pull_mode:
            self.concurrency.granted(now)


class ServiceQueueTable:
    """The lanes of all services, those to look at, and the times at which others may go on."""

    def __init__(self, shards: int, ceiling_window_s: float, origin_rate_over: float) -> None:
        self._shards = shards
        self._window_s = ceiling_window_s
        self._over = origin_rate_over
        self._services: dict[str, ServiceQueue] = {}
        self._dirty: dict[str, None] = {}
        self._wakeups: list[tuple[float, str]] = []

    def find(self, service: str) -> ServiceQueue | None:
        """The lane of a service that is or was configured."""
        return self._services.get(service)

    def all(self) -> list[ServiceQueue]:
        """The lanes of all services."""
        return list(self._services.values())

    def configure(self, now: float, services: dict[str, Service]) -> None:
        """Take the services of a configuration. New ceilings begin with an empty bucket."""
        for name, service in services.items():
            queue = self._services.get(name)
            if queue is None:
                queue = self._services[name] = ServiceQueue(service)
            queue.service = service
            self._configure_ceiling(now, queue)
        self.mark_all_dirty()

    def set_capacities(self, slots: dict[str, int]) -> None:
        """Bound the leases out to listed workers by their slots, so that what waits does so here, in order.

        A service without listed workers keeps `MIN_IN_FLIGHT` leases as probes.
        """
        for name, queue in self._services.items():
            listed = not queue.service.pull_mode and queue.service.endpoint is None
            share = ceil(LEASES_PER_SLOT * slots.get(name, 0) / self._shards)
            queue.max_in_flight = max(share, MIN_IN_FLIGHT) if listed else None
        self.mark_all_dirty()

    def _configure_ceiling(self, now: float, queue: ServiceQueue) -> None:
        rate = queue.service.rate_per_s
        if rate <= 0:
            queue.bucket = queue.loan = None
            return
        split = split_rate(rate, self._shards, self._window_s, self._over)
        if queue.bucket is None:
            queue.bucket = self.new_bucket(now, queue.service.name, split.base)
        else:
            queue.bucket.configure(now, split.base)
        if not split.is_pooled:
            queue.loan = None
        elif queue.loan is None:
            queue.loan = QuotaBorrower()

    def new_bucket(self, now: float, service: str, share: BucketShare) -> TokenBucket:
        """The bucket of a service that this owner has not limited before."""
        return TokenBucket(share, now)

    def mark_dirty(self, service: str) -> None:
        """A lease of this service may be possible now."""
        if service in self._services:
            self._dirty[service] = None

    def mark_all_dirty(self) -> None:
        """Leases of any service may be possible now."""
        self._dirty.update(dict.fromkeys(self._services))

    def take_dirty(self) -> list[ServiceQueue]:
        """The lanes to look at."""
        services = [self._services[name] for name in self._dirty]
        self._dirty.clear()
        return services

    def wake_at(self, when: float, queue: ServiceQueue) -> None:
        """Mark a lane at that time, or earlier where that is set already."""
        if queue.wakeup_at is None or when < queue.wakeup_at:
            queue.wakeup_at = when
            heapq.heappush(self._wakeups, (when, queue.service.name))

    def advance(self, now: float) -> None:
        """Mark the lanes whose time has come."""
        while self._wakeups and self._wakeups[0][0] <= now:
            name = heapq.heappop(self._wakeups)[1]
            self._services[name].wakeup_at = None
            self.mark_dirty(name)

    def next_wakeup(self) -> float | None:
        """When a lane is to be looked at next."""
        return self._wakeups[0][0] if self._wakeups else None
