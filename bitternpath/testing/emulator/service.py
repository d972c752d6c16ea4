"""How well clients were served: worth in time over worth asked, as the operators count it. Pure.

Whole run 55%, worst 10 s 15%, worst class 30%; off come prices for wasted work, for worth that failed
only after its wanted time, and for crossing sites. A client's retries count with its first try.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from bitternpath.testing.emulator.scenario import JobClass, Prices

WHOLE, WORST_WINDOW, WORST_CLASS = 0.55, 0.15, 0.30
WINDOW = 10  # s


class Ask:
    """What a client wants, through all of its tries. Times in s."""

    __slots__ = ("arrived", "done_at", "in_time_by", "job_class", "late", "over", "site", "work")

    def __init__(self, job_class: JobClass, site: str, work: float, arrived: float) -> None:
        self.job_class, self.site, self.work, self.arrived = job_class, site, work, arrived
        aim = (job_class.aim + job_class.stretch * work * 1000.0) / 1000.0
        self.in_time_by = arrived + min(aim, job_class.give_up / 1000.0)
        self.done_at = -1.0
        self.late = self.over = False


class Tally:
    """Counts as it goes, by second and class."""

    def __init__(self, classes: list[JobClass], prices: Prices) -> None:
        self.prices = prices
        self.classes = {c.name: c for c in classes}
        self.asked: dict[tuple[int, str, str], float] = defaultdict(float)  # second, class, site: worth
        self.got: dict[tuple[int, str, str], float] = defaultdict(float)
        self.counts: dict[tuple[int, str], int] = defaultdict(int)  # second, what
        self.firsts = self.crossings = 0
        self.late_failed = 0.0  # worth
        self.offered = self.useful = self.spent = 0.0  # work, s of a core of speed 1
        self.work_done: dict[int, float] = defaultdict(float)  # by second
        self.took: dict[str, list[float]] = defaultdict(list)  # ms of served asks by class

    def count(self, now: float, what: str) -> None:
        self.counts[int(now), what] += 1

    def attempt(self, now: float, crossing: bool) -> None:
        """A node has sent something to a worker."""
        self.count(now, "attempts")
        if crossing:
            self.crossings += 1
            self.count(now, "crossings")

    def worked(self, now: float, work: float) -> None:
        """A worker has ended a job, in s of a core of speed 1."""
        self.spent += work
        self.work_done[int(now)] += work

    def first(self, ask: Ask) -> None:
        self.firsts += 1
        self.offered += ask.work
        self.asked[int(ask.arrived), ask.job_class.name, ask.site] += ask.job_class.worth

    def served(self, ask: Ask, now: float) -> None:
        worth = ask.job_class.worth
        self.useful += ask.work
        self.took[ask.job_class.name].append((now - ask.arrived) * 1000.0)
        ask.late = now > ask.in_time_by
        earned = worth * ask.job_class.late_worth if ask.late else worth
        self.got[int(ask.arrived), ask.job_class.name, ask.site] += earned
        self.count(ask.arrived, "late" if ask.late else "in time")

    def failed(self, ask: Ask, now: float) -> None:
        if now > ask.in_time_by:
            self.late_failed += ask.job_class.worth
        self.count(ask.arrived, "failed")

    # ---- the figures

    @staticmethod
    def _share(got: float, asked: float) -> float:
        return got / asked if asked else 1.0

    def by(self, part: int) -> dict[Any, float]:
        """Service by second (0), class (1) or site (2)."""
        asked: dict[Any, float] = defaultdict(float)
        got: dict[Any, float] = defaultdict(float)
        for key, worth in self.asked.items():
            asked[key[part]] += worth
        for key, worth in self.got.items():
            got[key[part]] += worth
        return {key: self._share(got[key], asked[key]) for key in sorted(asked)}

    def worst_window(self) -> float:
        """The poorest 10 s."""
        asked: dict[int, float] = defaultdict(float)
        got: dict[int, float] = defaultdict(float)
        for key, worth in self.asked.items():
            asked[key[0]] += worth
        for key, worth in self.got.items():
            got[key[0]] += worth
        last = max(asked, default=0)
        windows = []
        for start in range(max(last - WINDOW + 2, 1)):
            seconds = range(start, start + WINDOW)
            total = sum(asked.get(s, 0.0) for s in seconds)
            if total:
                windows.append(sum(got.get(s, 0.0) for s in seconds) / total)
        return min(windows, default=1.0)

    def figures(self) -> dict[str, float]:
        """Service and its parts, each a share."""
        asked, got = sum(self.asked.values()), sum(self.got.values())
        whole, window = self._share(got, asked), self.worst_window()
        worst_class = min(self.by(1).values(), default=1.0)
        waste = max(self.spent - self.useful, 0.0) / self.offered if self.offered else 0.0
        late_fail = self.late_failed / asked if asked else 0.0
        crossing = self.crossings / self.firsts if self.firsts else 0.0
        service = WHOLE * whole + WORST_WINDOW * window + WORST_CLASS * worst_class
        service -= self.prices.waste * waste + self.prices.late_fail * late_fail
        service -= self.prices.cross_site * crossing
        return {
            "service": service, "whole": whole, "worst_10_s": window, "worst_class": worst_class,
            "waste": waste, "late_fail": late_fail, "crossings": crossing,
        }  # fmt: skip
