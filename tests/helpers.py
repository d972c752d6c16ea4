"""Helpers to set up a dispatcher and to pass events to it."""

from __future__ import annotations

from typing import Any

from bitternpath import Dispatcher
from bitternpath.balancer import messages as m


def job_class(name: str = "job", effect: m.Effect = m.Effect.SAFE, **more: Any) -> m.JobClass:
    defaults: dict[str, Any] = {
        "latency_target": 400.0,
        "max_deadline": 5000.0,
        "dedup_window": 7500.0,
        "work_factor": 2.0,
    }
    return m.JobClass(name, effect, **(defaults | more))


def entry(name: str, zone: str = "a", cell: int = 0, **more: Any) -> m.WorkerEntry:
    return m.WorkerEntry(
        name, zone, more.pop("kind", "k"), cell, more.pop("state", m.WorkerState.SERVING), **more
    )


def listing(*entries: m.WorkerEntry, kind: m.ListKind = m.ListKind.INITIAL) -> m.WorkerList:
    return m.WorkerList(kind, list(entries))


class DispatcherHarness:
    """A dispatcher with the workers w0, w1, ... and a clock."""

    def __init__(
        self, *classes: m.JobClass, workers: int | list[m.WorkerEntry] = 3, seed: int = 1, **more: Any
    ) -> None:
        self.now = 1_000_000.0
        self.dispatcher = Dispatcher(m.Settings(classes=classes or (job_class(),), **more), seed, self.now)
        rows = workers if isinstance(workers, list) else [entry(f"w{k}") for k in range(workers)]
        self.initial_actions = self.handle(listing(*rows))

    def handle(self, event: m.Event, after: float = 0.0) -> list[m.Action]:
        self.now += after
        return self.dispatcher.handle(self.now, event)

    def request(self, name: str, job: str = "job", remaining: float = 5000.0, **more: Any) -> list[m.Action]:
        return self.handle(m.Request(name, job, remaining, **more))

    def end_attempt(
        self, name: str, worker: str, outcome: m.AttemptOutcome, n: int = 0, after: float = 10.0
    ) -> list[m.Action]:
        self.now += after
        return self.dispatcher.handle(
            self.now, m.AttemptEnded(name, n, worker, outcome, after, outcome is m.AttemptOutcome.OK)
        )

    def run_sweeps(self, after: float) -> list[m.Action]:
        """Advance the clock, firing the sweep timer as it expires."""
        actions: list[m.Action] = []
        until = self.now + after
        while self.now < until:
            actions += self.handle(m.TimerFired("sweep"), self.dispatcher.sweep_interval)
        return actions


def sends(actions: list[m.Action]) -> list[m.Send]:
    return [a for a in actions if isinstance(a, m.Send)]


def finals(actions: list[m.Action]) -> list[m.Action]:
    return [a for a in actions if isinstance(a, m.Refuse | m.Fail)]
