"""Messages of one service that may be leased now, in the order in which to lease them."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from bitternpath.queue.tracked_messages import MessagePhase, TrackedMessage

# From the due time of a message; later starts have little value (SYSTEM, tables of requests: "late").
STALE_AFTER_S = 15.0


@dataclass(slots=True, eq=False)
class _Candidate:
    start_by: float
    tracked: TrackedMessage
    serial: int

    @property
    def is_valid(self) -> bool:
        return self.tracked.phase is MessagePhase.READY and self.tracked.serial == self.serial


class _CandidateHeap:
    """A heap of candidates, ordered by target start time and then by age.

    Candidates that have left the phase READY are removed when they reach the top.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, int, _Candidate]] = []

    def push(self, candidate: _Candidate) -> None:
        item = (candidate.start_by, candidate.tracked.entry.index, candidate.serial, candidate)
        heapq.heappush(self._heap, item)

    def __len__(self) -> int:
        return len(self._heap)

    def first(self) -> _Candidate | None:
        while self._heap and not self._heap[0][3].is_valid:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def pop(self) -> _Candidate:
        return heapq.heappop(self._heap)[3]


class _PriorityClass:
    """Candidates of one priority: those that can still start in time, and late ones."""

    def __init__(self) -> None:
        self.timely = _CandidateHeap()
        self.late = _CandidateHeap()

    def first_heap(self, now: float) -> _CandidateHeap | None:
        """Return the heap with the next candidate; candidates past their start target move to `late` here."""
        while (candidate := self.timely.first()) is not None and candidate.start_by < now:
            self.late.push(self.timely.pop())
        if candidate is not None:
            return self.timely
        return self.late if self.late.first() is not None else None


class ReadyQueue:
    """Orders messages by priority (0 first), timely before late ones, nearest start target, and age.

    Messages that were due more than `STALE_AFTER_S` ago come after all others, regardless of priority. Each
    message moves between heaps at most twice, so that an operation is O(log n) on average.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._classes: dict[int, _PriorityClass] = {}  # by priority
        self._stale = _CandidateHeap()

    def __len__(self) -> int:
        """Return an upper bound of the number of messages.

        Messages that left the phase READY count until they reach the top of their heap.
        """
        timely_and_late = sum(
            len(priority_class.timely) + len(priority_class.late) for priority_class in self._classes.values()
        )
        return timely_and_late + len(self._stale)

    def push(self, tracked: TrackedMessage) -> None:
        """Add a message that is in phase READY and has a route."""
        route = tracked.route
        assert route is not None
        start_by = tracked.entry.due_at + route.start_target_ms / 1000
        candidate = _Candidate(start_by, tracked, tracked.serial)
        self._classes.setdefault(route.priority, _PriorityClass()).timely.push(candidate)

    def first(self, now: float) -> TrackedMessage | None:
        """Return the message to lease next; it leaves the queue by leaving the phase READY."""
        for priority in sorted(self._classes):
            heap = self._first_heap(priority, now)
            candidate = None if heap is None else heap.first()
            if candidate is not None:
                return candidate.tracked
        stale = self._stale.first()
        return None if stale is None else stale.tracked

    def _first_heap(self, priority: int, now: float) -> _CandidateHeap | None:
        priority_class = self._classes[priority]
        while (heap := priority_class.first_heap(now)) is priority_class.late:
            candidate = heap.first()
            if candidate is None or candidate.tracked.entry.due_at + STALE_AFTER_S >= now:
                return heap
            self._stale.push(heap.pop())
        return heap
