"""The world of a rehearsal: real processes, and clients, workers, platform and operator in this process."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.task import LoopingCall, deferLater

from bitternpath.testing.fault_injection.checker import ended_times
from bitternpath.testing.fault_injection.clients import Askers, Clients
from bitternpath.testing.fault_injection.entry import Entry
from bitternpath.testing.fault_injection.figures import second_line
from bitternpath.testing.fault_injection.operators import Operator
from bitternpath.testing.fault_injection.plan import SERVICES, SHARES, Plan, first_configuration
from bitternpath.testing.fault_injection.platform import CallbackReceiver, PlatformList
from bitternpath.testing.fault_injection.processes import Process
from bitternpath.testing.fault_injection.records import History, Kind, Send
from bitternpath.testing.fault_injection.workers import Endpoint, HttpWorker, PullingWorker, Work

READY_WITHIN_S = 15.0  # after the first configuration
FINISH_S = 20.0  # after the traffic, for what was accepted
CALLBACKS_AFTER_S = 3.0  # after the last end, for call-backs that are still owed
LOOK_S = 0.25
READ_BACK_S = 4.0  # `contact_ms`
LISTED_WORKERS, LISTED_SLOTS = 4, 6
LISTED_WORK_S = (0.04, 0.14)
ENDPOINT_SLOTS, ENDPOINT_WORK_S = 40, (0.05, 0.15)
PULLED_WORK_S = (0.08, 0.3)
LONG_PULLED_WORK_S = (1.2, 2.4)  # of one puller in eight: it must extend its leases
LEAST_PULLERS = 8
SLOTS_OVER_LOAD = 2.5  # pulling slots over those that are busy on average


BUSY = 0.15  # of each second: beyond it heartbeats come late


class NotReady(Exception):
    """The system did not come up; the text says how far it came."""


def steady_reactor() -> Any:
    """The reactor, with timers on the steady clock."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    return running


class World:
    """Builds the world of a plan and carries the rehearsal through its stages."""

    def __init__(self, reactor: Any, plan: Plan, folder: Path, say: Callable[[str], None]) -> None:
        self.reactor, self.plan, self._say = reactor, plan, say
        self._began = time.monotonic()
        self.history, self.terms = History(), plan.terms()
        self.errors: list[str] = []
        random = Random(plan.seed)
        self.platform = PlatformList(reactor, self.now)
        self.processes = {
            machine.name: Process(plan, machine, folder, self.platform.address) for machine in plan.machines
        }
        self.entry = Entry(reactor, plan.edges, Random(plan.seed + 3))
        self.receiver = CallbackReceiver(reactor, self.now, self.history, Random(plan.seed + 4))
        self.listed = self._listed_workers(random)
        self.endpoint = Endpoint(
            reactor,
            self.now,
            self.history,
            Work(random, *ENDPOINT_WORK_S),
            SERVICES[Kind.ENDPOINT],
            ENDPOINT_SLOTS,
            plan.endpoint_rate,
        )
        self.pullers = self._pulling_workers(random)
        self.clients = Clients(reactor, self.now, self.history, self.entry, self.receiver.url)
        self.operator = Operator(reactor, self.now, self.history, plan)
        self._seconds = LoopingCall(self._second)
        self._ticks = 0
        self._waited: dict[str, float] = {}
        self.held_up: list[float] = []  # by second: the longest share that a process waited for a processor

    def now(self) -> float:
        """Seconds since the rehearsal began."""
        return time.monotonic() - self._began

    def failed(self, failure: Any) -> None:
        """An error in the rehearsal itself: its result is void."""
        self.errors.append(failure.getTraceback())

    async def start(self) -> None:
        """Start all processes, found the system, and wait until all edge nodes are ready."""
        self.platform.publish([worker.listed() for worker in self.listed])
        for process in self.processes.values():
            process.start()
        self.entry.start()
        document = first_configuration(self.plan, self.endpoint.address)
        if not await self.operator.found(document):
            raise NotReady("no edge node acknowledged the first configuration")
        self._say(f"{self.now():6.2f} s  first configuration acknowledged")
        give_up_at = self.now() + READY_WITHIN_S
        while len(self.entry.ready()) < len(self.plan.edges):
            if self.now() > give_up_at:
                ready = [edge.name for edge in self.entry.ready()]
                raise NotReady(f"ready are {ready} of {len(self.plan.edges)} edge nodes")
            await deferLater(self.reactor, LOOK_S)
        self._say(f"{self.now():6.2f} s  all edge nodes are ready")
        for puller in self.pullers:
            puller.start(self.failed)

    async def traffic(self) -> None:
        """Send messages for as long as planned."""
        until = self.now() + self.plan.seconds
        self._seconds.start(1.0, now=False)
        self.clients.run(until, self.plan.rate, Random(self.plan.seed), self.failed)
        while self.now() < until or self.clients.open:
            await deferLater(self.reactor, LOOK_S)

    async def finish(self) -> None:
        """Wait for what was accepted, then ask for every state and for the configuration."""
        await self._until_ended()
        self._seconds.stop()
        self.history.finished = self.now()
        askers = Askers(self.reactor, self.now, self.history, self.entry)
        await askers.ask_all(list(self.history.accepted()))
        await self.operator.read_back(READ_BACK_S)

    def stop(self) -> None:
        """End all that was started."""
        if self._seconds.running:
            self._seconds.stop()
        for puller in self.pullers:
            puller.stop()
        self.entry.stop()
        for process in self.processes.values():
            process.running()
            process.kill()

    def unended(self) -> list[Send]:
        """Accepted messages that have not ended, or whose call-back isn't taken."""
        ended = ended_times(self.history, self.terms)
        told = {got.request_id for got in self.history.callbacks if got.taken}
        return [
            send
            for send in self.history.accepted()
            if ended[send.request_id] > self.now() or (send.wants_callback and send.request_id not in told)
        ]

    async def _until_ended(self) -> None:
        give_up_at = self.now() + FINISH_S + CALLBACKS_AFTER_S
        while self.unended() and self.now() < give_up_at:
            await deferLater(self.reactor, LOOK_S)
        self._say(
            f"{self.now():6.2f} s  traffic is over; {len(self.unended())} messages or call-backs are open"
        )

    def _listed_workers(self, random: Random) -> list[HttpWorker]:
        work = Work(random, *LISTED_WORK_S)
        service = SERVICES[Kind.LISTED]
        return [
            HttpWorker(self.reactor, self.now, self.history, work, service, f"i-{number}", LISTED_SLOTS)
            for number in range(1, LISTED_WORKERS + 1)
        ]

    def _pulling_workers(self, random: Random) -> list[PullingWorker]:
        short, long = Work(random, *PULLED_WORK_S), Work(random, *LONG_PULLED_WORK_S)
        busy = self.plan.rate * SHARES[Kind.PULLED] * sum(PULLED_WORK_S) / 2
        count = max(LEAST_PULLERS, round(busy * SLOTS_OVER_LOAD))
        return [
            PullingWorker(
                self.reactor,
                self.now,
                self.history,
                self.entry,
                long if number % 8 == 0 else short,
                SERVICES[Kind.PULLED],
                f"p-{number}",
                random,
            )
            for number in range(count)
        ]

    def _second(self) -> None:
        self._ticks += 1
        since = self.now() - 1.0
        sends = [send for send in self.history.sends.values() if send.ended_at > since]
        done = sum(answer.status == 200 and answer.at > since for answer in self.history.answers)
        self._look_at_machine()
        self._say(second_line(self._ticks, sends, done, len(self.unended()), self.held_up[-1]))

    def _look_at_machine(self) -> None:
        """A machine that is busy with other things holds the system up: what it does then is not its own."""
        shares = [0.0]
        for name, process in self.processes.items():
            if not process.running():
                continue
            waited = process.waited_s()
            shares.append(max(waited - self._waited.get(name, waited), 0.0))
            self._waited[name] = waited
        self.held_up.append(max(shares))

    def held_up_line(self) -> str:
        """How far the machine's other work disturbed the rehearsal."""
        average = sum(self.held_up) / max(len(self.held_up), 1)
        most = max(self.held_up, default=0.0)
        text = f"held up by the machine: {average:.0%} of a second on average, {most:.0%} most"
        return text + ("; TOO BUSY, times and elections are not the system's own" if average > BUSY else "")
