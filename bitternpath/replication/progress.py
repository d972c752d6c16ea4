"""What a leader knows of another member (next index, match index), and the snapshot that it sends to it."""

from __future__ import annotations

from bitternpath.replication.records import Snapshot

DELAY_WEIGHT = 0.2  # of a new measurement in the smoothed delay


class OutgoingSnapshot:
    """A snapshot that is being sent to one peer.

    It stays the same until the peer has it, whatever newer snapshots the leader has taken meanwhile: a
    transfer that began again with each of them would never end at a high rate of commands.
    """

    __slots__ = ("chunk_round", "due", "offset", "snapshot")

    def __init__(self, snapshot: Snapshot) -> None:
        """Start with no chunk sent."""
        self.snapshot = snapshot
        self.offset = 0  # of the chunk that was sent last, or is due
        self.chunk_round = 0  # the heartbeat round in which that chunk was sent
        self.due: float | None = None  # when that chunk may go out; None: it was sent


class Progress:
    """Replication state of one peer; `next_index` and `match_index` are those of fig. 2.

    The peer's delay is the time from a message with entries to the confirmation that they are on its disk,
    smoothed. One entry at a time is timed, and while it is unconfirmed the delay is at least the time that
    has passed.
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
        """A peer that has confirmed nothing; `now` counts as its last contact."""
        self.next_index = next_index
        self.match_index = 0
        self.answered_round = 0  # the last heartbeat round that the peer answered; 0: none
        self.last_contact = now
        self.rejected_index = 0  # of the last rejection that set `next_index` back
        self.rejected_round = 0  # the round in which that was
        self.outgoing_snapshot: OutgoingSnapshot | None = None
        self._delay = 0.0
        self._timed_index = 0  # 0: no entry is being timed
        self._timed_at = now

    def entries_sent(self, now: float, index: int) -> None:
        """Entries up to `index` were sent."""
        if not self._timed_index:
            self._timed_index = index
            self._timed_at = now

    def entries_confirmed(self, now: float, index: int) -> None:
        """The peer has confirmed that entries up to `index` are on its disk."""
        if self._timed_index and index >= self._timed_index:
            self._delay += DELAY_WEIGHT * (now - self._timed_at - self._delay)
            self._timed_index = 0

    def expected_delay(self, now: float) -> float:
        """Seconds until entries that are sent now are likely to be confirmed."""
        return max(self._delay, now - self._timed_at) if self._timed_index else self._delay

    def is_stale_rejection(self, index: int, heartbeat_round: int) -> bool:
        """Whether a rejection concerns messages from before `next_index` was last set back for that reason.

        What was sent since then need not be sent again.
        """
        return heartbeat_round <= self.rejected_round and index >= self.rejected_index
