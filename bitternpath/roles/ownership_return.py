"""Decides when a shard's ownership returns to its preferred member. Pure; time is an argument.

Each storage node is the preferred owner of its share of the shards, so that load is even and edge nodes find
owners in their own zone. While a node is away, other nodes take over its shards.
"""

from __future__ import annotations

INITIAL_DELAY_S = 6.0  # time for which the preferred member must have been eligible without interruption
MAX_DELAY_S = 300.0  # the delay doubles with each transfer, as an unstable member shouldn't be the owner


class OwnershipReturn:
    """Since when each group's preferred member has been eligible, and how long it must have been."""

    def __init__(self) -> None:
        """Create an object without groups."""
        self._eligible_since: dict[str, float] = {}
        self._delays: dict[str, float] = {}

    def record_and_check_due(self, now: float, group: str, *, eligible: bool) -> bool:
        """Record whether a group's preferred member is eligible; return whether to transfer ownership to it.

        `now` is in seconds. `eligible`: the member is a voter on another node, caught up, and responded
        recently. Must be called a few times a second; each True doubles the delay before the next one of the
        same group.
        """
        if not eligible:
            self._eligible_since.pop(group, None)
            return False
        since = self._eligible_since.setdefault(group, now)
        delay = self._delays.get(group, INITIAL_DELAY_S)
        if now - since < delay:
            return False
        self._eligible_since.pop(group, None)
        self._delays[group] = min(2 * delay, MAX_DELAY_S)
        return True
