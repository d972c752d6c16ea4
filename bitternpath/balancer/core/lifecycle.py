"""The life cycle of one process of a node: its phases, the behaviour in each, and the transitions.

A process starts, serves, and drains when it is told to stop. Where a newer process of the same node takes
over (its *successor*, see handover/), the older one hands over: it accepts no new connections, since its
successor does, but keeps serving those that clients hold. Servers read the behaviour of the current phase
from this object. An event that has no transition in a phase changes nothing.

Times are counted from the stop signal. The platform kills a process no sooner than the longest deadline,
counted as 3 s where it is longer, and 0.7 s after it (PROTOCOL, 'Figures'): with short deadlines far earlier.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# ms in which new connections may still come at a plain restart: the load balancer notices 0.2 to 0.4 s late.
NEW_CONNECTIONS_UNTIL_MS = 500.0
DEADLINE_CAP_MS, KILL_GRACE_MS = 3000.0, 700.0  # ms; the platform's own figures


def answer_time_after_stop(longest: float) -> float:
    """Ms by which all that arrives later is answered, whatever its deadline: 0.2 s before a kill may come.

    `longest` is the longest deadline in ms.
    """
    return min(longest, DEADLINE_CAP_MS) + KILL_GRACE_MS - 200.0


def idle_connection_time_after_stop(longest: float) -> float:
    """Ms for which a process with a successor keeps connections open that clients hold but do not use: a
    close that crosses a request is a loss, and each answer moves one over. The rest is for the end.
    """
    return answer_time_after_stop(longest) - 200.0


class Phase(Enum):
    """The phases of a process; the values stand in the log (`stopping phase=`)."""

    STARTING = "starting"  # not listening yet
    READY = "ready"
    SUPERSEDED = "succeeded"  # the successor serves; not told to stop yet
    DRAINING = "leaving"  # told to stop, and nobody takes over
    HANDING_OVER = "passing on"  # told to stop, and the successor serves
    GONE = "gone"


class LifecycleEvent(Enum):
    """What may change the phase."""

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
    keep_alive: bool = False  # answers leave the connection open
    closes_idle: bool = False  # closes idle connections, once no new ones come


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
    """The current phase. The callbacks in `changed` are called after every change."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.listeners: list[Callable[[], None]] = []

    @property
    def behavior(self) -> PhaseBehavior:
        """What a node does in the current phase."""
        return BEHAVIOR[self.phase]

    @property
    def stopping(self) -> bool:
        """Whether the process was told to stop."""
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
