"""Workers of a simulated run: listed workers with incarnations, one endpoint, and pulling workers.

Called workers can be faulty: they fail, refuse, don't answer, drop connections or send malformed answers. A
run that is answered in such a way doesn't count as ended.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from bitternpath.net.http1 import Request
from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.endpoint_list import EndpointListServer
from bitternpath.testing.fault_injection.http_client import Reply
from bitternpath.testing.fault_injection.http_server import ServerConnection
from bitternpath.testing.fault_injection.http_workers import (
    READ_MARGIN_AFTER_ANSWER_S,
    Endpoint,
    HttpWorker,
    Job,
    WorkerDescription,
)
from bitternpath.testing.fault_injection.job_behavior import JobBehavior
from bitternpath.testing.fault_injection.plan import RATE_PER_S, SERVICES
from bitternpath.testing.fault_injection.pulling_worker import PullingWorker
from bitternpath.testing.fault_injection.records import Answer, DeliveryKind
from bitternpath.testing.simulation.checks.history import Drain, SystemHistory
from bitternpath.testing.simulation.events import RunPlan, WorkerDeparture, WorkerFault, WorkerFaultKind
from bitternpath.testing.simulation.settings import PLATFORM_IP, PLATFORM_PORT

if TYPE_CHECKING:
    from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
    from bitternpath.testing.simulation.processes import SimulatedNode
    from bitternpath.testing.simulation.world import World

LISTED_WORKERS, LISTED_SLOTS, LISTED_WORK_S = 3, 4, (0.02, 0.12)
ENDPOINT_SLOTS, ENDPOINT_WORK_S = 8, (0.02, 0.1)
PULLERS, PULLED_WORK_S = 4, (0.05, 0.3)
LONG_PULLED_WORK_S = (1.2, 2.4)  # for one puller, which has to extend its leases
WORKER_PORT = 8080
LISTED_NETWORK, ENDPOINT_IP, PULLER_NETWORK = "10.98.0", "10.97.0.1", "10.96.0"
MAX_LIST_LAG_S = 0.8  # maximum delay of a change in the platform's list
DRAIN_S = 4.5  # time from the start of draining to the end of a worker; over `drain_ms`
UNLIST_DELAY_S = 1.0  # time from the end of a worker to its removal from the list
ADDRESS_REUSE_DELAY_S = 2.5  # time until a new incarnation reuses the address; over `reuse_after_s`
OTHER_ID = "f" * 16
JUNK = b"\x00\x7fHTPT/1.1 2oo \r\n\x01\x02\r\n"
SHORT_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 4096\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n\r\nhalf"
)


class FaultyWorker(HttpWorker):
    """A called worker with injected faults."""

    fault: WorkerFaultKind | None = None
    on_answer: Callable[[Answer, str], object]  # receives each answer and the address of its receiver

    def begin_fault(self, world: World, fault: WorkerFaultKind, lasts: float) -> None:
        """Be faulty for `lasts` seconds."""
        self.fault = fault
        world.at(world.now + lasts, self._end_fault, fault)

    def _end_fault(self, fault: WorkerFaultKind) -> None:
        if self.fault is fault:
            self.fault = None

    def _rejection_status(self, request: Request, request_id: str) -> int:
        return super()._rejection_status(request, request_id) or (
            503 if self.fault is WorkerFaultKind.REFUSING else 0
        )

    def _answer(self, job: Job, status: int) -> None:
        if self.fault is WorkerFaultKind.FAILING:
            status = 500
        elif self.fault is not None and status != 504 and self._answer_faulty(self.fault, job):
            return
        super()._answer(job, status)

    def _record_answer(self, answer: Answer, connection: ServerConnection) -> None:
        super()._record_answer(answer, connection)
        self.on_answer(answer, connection.transport.getPeer().host)

    def _answer_faulty(self, fault: WorkerFaultKind, job: Job) -> bool:
        """Answer according to the fault; returns False if the fault doesn't change answers."""
        transport, stamp = job.connection.transport, self._behavior.stamp(self.instance)
        if fault is WorkerFaultKind.NO_ANSWER:
            return True
        if fault is WorkerFaultKind.DROPPING:
            transport.abortConnection()
        elif fault is WorkerFaultKind.JUNK:
            transport.write(JUNK)
            transport.loseConnection()
        elif fault is WorkerFaultKind.SHORT:
            transport.write(SHORT_RESPONSE % (job.request_id.encode(), stamp.encode()))
            transport.loseConnection()
        elif fault is WorkerFaultKind.OTHER_ID:
            job.answer.callback(
                Reply(200, {**self._identity_headers(OTHER_ID), "X-Server-Stamp": stamp}, b"ok")
            )
        elif fault is WorkerFaultKind.NO_STAMP:
            job.answer.callback(Reply(200, self._identity_headers(job.request_id), b"ok"))
        else:
            return False
        return True


class FaultyEndpoint(Endpoint, FaultyWorker):
    """The endpoint with injected faults."""


class Workers:
    """All workers, and the platform's endpoint list."""

    def __init__(self, world: World, plan: RunPlan, history: SystemHistory, balancer: LoadBalancer) -> None:
        self._world = world
        self._history = history
        self._seed = plan.seed
        self.platform = EndpointListServer(
            world.host(PLATFORM_IP), lambda: world.now, PLATFORM_IP, PLATFORM_PORT
        )
        self._incarnations = [0] * LISTED_WORKERS
        self._entries: dict[str, dict[str, Any]] = {}
        self._list_delays = Random(f"{plan.seed}/list")
        self.listed = [self._start(index) for index in range(LISTED_WORKERS)]
        self.platform.publish(list(self._entries.values()))
        service = SERVICES[DeliveryKind.ENDPOINT]
        self.endpoint = FaultyEndpoint(
            self._context(ENDPOINT_IP),
            self._behavior("endpoint", ENDPOINT_WORK_S),
            WorkerDescription(service, f"{service}-endpoint", ENDPOINT_SLOTS),
            RATE_PER_S,
            ENDPOINT_IP,
        )
        self.endpoint.on_answer = self._record_read
        self.pullers = [self._puller(number, balancer) for number in range(PULLERS)]

    def inject(self, event: WorkerFault) -> None:
        """Make a worker faulty for a while."""
        worker = self.endpoint if event.worker < 0 else self.listed[event.worker]
        worker.begin_fault(self._world, event.fault, event.lasts)

    def drain(self, event: WorkerDeparture) -> None:
        """Show a worker as draining, end it, and start a new incarnation at its address."""
        worker = self.listed[event.worker]
        entry = self._entries.get(worker.instance)
        if entry is None or entry["state"] == "draining":
            return
        self._entries[worker.instance] = {**entry, "state": "draining"}
        self._publish(worker.instance)
        self._world.at(self._world.now + DRAIN_S, self._end, event.worker, worker)

    def _end(self, index: int, worker: FaultyWorker) -> None:
        worker.close()
        self._world.at(self._world.now + UNLIST_DELAY_S, self._unlist, worker.instance)
        self._world.at(self._world.now + ADDRESS_REUSE_DELAY_S, self._start_again, index)

    def _unlist(self, instance: str) -> None:
        del self._entries[instance]
        self._publish()

    def _start_again(self, index: int) -> None:
        self.listed[index] = self._start(index)
        self._publish()

    def _start(self, index: int) -> FaultyWorker:
        self._incarnations[index] += 1
        instance = f"i-{index}-{self._incarnations[index]}"
        ip = f"{LISTED_NETWORK}.{index + 1}"
        worker = FaultyWorker(
            self._context(ip),
            self._behavior(instance, LISTED_WORK_S),
            WorkerDescription(SERVICES[DeliveryKind.LISTED], instance, LISTED_SLOTS),
            ip,
            WORKER_PORT,
        )
        worker.on_answer = self._record_read
        self._entries[instance] = worker.list_entry()
        return worker

    def _record_read(self, answer: Answer, sender: str) -> None:
        """Mark an answer as read if its receiver keeps running for as long as it may be in flight."""
        node = next(node for node in self._world.nodes.values() if node.ip == sender)
        incarnation = node.incarnations
        answer.read = _is_running(node)

        def check_again() -> None:
            answer.read = answer.read and _is_running(node) and node.incarnations == incarnation

        self._world.at(self._world.now + READ_MARGIN_AFTER_ANSWER_S, check_again)

    def _publish(self, draining: str = "") -> None:
        """Show the current entries in the platform's list after a random delay."""
        entries = list(self._entries.values())
        self._world.at(
            self._world.now + self._list_delays.uniform(0.0, MAX_LIST_LAG_S), self._show, entries, draining
        )

    def _show(self, entries: list[dict[str, Any]], draining: str) -> None:
        self.platform.publish(entries)
        if draining:
            self._history.drains.append(Drain(draining, self._world.now))

    def _context(self, ip: str) -> ActorContext:
        return ActorContext(self._world.host(ip), lambda: self._world.now, self._history)

    def _behavior(self, purpose: str, seconds: tuple[float, float]) -> JobBehavior:
        return JobBehavior(Random(f"{self._seed}/work/{purpose}"), *seconds)

    def _puller(self, number: int, balancer: LoadBalancer) -> PullingWorker:
        seconds = PULLED_WORK_S if number else LONG_PULLED_WORK_S
        return PullingWorker(
            self._context(f"{PULLER_NETWORK}.{number + 1}"),
            balancer,
            self._behavior(f"puller {number}", seconds),
            WorkerDescription(SERVICES[DeliveryKind.PULLED], f"p-{number}"),
            Random(f"{self._seed}/puller/{number}"),
        )


def _is_running(node: SimulatedNode) -> bool:
    return node.state.value == "up" and node.factor == 1.0
