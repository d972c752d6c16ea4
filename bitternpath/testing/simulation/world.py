"""One simulated run of the service in virtual time (see the package's docstring)."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.simulation.faults import Faults
from bitternpath.testing.simulation.group_invariants import GroupInvariantChecker, Violation
from bitternpath.testing.simulation.network import Network
from bitternpath.testing.simulation.processes import NodeSetup, NodeState, SimulatedNode
from bitternpath.testing.simulation.reactor import VirtualReactor
from bitternpath.testing.simulation.recorder import HostFailure, Ownership, Recorder
from bitternpath.testing.simulation.scheduler import Call, Scheduler, Timer
from bitternpath.testing.simulation.settings import (
    PLATFORM_IP,
    PLATFORM_PORT,
    SMALL_LOGS,
    MachineSpec,
    Plan,
    settings_document,
)

START_SPREAD_S = 0.3  # interval in which all machines start, in seconds
MAX_SEEDS = 3

__all__ = ["PLATFORM_IP", "PLATFORM_PORT", "SMALL_LOGS", "NodeState", "Plan", "SimulatedNode", "World"]


class World(Faults):
    """Hosts, nodes, links and disks of one run, which is determined by its seed."""

    platform_address = f"{PLATFORM_IP}:{PLATFORM_PORT}"

    def __init__(self, seed: int | str, plan: Plan | None = None) -> None:
        self.seed = seed
        self.plan = plan or Plan()
        self.scheduler = Scheduler()
        self.recorder = Recorder(self.scheduler, self.plan.keep_log)
        self._randoms: dict[str, Random] = {}
        self.network = Network(self.scheduler, self.recorder, self.random("network"))
        self.invariants = GroupInvariantChecker(self.recorder, lambda: self.scheduler.now)
        self.nodes: dict[str, SimulatedNode] = {}
        self._actors: dict[str, VirtualReactor] = {}
        self._machine_counts: dict[tuple[str, str], int] = {}
        self.seeds: list[str] = []
        self._make_nodes()

    # ---- time and randomness

    @property
    def now(self) -> float:
        """Seconds since the run began."""
        return self.scheduler.now

    def run_until(self, seconds: float) -> None:
        """Play all events up to that time; raises exceptions of actors."""
        self.recorder.attach()
        try:
            self.scheduler.run_until(seconds)
        finally:
            self.recorder.detach()

    def run_for(self, seconds: float) -> None:
        """Play all events of the next `seconds` seconds."""
        self.run_until(self.now + seconds)

    def at(self, seconds: float, call: Call, *arguments: Any) -> Timer:
        """Schedule a call outside of all hosts."""
        return self.scheduler.at(seconds, call, *arguments)

    def random(self, name: str) -> Random:
        """The random generator for one purpose, derived from the run's seed."""
        if name not in self._randoms:
            self._randoms[name] = Random(f"{self.seed}/{name}")
        return self._randoms[name]

    # ---- hosts and nodes

    def host(self, ip: str) -> VirtualReactor:
        """The reactor of an actor's host, created on first use."""
        reactor = self._actors.get(ip)
        if reactor is None:
            reactor = VirtualReactor(self.network.add_host(ip, ""), ip)
            reactor.propagates_errors = True
            self._actors[ip] = reactor
        return reactor

    def start(self) -> None:
        """Start all nodes within 0.3 s, in an order drawn from the seed."""
        random = self.random("start")
        for node in self.nodes.values():
            node.start_after(random.uniform(0, START_SPREAD_S))

    def edges(self) -> list[SimulatedNode]:
        """Edge nodes that aren't removed."""
        return self._of_role("edge")

    def storages(self) -> list[SimulatedNode]:
        """Storage nodes that aren't removed."""
        return self._of_role("storage")

    def add_node(
        self, role: str, zone: str = "", counted: bool | None = None, has_disk: bool | None = None
    ) -> SimulatedNode:
        """Add an empty machine and start its process."""
        storage = role == "storage"
        spec = self._machine_spec(
            role,
            zone or self.plan.zones[0],
            storage if counted is None else counted,
            storage if has_disk is None else has_disk,
        )
        node = self._add(spec, bootstrap=False)
        self.recorder.event("add", node.name)
        node.start()
        return node

    def current_seeds(self) -> list[str]:
        """Control addresses of the first three edge machines, as operators would list them now."""
        return [node.control for node in self.edges()][:MAX_SEEDS]

    # ---- records of the run

    @property
    def trace(self) -> list[str]:
        """One line for each event."""
        return self.recorder.trace

    @property
    def log(self) -> list[str]:
        """Log lines of the nodes; empty unless `Plan.keep_log` is set."""
        return self.recorder.log

    @property
    def failures(self) -> list[HostFailure]:
        """Errors that nodes logged with a traceback, and unhandled exceptions."""
        return self.recorder.failures

    @property
    def ownerships(self) -> list[Ownership]:
        """All changes of the ownership of groups."""
        return self.recorder.ownerships

    @property
    def violations(self) -> list[Violation]:
        """Broken invariants of replica groups."""
        return self.invariants.violations

    def digest(self) -> str:
        """A checksum of the trace and of every byte received; equal runs have equal digests."""
        return self.recorder.digest

    # ---- creation of nodes

    def _make_nodes(self) -> None:
        plan = self.plan
        for number in range(plan.core_edges):
            self._add_initial_machine("edge", number, True, True)
        for number in range(plan.other_edges):
            self._add_initial_machine("edge", number, False, False)
        for number in range(plan.storages):
            self._add_initial_machine("storage", number, True, True)
        self.seeds = self.current_seeds()
        for node in self.nodes.values():
            node.document["seeds"] = list(self.seeds)

    def _add_initial_machine(self, role: str, number: int, counted: bool, has_disk: bool) -> None:
        zone = self.plan.zones[number % len(self.plan.zones)]
        self._add(self._machine_spec(role, zone, counted, has_disk), bootstrap=True)

    def _machine_spec(self, role: str, zone: str, counted: bool, has_disk: bool) -> MachineSpec:
        number = self._machine_counts.get((role, zone), 0) + 1
        self._machine_counts[role, zone] = number
        network = 1 + self.plan.zones.index(zone)
        ip = f"10.{network}.{0 if role == 'edge' else 1}.{30 + number}"
        return MachineSpec(f"{role}-{zone}-{number}", role, ip, zone, counted, has_disk)

    def _add(self, spec: MachineSpec, bootstrap: bool) -> SimulatedNode:
        random = self.random(spec.name)
        document = settings_document(self.plan, spec, self.current_seeds(), bootstrap)
        skew_ms = random.randint(-self.plan.skew_ms, self.plan.skew_ms)
        setup = NodeSetup(spec, document, skew_ms, self.plan.logs, self.plan.processor_share)
        node = SimulatedNode(self.network, self.invariants, setup, random)
        self.nodes[spec.name] = node
        return node

    def _of_role(self, role: str) -> list[SimulatedNode]:
        return [
            node for node in self.nodes.values() if node.role == role and node.state is not NodeState.REMOVED
        ]
