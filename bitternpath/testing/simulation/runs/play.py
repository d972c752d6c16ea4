"""Plays a plan in a world with all actors, and checks their observations."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.python.failure import Failure

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.callback_receiver import CallbackReceiver
from bitternpath.testing.fault_injection.checker import Violation, ended_times
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import (
    RATE_PER_S,
    TIMEOUT_MS,
    limits_document,
    route_document,
    rule_parameters,
    service_document,
)
from bitternpath.testing.fault_injection.records import DeliveryKind
from bitternpath.testing.fault_injection.state_readers import StateReaders
from bitternpath.testing.fault_injection.time_bounds import BOUNDS
from bitternpath.testing.simulation.actors.clients import CLIENT_IP, SimulatedClients, seeded
from bitternpath.testing.simulation.actors.machine_faults import MachineFaults
from bitternpath.testing.simulation.actors.node_directory import NodeDirectory
from bitternpath.testing.simulation.actors.operators import Operators
from bitternpath.testing.simulation.actors.run_context import RunContext
from bitternpath.testing.simulation.actors.workers import Workers
from bitternpath.testing.simulation.checks.all import Finding, check_run
from bitternpath.testing.simulation.checks.history import SystemHistory, SystemRule, SystemRuleParameters
from bitternpath.testing.simulation.events import (
    Event,
    Fault,
    Message,
    Order,
    Probe,
    ReadConfiguration,
    Retire,
    RunPlan,
    WorkerDeparture,
    WorkerFault,
)
from bitternpath.testing.simulation.runs.coverage import Coverage, coverage_of
from bitternpath.testing.simulation.settings import SMALL_LOGS, LogSizes, Plan
from bitternpath.testing.simulation.world import World

ENTRY_IP, CALLBACK_IP = "10.94.0.1", "10.93.0.1"
READY_TIMEOUT_S = 30.0  # from the start until all nodes are ready
POLL_INTERVAL_S = 0.25
FINISH_TIMEOUT_S = 30.0  # for all accepted messages to end, after `STABILIZATION_S`
STABILIZATION_S = 5.0  # between the last event and the first check for completion; over `catch_up_s`
READ_BACK_S = 4.0  # `contact_ms`
STATE_READS_TIMEOUT_S = 60.0  # for reading the states of all messages at the end


@dataclass(slots=True)
class RunReport:
    """The result of a run. `errors`: tracebacks of the actors themselves, which make the run void."""

    plan: RunPlan
    findings: list[Finding] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    digest: str = ""
    seconds: float = 0.0  # duration in virtual time
    events: int = 0  # number of scheduler events
    accepted: int = 0
    acknowledged: int = 0
    coverage: Coverage = field(default_factory=Coverage)

    @property
    def passed(self) -> bool:
        """Whether no rule was violated and no actor failed."""
        return not self.findings and not self.errors

    @property
    def checkers(self) -> list[str]:
        """The distinct checkers that reported violations, in order."""
        return list(dict.fromkeys(finding.checker for finding in self.findings))


class Run:
    """One run of a plan."""

    def __init__(self, plan: RunPlan, keep_log: bool = False) -> None:
        layout = plan.layout
        self.plan = plan
        self.report = RunReport(plan)
        self.world = World(
            plan.seed,
            Plan(
                core_edges=layout.core_edges,
                other_edges=layout.other_edges,
                storages=layout.storages,
                tolerated_machines=layout.tolerated,
                keep_log=keep_log,
                logs=SMALL_LOGS if layout.small_logs else LogSizes(),
                processor_share=layout.processor_share,
            ),
        )
        self.history = SystemHistory()
        self.parameters = system_rule_parameters(self.world)
        self._make_actors()

    def play(self) -> RunReport:
        """Play the plan to its end, and check the history."""
        if self._create_system():
            self._play_events()
            self._finish()
            self._check_history()
        self._add_internal_violations()
        report = self.report
        report.coverage = coverage_of(self.plan, self.world.recorder, self.history)
        report.digest = self.world.digest()
        report.seconds = self.world.now
        report.events = self.world.scheduler.events_run
        report.accepted = sum(1 for _ in self.history.accepted())
        report.acknowledged = sum(order.outcome.value == "acknowledged" for order in self.history.orders)
        return report

    # ---- stages

    def _make_actors(self) -> None:
        world, plan, history = self.world, self.plan, self.history
        self.directory = NodeDirectory(world, BOUNDS["seed_lag_s"])
        self.balancer = LoadBalancer(world.host(ENTRY_IP), self.directory.edges, seeded(plan, "entry"))
        self.receiver = CallbackReceiver(self._context(CALLBACK_IP), seeded(plan, "callbacks"), CALLBACK_IP)
        self.workers = Workers(world, plan, history, self.balancer)
        run = RunContext(world, plan, history, self.directory, self._failed)
        self.operators = Operators(run)
        self.clients = SimulatedClients(run, self.balancer, self.operators, self.receiver.url)
        self.machine_faults = MachineFaults(world, history, self.directory)
        self.operators.on_retired = self.machine_faults.retired

    def _create_system(self) -> bool:
        """Start all nodes and create the configuration; returns False if nodes don't become ready in time."""
        self.world.start()
        self.balancer.start()
        self.operators.create_configuration(first_document(self.workers.endpoint.address))
        ready = self._until(READY_TIMEOUT_S, self._is_ready)
        if not ready:
            names = [edge.name for edge in self.balancer.ready()]
            self._add(SystemRule.FOUNDING, f"version {self.operators.newest['version']}, ready: {names}")
        return ready

    def _is_ready(self) -> bool:
        return self.operators.newest["version"] > 0 and len(self.balancer.ready()) == len(
            self.directory.edges
        )

    def _play_events(self) -> None:
        """Schedule and play all events of the plan."""
        for puller in self.workers.pullers:
            puller.start(self._failed)
        began = self.world.now
        for event in self.plan.events:
            self.world.at(began + event.at, self._play_event, event)
        self.world.run_until(began + self.plan.seconds)
        self.machine_faults.heal()

    def _play_event(self, event: Event) -> None:
        match event:
            case Fault():
                self.machine_faults.play(event)
            case Order():
                self.operators.order(event)
            case Retire():
                self.operators.retire(event)
            case Message():
                self.clients.message(event)
            case Probe():
                self.clients.probe(event)
            case ReadConfiguration():
                self.operators.read_configuration(event)
            case WorkerFault():
                self.workers.inject(event)
            case WorkerDeparture():
                self.workers.drain(event)

    def _finish(self) -> None:
        """Wait until accepted messages have ended; read all states and the configuration."""
        self.world.run_until(self.world.now + STABILIZATION_S)
        self._until(FINISH_TIMEOUT_S, self._all_ended)
        self.history.finished = self.world.now
        readers = StateReaders(self._context(CLIENT_IP), self.balancer)
        done: list[object] = []
        self._start(readers.read_all(list(self.history.accepted())), done)
        self.operators.read_back(READ_BACK_S)
        self._until(STATE_READS_TIMEOUT_S, lambda: bool(done) and not self.operators.in_flight)
        for puller in self.workers.pullers:
            puller.stop()
        self.balancer.stop()

    def _all_ended(self) -> bool:
        if self.operators.in_flight or self.clients.in_flight:
            return False
        ended = ended_times(self.history, self.parameters)
        delivered = {
            notification.request_id for notification in self.history.callbacks if notification.accepted
        }
        return all(
            ended[send.request_id] <= self.world.now
            and (not send.wants_callback or send.request_id in delivered)
            for send in self.history.accepted()
        )

    def _check_history(self) -> None:
        self.report.findings += check_run(self.history, self.parameters)

    def _add_internal_violations(self) -> None:
        """Add violations that the world recorded: broken invariants, errors in nodes, exits of processes."""
        for violation in self.world.violations:
            self._add(SystemRule.GROUP_INVARIANT, f"{violation.rule} at {violation.at:.3f}: {violation.text}")
        for failure in self.world.failures:
            self._add(SystemRule.FAULT, f"{failure.host} at {failure.at:.3f}: {failure.text}")
        for node in self.world.nodes.values():
            if any(node.exit_codes):
                self._add(SystemRule.FAULT, f"{node.name} ended with {node.exit_codes}")

    # ---- helpers

    def _now(self) -> float:
        return self.world.now

    def _context(self, ip: str) -> ActorContext:
        return ActorContext(self.world.host(ip), self._now, self.history)

    def _until(self, seconds: float, done: Callable[[], bool]) -> bool:
        """Play until `done()`, for `seconds` at most; returns whether it became true."""
        give_up_at = self.world.now + seconds
        while not done():
            if self.world.now >= give_up_at:
                return False
            self.world.run_until(self.world.now + POLL_INTERVAL_S)
        return True

    def _start(self, work: Any, done: list[object]) -> None:
        from twisted.internet.defer import Deferred

        Deferred.fromCoroutine(work).addCallbacks(done.append, self._failed)

    def _failed(self, failure: Failure) -> None:
        self.report.errors.append(failure.getTraceback())

    def _add(self, rule: SystemRule, text: str) -> None:
        self.report.findings.append(Finding(rule.value.lower(), Violation(rule, "", text)))


def play(plan: RunPlan) -> RunReport:
    """Play a plan."""
    return Run(plan).play()


def first_document(endpoint: str) -> dict[str, Any]:
    """The first configuration document."""
    return {
        "version": 1,
        "routes": [route_document(kind, TIMEOUT_MS) for kind in DeliveryKind],
        "services": [service_document(kind, RATE_PER_S, endpoint) for kind in DeliveryKind],
        "limits": limits_document(),
    }


def system_rule_parameters(world: World) -> SystemRuleParameters:
    """The parameters of the rules for a world."""
    return rule_parameters(
        SystemRuleParameters,
        RATE_PER_S,
        core=frozenset(node.name for node in world.edges() if node.counted),
        stores=frozenset(node.name for node in world.storages()),
        edges=frozenset(node.name for node in world.edges()),
        config_apply_s=BOUNDS["config_apply_ms"] / 1000,
        downgrade_slack_s=BOUNDS["downgrade_slack_ms"] / 1000,
        drain_s=BOUNDS["drain_ms"] / 1000,
        ack_s=BOUNDS["ack_ms"] / 1000,
        status_s=BOUNDS["status_s"],
    )
