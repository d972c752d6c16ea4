"""Requests of this process to a group that are not answered yet: proposals and linearizable reads."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError


@dataclass(slots=True)
class Proposal:
    """A command, and the Deferred that fires with the result of its application."""

    command: bytes
    result: Deferred[object]


class PendingProposals:
    """Proposals that wait for the next flush, and those in flight, which have an index in the log."""

    def __init__(self) -> None:
        """No proposal waits."""
        self._queued: list[Proposal] = []
        self._in_flight: deque[tuple[int, Proposal]] = deque()  # by index; of the present ownership

    def add(self, command: bytes) -> Deferred[object]:
        """Queue a command."""
        proposal = Proposal(command, Deferred())
        self._queued.append(proposal)
        return proposal.result

    def take_queued(self) -> list[Proposal]:
        """The proposals queued since the last call."""
        queued = self._queued
        self._queued = []
        return queued

    def proposed(self, first: int, proposals: list[Proposal]) -> None:
        """These were appended to the log from the index `first` on."""
        self._in_flight.extend(enumerate(proposals, first))

    def applied(self, index: int, result: object) -> None:
        """The entry of that index, which this owner proposed, was applied."""
        if self._in_flight and self._in_flight[0][0] == index:
            self._in_flight.popleft()[1].result.callback(result)

    def fail_in_flight(self) -> None:
        """Ownership was lost: whether they get committed is unknown."""
        in_flight = self._in_flight
        self._in_flight = deque()
        for _, proposal in in_flight:
            proposal.result.errback(OutcomeUnknownError())


@dataclass(slots=True)
class PendingRead:
    """A read index: a read that may be done once a majority has confirmed `heartbeat_round`."""

    result: Deferred[None]
    heartbeat_round: int = 0


class PendingReads:
    """Reads that wait for the next flush, and those that wait for a heartbeat round (T 6.4)."""

    def __init__(self) -> None:
        """No read waits."""
        self._queued: list[PendingRead] = []
        self._started: deque[PendingRead] = deque()  # by heartbeat round

    def add(self) -> Deferred[None]:
        """Queue a read."""
        read = PendingRead(Deferred())
        self._queued.append(read)
        return read.result

    def start(self, request_round: Callable[[], int]) -> None:
        """Have all queued reads wait for the heartbeat round that `request_round` names."""
        queued = self._queued
        self._queued = []
        for read in queued:
            read.heartbeat_round = request_round()
            self._started.append(read)

    def confirmed(self, heartbeat_round: int) -> None:
        """A majority has answered that round: the reads that waited for it may be done."""
        while self._started and self._started[0].heartbeat_round <= heartbeat_round:
            self._started.popleft().result.callback(None)

    def fail_queued(self) -> None:
        """This replica doesn't own the group."""
        queued = self._queued
        self._queued = []
        for read in queued:
            read.result.errback(NotOwnerError())

    def fail_started(self) -> None:
        """Ownership was lost."""
        started = self._started
        self._started = deque()
        for read in started:
            read.result.errback(NotOwnerError())
