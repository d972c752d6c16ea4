"""Counters and gauges of the node in the line format of StatsD (`name:value|c`, `name:value|g`).

Counters start at 0 with the process and only grow; each is incremented in one place. Gauges are not stored:
each is read on request from the object that owns the value.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

PREFIX = "app."
BACKEND_CALLS = "backend_calls"  # attempts whose request was written to an endpoint completely
OUTCOMES = {
    "served": "success",
    "rejected": "busy",
    "failed": "failure",
}  # from the broker's outcomes to the names of the metrics


class Statistics:
    """Counters by class, counters of the node, and gauges."""

    def __init__(self) -> None:
        self._calls: dict[str, dict[str, int]] = {}
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], int]] = {}

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add counters at 0 for the classes of the settings. A class that is dropped keeps its counters."""
        for name in classes:
            self._calls.setdefault(name, dict.fromkeys(OUTCOMES.values(), 0))

    def count_outcome(self, job_class: str, outcome: str) -> None:
        """Count a request of the class as served, rejected or failed."""
        if job_class not in self._calls:
            self.add_classes((job_class,))
        self._calls[job_class][OUTCOMES[outcome]] += 1

    def count(self, name: str) -> None:
        """Increment a counter of the node."""
        self._counts[name] += 1

    def register(
        self, counts: Iterable[str] = (), gauges: Mapping[str, Callable[[], int]] | None = None
    ) -> None:
        """Add counters of the node at 0, and gauges with the functions that read them."""
        for name in counts:
            self._counts.setdefault(name, 0)
        self._gauges |= gauges or {}

    def lines(self) -> str:
        """Return all counters and gauges, one per line."""
        counts = [(f"calls.{c}.{o}", n) for c, by in self._calls.items() for o, n in by.items()]
        counts += self._counts.items()
        gauges = [(name, read()) for name, read in self._gauges.items()]
        rendered = [f"{PREFIX}{name}:{value}|c\n" for name, value in counts]
        return "".join(rendered + [f"{PREFIX}{name}:{value}|g\n" for name, value in gauges])
