"""A worker: cores, slots, a waiting room in order, cold starts, falling over. Pure, on a clock that it is
handed.

Jobs in work share the cores evenly. With `v` as the service that each job in work has had since the
start, a job ends when `v` has grown by its work, so that only the next end has to be waited for,
however many jobs there are.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from bitternpath.testing.emulator.scenario import Kind, drawn

WARMING = 0.25  # s between looks at a cold worker's capacity


class Attempt:
    """A job that has been sent to a worker. `work` is in s on a core of speed 1."""

    __slots__ = (
        "begun",
        "deadline",
        "ended",
        "id",
        "informed",
        "job_class",
        "node",
        "progress",
        "slots",
        "tell",
        "work",
    )

    def __init__(
        self, id: str, job_class: str, work: float, slots: int, deadline: float, node: Any,
        tell: Callable[[Attempt, str], None],
    ) -> None:  # fmt: skip
        self.id, self.job_class, self.work, self.slots, self.deadline = id, job_class, work, slots, deadline
        self.node, self.tell = (
            node,
            tell,
        )  # who sent it, and how it hears: started, running, done, failed, lost
        self.begun = -1.0
        self.ended = False
        self.informed = True  # its node had been told that the worker is cold
        self.progress: Any = None


class Worker:
    """One worker. Times in s."""

    def __init__(self, id: str, site: str, kind: Kind, cell: int, later: Any, random: Random) -> None:
        self.id, self.site, self.kind, self.cell, self.later, self.random = (
            id,
            site,
            kind,
            cell,
            later,
            random,
        )
        self.speed = drawn(random, kind.speed)
        self.cold_share, self.cold_s = drawn(random, kind.cold_share), drawn(random, kind.cold_s)
        self.up, self.reachable = True, True  # the process runs; the machine can be reached
        self.up_since = 0.0  # 0: long ago
        self.slowed = 1.0  # times slower
        self.taken = 0.0  # of the machine, by another program
        self.paused = False
        self.erring = 0.0  # of its jobs end as errors, beside its kind's
        self.fallen = False
        self.queue: deque[Attempt] = deque()
        self.running: list[tuple[float, int, Attempt]] = []  # by the `v` at which they end
        self.used = 0  # slots
        self.connections = 0  # held by all nodes, where their number is limited
        self.done_work = 0.0  # s of core time that ended well
        self.pressure: deque[tuple[float, float, bool]] = (
            deque()
        )  # arrivals of late: when, work, told of the start
        self.on_fall: Callable[[Worker, float], None] = lambda worker, informed: None
        self._v = self._at = 0.0
        self._rate = 0.0
        self._next: Any = None
        self._made = 0
        self._warming: Any = None

    # ---- capacity

    def warmth(self, now: float) -> float:
        """The share of its capacity that a worker has since its start."""
        if self.up_since <= 0.0:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * min((now - self.up_since) / self.cold_s, 1.0)

    @property
    def held(self) -> int:
        return len(self.queue) + len(self.running)

    def core_rate(self, now: float) -> float:
        """How much work of speed 1 one core does in a second."""
        if self.paused or not self.up:
            return 0.0
        over = max(self.held - self.kind.crowded, 0.0)
        return (
            self.speed * self.warmth(now) * (1.0 - self.taken) / self.slowed / (1.0 + self.kind.strain * over)
        )

    def capacity(self, now: float) -> float:
        """Work of speed 1 that it does in a second at most, strain apart."""
        return self.speed * self.warmth(now) * self.kind.cores

    def _settle(self) -> None:
        """Bring `v` up to now."""
        now = self.later.seconds()
        self._v += (now - self._at) * self._rate
        self._at = now

    def changed(self) -> None:
        """Something has changed its rate, or which job ends next."""
        self._settle()
        many = (
            sum(attempt.slots for _, _, attempt in self.running) if self.used > self.kind.cores else self.used
        )
        share = min(1.0, self.kind.cores / many) if many else 1.0
        self._rate = self.core_rate(self._at) * share
        if self._next is not None:
            self._next.cancel()
            self._next = None
        if self.running and self._rate > 0.0:
            wait = max(self.running[0][0] - self._v, 0.0) / self._rate
            self._next = self.later.callLater(wait, self._ended)

    # ---- jobs

    def arrive(self, attempt: Attempt) -> bool:
        """A job has come; False where it is turned away."""
        self._press(self.later.seconds(), attempt)
        if len(self.queue) >= self.kind.queue or self.fallen:
            return False
        self.queue.append(attempt)
        self._begin()
        return True

    def _press(self, now: float, attempt: Attempt) -> None:
        """What is sent to a cold worker, also what it turns away, may push it over."""
        if self.up_since <= 0.0 or now >= self.up_since + self.cold_s or self.fallen:
            return
        pressure, span = self.pressure, self.fall_span
        pressure.append((now, attempt.work, attempt.informed))
        while pressure and pressure[0][0] < now - span:
            pressure.popleft()
        sent = sum(work for _, work, _ in pressure)
        # A little slack for chance: two mean jobs.
        if sent > self.fall_multiple * self.capacity(now) * span + 2.0 * sent / len(pressure):
            informed = sum(work for _, work, told in pressure if told) / sent
            self.fall(informed)

    fall_multiple, fall_span = 4.0, 1.0

    def fall(self, informed: float) -> None:
        self.fallen = True
        self.on_fall(self, informed)
        self.stop()

    def _begin(self) -> None:
        """Start waiting jobs in order; the first waits until it fits."""
        self._settle()
        now, begun = self._at, False
        while self.queue and self.used + self.queue[0].slots <= self.kind.slots:
            attempt = self.queue.popleft()
            if self.kind.drops_expired and attempt.deadline <= now:
                attempt.ended = True
                attempt.tell(attempt, "dropped")
                continue
            self.used += attempt.slots
            self._made += 1
            attempt.begun = now
            heappush(self.running, (self._v + attempt.work, self._made, attempt))
            attempt.tell(attempt, "started")
            begun = True
        if begun or self.held > self.kind.crowded:
            self.changed()

    def _ended(self) -> None:
        self._next = None
        self._settle()
        if self.running:
            _, _, attempt = heappop(self.running)
            self.used -= attempt.slots
            attempt.ended = True
            failed = self.random.random() < self.kind.errors + self.erring
            if not failed:
                self.done_work += attempt.work
            attempt.tell(attempt, "failed" if failed else "done")
        self._begin()
        self.changed()

    # ---- the process and the machine

    def stop(self) -> list[Attempt]:
        """The process is gone, with all it had; what that was."""
        self._settle()
        had = [attempt for _, _, attempt in self.running] + list(self.queue)
        self.running.clear()
        self.queue.clear()
        self.used = 0
        self.up = False
        for attempt in had:
            attempt.ended = True
        self.changed()
        return had

    def start(self, cold: bool = True) -> None:
        """The process starts anew."""
        now = self.later.seconds()
        self._at = now
        self.up, self.fallen = True, False
        self.up_since = now if cold else 0.0
        self.pressure.clear()
        self.changed()
        if cold:
            self._warm()

    def _warm(self) -> None:
        if self.up and self.later.seconds() < self.up_since + self.cold_s + WARMING:
            self.changed()
            self.later.callLater(WARMING, self._warm)
