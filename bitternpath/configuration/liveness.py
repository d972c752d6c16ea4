"""Which nodes have been away, and for how long, as the configuration's owner hears its followers. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

HEARD_LATELY_S = 0.8  # links bring something twice a second
OWN_PAUSE_S = 1.0  # the owner looks four times a second; after a longer pause it was held up itself


class NodeLiveness:
    """Times are seconds of a steady clock. A node that was never heard counts as away since `began_at`.

    A node's link may stay open for a while after the node has gone, so that the time counts from when it was
    last heard. After a pause of the owner's own, all count as heard in that moment.
    """

    def __init__(self, began_at: float, known: Collection[str] = ()) -> None:
        """`known`: nodes that belonged to the system before the owner began to look."""
        self._known = frozenset(known)
        self._looked_at = self._trusted_from = began_at
        self._heard_at: dict[str, float] = {}
        self._arrived_at: dict[str, float] = {}

    def update(self, now: float, heard_at: Mapping[str, float]) -> None:
        """When these nodes, which follow now and don't leave, were heard last."""
        if now - self._looked_at > OWN_PAUSE_S:
            self._trusted_from = now
        self._looked_at = now
        for name, at in heard_at.items():
            self._heard_at[name] = max(at, self._heard_at.get(name, at))
            self._arrived_at.setdefault(name, now)

    def down_for(self, now: float, name: str) -> float:
        """Seconds since a node was last heard; 0 where that was just now."""
        silent = now - max(self._heard_at.get(name, self._trusted_from), self._trusted_from)
        return silent if silent > HEARD_LATELY_S else 0.0

    def up_for(self, now: float, name: str) -> float:
        """Seconds since a node came; infinite where it was there before the owner began to look."""
        if name in self._known:
            return float("inf")
        return now - self._arrived_at.get(name, now)
