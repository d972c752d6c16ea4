"""Removal of the tombstones of ended messages."""

from __future__ import annotations

import heapq

from bitternpath.queue.commands import RemoveTombstones
from bitternpath.queue.entries import Entry

REMOVAL_MARGIN_S = 10.0  # added to the time for which states can be queried, for slow clocks and networks
REMOVAL_BATCH_SIZE = 256  # messages per command
UNCONFIRMED_RECHECK_S = 10.0  # interval of checks while a call-back is pending


class TombstoneQueue:
    """Ended messages ordered by the time at which their tombstones may be removed."""

    def __init__(self, status_retention_s: float) -> None:
        """Retain tombstones for `status_retention_s`, in which clients may query states, plus a margin."""
        self._retention_s = status_retention_s + REMOVAL_MARGIN_S
        self._heap: list[tuple[float, int, Entry]] = []
        self._sequence = 0

    def add(self, entry: Entry) -> None:
        """Add a message that has ended."""
        self._push(entry.ended_at + self._retention_s, entry)

    def retry(self, now: float, entry: Entry) -> None:
        """Add a message again whose `RemoveTombstones` command was not proposed."""
        self._push(now + UNCONFIRMED_RECHECK_S, entry)

    def collect(self, now: float, retention_s: float) -> list[RemoveTombstones]:
        """Return commands that remove the tombstones that are due.

        A tombstone with a pending call-back is kept until `retention_s` after the message was accepted.
        """
        ids: list[str] = []
        while self._heap and self._heap[0][0] <= now:
            entry = heapq.heappop(self._heap)[2]
            if entry.callback_pending and now < entry.accepted_at + retention_s:
                self._push(now + UNCONFIRMED_RECHECK_S, entry)
                continue
            ids.append(entry.message.request_id)
        return [
            RemoveTombstones(tuple(ids[start : start + REMOVAL_BATCH_SIZE]))
            for start in range(0, len(ids), REMOVAL_BATCH_SIZE)
        ]

    def next_wakeup(self) -> float | None:
        """Return when the next tombstone is due, or None."""
        return self._heap[0][0] if self._heap else None

    def _push(self, when: float, entry: Entry) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, entry))
