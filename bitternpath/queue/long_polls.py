"""Long polls of pulling workers, each of which waits for a message of one service."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass

from msgspec import Struct


class LongPollRequest(Struct, frozen=True):
    """A worker's request for a message."""

    poll_id: int  # unique over all edge nodes
    edge: str  # name of the edge node at which the worker waits
    service: str
    instance: str  # id of the worker's instance
    wait_s: float  # after this time the poll is answered without a message


@dataclass(slots=True, eq=False)
class LongPoll:
    """A pending poll of a worker."""

    request: LongPollRequest
    deadline: float  # local steady time
    is_local: bool  # its edge node is in the owner's zone
    reserved: bool = False  # a lease for it has been proposed

    @property
    def poll_id(self) -> int:
        """Identifier of the poll."""
        return self.request.poll_id


class LongPollTable:
    """Pending polls of a shard by service, ordered by zone (the owner's zone first), then by arrival."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._polls: dict[int, LongPoll] = {}
        self._waiting: dict[tuple[str, bool], OrderedDict[int, LongPoll]] = {}  # by service and `is_local`
        self._deadlines: list[tuple[float, int]] = []

    def add(self, poll: LongPoll) -> None:
        """Add a poll."""
        self._polls[poll.poll_id] = poll
        self._queue(poll)[poll.poll_id] = poll
        heapq.heappush(self._deadlines, (poll.deadline, poll.poll_id))

    def first(self, service: str) -> LongPoll | None:
        """Return the poll that should get the next message of a service, or None if none waits."""
        for is_local in (True, False):
            queue = self._waiting.get((service, is_local))
            if queue:
                return next(iter(queue.values()))
        return None

    def reserve(self, poll: LongPoll) -> None:
        """Take a poll out of its queue while a lease for it is being granted; it cannot expire meanwhile."""
        poll.reserved = True
        self._queue(poll).pop(poll.poll_id, None)

    def release(self, poll_id: int) -> None:
        """Return a reserved poll to the head of its queue because the lease was not granted."""
        poll = self._polls.get(poll_id)
        if poll is None or not poll.reserved:
            return
        poll.reserved = False
        queue = self._queue(poll)
        queue[poll_id] = poll
        queue.move_to_end(poll_id, last=False)
        heapq.heappush(self._deadlines, (poll.deadline, poll_id))

    def remove(self, poll_id: int) -> LongPoll | None:
        """Remove and return a poll that is answered or cancelled, or None if it is unknown."""
        poll = self._polls.pop(poll_id, None)
        if poll is not None:
            self._queue(poll).pop(poll_id, None)
        return poll

    def remove_of_edge(self, edge: str) -> None:
        """Remove the polls of an edge node that has disconnected."""
        for poll in [poll for poll in self._polls.values() if poll.request.edge == edge]:
            self.remove(poll.poll_id)

    def pop_expired(self, now: float) -> LongPoll | None:
        """Remove and return a poll whose deadline has passed, or None."""
        when = self.next_deadline()
        if when is None or when > now:
            return None
        return self.remove(heapq.heappop(self._deadlines)[1])

    def next_deadline(self) -> float | None:
        """Return when the next poll expires, or None."""
        while self._deadlines:
            poll = self._polls.get(self._deadlines[0][1])
            if poll is not None and not poll.reserved:
                return self._deadlines[0][0]
            heapq.heappop(self._deadlines)
        return None

    def _queue(self, poll: LongPoll) -> OrderedDict[int, LongPoll]:
        return self._waiting.setdefault((poll.request.service, poll.is_local), OrderedDict())
