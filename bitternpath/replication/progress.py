"""What a leader knows of another member."""

from __future__ import annotations


class Progress:
    """`next_index` and `match_index` are those of fig. 2."""

    __slots__ = ("answered_round", "last_contact", "match_index", "next_index", "offset", "piece_round")

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index, self.match_index = next_index, 0
        self.answered_round = 0  # the last one
        self.last_contact = now
        self.offset: int | None = None  # of the snapshot, while one is being sent
        self.piece_round = 0  # in which the piece at `offset` was sent
