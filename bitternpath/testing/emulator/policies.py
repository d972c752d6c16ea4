"""Reference policies with the interface of the decision module: events in, actions out.

They serve as baselines for comparison and are not part of the balancer: random, round robin, least own
jobs in flight, two random choices, least EWMA of latency, and an oracle that sees the true state of every
worker, which no node can.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.dispatcher import Dispatcher

EWMA_WEIGHT = 0.2  # weight of the latest job in an EWMA
FAILURE_PENALTY = 3.0  # factor on the latency of a failed job


class BasicPolicy:
    """Common behavior: send at once, retry if nothing ran or a repeat is safe, never hold a request back."""

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.settings, self.random, self.now = settings, Random(seed), now
        self.classes = {spec.name: spec for spec in settings.classes}
        self.workers: dict[str, m.WorkerEntry] = {}
        self.in_flight: dict[str, int] = {}  # worker: own jobs in flight
        self.jobs: dict[str, dict[str, Any]] = {}
        self.retry_delay = settings.tick

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        self.now = now
        if isinstance(event, m.Request):
            return self._request(event)
        if isinstance(event, m.AttemptEnded):
            return self._attempt_ended(event)
        if isinstance(event, m.Withdrawn):
            self._close(event.id)
        elif isinstance(event, m.WorkerList):
            self._update_workers(event)
        return []

    def retry_after(self, now: float, job_class: str) -> float:
        return min(100.0, self.settings.max_retry_after)

    def _update_workers(self, event: m.WorkerList) -> None:
        if event.kind in (m.ListKind.COMPLETE, m.ListKind.INITIAL):
            self.workers.clear()
        for entry in event.entries:
            if entry.state is m.WorkerState.SERVING:
                self.workers[entry.worker] = entry
                self.in_flight.setdefault(entry.worker, 0)
            else:
                self.workers.pop(entry.worker, None)

    def _request(self, event: m.Request) -> list[m.Action]:
        self.jobs[event.id] = {
            "class": event.job_class, "deadline": self.now + event.remaining, "attempts": 0, "ran": False,
            "in_flight": {}, "excluded": set(), "open": True, "request": event,
        }  # fmt: skip
        return self._send(event.id)

    def _send(self, id: str) -> list[m.Action]:
        job = self.jobs[id]
        spec = self.classes[job["class"]]
        usable = [
            name
            for name, entry in self.workers.items()
            if name not in job["excluded"]
            and (spec.kind is None or spec.kind == entry.kind)
            and (entry.classes is None or spec.name in entry.classes)
        ]
        unsafe_to_repeat = job["ran"] and spec.effect is not m.Effect.SAFE
        if (
            not usable
            or unsafe_to_repeat
            or job["attempts"] >= self.settings.try_limit
            or self.now >= job["deadline"]
        ):
            refuse = not unsafe_to_repeat
            self._close(id)
            return [m.Refuse(id, self.retry_after(self.now, job["class"]))] if refuse else [m.Fail(id)]
        worker = self.choose(usable, job)
        if worker is None:
            self._close(id)
            return [m.Refuse(id, self.retry_after(self.now, job["class"]))]
        job["in_flight"][job["attempts"]] = worker
        job["attempts"] += 1
        self.in_flight[worker] += 1
        return [m.Send(id, worker)]

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        raise NotImplementedError

    def observe(self, worker: str, event: m.AttemptEnded) -> None:
        """Called when an attempt on that worker has ended."""

    def _attempt_ended(self, event: m.AttemptEnded) -> list[m.Action]:
        self.observe(event.worker, event)
        if event.worker in self.in_flight:
            self.in_flight[event.worker] -= 1
        job = self.jobs.get(event.id)
        if job is None:
            return []
        job["in_flight"].pop(event.attempt, None)
        if event.final or not job["open"]:
            self._close(event.id)
            return []
        job["excluded"].add(event.worker)
        job["ran"] = job["ran"] or event.outcome not in m.NOT_EXECUTED
        return self._send(event.id) if not job["in_flight"] else []

    def _close(self, id: str) -> None:
        job = self.jobs.get(id)
        if job is not None:
            job["open"] = False
            if not job["in_flight"]:
                del self.jobs[id]


class RandomPolicy(BasicPolicy):
    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        return usable[int(self.random.random() * len(usable))]


class RoundRobin(BasicPolicy):
    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.next_index = int(self.random.random() * 1000)

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        self.next_index += 1
        return sorted(usable)[self.next_index % len(usable)]


class LeastInFlight(BasicPolicy):
    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        return min(usable, key=lambda w: (self.in_flight[w], self.random.random()))


class TwoChoices(BasicPolicy):
    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        candidates = [usable[int(self.random.random() * len(usable))] for _ in range(2)]
        return min(candidates, key=lambda w: self.in_flight[w])


class Ewma(BasicPolicy):
    """The least product of mean latency and own jobs in flight plus one (as peak EWMA in Finagle)."""

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.mean_latency: dict[str, float] = {}

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        known = [self.mean_latency[w] for w in usable if w in self.mean_latency]
        default_latency = sum(known) / len(known) if known else 1.0
        return min(
            usable,
            key=lambda w: (
                self.mean_latency.get(w, default_latency) * (1 + self.in_flight[w]),
                self.random.random(),
            ),
        )

    def observe(self, worker: str, event: m.AttemptEnded) -> None:
        latency = (
            event.elapsed
            if event.outcome is m.AttemptOutcome.OK
            else FAILURE_PENALTY * max(event.elapsed, 100.0)
        )
        previous = self.mean_latency.get(worker, latency)
        self.mean_latency[worker] = previous + EWMA_WEIGHT * (latency - previous)


class Oracle(BasicPolicy):
    """Knows the true state of every worker: sends each job to the free worker where it ends first, the most
    valuable per second of work first, and refuses at once what can no longer be served."""

    # worker, request id, zone: s until the job would end there, whether it would start at once
    estimate: Callable[[str, str, str], tuple[float, bool]]
    # request id: value per s of work, latest start that meets the target (Unix ms), share of the value later
    value_of: Callable[[str], tuple[float, float, float]]

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.waiting: list[str] = []
        self._next_full_check = now
        self.acts: list[m.Action] = [m.StartTimer("recheck", RECHECK_INTERVAL)]

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        actions = super().handle(now, event)
        if isinstance(event, m.TimerFired):
            actions.append(m.StartTimer("recheck", RECHECK_INTERVAL))
        if isinstance(event, m.TimerFired | m.AttemptEnded | m.Request) and self.waiting:
            actions += self._place_waiting()
        return actions

    def _send(self, id: str) -> list[m.Action]:
        job = self.jobs[id]
        if job["ran"] and self.classes[job["class"]].effect is not m.Effect.SAFE:
            return super()._send(id)
        self.waiting.append(id)
        return []

    def _place_waiting(self) -> list[m.Action]:
        actions: list[m.Action] = []
        if not self.any_free() and self.now < self._next_full_check:
            return actions  # no worker is free: look for hopeless requests less often
        self._next_full_check = self.now + FULL_RECHECK_INTERVAL
        rank = {}
        for id in self.waiting:
            value_rate, latest_start, late_share = self.value_of(id)
            rank[id] = (
                value_rate if self.now < latest_start else value_rate * late_share,
                -latest_start,
            )
        waiting, self.waiting = sorted(self.waiting, key=lambda id: rank[id], reverse=True), []
        for id in waiting:
            job = self.jobs.get(id)
            if job is None or not job["open"]:
                continue
            candidates = [
                (*self.estimate(w, id, self.settings.zone), w)
                for w in self.workers
                if w not in job["excluded"]
            ]
            best = min((x for x in candidates), default=None)
            if best is None or best[0] * 1000.0 >= job["deadline"] - self.now:
                if not any(x[0] < float("inf") for x in candidates) and self.now + 100.0 < job["deadline"]:
                    self.waiting.append(id)  # no worker is reachable now
                    continue
                self._close(id)
                actions.append(m.Refuse(id, self.retry_after(self.now, job["class"])))
                continue
            best_free = min((x for x in candidates if x[1]), default=None)
            if best_free is None or job["attempts"] >= self.settings.try_limit:
                self.waiting.append(id)
                continue
            job["in_flight"][job["attempts"]] = best_free[2]
            job["attempts"] += 1
            self.in_flight[best_free[2]] += 1
            self.reserve(best_free[2])
            actions.append(m.Send(id, best_free[2]))
        return actions

    reserve: Callable[[str], None]  # reserves a core of the worker for a job on its way
    any_free: Callable[[], bool]  # whether any worker would start a job at once


# ms between checks of waiting requests: usually, and while no worker is free
RECHECK_INTERVAL, FULL_RECHECK_INTERVAL = 4.0, 50.0


POLICIES: dict[str, Any] = {
    "module": Dispatcher,
    "random": RandomPolicy,
    "round-robin": RoundRobin,
    "least": LeastInFlight,
    "two-choices": TwoChoices,
    "ewma": Ewma,
    "oracle": Oracle,
}
