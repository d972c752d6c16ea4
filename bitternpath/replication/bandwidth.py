"""A bound on the bandwidth of snapshot transfers, shared by all groups of a process. Pure."""

from __future__ import annotations

SNAPSHOT_BYTES_PER_SECOND = 16 << 20  # a disk of 64 MB is brought up well within `catch_up_s` (4.2 s)
SNAPSHOT_BURST_BYTES = 512 << 10  # at once after a pause; more than the rate gives in a tick of the host


class SnapshotRateLimiter:
    """The generic cell rate algorithm (ITU-T I.371): each chunk gets the time at which it may be sent."""

    def __init__(
        self,
        bytes_per_second: float = SNAPSHOT_BYTES_PER_SECOND,
        burst_bytes: float = SNAPSHOT_BURST_BYTES,
    ) -> None:
        """After a pause `burst_bytes` may be sent at once; the average is `bytes_per_second`."""
        self._rate = bytes_per_second
        self._burst_seconds = burst_bytes / bytes_per_second
        self._next_at = float("-inf")  # theoretical arrival time: when the next chunk is due at an even rate

    def reserve(self, now: float, size: int) -> float:
        """Reserve bandwidth for `size` bytes; the time at which they may be sent, `now` or later."""
        earliest = max(self._next_at, now - self._burst_seconds)
        self._next_at = earliest + size / self._rate
        return max(earliest, now)


class UnlimitedSnapshotRateLimiter(SnapshotRateLimiter):
    """For groups that share their process with no other traffic."""

    def __init__(self) -> None:
        """Make a budget without a bound; it has no state, and may be shared."""
        super().__init__(float("inf"), 0.0)

    def reserve(self, now: float, size: int) -> float:
        """Any chunk may be sent now."""
        return now
