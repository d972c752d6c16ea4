"""The order in which a node queries candidates for the owner of the configuration. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random

HINT_RETRY_S = 0.3  # minimum time before a hint makes the client query the same node again


class OwnerSearch:
    """Repeated searches. Each search tries every candidate once, in random order."""

    def __init__(self) -> None:
        """Start the first search."""
        self._tried_at: dict[str, float] = {}  # by address; only attempts of the current search

    def record_attempt(self, address: str, now: float) -> None:
        """Record that a candidate was queried, or refused, at `now` (seconds of a monotonic clock)."""
        self._tried_at[address] = now

    def record_owner(self, address: str, now: float) -> None:
        """End the search, because this candidate is the owner. The next search tries it last."""
        self._tried_at = {address: now}

    def may_follow_hint(self, address: str, now: float) -> bool:
        """Whether to query a node named as the owner by another; avoids loops of nodes naming each other."""
        return now - self._tried_at.get(address, float("-inf")) >= HINT_RETRY_S

    def next_candidate(self, addresses: Iterable[str], pending: Collection[str], random: Random) -> str:
        """An address that wasn't tried in this search; "" if there are no addresses.

        Once all have been tried, a new search starts with the addresses that aren't `pending` (queried
        without a response).
        """
        known = list(dict.fromkeys(addresses))
        untried = [address for address in known if address not in self._tried_at]
        if not untried:
            self._tried_at.clear()
            untried = [address for address in known if address not in pending] or known
        return random.choice(untried) if untried else ""
