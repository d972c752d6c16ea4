"""Stops processes on the way and starts them again."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import inf
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.bounds import BOUNDS
from bitternpath.testing.fault_injection.plan import Plan, Role
from bitternpath.testing.fault_injection.processes import Process
from bitternpath.testing.fault_injection.records import Clock, History, Trouble
from bitternpath.testing.fault_injection.status import StatusReader

RESTART_AFTER_S = 1.5
LOOK_S = 0.05


class Victim(Enum):
    """Which process is stopped."""

    EDGE = "an edge node"  # one without a disk where there is one: it doesn't count as a loss
    STORAGE = "a storage node"
    OWNER = "the configuration's owner"


@dataclass(frozen=True, slots=True)
class Stop:
    """A fault to come. `share`: of the time of traffic that is over by then."""

    share: float
    victim: Victim
    kill: bool


# At most one machine with a disk is down at a time (DEPLOY, `fault_tolerance`).
STOPS = (
    Stop(0.07, Victim.EDGE, True),
    Stop(0.10, Victim.STORAGE, True),
    Stop(0.30, Victim.OWNER, True),
    Stop(0.50, Victim.EDGE, False),
    Stop(0.54, Victim.STORAGE, False),
    Stop(0.76, Victim.OWNER, False),
)


class Troubles:
    """Carries out the stops."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        history: History,
        plan: Plan,
        processes: Mapping[str, Process],
        status: StatusReader,
        say: Callable[[str], None],
    ) -> None:
        self._reactor, self._clock, self._history, self._plan = reactor, clock, history, plan
        self._processes, self._status, self._say = processes, status, say
        self._random = Random(plan.seed + 2)
        self.open = 0

    def run(self, failed: Callable[[Any], None]) -> None:
        """Plan all stops from now on; `failed` hears an error in the rehearsal itself."""
        for stop in STOPS:
            self.open += 1
            Deferred.fromCoroutine(self._carry_out(stop)).addErrback(failed)

    async def _carry_out(self, stop: Stop) -> None:
        await deferLater(self._reactor, stop.share * self._plan.seconds)
        process = self._processes[self._choose(stop.victim)]
        name = process.machine.name
        place = len(self._history.troubles)
        self._history.troubles.append(Trouble(name, self._clock(), inf, not stop.kill))
        self._say(f"{'SIGKILL' if stop.kill else 'SIGTERM'} to {name} ({stop.victim.value})")
        if stop.kill:
            process.kill()
        else:
            await self._terminate(process)
        await deferLater(self._reactor, RESTART_AFTER_S)
        process.start()
        self._history.troubles[place] = replace(self._history.troubles[place], until=self._clock())
        self._say(f"{name} is started again")
        self.open -= 1

    async def _terminate(self, process: Process) -> None:
        """SIGTERM, then SIGKILL after the time of grace."""
        began = self._clock()
        process.terminate()
        while process.running() and self._clock() - began < BOUNDS["grace_s"]:
            await deferLater(self._reactor, LOOK_S)
        in_time = not process.running()
        process.kill()
        how = "has ended" if in_time else "was killed at the end of its grace"
        self._say(f"{process.machine.name} {how} after {self._clock() - began:.2f} s")

    def _choose(self, victim: Victim) -> str:
        if victim is Victim.OWNER:
            return self._status.owner() or self._plan.edges[0].name
        if victim is Victim.STORAGE:
            storage = [machine.name for machine in self._plan.machines if machine.role is Role.STORAGE]
            return self._random.choice(storage)
        edges = [edge for edge in self._plan.edges if edge.name != self._status.owner()]
        return min(edges, key=lambda edge: edge.disk).name
