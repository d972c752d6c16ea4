"""When ended messages are forgotten."""

from __future__ import annotations

import heapq

from bitternpath.queue.commands import RemoveTombstones
from bitternpath.queue.entries import Entry

REMOVAL_MARGIN_S = 10.0  # beyond `status_s`, for clients whose clock or network is slow
REMOVAL_BATCH_SIZE = 256  # messages a command
UNCONFIRMED_RECHECK_S = 10.0  # while a call-back is owed


class TombstoneQueue:
    """Ended messages by the time at which they may go. `status_s` is how long states are told."""

    def __init__(self, status_s: float) -> None:
        self._keep_s = status_s + REMOVAL_MARGIN_S
        self._heap: list[tuple[float, int, Entry]] = []
        self._sequence = 0

    def add(self, entry: Entry) -> None:
        """A message has ended."""
        self._push(entry.ended_at + self._keep_s, entry)

    def retry(self, now: float, entry: Entry) -> None:
        """The command that should forget it got lost before the log."""
        self._push(now + UNCONFIRMED_RECHECK_S, entry)

    def collect(self, now: float, retention_s: float) -> list[RemoveTombstones]:
        """Commands that forget what may go: told long enough, and called back or beyond `retention_s`."""
        ids: list[str] = []
        while self._heap and self._heap[0][0] <= now:
            entry = heapq.heappop(self._heap)[2]
            if entry.callback_pending and now < entry.accepted + retention_s:
                self._push(now + UNCONFIRMED_RECHECK_S, entry)
                continue
            ids.append(entry.message.request_id)
        return [
            RemoveTombstones(tuple(ids[start : start + REMOVAL_BATCH_SIZE]))
            for start in range(0, len(ids), REMOVAL_BATCH_SIZE)
        ]

    def next_wakeup(self) -> float | None:
        """When a message may go next."""
        return self._heap[0][0] if self._heap else None

    def _push(self, when: float, entry: Entry) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, entry))
