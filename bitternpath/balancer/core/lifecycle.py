"""The life of one process of a node: which states there are, what each does, and what leads to another.

Theory of operation. A process starts, serves, and leaves when it is told to. Where a newer process of the
same node takes over (its *successor*, see handover/), the older one passes its work on: it accepts no new
connections, for its successor does, but serves on those that clients hold. Whoever serves asks this object
what holds now; nobody else may change the state, and a word that means nothing in a state changes nothing.

Times are counted from the word to stop. The platform kills a process no sooner than the longest deadline,
counted as 3 s where it is longer, and 0.7 s after it (PROTOCOL, 'Figures'): with short deadlines far earlier.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

# ms in which connections may still be new at a plain restart: the front hears of it 0.2 to 0.4 s late.
NEW_ONES_ARRIVE = 500.0
LONGEST, KILLED_AFTER = 3000.0, 700.0  # ms; the platform's own figures


def last_answer(longest: float) -> float:
    """ms by which all that arrives later is answered, whatever its deadline: 0.2 s before a kill may come.

    `longest` is the longest deadline in ms."""
    return min(longest, LONGEST) + KILLED_AFTER - 200.0


def held(longest: float) -> float:
    """ms for which a process with a successor keeps connections open that clients hold but do not use: a
    close that crosses a request is a loss, and each answer moves one over. The rest is for the end."""
    return last_answer(longest) - 200.0


class Phase(Enum):
    STARTING = "starting"  # not listening yet
    READY = "ready"
    SUCCEEDED = "succeeded"  # the successor serves; not told to stop yet
    LEAVING = "leaving"  # told to stop, and nobody takes over
    PASSING = "passing on"  # told to stop, and the successor serves
    GONE = "gone"


class Word(Enum):
    LISTENS = "listens"
    SUCCESSOR_READY = "successor ready"
    SUCCESSOR_LOST = "successor lost"
    STOP = "stop"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Does:
    """What holds in a state."""

    accepts: bool  # new connections
    welcome: bool  # `/ready` says yes: the front may send clients to this address
    serves: bool  # the console's readiness says yes: this process can serve
    keeps: bool  # answers leave the connection open
    drops_idle: bool  # closes connections that wait for nothing, once no new ones come


DOES = {
    Phase.STARTING: Does(accepts=False, welcome=False, serves=False, keeps=False, drops_idle=False),
    Phase.READY: Does(accepts=True, welcome=True, serves=True, keeps=True, drops_idle=False),
    Phase.SUCCEEDED: Does(accepts=False, welcome=True, serves=True, keeps=False, drops_idle=False),
    Phase.LEAVING: Does(accepts=True, welcome=False, serves=False, keeps=False, drops_idle=True),
    Phase.PASSING: Does(accepts=False, welcome=True, serves=False, keeps=False, drops_idle=False),
    Phase.GONE: Does(accepts=False, welcome=False, serves=False, keeps=False, drops_idle=True),
}

MOVES = {
    (Phase.STARTING, Word.LISTENS): Phase.READY,
    (Phase.STARTING, Word.STOP): Phase.GONE,
    (Phase.READY, Word.SUCCESSOR_READY): Phase.SUCCEEDED,
    (Phase.READY, Word.STOP): Phase.LEAVING,
    (Phase.SUCCEEDED, Word.SUCCESSOR_LOST): Phase.READY,
    (Phase.SUCCEEDED, Word.STOP): Phase.PASSING,
    (Phase.LEAVING, Word.SUCCESSOR_READY): Phase.PASSING,
    (Phase.PASSING, Word.SUCCESSOR_LOST): Phase.LEAVING,
    (Phase.LEAVING, Word.ENDED): Phase.GONE,
    (Phase.PASSING, Word.ENDED): Phase.GONE,
}


class LifeCycle:
    """The state in hand. `changed` hears of every change after it."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.changed: list[Callable[[], None]] = []

    @property
    def does(self) -> Does:
        return DOES[self.phase]

    @property
    def stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.phase in (Phase.LEAVING, Phase.PASSING, Phase.GONE)

    def hear(self, word: Word) -> bool:
        """Take a word in; whether it changed anything."""
        after = MOVES.get((self.phase, word))
        if after is None:
            return False
        self.phase = after
        for tell in self.changed:
            tell()
        return True
