"""Rate limiting of outgoing snapshots, shared by all groups of a process. Pure."""

from __future__ import annotations

SNAPSHOT_BYTES_PER_SECOND = 16 << 20  # a node with a 64 MB disk catches up well within `catch_up_s` (4.2 s)
SNAPSHOT_BURST_BYTES = 512 << 10  # burst after idle time; exceeds what the rate permits per host timer tick


class SnapshotRateLimiter:
    """Assigns each chunk the time at which it may be sent (generic cell rate algorithm, ITU-T I.371)."""

    def __init__(
        self,
        bytes_per_second: float = SNAPSHOT_BYTES_PER_SECOND,
        burst_bytes: float = SNAPSHOT_BURST_BYTES,
    ) -> None:
        """Limit the average rate to `bytes_per_second`; `burst_bytes` may be sent at once after idle time."""
        self._rate = bytes_per_second
        self._burst_seconds = burst_bytes / bytes_per_second
        self._next_at = float("-inf")  # theoretical arrival time of the next chunk, at a constant rate

    def reserve(self, now: float, size: int) -> float:
        """Reserve bandwidth for `size` bytes. Returns the earliest time at which they may be sent."""
        earliest = max(self._next_at, now - self._burst_seconds)
        self._next_at = earliest + size / self._rate
        return max(earliest, now)


class UnlimitedSnapshotRateLimiter(SnapshotRateLimiter):
    """No limit, for groups whose process has no other traffic."""

    def __init__(self) -> None:
        """Create an unlimited rate limiter. It is stateless and may be shared."""
        super().__init__(float("inf"), 0.0)

    def reserve(self, now: float, size: int) -> float:
        """Permit any chunk immediately."""
        return now
