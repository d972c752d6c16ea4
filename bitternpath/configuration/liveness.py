"""Failure detection by the configuration's owner: which nodes are down, and for how long. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

ALIVE_WITHIN_S = 0.8  # a node contacted this recently is up: its link brings something twice a second
MAX_OWNER_PAUSE_S = 1.0  # the owner updates four times a second; after a longer pause it was stalled itself


class NodeLiveness:
    """How long nodes have been up or down, from when each was last contacted.

    Times are seconds of a monotonic clock. A node that was never contacted counts as down since `began_at`. A
    node's link may stay open for a while after the node has gone, so that the time counts from when it was
    last contacted, not from the end of its link. After a pause of the owner itself, all nodes count as
    contacted in that moment: it can't tell their silence from its own.
    """

    def __init__(self, began_at: float, known: Collection[str] = ()) -> None:
        """`known`: names of nodes that belonged to the system before the owner began to watch them."""
        self._known = frozenset(known)
        self._updated_at = began_at
        self._trusted_from = began_at  # silence before this moment doesn't count
        self._heard_at: dict[str, float] = {}
        self._joined_at: dict[str, float] = {}

    def update(self, now: float, heard_at: Mapping[str, float]) -> None:
        """Record when the nodes that are subscribed now, and aren't draining, were last contacted."""
        if now - self._updated_at > MAX_OWNER_PAUSE_S:
            self._trusted_from = now
        self._updated_at = now
        for name, at in heard_at.items():
            self._heard_at[name] = max(at, self._heard_at.get(name, at))
            self._joined_at.setdefault(name, now)

    def down_for(self, now: float, name: str) -> float:
        """Seconds since a node was last contacted; 0 while it is up."""
        silence = now - max(self._heard_at.get(name, self._trusted_from), self._trusted_from)
        return silence if silence > ALIVE_WITHIN_S else 0.0

    def up_for(self, now: float, name: str) -> float:
        """Seconds since a node joined; infinite where it belonged to the system before."""
        if name in self._known:
            return float("inf")
        return now - self._joined_at.get(name, now)
