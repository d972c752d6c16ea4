"""Reference policies behind the decision module's own seam: events in, actions out.

They are yardsticks and live here, never in `policy`: random, round robin, least own jobs in flight, the
better of two, the least EWMA of latency, and an oracle that sees the true state of every worker, which
no node can.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.dispatcher import Dispatcher

WEIGHT = 0.2  # of the last job in an EWMA
PENALTY = 3.0  # by which a failure counts as longer


class Plain:
    """What they share: one try at once, another where nothing ran or a repeat is harmless, no holding."""

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.set, self.random, self.now = settings, Random(seed), now
        self.classes = {spec.name: spec for spec in settings.classes}
        self.workers: dict[str, m.WorkerEntry] = {}
        self.own: dict[str, int] = {}  # own jobs in flight
        self.jobs: dict[str, dict[str, Any]] = {}
        self.pause = settings.tick

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        self.now = now
        if isinstance(event, m.Request):
            return self._request(event)
        if isinstance(event, m.AttemptEnded):
            return self._outcome(event)
        if isinstance(event, m.Withdrawn):
            self._close(event.id)
        elif isinstance(event, m.WorkerList):
            self._list(event)
        return []

    def retry_after(self, now: float, job_class: str) -> float:
        return min(100.0, self.set.max_retry_after)

    def _list(self, event: m.WorkerList) -> None:
        if event.kind in (m.ListKind.COMPLETE, m.ListKind.INITIAL):
            self.workers.clear()
        for entry in event.entries:
            if entry.state is m.WorkerState.SERVING:
                self.workers[entry.worker] = entry
                self.own.setdefault(entry.worker, 0)
            else:
                self.workers.pop(entry.worker, None)

    def _request(self, event: m.Request) -> list[m.Action]:
        self.jobs[event.id] = {
            "class": event.job_class, "until": self.now + event.remaining, "tries": 0, "ran": False,
            "out": {}, "not": set(), "open": True, "request": event,
        }  # fmt: skip
        return self._send(event.id)

    def _send(self, id: str) -> list[m.Action]:
        job = self.jobs[id]
        spec = self.classes[job["class"]]
        usable = [
            name
            for name, entry in self.workers.items()
            if name not in job["not"]
            and (spec.kind is None or spec.kind == entry.kind)
            and (entry.classes is None or spec.name in entry.classes)
        ]
        again = job["ran"] and spec.effect is not m.Effect.SAFE
        if not usable or again or job["tries"] >= self.set.try_limit or self.now >= job["until"]:
            refuse = not again
            self._close(id)
            return [m.Refuse(id, self.retry_after(self.now, job["class"]))] if refuse else [m.Fail(id)]
        worker = self.choose(usable, job)
        if worker is None:
            self._close(id)
            return [m.Refuse(id, self.retry_after(self.now, job["class"]))]
        job["out"][job["tries"]] = worker
        job["tries"] += 1
        self.own[worker] += 1
        return [m.Send(id, worker)]

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        raise NotImplementedError

    def heard(self, worker: str, event: m.AttemptEnded) -> None:
        """An attempt there has ended."""

    def _outcome(self, event: m.AttemptEnded) -> list[m.Action]:
        self.heard(event.worker, event)
        if event.worker in self.own:
            self.own[event.worker] -= 1
        job = self.jobs.get(event.id)
        if job is None:
            return []
        job["out"].pop(event.attempt, None)
        if event.final or not job["open"]:
            self._close(event.id)
            return []
        job["not"].add(event.worker)
        job["ran"] = job["ran"] or event.outcome not in m.NOT_EXECUTED
        return self._send(event.id) if not job["out"] else []

    def _close(self, id: str) -> None:
        job = self.jobs.get(id)
        if job is not None:
            job["open"] = False
            if not job["out"]:
                del self.jobs[id]


class RandomPolicy(Plain):
    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        return usable[int(self.random.random() * len(usable))]


class RoundRobin(Plain):
    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.turn = int(self.random.random() * 1000)

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        self.turn += 1
        return sorted(usable)[self.turn % len(usable)]


class LeastInFlight(Plain):
    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        return min(usable, key=lambda w: (self.own[w], self.random.random()))


class TwoChoices(Plain):
    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        pair = [usable[int(self.random.random() * len(usable))] for _ in range(2)]
        return min(pair, key=lambda w: self.own[w])


class Ewma(Plain):
    """The least mean latency of late, times own jobs in flight and one (as peak EWMA in Finagle)."""

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.mean: dict[str, float] = {}

    def choose(self, usable: list[str], job: dict[str, Any]) -> str | None:
        known = [self.mean[w] for w in usable if w in self.mean]
        usual = sum(known) / len(known) if known else 1.0
        return min(usable, key=lambda w: (self.mean.get(w, usual) * (1 + self.own[w]), self.random.random()))

    def heard(self, worker: str, event: m.AttemptEnded) -> None:
        took = event.elapsed if event.outcome is m.AttemptOutcome.OK else PENALTY * max(event.elapsed, 100.0)
        before = self.mean.get(worker, took)
        self.mean[worker] = before + WEIGHT * (took - before)


class Oracle(Plain):
    """Sees the true state: sends each job where it will end first, as soon as that is free, what earns
    most for its time first; what can't be served any more it gives up at once."""

    look: Callable[
        [str, str, str], tuple[float, bool]
    ]  # s until it would end there, whether it would begin at once
    worth: Callable[
        [str], tuple[float, float, float]
    ]  # of a request: worth per s of work, in time by, late worth

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.held: list[str] = []
        self._next_full = now
        self.acts: list[m.Action] = [m.StartTimer("look", LOOK)]

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        acts = super().handle(now, event)
        if isinstance(event, m.TimerFired):
            acts.append(m.StartTimer("look", LOOK))
        if isinstance(event, m.TimerFired | m.AttemptEnded | m.Request) and self.held:
            acts += self._place_held()
        return acts

    def _send(self, id: str) -> list[m.Action]:
        job = self.jobs[id]
        if job["ran"] and self.classes[job["class"]].effect is not m.Effect.SAFE:
            return super()._send(id)
        self.held.append(id)
        return []

    def _place_held(self) -> list[m.Action]:
        acts: list[m.Action] = []
        if not self.free() and self.now < self._next_full:
            return acts  # no place anywhere: what has become hopeless is looked at a little later
        self._next_full = self.now + FULL_LOOK
        rank = {}
        for id in self.held:
            earns, in_time_by, late = self.worth(id)
            rank[id] = (earns if self.now < in_time_by else earns * late, -in_time_by)
        held, self.held = sorted(self.held, key=lambda id: rank[id], reverse=True), []
        for id in held:
            job = self.jobs.get(id)
            if job is None or not job["open"]:
                continue
            found = [(*self.look(w, id, self.set.zone), w) for w in self.workers if w not in job["not"]]
            best = min((x for x in found), default=None)
            if best is None or best[0] * 1000.0 >= job["until"] - self.now:
                if not any(x[0] < float("inf") for x in found) and self.now + 100.0 < job["until"]:
                    self.held.append(id)  # nobody is there now
                    continue
                self._close(id)
                acts.append(m.Refuse(id, self.retry_after(self.now, job["class"])))
                continue
            free = min((x for x in found if x[1]), default=None)
            if free is None or job["tries"] >= self.set.try_limit:
                self.held.append(id)
                continue
            job["out"][job["tries"]] = free[2]
            job["tries"] += 1
            self.own[free[2]] += 1
            self.reserve(free[2])
            acts.append(m.Send(id, free[2]))
        return acts

    reserve: Callable[[str], None]  # tells the world that a place there is taken
    free: Callable[[], bool]  # whether any worker would begin a job at once


LOOK, FULL_LOOK = 4.0, 50.0  # ms between looks at what is held, and where no worker is free


POLICIES: dict[str, Any] = {
    "module": Dispatcher,
    "random": RandomPolicy,
    "round-robin": RoundRobin,
    "least": LeastInFlight,
    "two-choices": TwoChoices,
    "ewma": Ewma,
    "oracle": Oracle,
}
