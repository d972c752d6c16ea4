"""A leader's replication progress for a peer: next index, match index, delay, and outgoing snapshot."""

from __future__ import annotations

from bitternpath.replication.records import Snapshot

DELAY_WEIGHT = 0.2  # weight of a new sample in the exponentially smoothed delay


class OutgoingSnapshot:
    """A snapshot that is being sent to one peer.

    The leader completes it even if it takes newer snapshots in the meantime: at a high rate of commands,
    restarting with each newer snapshot would never complete.
    """

    __slots__ = ("chunk_round", "due", "offset", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        """Start before the first chunk."""
        self.snapshot = snapshot
        self.offset = 0  # of the chunk that was last sent or is scheduled
        self.chunk_round = 0  # heartbeat round in which that chunk was sent
        self.due: float | None = None  # when that chunk may be sent; None if it was sent


class Progress:
    """Replication state of one peer. `next_index` and `match_index` are those of fig. 2.

    The peer's delay is the smoothed time from sending entries to the confirmation that they are on its disk.
    One entry is timed at a time. Until it is confirmed, the delay is at least the time elapsed since then.
    """

    __slots__ = (
        "_delay",
        "_timed_at",
        "_timed_index",
        "answered_round",
        "last_contact",
        "match_index",
        "next_index",
        "outgoing_snapshot",
        "rejected_index",
        "rejected_round",
    )

    def __init__(self, next_index: int, now: float) -> None:
        """Start without confirmed entries; `now` counts as the last contact."""
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0  # last heartbeat round that the peer answered; 0 if none
        self.last_contact = now
        self.rejected_index = 0  # index in the last rejection that lowered `next_index`
        self.rejected_round = 0  # heartbeat round at that time
        self.outgoing_snapshot: OutgoingSnapshot | None = None
        self._delay = 0.0
        self._timed_index = 0  # index of the timed entry; 0 if none
        self._timed_at = now

    def entries_sent(self, now: float, index: int) -> None:
        """Record that entries up to `index` were sent."""
        if not self._timed_index:
            self._timed_index = index
            self._timed_at = now

    def entries_confirmed(self, now: float, index: int) -> None:
        """Record the peer's confirmation that entries up to `index` are on its disk."""
        if self._timed_index and index >= self._timed_index:
            self._delay += DELAY_WEIGHT * (now - self._timed_at - self._delay)
            self._timed_index = 0

    def expected_delay(self, now: float) -> float:
        """Expected seconds until entries that are sent now are confirmed."""
        return max(self._delay, now - self._timed_at) if self._timed_index else self._delay

    def is_stale_rejection(self, index: int, heartbeat_round: int) -> bool:
        """Whether a rejection answers a message sent before `next_index` was last lowered for that reason.

        Entries sent since then need not be sent again.
        """
        return heartbeat_round <= self.rejected_round and index >= self.rejected_index
