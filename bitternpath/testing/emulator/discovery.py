"""The discovery service: reports late, knows only whether a process runs, and informs each node after a delay
of its own. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Endpoint, Listing
from bitternpath.testing.emulator.scenario import Discovery, sample
from bitternpath.testing.emulator.worker import Worker

EPOCH = 1_700_000_000_000.0  # Unix ms at the start of a run; not 0, since a start time of 0 means long ago.

ListingCallback = Callable[[str, Listing], None]  # node name, update


class Directory:
    """The list of endpoints and its subscribers."""

    def __init__(self, settings: Discovery, scheduler: Any, random: Random) -> None:
        self.settings, self.scheduler, self.random = settings, scheduler, random
        self.end_delay, self.silent_end_delay = (
            sample(random, settings.notice_s),
            sample(random, settings.silent_notice_s),
        )
        self.start_delay = sample(random, settings.add_s)
        self.epoch = EPOCH  # Unix ms at the start of the run
        self.endpoints: dict[str, Endpoint] = {}
        self.revision = 1
        self.subscribers: dict[str, ListingCallback] = {}
        self.down = False  # whether it is silent
        self.subscribe_calls, self.subscribe_successes = Counter[str](), Counter[str]()  # by node
        self._busy_until = 0.0  # s at which the current queue of subscribe calls is served
        self.drop_rate = 0.0  # share of updates that a node gets only with the next one
        self.delay_factor = 1.0
        self._lags: dict[str, float] = {}
        self._missed: dict[str, set[str]] = {}

    def endpoint_for(self, worker: Worker, state: m.WorkerState = m.WorkerState.SERVING) -> Endpoint:
        since = self.epoch + worker.up_since * 1000.0 if worker.up_since > 0.0 else 0.0
        return Endpoint(
            worker.id, f"{worker.id}:1", worker.site, worker.kind.name, worker.cell, state, 1.0, since
        )

    def load(self, workers: list[Worker]) -> None:
        """Sets the endpoints that exist at the start."""
        self.endpoints = {worker.id: self.endpoint_for(worker) for worker in workers}

    def full_listing(self) -> Listing:
        return Listing(self.revision, True, tuple(self.endpoints.values()))

    # ---- subscribe calls

    def subscribe(self, name: str, granted: Callable[[], None], failed: Callable[[], None]) -> None:
        """One subscribe call. Calls are served one at a time; a call that waits too long fails for the caller
        but still takes up its time slot."""
        self.subscribe_calls[name] += 1
        settings, now = self.settings, self.scheduler.now
        if self.down:
            self.scheduler.callLater(settings.call_waits_s, failed)
            return
        finished_at = max(self._busy_until, now) + 1.0 / settings.calls_per_s
        if finished_at - now > 2 * settings.call_waits_s:  # the queue is longer than it can ever serve
            self.scheduler.callLater(0.0, failed)
            return
        self._busy_until = finished_at
        if finished_at - now > settings.call_waits_s:
            self.scheduler.callLater(settings.call_waits_s, failed)
        else:
            self.subscribe_successes[name] += 1
            self.scheduler.callLater(finished_at - now, granted)

    # ---- changes of workers

    def process_started(self, worker: Worker) -> None:
        self.scheduler.callLater(
            self.start_delay * self.delay_factor, self._publish, self.endpoint_for(worker)
        )

    def process_ended(self, worker: Worker, silent: bool) -> None:
        wait = self.silent_end_delay if silent else self.end_delay
        self.scheduler.callLater(wait * self.delay_factor, self._remove, worker.id, worker.up_since)

    def process_draining(self, worker: Worker) -> None:
        self.scheduler.callLater(
            self.start_delay * self.delay_factor,
            self._publish,
            self.endpoint_for(worker, m.WorkerState.DRAINING),
        )

    def _remove(self, worker: str, up_since: float) -> None:
        current = self.endpoints.get(worker)
        since = self.epoch + up_since * 1000.0 if up_since > 0.0 else 0.0
        if current is not None and current.up_since == since:
            self._publish(Endpoint(worker, current.host_port, current.zone, current.kind, current.cell,
                                  m.WorkerState.GONE, current.size, current.up_since))  # fmt: skip

    def _publish(self, endpoint: Endpoint) -> None:
        if endpoint.state is m.WorkerState.GONE:
            self.endpoints.pop(endpoint.id, None)
        else:
            self.endpoints[endpoint.id] = endpoint
        self.revision += 1
        for name in list(self.subscribers):
            # Each node has a constant lag, so that its updates stay in order.
            lag = self._lags.setdefault(name, self.random.random() * self.settings.spread_s)
            self.scheduler.callLater(lag, self._notify, name, endpoint, self.revision)

    def _notify(self, name: str, endpoint: Endpoint, revision: int) -> None:
        callback = self.subscribers.get(name)
        if callback is None:
            return
        if self.down or self.random.random() < self.drop_rate:
            self._missed.setdefault(name, set()).add(endpoint.id)
            return
        if self._missed.pop(name, None):  # after a lost update the full list is sent
            callback(name, self.full_listing())
        else:
            callback(name, Listing(revision, False, (endpoint,)))

    def recover(self) -> None:
        """Ends an outage: sends the full list to every node that missed an update."""
        self.down = False
        for name in list(self._missed):
            if name in self.subscribers:
                self.subscribers[name](name, self.full_listing())
        self._missed.clear()
