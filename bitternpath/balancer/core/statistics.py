"""What the node counts for operators, in StatsD's line form (`name:value|c` counts, `name:value|g` gauges).

Counts begin at 0 with the process and only grow; each is added to at the one place where the thing happens. A
gauge is read, when somebody asks, from the object that holds the truth: nothing here is kept twice.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

PREFIX = "app."
BACKEND_CALLS = "backend_calls"  # attempts whose last byte was written to an endpoint
OUTCOMES = {"served": "success", "rejected": "busy", "failed": "failure"}  # our outcome: the operators' name


class Statistics:
    """Counts by class, counts of the node, and gauges."""

    def __init__(self) -> None:
        self._calls: dict[str, dict[str, int]] = {}
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, Callable[[], int]] = {}

    def add_classes(self, classes: Iterable[str]) -> None:
        """Classes of the settings: at 0 from the start. A class that is dropped keeps its counts."""
        for name in classes:
            self._calls.setdefault(name, dict.fromkeys(OUTCOMES.values(), 0))

    def count_outcome(self, job_class: str, outcome: str) -> None:
        """A job of the class was served, rejected or failed."""
        if job_class not in self._calls:
            self.add_classes((job_class,))
        self._calls[job_class][OUTCOMES[outcome]] += 1

    def count(self, name: str) -> None:
        """Add one to a count of the node."""
        self._counts[name] += 1

    def register(
        self, counts: Iterable[str] = (), gauges: Mapping[str, Callable[[], int]] | None = None
    ) -> None:
        """Add counts of the node, at 0, and gauges with the functions that read them."""
        for name in counts:
            self._counts.setdefault(name, 0)
        self._gauges |= gauges or {}

    def lines(self) -> str:
        """All of them, one a line."""
        counts = [(f"calls.{c}.{o}", n) for c, by in self._calls.items() for o, n in by.items()]
        counts += self._counts.items()
        gauges = [(name, read()) for name, read in self._gauges.items()]
        rendered = [f"{PREFIX}{name}:{value}|c\n" for name, value in counts]
        return "".join(rendered + [f"{PREFIX}{name}:{value}|g\n" for name, value in gauges])
