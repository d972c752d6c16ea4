"""The order in which a node queries others for the owner of the configuration. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

HINT_RETRY_S = 0.3  # a node that was queried this recently isn't queried again when another one names it


class OwnerSearch:
    """One search after the other: each candidate is tried once a search, in random order."""

    def __init__(self) -> None:
        """Nothing was tried."""
        self._tried_at: dict[str, float] = {}  # by address, in this search

    def record_attempt(self, address: str, now: float) -> None:
        """Record that a candidate was queried, or has refused, at `now` (seconds of a monotonic clock)."""
        self._tried_at[address] = now

    def record_owner(self, address: str, now: float) -> None:
        """End the search: that candidate is the owner. In the next search it is the last one to be tried."""
        self._tried_at = {address: now}

    def may_follow_hint(self, address: str, now: float) -> bool:
        """Whether to query a node that another one has named as the owner: two could name one another."""
        return now - self._tried_at.get(address, float("-inf")) >= HINT_RETRY_S

    def next_candidate(self, addresses: Iterable[str], pending: Collection[str], random: Random) -> str:
        """An address that wasn't tried in this search; "" where there are no addresses.

        When all were tried another search begins, first with those that aren't `pending` (queried and
        silent).
        """
        known = list(dict.fromkeys(addresses))
        untried = [address for address in known if address not in self._tried_at]
        if not untried:
            self._tried_at.clear()
            untried = [address for address in known if address not in pending] or known
        return random.choice(untried) if untried else ""
