"""What limits and orders the leases of each service in one shard."""

from __future__ import annotations

import heapq
from math import ceil

from bitternpath.configuration.documents import Service
from bitternpath.queue.backoff import RetryBudget
from bitternpath.queue.loans import Loan
from bitternpath.queue.rate_limits import CeilingShare, TokenBucket, split_ceiling
from bitternpath.queue.ready import ReadyQueue

SLOT_FACTOR = 2.0  # leases out for each slot: a lease also covers the way there and back, and the log
LEAST_OUT = 2


class ServiceLane:
    """Ready messages of one service, its retry budget, and its ceiling where it has one."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.ready = ReadyQueue()
        self.budget = RetryBudget()
        self.bucket: TokenBucket | None = None
        self.loan: Loan | None = None  # beside the bucket, where the service's ceiling is pooled
        self.most_out: int | None = None  # by the slots of its listed workers; None: not known
        self.out = 0  # deliveries out; jobs that workers pull are bounded by the workers
        self.wakeup: float | None = None
        self.ahead: set[str] = set()  # messages with a lease for whichever worker asks next
        self.polls_asked_at = float("-inf")  # workers that pull were last asked for
        self.polls_asked_pause = 0.0  # until they may be asked for again; grows while jobs wait

    def next_grant(self, now: float) -> float | None:
        """When a lease may be granted (`now`: at once); None: only after a lease has ended."""
        when = self._next_turn(now)
        if when is None or self.bucket is None:
            return when
        token = self._next_token(now, self.bucket)
        return None if token is None else max(when, token)

    def awaits_token(self, now: float) -> bool:
        """Whether nothing but a token is wanted, and one may be borrowed."""
        if self.bucket is None or self.loan is None or self._next_turn(now) != now:
            return False
        return self._next_token(now, self.bucket) != now

    def _next_turn(self, now: float) -> float | None:
        """When a lease may be granted as far as slots and the retry budget go."""
        if self.service.pull_mode:
            return now
        if self.most_out is not None and self.out >= self.most_out:
            return None
        return self.budget.next_grant(now, self.out)

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
            self.budget.granted(now)


class LaneTable:
    """The lanes of all services, those to look at, and the times at which others may go on."""

    def __init__(self, shards: int, ceiling_window_s: float, origin_rate_over: float) -> None:
        self._shards = shards
        self._window_s = ceiling_window_s
        self._over = origin_rate_over
        self._lanes: dict[str, ServiceLane] = {}
        self._dirty: dict[str, None] = {}
        self._wakeups: list[tuple[float, str]] = []

    def find(self, service: str) -> ServiceLane | None:
        """The lane of a service that is or was configured."""
        return self._lanes.get(service)

    def all(self) -> list[ServiceLane]:
        """The lanes of all services."""
        return list(self._lanes.values())

    def configure(self, now: float, services: dict[str, Service]) -> None:
        """Take the services of a configuration. New ceilings begin with an empty bucket."""
        for name, service in services.items():
            lane = self._lanes.get(name)
            if lane is None:
                lane = self._lanes[name] = ServiceLane(service)
            lane.service = service
            self._configure_ceiling(now, lane)
        self.mark_all()

    def set_capacities(self, slots: dict[str, int]) -> None:
        """Bound the leases out to listed workers by their slots, so that what waits does so here, in order.

        A service without listed workers keeps `LEAST_OUT` leases as probes.
        """
        for name, lane in self._lanes.items():
            listed = not lane.service.pull_mode and lane.service.endpoint is None
            share = ceil(SLOT_FACTOR * slots.get(name, 0) / self._shards)
            lane.most_out = max(share, LEAST_OUT) if listed else None
        self.mark_all()

    def _configure_ceiling(self, now: float, lane: ServiceLane) -> None:
        rate = lane.service.rate_per_s
        if rate <= 0:
            lane.bucket = lane.loan = None
            return
        split = split_ceiling(rate, self._shards, self._window_s, self._over)
        if lane.bucket is None:
            lane.bucket = self.new_bucket(now, lane.service.name, split.base)
        else:
            lane.bucket.configure(now, split.base)
        if not split.is_pooled:
            lane.loan = None
        elif lane.loan is None:
            lane.loan = Loan()

    def new_bucket(self, now: float, service: str, share: CeilingShare) -> TokenBucket:
        """The bucket of a service that this owner has not limited before."""
        return TokenBucket(share, now)

    def mark(self, service: str) -> None:
        """A lease of this service may be possible now."""
        if service in self._lanes:
            self._dirty[service] = None

    def mark_all(self) -> None:
        """Leases of any service may be possible now."""
        self._dirty.update(dict.fromkeys(self._lanes))

    def take_marked(self) -> list[ServiceLane]:
        """The lanes to look at."""
        lanes = [self._lanes[name] for name in self._dirty]
        self._dirty.clear()
        return lanes

    def wake_at(self, when: float, lane: ServiceLane) -> None:
        """Mark a lane at that time, or earlier where that is set already."""
        if lane.wakeup is None or when < lane.wakeup:
            lane.wakeup = when
            heapq.heappush(self._wakeups, (when, lane.service.name))

    def advance(self, now: float) -> None:
        """Mark the lanes whose time has come."""
        while self._wakeups and self._wakeups[0][0] <= now:
            name = heapq.heappop(self._wakeups)[1]
            self._lanes[name].wakeup = None
            self.mark(name)

    def next_wakeup(self) -> float | None:
        """When a lane is to be looked at next."""
        return self._wakeups[0][0] if self._wakeups else None
