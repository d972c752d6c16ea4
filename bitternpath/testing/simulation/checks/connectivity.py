"""When machines are connected and the core is stable (RULES, "In touch"). Conservative: a time at which a
machine isn't certainly connected counts as disconnected.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from bitternpath.testing.simulation.checks.history import (
    Disruption,
    DisruptionKind,
    SystemHistory,
    SystemRuleParameters,
)

LINK_DISRUPTIONS = frozenset((DisruptionKind.PARTITION, DisruptionKind.SLOWED, DisruptionKind.LOSSY))


class Connectivity:
    """Connected machines, stable and fault-free intervals, from the disruptions of a history."""

    def __init__(self, history: SystemHistory, parameters: SystemRuleParameters) -> None:
        self._disruptions = history.disruptions
        self._contact_s = parameters.contact_s
        self._core = parameters.core
        self._stores = parameters.stores

    def connected(self, nodes: Iterable[str], begin: float, end: float) -> bool:
        """Whether all of these machines certainly reached the core from `begin` to `end`."""
        wanted = frozenset(nodes)
        since = begin - self._contact_s
        for disruption in self._disruptions:
            if not _overlaps(disruption, since, end):
                continue
            if disruption.kind in LINK_DISRUPTIONS or disruption.nodes & wanted:
                return False
        return self.stable(begin, end)

    def stable(self, begin: float, end: float) -> bool:
        """Whether the core certainly had a stable majority from `begin` to `end`."""
        since = begin - self._contact_s
        core = self._core | self._stores
        for disruption in self._disruptions:
            if not disruption.nodes & core or not _overlaps(disruption, since, end):
                continue
            changed = _within(disruption.at, since, end) or _within(disruption.until, since, end)
            if changed or disruption.kind in LINK_DISRUPTIONS:
                return False
        return self._majority_runs(self._core, begin) and self._majority_runs(self._stores, begin)

    def fault_free(self, begin: float, end: float) -> bool:
        """Whether there was no disruption from `begin` to `end`."""
        return not any(_overlaps(disruption, begin, end) for disruption in self._disruptions)

    def longest_fault_free_s(self, begin: float, end: float) -> float:
        """The longest interval without a disruption between `begin` and `end`, in seconds."""
        edges = sorted(
            [(max(disruption.at, begin), min(disruption.until, end)) for disruption in self._disruptions]
        )
        longest, free_from = 0.0, begin
        for at, until in edges:
            if until < begin or at > end:
                continue
            longest = max(longest, at - free_from)
            free_from = max(free_from, until)
        return max(longest, end - free_from)

    def _majority_runs(self, machines: frozenset[str], at: float) -> bool:
        down = {
            node
            for disruption in self._disruptions
            if disruption.at <= at <= disruption.until
            for node in disruption.nodes & machines
        }
        return not machines or len(machines - down) * 2 > len(machines)


def _overlaps(disruption: Disruption, begin: float, end: float) -> bool:
    return disruption.at <= end and disruption.until >= begin


def _within(at: float, begin: float, end: float) -> bool:
    return at != inf and begin <= at <= end
