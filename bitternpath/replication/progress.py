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


class Progress:
    """`next_index` and `match_index` are those of fig. 2."""

    __slots__ = ("answered_round", "last_contact", "match_index", "next_index", "transfer")

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index, self.match_index = next_index, 0
        self.answered_round = 0  # the last one
        self.last_contact = now
        self.transfer: Transfer | None = None
