"""Unanswered requests of this process to a group: proposals and linearizable reads."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from bitternpath.replication.errors import NotOwnerError, OutcomeUnknownError


@dataclass(slots=True)
class Proposal:
    """A command, and the Deferred that fires with the result of applying it."""

    command: bytes
    result: Deferred[object]


class PendingProposals:
    """Proposals that are queued for the next flush, and those in flight, which have a log index."""

    def __init__(self) -> None:
        """Start without proposals."""
        self._queued: list[Proposal] = []
        self._in_flight: deque[tuple[int, Proposal]] = deque()  # in index order; of the current term

    def add(self, command: bytes) -> Deferred[object]:
        """Queue a command. The Deferred fires with its result."""
        proposal = Proposal(command, Deferred())
        self._queued.append(proposal)
        return proposal.result

    def take_queued(self) -> list[Proposal]:
        """Return the proposals queued since the last call."""
        queued = self._queued
        self._queued = []
        return queued

    def proposed(self, first: int, proposals: list[Proposal]) -> None:
        """Record that proposals were appended to the log from index `first` on."""
        self._in_flight.extend(enumerate(proposals, first))

    def applied(self, index: int, result: object) -> None:
        """Resolve the proposal at `index`, whose entry was applied with this result."""
        if self._in_flight and self._in_flight[0][0] == index:
            self._in_flight.popleft()[1].result.callback(result)

    def fail_in_flight(self) -> None:
        """Fail proposals in flight on loss of ownership. They may or may not be committed."""
        in_flight = self._in_flight
        self._in_flight = deque()
        for _, proposal in in_flight:
            proposal.result.errback(OutcomeUnknownError())


@dataclass(slots=True)
class PendingRead:
    """A read that is permitted once a majority has confirmed `heartbeat_round` (read index)."""

    result: Deferred[None]
    heartbeat_round: int = 0


class PendingReads:
    """Reads that are queued for the next flush or wait for a heartbeat round (T 6.4)."""

    def __init__(self) -> None:
        """Start without reads."""
        self._queued: list[PendingRead] = []
        self._started: deque[PendingRead] = deque()  # in order of heartbeat rounds

    def add(self) -> Deferred[None]:
        """Queue a read. The Deferred fires once the read is permitted."""
        read = PendingRead(Deferred())
        self._queued.append(read)
        return read.result

    def start(self, request_round: Callable[[], int]) -> None:
        """Assign all queued reads to the heartbeat round that `request_round` returns."""
        queued = self._queued
        self._queued = []
        for read in queued:
            read.heartbeat_round = request_round()
            self._started.append(read)

    def confirmed(self, heartbeat_round: int) -> None:
        """Permit all reads that wait for `heartbeat_round` or an earlier one: a majority has answered it."""
        while self._started and self._started[0].heartbeat_round <= heartbeat_round:
            self._started.popleft().result.callback(None)

    def fail_queued(self) -> None:
        """Fail queued reads, because this replica doesn't own the group."""
        queued = self._queued
        self._queued = []
        for read in queued:
            read.result.errback(NotOwnerError())

    def fail_started(self) -> None:
        """Fail reads that wait for a heartbeat round, because ownership was lost."""
        started = self._started
        self._started = deque()
        for read in started:
            read.result.errback(NotOwnerError())
