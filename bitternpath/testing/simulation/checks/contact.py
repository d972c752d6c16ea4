"""When machines are in touch and the core is stable (RULES, "In touch"). Stricter counts are left out: a
moment that isn't surely in touch is taken as out of touch."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from bitternpath.testing.simulation.checks.history import (
    Disruption,
    Harm,
    SystemHistory,
    SystemRuleParameters,
)


class Contact:
    """Answers questions about one history's disruptions."""

    def __init__(self, history: SystemHistory, parameters: SystemRuleParameters) -> None:
        self._disruptions = history.disruptions
        self._contact_s = parameters.contact_s
        self._core, self._stores = parameters.core, parameters.stores

    def in_touch(self, nodes: Iterable[str], begin: float, end: float) -> bool:
        """Whether all of these machines surely were in touch from `begin` to `end`."""
        wanted = frozenset(nodes)
        since = begin - self._contact_s
        for trouble in self._disruptions:
            if not _meets(trouble, since, end):
                continue
            if trouble.harm in (Harm.CUT, Harm.SLOWED) or trouble.nodes & wanted:
                return False
        return self.stable(begin, end)

    def stable(self, begin: float, end: float) -> bool:
        """Whether the core surely was stable from `begin` to `end`."""
        since = begin - self._contact_s
        core = self._core | self._stores
        for trouble in self._disruptions:
            if not trouble.nodes & core or not _meets(trouble, since, end):
                continue
            changed = _within(trouble.at, since, end) or _within(trouble.until, since, end)
            if changed or trouble.harm in (Harm.CUT, Harm.SLOWED):
                return False
        return self._most_run(self._core, begin) and self._most_run(self._stores, begin)

    def calm(self, begin: float, end: float) -> bool:
        """Whether nothing at all was in trouble from `begin` to `end`."""
        return not any(_meets(trouble, begin, end) for trouble in self._disruptions)

    def longest_calm(self, begin: float, end: float) -> float:
        """The longest stretch between the two without any trouble."""
        edges = sorted([(max(trouble.at, begin), min(trouble.until, end)) for trouble in self._disruptions])
        longest, free_from = 0.0, begin
        for at, until in edges:
            if until < begin or at > end:
                continue
            longest = max(longest, at - free_from)
            free_from = max(free_from, until)
        return max(longest, end - free_from)

    def _most_run(self, machines: frozenset[str], at: float) -> bool:
        down = {
            node
            for trouble in self._disruptions
            if trouble.at <= at <= trouble.until
            for node in trouble.nodes & machines
        }
        return not machines or len(machines - down) * 2 > len(machines)


def _meets(trouble: Disruption, begin: float, end: float) -> bool:
    return trouble.at <= end and trouble.until >= begin


def _within(at: float, begin: float, end: float) -> bool:
    return at != inf and begin <= at <= end
