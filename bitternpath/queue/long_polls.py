"""Workers that wait for a job of one service."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class LongPoll:
    """A waiting worker. `reserved`: a lease for it has been proposed."""

    poll_id: int
    edge: str
    service: str
    instance: str
    deadline: float
    is_local: bool  # its edge node is in the owner's zone
    reserved: bool = False


class LongPollTable:
    """All waiting workers of a shard, by service: those in the owner's zone first, then the longest wait."""

    def __init__(self) -> None:
        self._polls: dict[int, LongPoll] = {}
        self._waiting: dict[tuple[str, bool], OrderedDict[int, LongPoll]] = {}
        self._deadlines: list[tuple[float, int]] = []

    def add(self, poll: LongPoll) -> None:
        """A worker begins to wait."""
        self._polls[poll.poll_id] = poll
        self._queue(poll)[poll.poll_id] = poll
        heapq.heappush(self._deadlines, (poll.deadline, poll.poll_id))

    def find(self, poll_id: int) -> LongPoll | None:
        """A poll that has neither been answered, cancelled nor expired."""
        return self._polls.get(poll_id)

    def first(self, service: str) -> LongPoll | None:
        """The poll that should get the next job of a service."""
        for is_local in (True, False):
            queue = self._waiting.get((service, is_local))
            if queue:
                return next(iter(queue.values()))
        return None

    def reserve(self, poll: LongPoll) -> None:
        """A lease for it is being granted; it doesn't expire meanwhile."""
        poll.reserved = True
        self._queue(poll).pop(poll.poll_id, None)

    def release(self, poll_id: int) -> None:
        """The lease for it was not granted: it waits on, before the others."""
        poll = self._polls.get(poll_id)
        if poll is None or not poll.reserved:
            return
        poll.reserved = False
        queue = self._queue(poll)
        queue[poll_id] = poll
        queue.move_to_end(poll_id, last=False)
        heapq.heappush(self._deadlines, (poll.deadline, poll_id))

    def remove(self, poll_id: int) -> LongPoll | None:
        """It has been answered, or its worker has gone."""
        poll = self._polls.pop(poll_id, None)
        if poll is not None:
            self._queue(poll).pop(poll_id, None)
        return poll

    def remove_of_edge(self, edge: str) -> None:
        """An edge node has gone, and with it the workers that wait there."""
        for poll in [poll for poll in self._polls.values() if poll.edge == edge]:
            self.remove(poll.poll_id)

    def pop_expired(self, now: float) -> LongPoll | None:
        """A poll whose time is over; it is removed."""
        when = self.next_deadline()
        if when is None or when > now:
            return None
        return self.remove(heapq.heappop(self._deadlines)[1])

    def next_deadline(self) -> float | None:
        """When the next poll expires."""
        while self._deadlines:
            poll = self._polls.get(self._deadlines[0][1])
            if poll is not None and not poll.reserved:
                return self._deadlines[0][0]
            heapq.heappop(self._deadlines)
        return None

    def _queue(self, poll: LongPoll) -> OrderedDict[int, LongPoll]:
        return self._waiting.setdefault((poll.service, poll.is_local), OrderedDict())
