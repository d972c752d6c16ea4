"""Failure detection by the owner of the configuration: which nodes are down, and for how long. Pure."""

from __future__ import annotations

from collections.abc import Collection, Mapping

ALIVE_WITHIN_S = 0.8  # nodes contacted more recently are up; a link carries traffic at least twice a second
MAX_UPDATE_GAP_S = 1.0  # updates normally come every 0.25 s; after a longer gap the owner itself was stalled


class NodeLiveness:
    """Determines for how long nodes have been up or down, from the time of their last contact.

    Times are in seconds of a monotonic clock. A node that was never contacted counts as down since
    `started_at`. Downtime is measured from the last contact, not from the end of the link, because a link can
    stay open for a while after its node has failed. After the owner itself was stalled, all nodes count as
    contacted at that moment: it can't tell whether they or it failed to respond.
    """

    def __init__(self, started_at: float, known: Collection[str] = ()) -> None:
        """`known` contains the names of nodes that were part of the system before `started_at`."""
        self._known = frozenset(known)
        self._updated_at = started_at
        self._valid_from = started_at  # earlier gaps don't count as downtime
        self._last_contact_at: dict[str, float] = {}
        self._joined_at: dict[str, float] = {}

    def update(self, now: float, last_contacts: Mapping[str, float]) -> None:
        """Record the last contact of each node that is subscribed and not draining."""
        if now - self._updated_at > MAX_UPDATE_GAP_S:
            self._valid_from = now
        self._updated_at = now
        for name, at in last_contacts.items():
            self._last_contact_at[name] = max(at, self._last_contact_at.get(name, at))
            self._joined_at.setdefault(name, now)

    def down_for(self, now: float, name: str) -> float:
        """Seconds since a node was last contacted; 0 while it is up."""
        since_contact = now - max(self._last_contact_at.get(name, self._valid_from), self._valid_from)
        return since_contact if since_contact > ALIVE_WITHIN_S else 0.0

    def up_for(self, now: float, name: str) -> float:
        """Seconds since a node joined; infinite if it was already part of the system."""
        if name in self._known:
            return float("inf")
        return now - self._joined_at.get(name, now)
