"""When ownership of a shard returns to the member that its placement prefers. Pure; time is an argument.

Each storage node is the preferred owner of its share of the shards, so that load is even and edge nodes find
owners in their own zone. After a node was away, others own its shards.
"""

from __future__ import annotations

FIRST_DELAY_S = 6.0  # the preferred member must have been fit for so long without a break
MAX_DELAY_S = 300.0  # the delay doubles with each transfer: a member that came and went was no gain


class OwnershipReturn:
    """For each group: since when its preferred member has been fit, and how long that must last."""

    def __init__(self) -> None:
        """Begin without groups."""
        self._fit_since: dict[str, float] = {}
        self._delays: dict[str, float] = {}

    def is_due(self, now: float, group: str, *, fit: bool) -> bool:
        """Note whether the preferred member of a group is fit at `now` (seconds); whether ownership is to be
        transferred to it now.

        `fit`: it is a voter on another node, caught up, and was heard lately. To be called a few times a
        second; each True doubles the delay before the next one of the same group.
        """
        if not fit:
            self._fit_since.pop(group, None)
            return False
        since = self._fit_since.setdefault(group, now)
        delay = self._delays.get(group, FIRST_DELAY_S)
        if now - since < delay:
            return False
        self._fit_since.pop(group, None)
        self._delays[group] = min(2 * delay, MAX_DELAY_S)
        return True
