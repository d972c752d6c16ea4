"""A worker model: cores, slots, a FIFO queue, cold starts and collapse under overload. Pure; the clock is
passed in.

Running jobs share the cores evenly (processor sharing). The virtual time `v` is the service that each
running job has received since the start; a job ends when `v` has grown by its work. Only the next
completion needs a timer, however many jobs run.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from bitternpath.testing.emulator.scenario import Kind, sample

WARM_UP_INTERVAL = 0.25  # s between updates of a cold worker's capacity


class Attempt:
    """A job sent to a worker. `work` is in s on a core of speed 1."""

    __slots__ = (
        "deadline",
        "ended",
        "id",
        "job_class",
        "node",
        "notify",
        "progress",
        "sender_knew_start",
        "slots",
        "started_at",
        "work",
    )

    def __init__(
        self, id: str, job_class: str, work: float, slots: int, deadline: float, node: Any,
        notify: Callable[[Attempt, str], None],
    ) -> None:  # fmt: skip
        self.id, self.job_class, self.work, self.slots, self.deadline = id, job_class, work, slots, deadline
        self.node, self.notify = node, notify  # called with started, done, failed, lost or dropped
        self.started_at = -1.0
        self.ended = False
        self.sender_knew_start = True  # whether discovery had told the sending node that the worker is cold
        self.progress: Any = None


class Worker:
    """A worker. Times in s."""

    def __init__(self, id: str, site: str, kind: Kind, cell: int, scheduler: Any, random: Random) -> None:
        self.id, self.site, self.kind, self.cell, self.scheduler, self.random = (
            id,
            site,
            kind,
            cell,
            scheduler,
            random,
        )
        self.speed = sample(random, kind.speed)
        self.cold_share, self.cold_s = sample(random, kind.cold_share), sample(random, kind.cold_s)
        self.alive, self.reachable = True, True  # the process runs; the machine is reachable
        self.up_since = 0.0  # s; 0 means long ago
        self.slowdown = 1.0  # factor by which jobs take longer
        self.stolen_share = 0.0  # share of the machine that another program uses
        self.paused = False
        self.extra_error_rate = 0.0  # share of jobs that fail, added to that of the worker's kind
        self.collapsed = False
        self.queue: deque[Attempt] = deque()
        self.running: list[tuple[float, int, Attempt]] = []  # ordered by the `v` at which they end
        self.used_slots = 0
        self.connections = 0  # from all nodes, counted only where the kind limits them
        self.done_work = 0.0  # s of core time of successful jobs
        # arrivals within `fall_span`: time, work, whether the sender knew of the start
        self.recent_arrivals: deque[tuple[float, float, bool]] = deque()
        self.on_collapse: Callable[[Worker, float], None] = lambda worker, informed: None
        self._virtual_time = self._updated_at = 0.0
        self._rate = 0.0
        self._next_completion: Any = None
        self._sequence = 0
        self._warming_up: Any = None

    # ---- capacity

    def warmth(self, now: float) -> float:
        """Share of its full capacity that the worker has at `now`, growing linearly after a cold start."""
        if self.up_since <= 0.0:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * min((now - self.up_since) / self.cold_s, 1.0)

    @property
    def job_count(self) -> int:
        return len(self.queue) + len(self.running)

    def core_rate(self, now: float) -> float:
        """Work (s at speed 1) that one core does per second."""
        if self.paused or not self.alive:
            return 0.0
        excess = max(self.job_count - self.kind.crowded, 0.0)
        return (
            self.speed
            * self.warmth(now)
            * (1.0 - self.stolen_share)
            / self.slowdown
            / (1.0 + self.kind.strain * excess)
        )

    def capacity(self, now: float) -> float:
        """Work (s at speed 1) that the worker can do per second, without the strain of crowding."""
        return self.speed * self.warmth(now) * self.kind.cores

    def _advance(self) -> None:
        """Advances `v` to the current time."""
        now = self.scheduler.seconds()
        self._virtual_time += (now - self._updated_at) * self._rate
        self._updated_at = now

    def reschedule(self) -> None:
        """Recomputes the rate and the timer of the next completion after a change to either."""
        self._advance()
        busy_slots = (
            sum(attempt.slots for _, _, attempt in self.running)
            if self.used_slots > self.kind.cores
            else self.used_slots
        )
        share = min(1.0, self.kind.cores / busy_slots) if busy_slots else 1.0
        self._rate = self.core_rate(self._updated_at) * share
        if self._next_completion is not None:
            self._next_completion.cancel()
            self._next_completion = None
        if self.running and self._rate > 0.0:
            wait = max(self.running[0][0] - self._virtual_time, 0.0) / self._rate
            self._next_completion = self.scheduler.callLater(wait, self._complete_next)

    # ---- jobs

    def arrive(self, attempt: Attempt) -> bool:
        """Accepts a job; False if it is rejected."""
        self._record_arrival(self.scheduler.seconds(), attempt)
        if len(self.queue) >= self.kind.queue or self.collapsed:
            return False
        self.queue.append(attempt)
        self._start_jobs()
        return True

    def _record_arrival(self, now: float, attempt: Attempt) -> None:
        """Records work sent to a cold worker, rejected work included; too much of it makes the worker
        collapse."""
        if self.up_since <= 0.0 or now >= self.up_since + self.cold_s or self.collapsed:
            return
        recent_arrivals, span = self.recent_arrivals, self.fall_span
        recent_arrivals.append((now, attempt.work, attempt.sender_knew_start))
        while recent_arrivals and recent_arrivals[0][0] < now - span:
            recent_arrivals.popleft()
        sent = sum(work for _, work, _ in recent_arrivals)
        # The slack of two mean jobs allows for chance.
        if sent > self.fall_multiple * self.capacity(now) * span + 2.0 * sent / len(recent_arrivals):
            informed = sum(work for _, work, knew in recent_arrivals if knew) / sent
            self.collapse(informed)

    fall_multiple, fall_span = 4.0, 1.0  # multiple of the capacity, s; set by the scenario's rules

    def collapse(self, informed: float) -> None:
        self.collapsed = True
        self.on_collapse(self, informed)
        self.stop()

    def _start_jobs(self) -> None:
        """Starts queued jobs in order; the first one blocks the others until it fits."""
        self._advance()
        now, started_any = self._updated_at, False
        while self.queue and self.used_slots + self.queue[0].slots <= self.kind.slots:
            attempt = self.queue.popleft()
            if self.kind.drops_expired and attempt.deadline <= now:
                attempt.ended = True
                attempt.notify(attempt, "dropped")
                continue
            self.used_slots += attempt.slots
            self._sequence += 1
            attempt.started_at = now
            heappush(self.running, (self._virtual_time + attempt.work, self._sequence, attempt))
            attempt.notify(attempt, "started")
            started_any = True
        if started_any or self.job_count > self.kind.crowded:
            self.reschedule()

    def _complete_next(self) -> None:
        self._next_completion = None
        self._advance()
        if self.running:
            _, _, attempt = heappop(self.running)
            self.used_slots -= attempt.slots
            attempt.ended = True
            failed = self.random.random() < self.kind.errors + self.extra_error_rate
            if not failed:
                self.done_work += attempt.work
            attempt.notify(attempt, "failed" if failed else "done")
        self._start_jobs()
        self.reschedule()

    # ---- the process and the machine

    def stop(self) -> list[Attempt]:
        """Ends the process; returns the jobs that it had."""
        self._advance()
        lost_jobs = [attempt for _, _, attempt in self.running] + list(self.queue)
        self.running.clear()
        self.queue.clear()
        self.used_slots = 0
        self.alive = False
        for attempt in lost_jobs:
            attempt.ended = True
        self.reschedule()
        return lost_jobs

    def start(self, cold: bool = True) -> None:
        """Starts a new process."""
        now = self.scheduler.seconds()
        self._updated_at = now
        self.alive, self.collapsed = True, False
        self.up_since = now if cold else 0.0
        self.recent_arrivals.clear()
        self.reschedule()
        if cold:
            self._warm_up()

    def _warm_up(self) -> None:
        if self.alive and self.scheduler.seconds() < self.up_since + self.cold_s + WARM_UP_INTERVAL:
            self.reschedule()
            self.scheduler.callLater(WARM_UP_INTERVAL, self._warm_up)
