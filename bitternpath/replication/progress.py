"""What a leader knows of another member, and the snapshot that it sends to it."""

from __future__ import annotations

from bitternpath.replication.records import Snapshot


class Transfer:
    """A snapshot on its way to one peer. It stays the same until the peer has it, whatever newer ones the
    leader has made meanwhile: at a high rate of changes one that began anew at each would never end."""

    __slots__ = ("due", "offset", "piece_round", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.offset = 0  # where the piece begins that was sent last, or is due
        self.piece_round = 0  # in which that piece was sent
        self.due: float | None = None  # when that piece may go out, where it waits for bandwidth


DELAY_WEIGHT = 0.2  # of a new measurement in the smoothed delay


class Progress:
    """`next_index` and `match_index` are those of fig. 2.

    Its delay is the time from a message with entries to the answer that they are on disk, smoothed; one entry
    at a time is timed, and while it isn't answered the delay is at least the time that has passed.
    """

    __slots__ = (
        "_delay",
        "_timed_at",
        "_timed_index",
        "answered_round",
        "last_contact",
        "match_index",
        "next_index",
        "rejected_index",
        "rejected_round",
        "transfer",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index, self.match_index = next_index, 0
        self.answered_round = 0  # the last one
        self.last_contact = now
        self.rejected_index = self.rejected_round = (
            0  # of the last answer that set `next_index` back, and when
        )
        self.transfer: Transfer | None = None
        self._delay = 0.0
        self._timed_index, self._timed_at = 0, now  # index 0: no entry is being timed

    def sent(self, now: float, index: int) -> None:
        """Entries up to `index` go out."""
        if not self._timed_index:
            self._timed_index, self._timed_at = index, now

    def stored(self, now: float, index: int) -> None:
        """It has entries up to `index` on its disk."""
        if self._timed_index and index >= self._timed_index:
            self._delay += DELAY_WEIGHT * (now - self._timed_at - self._delay)
            self._timed_index = 0

    def expected_delay(self, now: float) -> float:
        """Seconds until an answer to entries that go out now."""
        return max(self._delay, now - self._timed_at) if self._timed_index else self._delay

    def is_known_rejection(self, index: int, heartbeat_round: int) -> bool:
        """Whether a negative answer is to what was sent before `next_index` was set back for the same reason:
        what was sent since need not be sent again."""
        return heartbeat_round <= self.rejected_round and index >= self.rejected_index
