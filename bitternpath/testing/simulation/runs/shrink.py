"""Reduces a failing plan by delta debugging (Zeller and Hildebrandt, 2002): fewer events, same checker."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bitternpath.testing.simulation.events import Event, RunPlan
from bitternpath.testing.simulation.runs.play import RunReport, play

INITIAL_CHUNKS = 2
MAX_RUNS = 150


@dataclass(frozen=True, slots=True)
class Shrunk:
    """The shortest failing plan, its report, and the number of runs that the reduction took."""

    plan: RunPlan
    report: RunReport
    runs: int


def shrink(
    plan: RunPlan, checker: str, max_runs: int = MAX_RUNS, run_plan: Callable[[RunPlan], RunReport] = play
) -> Shrunk:
    """Remove events as long as `checker` still reports a violation, in `max_runs` runs at most."""
    return _Shrinking(plan, checker, max_runs, run_plan).shrink()


class _Shrinking:
    def __init__(
        self, plan: RunPlan, checker: str, max_runs: int, run_plan: Callable[[RunPlan], RunReport]
    ) -> None:
        self._plan = msgspec.structs.replace(plan, checker=checker)
        self._checker = checker
        self._max_runs = max_runs
        self._run_plan = run_plan
        self._runs = 0
        self._report = RunReport(plan)

    def shrink(self) -> Shrunk:
        events, chunks = list(self._plan.events), INITIAL_CHUNKS
        if self._fails([]):
            events = []
        events = self._without_kinds(events)
        while len(events) >= 2 and self._runs < self._max_runs:
            shorter = self._without_a_chunk(events, chunks)
            if shorter is not None:
                events, chunks = shorter, max(chunks - 1, INITIAL_CHUNKS)
            elif chunks >= len(events):
                break
            else:
                chunks = min(chunks * 2, len(events))
        return Shrunk(self._with(events), self._report, self._runs)

    def _without_kinds(self, events: list[Event]) -> list[Event]:
        """Try to remove all events of a kind at once, which saves the most runs."""
        for kind in dict.fromkeys(type(event) for event in events):
            shorter = [event for event in events if type(event) is not kind]
            if len(shorter) < len(events) and self._fails(shorter):
                events = shorter
        return events

    def _without_a_chunk(self, events: list[Event], chunks: int) -> list[Event] | None:
        size = -(-len(events) // chunks)
        for first in range(0, len(events), size):
            shorter = events[:first] + events[first + size :]
            if self._runs < self._max_runs and self._fails(shorter):
                return shorter
        return None

    def _fails(self, events: list[Event]) -> bool:
        self._runs += 1
        report = self._run_plan(self._with(events))
        failed = self._checker in report.checkers
        if failed:
            self._report = report
        return failed

    def _with(self, events: list[Event]) -> RunPlan:
        return msgspec.structs.replace(self._plan, events=tuple(events))
