"""The test environment: the system in its own processes, and the other actors in this process."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from twisted.internet.task import LoopingCall, deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.callback_receiver import CallbackReceiver
from bitternpath.testing.fault_injection.checker import ended_times
from bitternpath.testing.fault_injection.clients import Clients
from bitternpath.testing.fault_injection.configuration_operator import Operator
from bitternpath.testing.fault_injection.endpoint_list import EndpointListServer
from bitternpath.testing.fault_injection.http_workers import Endpoint, HttpWorker, WorkerDescription
from bitternpath.testing.fault_injection.job_behavior import JobBehavior
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import SERVICES, SHARES, Plan, first_configuration
from bitternpath.testing.fault_injection.processes import Process
from bitternpath.testing.fault_injection.pulling_worker import PullingWorker
from bitternpath.testing.fault_injection.records import DeliveryKind, History, Send
from bitternpath.testing.fault_injection.state_readers import StateReaders
from bitternpath.testing.fault_injection.statistics import second_line

READY_WITHIN_S = 15.0  # time-out from the first configuration until all edge nodes are ready
FINISH_S = 20.0  # maximum time after the traffic for accepted messages to end
CALLBACK_FINISH_S = 3.0  # additional time for the last call-backs
POLL_INTERVAL_S = 0.25
READ_BACK_S = 4.0  # `contact_ms`
LISTED_WORKERS = 4
LISTED_SLOTS = 6
LISTED_WORK_S = (0.04, 0.14)
ENDPOINT_SLOTS = 40
ENDPOINT_WORK_S = (0.05, 0.15)
PULLED_WORK_S = (0.08, 0.3)
LONG_PULLED_WORK_S = (1.2, 2.4)  # for every `LONG_PULLER_EVERY`-th puller, which has to extend its leases
LONG_PULLER_EVERY = 8
MIN_PULLERS = 8
PULLING_SLOTS_PER_BUSY = 2.5  # ratio of pulling slots to the average number of busy ones

MAX_CPU_WAIT_SHARE = 0.15  # share of each second; above it heartbeats are late


class SystemNotReadyError(Exception):
    """The system did not become ready in time; the message names the failed stage. A retry may succeed."""


def monotonic_reactor() -> Any:
    """Return the reactor, with its timers on the monotonic clock."""
    from twisted.internet import reactor

    running: Any = reactor
    running.seconds = time.monotonic
    return running


class World:
    """The environment of a plan; each stage of a run is a method."""

    def __init__(self, reactor: Any, plan: Plan, folder: Path, report: Callable[[str], None]) -> None:
        self.reactor = reactor
        self.plan = plan
        self._report = report
        self._started_at = time.monotonic()
        self.history = History()
        self.parameters = plan.parameters()
        self.context = ActorContext(reactor, self.now, self.history)
        self.errors: list[str] = []
        random = Random(plan.seed)
        self.platform = EndpointListServer(reactor, self.now)
        self.processes = {
            machine.name: Process(plan, machine, folder, self.platform.address) for machine in plan.machines
        }
        self.balancer = LoadBalancer(reactor, plan.edges, Random(plan.seed + 3))
        self.callback_receiver = CallbackReceiver(self.context, Random(plan.seed + 4))
        self.listed_workers = self._listed_workers(random)
        service = SERVICES[DeliveryKind.ENDPOINT]
        self.endpoint = Endpoint(
            self.context,
            JobBehavior(random, *ENDPOINT_WORK_S),
            WorkerDescription(service, f"{service}-endpoint", ENDPOINT_SLOTS),
            plan.endpoint_rate,
        )
        self.pullers = self._pulling_workers(random)
        self.clients = Clients(self.context, self.balancer, self.callback_receiver.url)
        self.operator = Operator(self.context, plan)
        self._second_timer = LoopingCall(self._report_second)
        self._reported_seconds = 0
        self._cpu_wait_s: dict[str, float] = {}
        # By second: the longest share for which a process waited for a processor.
        self.cpu_wait_shares: list[float] = []

    def now(self) -> float:
        """Return the seconds since the environment was created."""
        return time.monotonic() - self._started_at

    def failed(self, failure: Any) -> None:
        """Record an error of the environment itself, which makes the result invalid."""
        self.errors.append(failure.getTraceback())

    async def start(self) -> None:
        """Start all processes, create the configuration, and wait until all edge nodes are ready.

        Raises `SystemNotReadyError`.
        """
        self.platform.publish([worker.list_entry() for worker in self.listed_workers])
        for process in self.processes.values():
            process.start()
        self.balancer.start()
        document = first_configuration(self.plan, self.endpoint.address)
        if not await self.operator.create_configuration(document):
            raise SystemNotReadyError("no edge node acknowledged the first configuration")
        self._report(f"{self.now():6.2f} s  first configuration acknowledged")
        give_up_at = self.now() + READY_WITHIN_S
        while len(self.balancer.ready()) < len(self.plan.edges):
            if self.now() > give_up_at:
                ready = [edge.name for edge in self.balancer.ready()]
                raise SystemNotReadyError(f"only {ready} of {len(self.plan.edges)} edge nodes are ready")
            await deferLater(self.reactor, POLL_INTERVAL_S)
        self._report(f"{self.now():6.2f} s  all edge nodes are ready")
        for puller in self.pullers:
            puller.start(self.failed)

    async def traffic(self) -> None:
        """Send messages for the planned time, and wait for their answers."""
        until = self.now() + self.plan.seconds
        self._second_timer.start(1.0, now=False)
        self.clients.run(until, self.plan.rate, Random(self.plan.seed), self.failed)
        while self.now() < until or self.clients.in_flight:
            await deferLater(self.reactor, POLL_INTERVAL_S)

    async def finish(self) -> None:
        """Wait until all accepted messages have ended, then read all states and the configuration."""
        await self._wait_until_ended()
        self._second_timer.stop()
        self.history.finished = self.now()
        readers = StateReaders(self.context, self.balancer)
        await readers.read_all(list(self.history.accepted()))
        await self.operator.read_back(READ_BACK_S)

    def stop(self) -> None:
        """Stop all timers, workers and processes."""
        if self._second_timer.running:
            self._second_timer.stop()
        for puller in self.pullers:
            puller.stop()
        self.balancer.stop()
        for process in self.processes.values():
            process.running()
            process.kill()

    def unfinished(self) -> list[Send]:
        """Return the accepted messages that have not ended or whose call-back has not been accepted."""
        ended = ended_times(self.history, self.parameters)
        delivered = {callback.request_id for callback in self.history.callbacks if callback.accepted}
        return [
            send
            for send in self.history.accepted()
            if ended[send.request_id] > self.now()
            or (send.wants_callback and send.request_id not in delivered)
        ]

    async def _wait_until_ended(self) -> None:
        give_up_at = self.now() + FINISH_S + CALLBACK_FINISH_S
        while self.unfinished() and self.now() < give_up_at:
            await deferLater(self.reactor, POLL_INTERVAL_S)
        self._report(
            f"{self.now():6.2f} s  traffic ended; {len(self.unfinished())} messages or call-backs are open"
        )

    def _listed_workers(self, random: Random) -> list[HttpWorker]:
        behavior = JobBehavior(random, *LISTED_WORK_S)
        service = SERVICES[DeliveryKind.LISTED]
        return [
            HttpWorker(self.context, behavior, WorkerDescription(service, f"i-{number}", LISTED_SLOTS))
            for number in range(1, LISTED_WORKERS + 1)
        ]

    def _pulling_workers(self, random: Random) -> list[PullingWorker]:
        short = JobBehavior(random, *PULLED_WORK_S)
        long = JobBehavior(random, *LONG_PULLED_WORK_S)
        busy = self.plan.rate * SHARES[DeliveryKind.PULLED] * sum(PULLED_WORK_S) / 2
        count = max(MIN_PULLERS, round(busy * PULLING_SLOTS_PER_BUSY))
        return [
            PullingWorker(
                self.context,
                self.balancer,
                long if number % LONG_PULLER_EVERY == 0 else short,
                WorkerDescription(SERVICES[DeliveryKind.PULLED], f"p-{number}"),
                random,
            )
            for number in range(count)
        ]

    def _report_second(self) -> None:
        self._reported_seconds += 1
        since = self.now() - 1.0
        sends = [send for send in self.history.sends.values() if send.ended_at > since]
        done = sum(answer.status == 200 and answer.at > since for answer in self.history.answers)
        self._sample_cpu_wait()
        self._report(
            second_line(self._reported_seconds, sends, done, len(self.unfinished()), self.cpu_wait_shares[-1])
        )

    def _sample_cpu_wait(self) -> None:
        """Record the longest share of the last second for which a process waited for a processor."""
        shares = [0.0]
        for name, process in self.processes.items():
            if not process.running():
                continue
            cpu_wait_s = process.cpu_wait_s()
            shares.append(max(cpu_wait_s - self._cpu_wait_s.get(name, cpu_wait_s), 0.0))
            self._cpu_wait_s[name] = cpu_wait_s
        self.cpu_wait_shares.append(max(shares))

    def cpu_wait_line(self) -> str:
        """Return a line about the time for which processes waited for a processor."""
        average = sum(self.cpu_wait_shares) / max(len(self.cpu_wait_shares), 1)
        maximum = max(self.cpu_wait_shares, default=0.0)
        text = f"cpu wait: {average:.0%} of a second on average, {maximum:.0%} maximum"
        return text + (
            "; MACHINE TOO BUSY, latencies and elections are not representative"
            if average > MAX_CPU_WAIT_SHARE
            else ""
        )
