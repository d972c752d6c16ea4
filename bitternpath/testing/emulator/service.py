"""Service quality: earned value over offered value, by the operators' formula. Pure.

The service is 55% of the ratio over the whole run, 15% of that in the worst 10 s and 30% of that of the
worst class, less prices for wasted work, for operations that failed after their target time, and for
crossing sites. A client's retries count with its first request.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from bitternpath.testing.emulator.scenario import JobClass, Prices

OVERALL_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT = 0.55, 0.15, 0.30
WINDOW_S = 10  # s


class Operation:
    """What a client wants done, across all its requests (the first one and retries). Times in s."""

    __slots__ = ("arrived", "done_at", "finished", "job_class", "late", "site", "target_deadline", "work")

    def __init__(self, job_class: JobClass, site: str, work: float, arrived: float) -> None:
        self.job_class, self.site, self.work, self.arrived = job_class, site, work, arrived
        target = (job_class.aim + job_class.stretch * work * 1000.0) / 1000.0
        self.target_deadline = arrived + min(target, job_class.give_up / 1000.0)
        self.done_at = -1.0
        self.late = self.finished = False


class ServiceMetrics:
    """Counters by second and class, updated during a run."""

    def __init__(self, classes: list[JobClass], prices: Prices) -> None:
        self.prices = prices
        self.classes = {c.name: c for c in classes}
        # (second, class, site): value
        self.offered_value: dict[tuple[int, str, str], float] = defaultdict(float)
        self.earned_value: dict[tuple[int, str, str], float] = defaultdict(float)
        self.counts: dict[tuple[int, str], int] = defaultdict(int)  # (second, event): count
        self.first_requests = self.crossings = 0
        self.late_failed_value = 0.0  # sum of values
        self.offered_work = self.useful_work = self.spent_work = 0.0  # s of work on a core of speed 1
        self.work_done: dict[int, float] = defaultdict(float)  # second: s of work on a core of speed 1
        self.latencies: dict[str, list[float]] = defaultdict(list)  # class: ms of each successful operation

    def increment(self, now: float, event: str) -> None:
        self.counts[int(now), event] += 1

    def record_attempt(self, now: float, crossing: bool) -> None:
        """Counts a call from a node to a worker."""
        self.increment(now, "attempts")
        if crossing:
            self.crossings += 1
            self.increment(now, "crossings")

    def record_work(self, now: float, work: float) -> None:
        """Counts a finished job, in s of work on a core of speed 1."""
        self.spent_work += work
        self.work_done[int(now)] += work

    def record_arrival(self, operation: Operation) -> None:
        self.first_requests += 1
        self.offered_work += operation.work
        self.offered_value[int(operation.arrived), operation.job_class.name, operation.site] += (
            operation.job_class.worth
        )

    def record_success(self, operation: Operation, now: float) -> None:
        value = operation.job_class.worth
        self.useful_work += operation.work
        self.latencies[operation.job_class.name].append((now - operation.arrived) * 1000.0)
        operation.late = now > operation.target_deadline
        earned = value * operation.job_class.late_worth if operation.late else value
        self.earned_value[int(operation.arrived), operation.job_class.name, operation.site] += earned
        self.increment(operation.arrived, "late" if operation.late else "in time")

    def record_failure(self, operation: Operation, now: float) -> None:
        if now > operation.target_deadline:
            self.late_failed_value += operation.job_class.worth
        self.increment(operation.arrived, "failed")

    # ---- statistics

    @staticmethod
    def ratio(earned_value: float, offered_value: float) -> float:
        return earned_value / offered_value if offered_value else 1.0

    def value_by(self, position: int) -> dict[Any, float]:
        """Earned over offered value, by second (0), class (1) or site (2)."""
        offered_value: dict[Any, float] = defaultdict(float)
        earned_value: dict[Any, float] = defaultdict(float)
        for key, value in self.offered_value.items():
            offered_value[key[position]] += value
        for key, value in self.earned_value.items():
            earned_value[key[position]] += value
        return {key: self.ratio(earned_value[key], offered_value[key]) for key in sorted(offered_value)}

    def worst_window(self) -> float:
        """The ratio of the worst `WINDOW_S` seconds."""
        offered_value: dict[int, float] = defaultdict(float)
        earned_value: dict[int, float] = defaultdict(float)
        for key, value in self.offered_value.items():
            offered_value[key[0]] += value
        for key, value in self.earned_value.items():
            earned_value[key[0]] += value
        last = max(offered_value, default=0)
        windows = []
        for start in range(max(last - WINDOW_S + 2, 1)):
            seconds = range(start, start + WINDOW_S)
            total = sum(offered_value.get(s, 0.0) for s in seconds)
            if total:
                windows.append(sum(earned_value.get(s, 0.0) for s in seconds) / total)
        return min(windows, default=1.0)

    def statistics(self) -> dict[str, float]:
        """The service and its components, each a share."""
        offered_value, earned_value = sum(self.offered_value.values()), sum(self.earned_value.values())
        overall, worst_window_share = self.ratio(earned_value, offered_value), self.worst_window()
        worst_class = min(self.value_by(1).values(), default=1.0)
        waste = max(self.spent_work - self.useful_work, 0.0) / self.offered_work if self.offered_work else 0.0
        late_fail = self.late_failed_value / offered_value if offered_value else 0.0
        crossing = self.crossings / self.first_requests if self.first_requests else 0.0
        service = (
            OVERALL_WEIGHT * overall
            + WORST_WINDOW_WEIGHT * worst_window_share
            + WORST_CLASS_WEIGHT * worst_class
        )
        service -= self.prices.waste * waste + self.prices.late_fail * late_fail
        service -= self.prices.cross_site * crossing
        return {
            "service": service, "whole": overall, "worst_10_s": worst_window_share,
            "worst_class": worst_class, "waste": waste, "late_fail": late_fail, "crossings": crossing,
        }  # fmt: skip
