"""What the owner of a shard knows of an unended message beyond the replicated state; lost with the ownership.

The phases of a message at its owner, and what takes it from one to another:

    ========  ==================================================  =====================================
    phase     meaning                                             goes on to
    ========  ==================================================  =====================================
    UNROUTED  no route, or the table is older than the message    any idle phase; EXPIRING after a grace
    BLOCKED   an earlier unended message has its order key        any idle phase when that one ends
    DELAYED   its delay or a back-off is not over                 any idle phase at that time
    READY     it may be leased; it is in its service's queue      GRANTING; LEASED where a lease was
                                                                  granted in advance; LEASED by an
                                                                  extension of its last lease
    GRANTING  `GrantLease` is proposed, for a holder or in        LEASED when it is applied; READY when
              advance                                             it was in advance; any idle phase
                                                                  when it is void or was not proposed
    LEASED    its holder has it, until `lease_ends_at`            any idle phase at the end of the
                                                                  attempt, or of the lease's time
    EXPIRING  `ExpireMessage` is proposed                         ENDED; any idle phase when it is void
    ENDED     it is a tombstone, and no longer tracked            -
    ========  ==================================================  =====================================

UNROUTED, BLOCKED, DELAYED and READY are the idle phases: `placement.Placement` chooses among them, and ends
messages whose retention is over. Any phase goes to ENDED when the state says so. `TRANSITIONS` has the same
table for tests.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from bitternpath.configuration.documents import Route
from bitternpath.queue.commands import GrantLease
from bitternpath.queue.entries import Entry
from bitternpath.transport.records import AttemptOutcome


class MessagePhase(Enum):
    """Phase of an unended message at its owner; the table is in the module's docstring."""

    UNROUTED = auto()
    BLOCKED = auto()
    DELAYED = auto()
    READY = auto()
    GRANTING = auto()
    LEASED = auto()
    EXPIRING = auto()
    ENDED = auto()


IDLE_PHASES = frozenset(
    {MessagePhase.UNROUTED, MessagePhase.BLOCKED, MessagePhase.DELAYED, MessagePhase.READY}
)
_PLACED = IDLE_PHASES | {MessagePhase.EXPIRING, MessagePhase.ENDED}  # wherever `Placement` may put a message

TRANSITIONS = {
    MessagePhase.UNROUTED: _PLACED | {MessagePhase.GRANTING, MessagePhase.LEASED},  # also the first phase
    MessagePhase.BLOCKED: _PLACED | {MessagePhase.LEASED},
    MessagePhase.DELAYED: _PLACED | {MessagePhase.LEASED},
    MessagePhase.READY: _PLACED | {MessagePhase.GRANTING, MessagePhase.LEASED},
    MessagePhase.GRANTING: _PLACED | {MessagePhase.LEASED},
    MessagePhase.LEASED: _PLACED,
    MessagePhase.EXPIRING: _PLACED,
    MessagePhase.ENDED: frozenset[MessagePhase](),
}


@dataclass(slots=True, eq=False)
class InFlightLease:
    """A lease that is proposed or out, and takes up capacity of its service."""

    request_id: str
    lease_id: str
    edge: str  # name of the edge node that holds it; "": a pulling worker does, or will
    service: str
    proposed_at: float  # local steady time
    poll_id: int | None = None  # of the worker for which it was granted


@dataclass(slots=True, eq=False)
class TrackedMessage:
    """An unended message at its owner. Times are on the local steady clock, in seconds."""

    entry: Entry
    accepted_by_this_owner: bool  # it has seen each end of an edge node's process since the accept
    phase: MessagePhase = MessagePhase.UNROUTED
    serial: int = 0  # rises with each change of phase; timers and queue items of older ones are stale
    route: Route | None = None
    unrouted_since: float = inf  # when its route was found to be gone
    retry_at: float = 0.0  # end of its back-off
    lease_ends_at: float = 0.0
    retention_timer: float = inf  # when its retention timer fires
    lease: InFlightLease | None = None
    pregrant: GrantLease | None = None  # a lease in advance, proposed or committed, for the next poll
    last_outcome: AttemptOutcome | None = None
    repetitions: int = 0  # of `last_outcome` in a row, before the last
    avoided_edge: str = ""  # the edge node at which it was not run: it may be cut off from the workers

    @property
    def request_id(self) -> str:
        """The message's request id."""
        return self.entry.message.request_id

    def enter(self, phase: MessagePhase) -> None:
        """Change its phase."""
        self.phase = phase
        self.serial += 1

    def count_repetitions(self, outcome: AttemptOutcome) -> int:
        """Count an outcome; returns how often it came in a row before."""
        self.repetitions = self.repetitions + 1 if outcome is self.last_outcome else 0
        self.last_outcome = outcome
        return self.repetitions
