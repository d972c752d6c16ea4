"""A bound on the bandwidth of snapshot transfers, shared by all groups of a process. Pure."""

from __future__ import annotations

TRANSFER_BYTES_PER_SECOND = 16 << 20  # a disk of 64 MB is brought up well within `catch_up_s` (4.2 s)
TRANSFER_BURST_BYTES = 512 << 10  # at once after a pause; more than the rate gives in a tick of the host


class TransferBudget:
    """The generic cell rate algorithm (ITU-T I.371): each piece is given the time at which it may go out."""

    def __init__(
        self,
        bytes_per_second: float = TRANSFER_BYTES_PER_SECOND,
        burst_bytes: float = TRANSFER_BURST_BYTES,
    ) -> None:
        self._rate = bytes_per_second
        self._burst_seconds = burst_bytes / bytes_per_second
        self._next = float("-inf")  # when the next piece would be due if all went at an even rate

    def reserve(self, now: float, size: int) -> float:
        """When a piece of that many bytes may go out: `now`, or later."""
        even = max(self._next, now - self._burst_seconds)
        self._next = even + size / self._rate
        return max(even, now)


class UnlimitedTransferBudget(TransferBudget):
    """For groups that share their process with no other traffic."""

    def __init__(self) -> None:
        super().__init__(float("inf"), 0.0)

    def reserve(self, now: float, size: int) -> float:
        return now
