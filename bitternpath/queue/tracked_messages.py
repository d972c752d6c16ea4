"""What the owner of a shard knows of a message beyond the replicated state; lost with the ownership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

from bitternpath.configuration.documents import Route
from bitternpath.queue.commands import GrantLease
from bitternpath.queue.entries import Entry
from bitternpath.transport.records import AttemptOutcome


class MessagePhase(Enum):
    """Where an unended message stands with the owner."""

    UNROUTED = "it has no route, or not yet"
    BLOCKED = "an earlier message has its order key"
    DELAYED = "its delay or a back-off is not over"
    READY = "it may be leased"
    GRANTING = "a lease has been proposed"
    LEASED = "a lease is out"
    EXPIRING = "its end has been proposed"
    ENDED = "it has ended"


@dataclass(slots=True, eq=False)
class InFlightLease:
    """A lease that takes up room at a service; `poll_id` is that of a pulling worker, else None."""

    request_id: str
    lease_id: str
    edge: str
    service: str
    proposed_at: float
    poll_id: int | None = None


@dataclass(slots=True, eq=False)
class TrackedMessage:
    """An unended message. `serial` rises with each change of phase; timers and queues of older ones lapse."""

    entry: Entry
    accepted_by_this_owner: bool  # by this owner, which has heard of each end of an edge node's process since
    phase: MessagePhase = MessagePhase.UNROUTED
    serial: int = 0
    route: Route | None = None
    unrouted_since: float = inf  # when its route was found to be gone
    retry_at: float = 0.0  # end of its back-off
    lease_ends_at: float = 0.0  # of its lease
    retention_timer: float = inf  # when its retention timer fires
    lease: InFlightLease | None = None
    ahead: GrantLease | None = None  # in the log or proposed for it, for whichever worker asks next
    last_outcome: AttemptOutcome | None = None
    repetitions: int = 0  # of that outcome in a row, before the last
    avoided_edge: str = ""  # the edge node that did not get it run: it may be cut off from the workers

    @property
    def request_id(self) -> str:
        """The message's request id."""
        return self.entry.message.request_id

    def enter(self, phase: MessagePhase) -> None:
        """Change its phase."""
        self.phase = phase
        self.serial += 1

    def count_repetitions(self, outcome: AttemptOutcome) -> int:
        """How often this outcome came in a row before."""
        self.repetitions = self.repetitions + 1 if outcome is self.last_outcome else 0
        self.last_outcome = outcome
        return self.repetitions
