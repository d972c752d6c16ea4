"""Token bucket of a rate limit."""

from __future__ import annotations

from msgspec import Struct

_ROUNDING = 1e-9  # tokens; keeps sums of small refills from missing an integer


class BucketShare(Struct, frozen=True):
    """What one bucket has of a rate limit."""

    refill_per_s: float  # tokens
    burst: float  # tokens that it holds at most


NO_SHARE = BucketShare(0.0, 0.0)


class TokenBucket:
    """Tokens of one service. Times are on the local steady clock, in seconds."""

    def __init__(self, share: BucketShare, now: float) -> None:
        """Begin empty: a predecessor may just have spent its burst."""
        self._share = share
        self._tokens = 0.0
        self._updated_at = now

    def configure(self, now: float, share: BucketShare) -> None:
        """Go on with another share; saved tokens beyond its burst are lost."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def has_token(self, now: float) -> bool:
        """Whether `spend` may be called."""
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING

    def spend(self) -> None:
        """Take a token; the caller has checked `has_token`."""
        self._tokens -= 1.0

    def available(self, now: float) -> int:
        """Return the number of tokens that can be taken."""
        self._refill(now)
        return int(self._tokens + _ROUNDING)

    def take(self, now: float, limit: int) -> int:
        """Take up to `limit` tokens; returns how many."""
        count = min(limit, self.available(now))
        self._tokens -= count
        return count

    def next_token_time(self, now: float) -> float | None:
        """Return when a token will be there (`now`: at once); None where there is no refill."""
        self._refill(now)
        if self._tokens >= 1.0 - _ROUNDING:
            return now
        if self._share.refill_per_s <= 0.0:
            return None
        return now + (1.0 - self._tokens) / self._share.refill_per_s

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        self._tokens = min(self._share.burst, self._tokens + elapsed * self._share.refill_per_s)
