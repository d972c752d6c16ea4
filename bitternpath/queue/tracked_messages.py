"""What the owner of a shard knows of an unended message beyond the replicated state; lost with the ownership.

The phases of a message at its owner, and what takes it from one to another:

    ========  ==================================================  =====================================
    phase     meaning                                             goes on to
    ========  ==================================================  =====================================
    UNROUTED  no route, or the table is older than the message    placed; GRANTING with its append;
                                                                  LEASED when a new owner adopts it
    BLOCKED   an earlier unended message has its order key        placed when that one ends
    DELAYED   its delay or a back-off is not over                 placed at that time
    READY     it may be leased; it is in its service's queue      GRANTING; LEASED where a lease was
                                                                  granted in advance
    GRANTING  `GrantLease` is proposed, for a holder or in        LEASED when it is applied; placed when
              advance                                             it was in advance, is void, or was not
                                                                  proposed
    LEASED    its holder has it, until `lease_ends_at`            placed at the end of the attempt, or of
                                                                  the lease's time
    EXPIRING  `ExpireMessage` is proposed                         ENDED; placed when it is void
    ENDED     it is a tombstone, and no longer tracked            -
    ========  ==================================================  =====================================

UNROUTED, BLOCKED, DELAYED and READY are the idle phases. "Placed": `placement.Placement` puts the message
into the idle phase that the configuration and the time demand, or into EXPIRING when its retention is over.
It does so too when the configuration changes. A message that has been the first of its order key stays so,
and is not BLOCKED again. The holder of a released lease may still extend it (LEASED) or report its end
(ENDED) while the message is idle. `TRANSITIONS` is the same table for tests.
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
_ASSIGNABLE = IDLE_PHASES | {MessagePhase.EXPIRING}
_ASSIGNABLE_TO_HEAD = _ASSIGNABLE - {MessagePhase.BLOCKED}
_AFTER_RELEASE = frozenset({MessagePhase.LEASED, MessagePhase.ENDED})

TRANSITIONS = {
    MessagePhase.UNROUTED: _ASSIGNABLE | _AFTER_RELEASE | {MessagePhase.GRANTING},  # the first phase
    MessagePhase.BLOCKED: _ASSIGNABLE,
    MessagePhase.DELAYED: _ASSIGNABLE_TO_HEAD | _AFTER_RELEASE,
    MessagePhase.READY: _ASSIGNABLE_TO_HEAD | _AFTER_RELEASE | {MessagePhase.GRANTING},
    MessagePhase.GRANTING: _ASSIGNABLE | {MessagePhase.LEASED, MessagePhase.ENDED},
    MessagePhase.LEASED: _ASSIGNABLE_TO_HEAD | {MessagePhase.ENDED},
    MessagePhase.EXPIRING: _ASSIGNABLE | {MessagePhase.ENDED},
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
    accepted_by_this_owner: bool  # it has observed each end of an edge node's process since the accept
    phase: MessagePhase = MessagePhase.UNROUTED
    serial: int = 0  # rises with each change of phase; timers and queue items of older ones are stale
    route: Route | None = None
    unrouted_since: float = inf  # when its route was found to be removed
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
