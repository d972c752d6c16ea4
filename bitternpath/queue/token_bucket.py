"""Token bucket for rate limits."""

from __future__ import annotations

from msgspec import Struct

_ROUNDING = 1e-9  # tokens; prevents sums of small refills from staying just below an integer


class BucketShare(Struct, frozen=True):
    """One bucket's share of a rate limit."""

    refill_per_s: float  # tokens per second
    burst: float  # capacity of the bucket in tokens


NO_SHARE = BucketShare(0.0, 0.0)


class TokenBucket:
    """Tokens of one service. Times are in seconds on the local steady clock."""

    def __init__(self, share: BucketShare, now: float) -> None:
        """Start empty, since the shard's previous owner may just have spent its burst."""
        self._share = share
        self._tokens = 0.0
        self._updated_at = now

    def configure(self, now: float, share: BucketShare) -> None:
        """Change the share; tokens above the new burst are discarded."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def has_token(self, now: float) -> bool:
        """Whether a token is available for `spend`."""
        self._refill(now)
        return self._tokens >= 1.0 - _ROUNDING

    def spend(self) -> None:
        """Spend a token; the caller has checked `has_token`."""
        self._tokens -= 1.0

    def available(self, now: float) -> int:
        """Return the number of available tokens."""
        self._refill(now)
        return int(self._tokens + _ROUNDING)

    def take(self, now: float, limit: int) -> int:
        """Spend up to `limit` tokens; returns the number spent."""
        count = min(limit, self.available(now))
        self._tokens -= count
        return count

    def next_token_time(self, now: float) -> float | None:
        """Return when a token is available, `now` if immediately, or None if the bucket has no refill."""
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
