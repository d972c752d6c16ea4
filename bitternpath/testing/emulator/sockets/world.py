"""A scenario on sockets: the model's workers, clients and discovery round real nodes."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from bitternpath.testing.emulator.checker import SLACK, Checker
from bitternpath.testing.emulator.clients import Clients, Front, Try
from bitternpath.testing.emulator.discovery import Directory
from bitternpath.testing.emulator.network import Network
from bitternpath.testing.emulator.scenario import Scenario, drawn
from bitternpath.testing.emulator.service import Tally
from bitternpath.testing.emulator.sockets.node import READY_WITHIN, SocketNode
from bitternpath.testing.emulator.sockets.pool import ClientConnection
from bitternpath.testing.emulator.sockets.processor_waits import ProcessorWaits
from bitternpath.testing.emulator.sockets.requests import READ_ON
from bitternpath.testing.emulator.sockets.run import RunningNode
from bitternpath.testing.emulator.sockets.workers import WorkerServers
from bitternpath.testing.emulator.troubles.register import Active, begin
from bitternpath.testing.emulator.worker import Worker
from bitternpath.testing.emulator.world import Result, World

if TYPE_CHECKING:
    from bitternpath.testing.emulator.fleet.processes import FleetOnSockets

LOOK = 0.01  # s between looks at the world's own lateness
LOOKS_FOR_CORES = 5  # of these looks, one asks how long each node has waited for a core
TAIL = 1.0  # s after the last answer that can come, for what is still on its way
OPERATORS = ("out-by-hand", "upgrades")  # troubles for which nodes need a console


class RunClock:
    """The reactor's clock from the start of a run, as the model's parts want it."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.begun = reactor, reactor.seconds()
        self.callLater = reactor.callLater
        self.done = 0  # events are not counted here

    def seconds(self) -> float:
        return float(self.reactor.seconds() - self.begun)

    @property
    def now(self) -> float:
        return self.seconds()


class SocketWorld(World):
    """A scenario with a seed, on Twisted's reactor; `folder` takes the nodes' files and logs."""

    nodes: dict[str, SocketNode]  # type: ignore[assignment]

    def __init__(self, scenario: Scenario, seed: int, reactor: Any, folder: Path) -> None:
        self.scenario, self.seed, self.policy = scenario, seed, "sockets"
        self.reactor, self.folder = reactor, folder
        self.later: Any = RunClock(reactor)
        self.random = Random(f"{seed} world")
        self.net = Network(scenario.net, Random(f"{seed} net"))
        self.front_notice = drawn(self.random, scenario.front_notice_s)
        rules = scenario.rules
        self.tally = Tally(scenario.classes, scenario.prices)
        self.checker = Checker(rules.drain_grace_ms / 1000.0, rules.answer_grace_ms / 1000.0, SLACK)
        self.informed: dict[str, dict[str, float]] = {}
        self.call_backs_twice = 0.0
        self.losing: set[str] = set()
        self._hash = None
        self.workers = self._workers(Random(f"{seed} workers"))
        self.directory = Directory(scenario.discovery, self.later, Random(f"{seed} discovery"))
        self.directory.know(list(self.workers.values()))
        self.front = Front(Random(f"{seed} front"))
        self.clients = Clients(
            scenario, 1.0, self.later, Random(f"{seed} clients"), self.front, self.tally, self.checker,
            self.to_client, self.trace,
        )  # fmt: skip
        self.clients.rate = scenario.clients.rate or scenario.clients.load * self.capacity()
        self.active: list[Active] = []
        self.asks: dict[str, Try] = {}
        self.connections: dict[str, ClientConnection] = {}  # by request
        self.faults: list[str] = []
        self.lateness: list[float] = []
        self.processor_waits = ProcessorWaits()
        self._waited: dict[int, float] = {}  # process: s it had waited for a core at the last look
        self.operated = any(t.kind in OPERATORS for t in scenario.troubles)
        self.fleet = self._fleet() if scenario.fleet.stewards else None
        self.nodes = self._socket_nodes()
        self.worker_servers = WorkerServers(self)

    def _fleet(self) -> FleetOnSockets:
        from bitternpath.testing.emulator.fleet.processes import FleetOnSockets

        return FleetOnSockets(self)

    def _socket_nodes(self) -> dict[str, SocketNode]:
        made: dict[str, SocketNode] = {}
        for site in self.scenario.sites:
            for _ in range(site.nodes):
                name = f"n{len(made)}"
                made[name] = SocketNode(self, name, site.name, len(made))
        return made

    def now(self) -> float:
        """s of the run."""
        return float(self.later.now)

    # ---- workers

    def end_process(self, worker: Worker, silent: bool) -> None:
        """A worker's process ends, or its machine can't be reached any more (`silent`)."""
        had = worker.stop()
        if silent:
            self.worker_servers.silence(worker)
            worker.reachable = False
        else:
            self.worker_servers.close(worker)
            for attempt in had:
                attempt.tell(attempt, "lost")
        self.directory.ended(worker, silent)

    def start_process(self, worker: Worker, cold: bool = True) -> None:
        worker.reachable = True
        self.worker_servers.open(worker)
        worker.start(cold)
        self.directory.started(worker)

    # ---- a busy machine

    def excuse(self, now: float, node: RunningNode, told: Try) -> None:
        """An answer that the machine, not the node, held up says nothing of the rules; the run is void."""
        due = self.checker.due(told.id)
        over = now - due - self.checker.answer_grace - self.checker.slack
        if over <= 0.0 or not self.checker.owed(told.id):
            return
        self._look_for_cores(now)
        if self.processor_waits.excuses(over, node.name, told.sent, due, now):
            self.checker.left(told.id)
            late = f"{(now - due) * 1000:.0f} ms late"
            self.processor_waits.excused.append(f"{node.name} had no core when request {told.id} was {late}")

    def _look_for_cores(self, now: float) -> None:
        for node in self.nodes.values():
            if node.process is None:
                continue
            pid, waited = node.process.pid, node.waited()
            self.processor_waits.record(now, node.name, max(waited - self._waited.get(pid, waited), 0.0))
            self._waited[pid] = waited

    def _look_late(self, due: float) -> None:
        late = self.reactor.seconds() - due
        self.lateness.append(late)
        self.processor_waits.record(self.now(), "", late)
        if len(self.lateness) % LOOKS_FOR_CORES == 0:
            self._look_for_cores(self.now())
        self.reactor.callLater(LOOK, self._look_late, self.reactor.seconds() + LOOK)

    @property
    def own_lateness(self) -> float:
        """Its p99 in s."""
        found = sorted(self.lateness)
        return found[int(len(found) * 0.99)] if found else 0.0

    # ---- a run

    def play(self, over: Callable[[], None]) -> None:
        """Start the nodes; once all are ready, the clients and what goes wrong; `over` is called at the
        end."""
        self._look_late(self.reactor.seconds())
        if self.fleet is not None:
            self.fleet.start()
        for node in self.nodes.values():
            node.start()
        self._await_ready(over, time.monotonic())

    def _await_ready(self, over: Callable[[], None], since: float) -> None:
        admitted = sum(len(nodes) for nodes in self.front.admitted.values())
        waits = admitted < len(self.nodes) or (self.fleet is not None and self.fleet.unsettled())
        if waits and time.monotonic() < since + READY_WITHIN:
            self.reactor.callLater(0.02, self._await_ready, over, since)
            return
        self.later.begun = self.reactor.seconds()
        self.directory.epoch = time.time() * 1000.0
        self.lateness.clear()
        troubles = Random(f"{self.seed} troubles")
        for trouble in self.scenario.troubles:
            begin(self, trouble, troubles)
        self.clients.start()
        self._await_end(over)

    def _await_end(self, over: Callable[[], None]) -> None:
        longest = max(c.give_up for c in self.scenario.classes) / 1000.0
        ended = self.now() > self.scenario.seconds and not self.clients.open and not self.connections
        if not ended and self.now() <= self.scenario.seconds + longest + READ_ON + TAIL:
            self.reactor.callLater(0.05, self._await_end, over)
            return
        self.checker.end(self.now())
        if self.fleet is not None:
            self.fleet.finish(over)
        else:
            over()

    def close(self) -> None:
        """Stop all that was started."""
        for node in self.nodes.values():
            if node.crashed():
                last = node.log.read_text(errors="replace").splitlines()[-1:]
                code = node.process.returncode
                self.faults.append(f"{node.name} ended by itself with {code}: {' '.join(last)[:300]}")
            node.end()
        self.worker_servers.close_all()
        if self.fleet is not None:
            self.fleet.close()

    def finished(self, wall: float) -> Result:
        """What came of the run, which took `wall` s."""
        result = self.result(wall)
        result.violations += self.faults
        if self.fleet is not None:
            result.violations = self.fleet.faults + result.violations
        for name in [*self.nodes, *(self.fleet.stewards if self.fleet is not None else ())]:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            result.violations += [f"{name}: {line[:300]}" for line in re.findall(r".*trace=.*", text)[:3]]
        return result
