"""Stops processes during the traffic and restarts them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import inf
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.owner_poller import ConfigurationOwnerPoller
from bitternpath.testing.fault_injection.plan import Plan, Role
from bitternpath.testing.fault_injection.processes import Process
from bitternpath.testing.fault_injection.records import Outage
from bitternpath.testing.fault_injection.time_bounds import BOUNDS

RESTART_AFTER_S = 1.5
POLL_INTERVAL_S = 0.05


class StopTarget(Enum):
    """The process that is stopped."""

    EDGE = "an edge node"  # a node without a disk if there is one, as it doesn't count as a lost machine
    STORAGE = "a storage node"
    OWNER = "the configuration's owner"


@dataclass(frozen=True, slots=True)
class ScheduledStop:
    """A stop at the fraction `share` of the traffic's duration, by SIGKILL if `kill`, else by SIGTERM."""

    share: float
    target: StopTarget
    kill: bool


# At most one machine with a disk is down at a time (DEPLOY, `fault_tolerance`).
SCHEDULED_STOPS = (
    ScheduledStop(0.07, StopTarget.EDGE, True),
    ScheduledStop(0.10, StopTarget.STORAGE, True),
    ScheduledStop(0.30, StopTarget.OWNER, True),
    ScheduledStop(0.50, StopTarget.EDGE, False),
    ScheduledStop(0.54, StopTarget.STORAGE, False),
    ScheduledStop(0.76, StopTarget.OWNER, False),
)


class FaultSchedule:
    """Executes the scheduled stops."""

    def __init__(
        self,
        context: ActorContext,
        plan: Plan,
        processes: Mapping[str, Process],
        owner_poller: ConfigurationOwnerPoller,
        report: Callable[[str], None],
    ) -> None:
        """Create the schedule; `report` receives the lines of text about each fault."""
        self._reactor = context.reactor
        self._clock = context.clock
        self._history = context.history
        self._plan = plan
        self._processes = processes
        self._owner_poller = owner_poller
        self._report = report
        self._random = Random(plan.seed + 2)
        self.pending = 0  # number of faults that are scheduled or whose process has not been restarted

    def run(self, failed: Callable[[Any], None]) -> None:
        """Schedule all stops, relative to now; `failed` receives an error of the test environment itself."""
        for stop in SCHEDULED_STOPS:
            self.pending += 1
            Deferred.fromCoroutine(self._carry_out(stop)).addErrback(failed)

    async def _carry_out(self, stop: ScheduledStop) -> None:
        await deferLater(self._reactor, stop.share * self._plan.seconds)
        process = self._processes[self._choose(stop.target)]
        name = process.machine.name
        index = len(self._history.outages)
        self._history.outages.append(Outage(name, self._clock(), inf, not stop.kill))
        self._report(f"{'SIGKILL' if stop.kill else 'SIGTERM'} to {name} ({stop.target.value})")
        if stop.kill:
            process.kill()
        else:
            await self._terminate(process)
        await deferLater(self._reactor, RESTART_AFTER_S)
        process.start()
        self._history.outages[index] = replace(self._history.outages[index], until=self._clock())
        self._report(f"{name} is restarted")
        self.pending -= 1

    async def _terminate(self, process: Process) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        started_at = self._clock()
        process.terminate()
        while process.running() and self._clock() - started_at < BOUNDS["grace_s"]:
            await deferLater(self._reactor, POLL_INTERVAL_S)
        ended_in_time = not process.running()
        process.kill()
        result = "exited" if ended_in_time else "was killed at the end of its grace period"
        self._report(f"{process.machine.name} {result} after {self._clock() - started_at:.2f} s")

    def _choose(self, target: StopTarget) -> str:
        if target is StopTarget.OWNER:
            return self._owner_poller.owner() or self._plan.edges[0].name
        if target is StopTarget.STORAGE:
            storage = [machine.name for machine in self._plan.machines if machine.role is Role.STORAGE]
            return self._random.choice(storage)
        edges = [edge for edge in self._plan.edges if edge.name != self._owner_poller.owner()]
        return min(edges, key=lambda edge: edge.disk).name
