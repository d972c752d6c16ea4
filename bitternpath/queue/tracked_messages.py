"""The owner's own data on a message that has not ended; lost when ownership changes.

The phases of a message at its owner and the transitions between them:

    ========  ==================================================  =====================================
    phase     meaning                                             goes on to
    ========  ==================================================  =====================================
    UNROUTED  no route, or the table is older than the message    reassigned; GRANTING with its append;
                                                                  LEASED when a new owner adopts it
    BLOCKED   an earlier message of its order key has not ended   reassigned when that message ends
    DELAYED   waits for the end of its delay or back-off          reassigned at that time
    READY     may be leased; is in its service's queue            GRANTING; LEASED if a lease was
                                                                  granted in advance
    GRANTING  `GrantLease` is proposed, for a holder or in        LEASED when it is applied; reassigned
              advance                                             if it was granted in advance, is void,
                                                                  or was not proposed
    LEASED    sent to its holder, until `lease_ends_at`           reassigned when the attempt ends or the
                                                                  lease times out
    EXPIRING  `ExpireMessage` is proposed                         ENDED; reassigned if it is void
    ENDED     a tombstone, no longer tracked                      -
    ========  ==================================================  =====================================

UNROUTED, BLOCKED, DELAYED and READY are the idle phases. "Reassigned" means that
`phase_assignment.PhaseAssigner` sets the idle phase that the configuration and the time require, or EXPIRING
when the message is to end. Idle messages are also reassigned when the configuration changes. A message that
has become the first of its order key is never BLOCKED again. While a message is idle, the holder of a
released lease may still extend the lease (LEASED) or report the end of the attempt (ENDED). `TRANSITIONS` has
the same table for tests.
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
    """Phase of a message at its owner; the module's docstring has the transitions."""

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
    MessagePhase.UNROUTED: _ASSIGNABLE | _AFTER_RELEASE | {MessagePhase.GRANTING},  # initial phase
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
    """A proposed or in-flight lease, which uses capacity of its service."""

    request_id: str
    lease_id: str
    edge: str  # name of the edge node that holds it; "" for a lease of a pulling worker
    service: str
    proposed_at: float  # local steady time
    poll_id: int | None = None  # poll for which it was granted


@dataclass(slots=True, eq=False)
class TrackedMessage:
    """A message that has not ended. Times are in seconds on the local steady clock."""

    entry: Entry
    accepted_by_this_owner: bool  # if so, the owner has seen every end of an edge process since the accept
    phase: MessagePhase = MessagePhase.UNROUTED
    serial: int = 0  # incremented with each change of phase; timers and queue items with older ones are stale
    route: Route | None = None
    unrouted_since: float = inf  # when the owner found that its route was removed
    retry_at: float = 0.0  # end of its back-off
    lease_ends_at: float = 0.0
    retention_timer: float = inf  # when its retention timer fires
    lease: InFlightLease | None = None
    pregrant: GrantLease | None = None  # proposed or committed lease for the next poll
    last_outcome: AttemptOutcome | None = None
    repetitions: int = 0  # consecutive earlier attempts with the same outcome as the last one
    avoided_edge: str = ""  # edge node that did not run it and may be partitioned from the workers

    @property
    def request_id(self) -> str:
        """Request id of the message."""
        return self.entry.message.request_id

    def enter(self, phase: MessagePhase) -> None:
        """Change the phase; timers and queue items of the previous phase become stale."""
        self.phase = phase
        self.serial += 1

    def count_repetitions(self, outcome: AttemptOutcome) -> int:
        """Record an outcome; returns how many consecutive earlier attempts had the same outcome."""
        self.repetitions = self.repetitions + 1 if outcome is self.last_outcome else 0
        self.last_outcome = outcome
        return self.repetitions
