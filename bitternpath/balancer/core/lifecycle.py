"""The life cycle of one process of a node: its phases, the behaviour in each, and the transitions.

A process starts, serves, and drains after a stop signal. When a newer process of the same node takes over
(its *successor*, see handover/), the older one hands over: it accepts no new connections, since its successor
does, but keeps serving its open ones. Servers read the behaviour of the current phase from this object. An
event that has no transition in a phase changes nothing.

Times are measured from the stop signal. The platform kills a process no sooner than 0.7 s after the longest
deadline, where deadlines over 3 s count as 3 s (PROTOCOL, 'Figures'): with short deadlines, far earlier than
3.7 s.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# New connections may still arrive for this time at a restart: the load balancer notices it 0.2 to 0.4 s late.
NEW_CONNECTIONS_UNTIL_MS = 500.0
DEADLINE_CAP_MS, KILL_GRACE_MS = 3000.0, 700.0  # the platform's own figures


def answer_time_after_stop(longest: float) -> float:
    """Time (ms) by which requests that arrive after the stop signal are answered, whatever their deadline.

    It is 0.2 s before the platform may kill the process. `longest` is the longest deadline in ms.
    """
    return min(longest, DEADLINE_CAP_MS) + KILL_GRACE_MS - 200.0


def idle_connection_time_after_stop(longest: float) -> float:
    """Time (ms) for which a process with a successor keeps idle client connections open.

    A close that crosses a request loses it, while an answer can close its connection safely: the client then
    connects to the successor. The time that is left serves to close the rest.
    """
    return answer_time_after_stop(longest) - 200.0


class Phase(Enum):
    """The phases of a process; the values appear in the log (`stopping phase=`)."""

    STARTING = "starting"  # not listening yet
    READY = "ready"
    SUPERSEDED = "succeeded"  # the successor serves; no stop signal yet
    DRAINING = "leaving"  # stop signal received, no successor
    HANDING_OVER = "passing on"  # stop signal received, the successor serves
    GONE = "gone"


class LifecycleEvent(Enum):
    """Events that may change the phase."""

    LISTENS = "listens"
    SUCCESSOR_READY = "successor ready"
    SUCCESSOR_LOST = "successor lost"
    STOP = "stop"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class PhaseBehavior:
    """What a process does in a phase."""

    accepts: bool = False  # accepts new connections
    ready_for_clients: bool = False  # `/ready` answers 200: the load balancer may send clients here
    ready_for_operators: bool = False  # the console's readiness answers 200: this process can serve
    keep_alive: bool = False  # connections stay open after an answer
    closes_idle: bool = False  # closes idle connections, once no new ones arrive


BEHAVIOR = {
    Phase.STARTING: PhaseBehavior(),
    Phase.READY: PhaseBehavior(
        accepts=True, ready_for_clients=True, ready_for_operators=True, keep_alive=True
    ),
    Phase.SUPERSEDED: PhaseBehavior(ready_for_clients=True, ready_for_operators=True),
    Phase.DRAINING: PhaseBehavior(accepts=True, closes_idle=True),
    Phase.HANDING_OVER: PhaseBehavior(ready_for_clients=True),
    Phase.GONE: PhaseBehavior(closes_idle=True),
}

TRANSITIONS = {
    (Phase.STARTING, LifecycleEvent.LISTENS): Phase.READY,
    (Phase.STARTING, LifecycleEvent.STOP): Phase.GONE,
    (Phase.READY, LifecycleEvent.SUCCESSOR_READY): Phase.SUPERSEDED,
    (Phase.READY, LifecycleEvent.STOP): Phase.DRAINING,
    (Phase.SUPERSEDED, LifecycleEvent.SUCCESSOR_LOST): Phase.READY,
    (Phase.SUPERSEDED, LifecycleEvent.STOP): Phase.HANDING_OVER,
    (Phase.DRAINING, LifecycleEvent.SUCCESSOR_READY): Phase.HANDING_OVER,
    (Phase.HANDING_OVER, LifecycleEvent.SUCCESSOR_LOST): Phase.DRAINING,
    (Phase.DRAINING, LifecycleEvent.ENDED): Phase.GONE,
    (Phase.HANDING_OVER, LifecycleEvent.ENDED): Phase.GONE,
}


class Lifecycle:
    """The current phase. `listeners` are called after each change of it."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.listeners: list[Callable[[], None]] = []

    @property
    def behavior(self) -> PhaseBehavior:
        """The behaviour in the current phase."""
        return BEHAVIOR[self.phase]

    @property
    def stopping(self) -> bool:
        """Whether the process has received a stop signal."""
        return self.phase in (Phase.DRAINING, Phase.HANDING_OVER, Phase.GONE)

    def apply(self, event: LifecycleEvent) -> bool:
        """Apply an event; returns whether it changed the phase."""
        after = TRANSITIONS.get((self.phase, event))
        if after is None:
            return False
        self.phase = after
        for listener in self.listeners:
            listener()
        return True
