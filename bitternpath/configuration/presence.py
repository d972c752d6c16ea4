"""Which nodes have been away, and for how long, as the configuration's owner sees its followers. Pure."""

from __future__ import annotations

from collections.abc import Iterable


class Presence:
    """Times are seconds of a steady clock. A node that was never seen counts as away since `began_at`."""

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._seen_at: dict[str, float] = {}
        self._present: frozenset[str] = frozenset()

    def update(self, now: float, present: Iterable[str]) -> None:
        """These nodes are here now."""
        names = frozenset(present)
        for name in names | self._present:
            self._seen_at[name] = now
        self._present = names

    def away_for(self, now: float, name: str) -> float:
        """Seconds since a node was last here; 0 while it is."""
        if name in self._present:
            return 0.0
        return now - self._seen_at.get(name, self._began_at)
