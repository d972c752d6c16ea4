"""A scenario on sockets: emulated workers, clients and discovery around real nodes."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from bitternpath.testing.emulator.checker import SOCKET_SLACK, Checker
from bitternpath.testing.emulator.clients import ClientRequest, Clients, LoadBalancer
from bitternpath.testing.emulator.discovery import Directory
from bitternpath.testing.emulator.network import Network
from bitternpath.testing.emulator.scenario import Scenario, sample
from bitternpath.testing.emulator.service import ServiceMetrics
from bitternpath.testing.emulator.sockets.node import READY_TIMEOUT, SocketNode
from bitternpath.testing.emulator.sockets.pool import ClientConnection
from bitternpath.testing.emulator.sockets.processor_waits import ProcessorWaits
from bitternpath.testing.emulator.sockets.requests import LATE_READ_TIME
from bitternpath.testing.emulator.sockets.run import RunningNode
from bitternpath.testing.emulator.sockets.workers import WorkerServers
from bitternpath.testing.emulator.troubles.register import ActiveFault, schedule_fault
from bitternpath.testing.emulator.worker import Worker
from bitternpath.testing.emulator.world import Result, World

if TYPE_CHECKING:
    from bitternpath.testing.emulator.fleet.processes import FleetProcesses

LATENESS_INTERVAL = 0.01  # s between samples of the emulator's own lateness
SAMPLES_PER_CORE_CHECK = 5  # every so many samples, the nodes' waits for a core are read as well
TRAILING_TIME = 1.0  # s after the last possible answer, for data still in transit
CONSOLE_FAULTS = ("out-by-hand", "upgrades")  # kinds of faults for which nodes need a console


class RunClock:
    """The reactor's clock relative to the start of the run, with the interface of `Scheduler`."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.started_at = reactor, reactor.seconds()
        self.callLater = reactor.callLater
        self.events_processed = 0  # not counted here

    def seconds(self) -> float:
        return float(self.reactor.seconds() - self.started_at)

    @property
    def now(self) -> float:
        return self.seconds()


class SocketWorld(World):
    """One scenario with a seed, on Twisted's reactor; `folder` takes the nodes' files and logs."""

    nodes: dict[str, SocketNode]  # type: ignore[assignment]

    def __init__(self, scenario: Scenario, seed: int, reactor: Any, folder: Path) -> None:
        self.scenario, self.seed, self.policy = scenario, seed, "sockets"
        self.reactor, self.folder = reactor, folder
        self.scheduler: Any = RunClock(reactor)
        self.random = Random(f"{seed} world")
        self.net = Network(scenario.net, Random(f"{seed} net"))
        self.failure_detection_s = sample(self.random, scenario.front_notice_s)
        rules = scenario.rules
        self.metrics = ServiceMetrics(scenario.classes, scenario.prices)
        self.checker = Checker(rules.drain_grace_ms / 1000.0, rules.answer_grace_ms / 1000.0, SOCKET_SLACK)
        self.known_starts: dict[str, dict[str, float]] = {}
        self.duplicate_call_backs = 0.0
        self.blocked_call_backs: set[str] = set()
        self._hash = None
        self.workers = self._workers(Random(f"{seed} workers"))
        self.directory = Directory(scenario.discovery, self.scheduler, Random(f"{seed} discovery"))
        self.directory.load(list(self.workers.values()))
        self.load_balancer = LoadBalancer(Random(f"{seed} front"))
        self.clients = Clients(
            scenario, 1.0, self.scheduler, Random(f"{seed} clients"), self.load_balancer, self.metrics,
            self.checker, self.to_client, self.trace,
        )  # fmt: skip
        self.clients.rate = scenario.clients.rate or scenario.clients.load * self.capacity()
        self.active_faults: list[ActiveFault] = []
        self.client_requests: dict[str, ClientRequest] = {}
        self.connections: dict[str, ClientConnection] = {}  # by request id
        self.failures: list[str] = []
        self.lateness: list[float] = []
        self.processor_waits = ProcessorWaits()
        self._core_waits_seen: dict[int, float] = {}  # pid: s waited for a core up to the previous sample
        self.needs_console = any(t.kind in CONSOLE_FAULTS for t in scenario.troubles)
        self.fleet = self._fleet() if scenario.fleet.stewards else None
        self.nodes = self._socket_nodes()
        self.worker_servers = WorkerServers(self)

    def _fleet(self) -> FleetProcesses:
        from bitternpath.testing.emulator.fleet.processes import FleetProcesses

        return FleetProcesses(self)

    def _socket_nodes(self) -> dict[str, SocketNode]:
        nodes: dict[str, SocketNode] = {}
        for site in self.scenario.sites:
            for _ in range(site.nodes):
                name = f"n{len(nodes)}"
                nodes[name] = SocketNode(self, name, site.name, len(nodes))
        return nodes

    def now(self) -> float:
        """s since the start of the run."""
        return float(self.scheduler.now)

    # ---- workers

    def end_process(self, worker: Worker, silent: bool) -> None:
        """Ends a worker's process, or makes its machine unreachable (`silent`)."""
        lost_jobs = worker.stop()
        if silent:
            self.worker_servers.go_silent(worker)
            worker.reachable = False
        else:
            self.worker_servers.close(worker)
            for attempt in lost_jobs:
                attempt.notify(attempt, "lost")
        self.directory.process_ended(worker, silent)

    def start_process(self, worker: Worker, cold: bool = True) -> None:
        worker.reachable = True
        self.worker_servers.open(worker)
        worker.start(cold)
        self.directory.process_started(worker)

    # ---- lateness of the machine

    def excuse_delay(self, now: float, node: RunningNode, client_request: ClientRequest) -> None:
        """Excuses a late answer that the machine rather than the node delayed; it makes the run void."""
        due = self.checker.deadline(client_request.id)
        overrun = now - due - self.checker.answer_grace - self.checker.slack
        if overrun <= 0.0 or not self.checker.awaits_answer(client_request.id):
            return
        self._sample_core_waits(now)
        if self.processor_waits.explains(overrun, node.name, client_request.sent, due, now):
            self.checker.abandoned(client_request.id)
            lateness = f"{(now - due) * 1000:.0f} ms late"
            self.processor_waits.excused.append(
                f"{node.name} had no core when request {client_request.id} was {lateness}"
            )

    def _sample_core_waits(self, now: float) -> None:
        for node in self.nodes.values():
            if node.process is None:
                continue
            pid, core_wait = node.process.pid, node.core_wait_s()
            self.processor_waits.record(
                now, node.name, max(core_wait - self._core_waits_seen.get(pid, core_wait), 0.0)
            )
            self._core_waits_seen[pid] = core_wait

    def _sample_lateness(self, due: float) -> None:
        lateness = self.reactor.seconds() - due
        self.lateness.append(lateness)
        self.processor_waits.record(self.now(), "", lateness)
        if len(self.lateness) % SAMPLES_PER_CORE_CHECK == 0:
            self._sample_core_waits(self.now())
        self.reactor.callLater(
            LATENESS_INTERVAL, self._sample_lateness, self.reactor.seconds() + LATENESS_INTERVAL
        )

    @property
    def lateness_p99(self) -> float:
        """p99 of the emulator's own lateness, in s."""
        ordered = sorted(self.lateness)
        return ordered[int(len(ordered) * 0.99)] if ordered else 0.0

    # ---- running

    def play(self, on_finished: Callable[[], None]) -> None:
        """Starts the nodes, and once all are ready the clients and faults; `on_finished` is called at the
        end."""
        self._sample_lateness(self.reactor.seconds())
        if self.fleet is not None:
            self.fleet.start()
        for node in self.nodes.values():
            node.start()
        self._await_ready(on_finished, time.monotonic())

    def _await_ready(self, on_finished: Callable[[], None], since: float) -> None:
        admitted = sum(len(nodes) for nodes in self.load_balancer.admitted.values())
        waiting = admitted < len(self.nodes) or (self.fleet is not None and self.fleet.unsettled_reason())
        if waiting and time.monotonic() < since + READY_TIMEOUT:
            self.reactor.callLater(0.02, self._await_ready, on_finished, since)
            return
        self.scheduler.started_at = self.reactor.seconds()
        self.directory.epoch = time.time() * 1000.0
        self.lateness.clear()
        fault_random = Random(f"{self.seed} troubles")
        for spec in self.scenario.troubles:
            schedule_fault(self, spec, fault_random)
        self.clients.start()
        self._await_end(on_finished)

    def _await_end(self, on_finished: Callable[[], None]) -> None:
        longest_timeout = max(c.give_up for c in self.scenario.classes) / 1000.0
        ended = self.now() > self.scenario.seconds and not self.clients.unfinished and not self.connections
        if (
            not ended
            and self.now() <= self.scenario.seconds + longest_timeout + LATE_READ_TIME + TRAILING_TIME
        ):
            self.reactor.callLater(0.05, self._await_end, on_finished)
            return
        self.checker.finish(self.now())
        if self.fleet is not None:
            self.fleet.finish(on_finished)
        else:
            on_finished()

    def close(self) -> None:
        """Stops everything that was started."""
        for node in self.nodes.values():
            if node.crashed():
                last = node.log.read_text(errors="replace").splitlines()[-1:]
                code = node.process.returncode
                self.failures.append(f"{node.name} ended by itself with {code}: {' '.join(last)[:300]}")
            node.end()
        self.worker_servers.close_all()
        if self.fleet is not None:
            self.fleet.close()

    def final_result(self, wall_s: float) -> Result:
        """The result of the run, which took `wall_s` s."""
        result = self.result(wall_s)
        result.violations += self.failures
        if self.fleet is not None:
            result.violations = self.fleet.violations + result.violations
        for name in [*self.nodes, *(self.fleet.servers if self.fleet is not None else ())]:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            result.violations += [f"{name}: {line[:300]}" for line in re.findall(r".*trace=.*", text)[:3]]
        return result
