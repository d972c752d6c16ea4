"""The emulated world in virtual time: builds all parts of a scenario and runs it."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import xxhash
from msgspec import Struct

from bitternpath.balancer import messages as m
from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.clients import Clients, LoadBalancer
from bitternpath.testing.emulator.clock import Scheduler
from bitternpath.testing.emulator.discovery import EPOCH, Directory
from bitternpath.testing.emulator.network import Network
from bitternpath.testing.emulator.nodes import VirtualNode
from bitternpath.testing.emulator.policies import POLICIES
from bitternpath.testing.emulator.scenario import MAX_REQUESTS, Kind, Scenario, ScenarioError, sample
from bitternpath.testing.emulator.service import ServiceMetrics
from bitternpath.testing.emulator.troubles.register import ActiveFault, schedule_fault
from bitternpath.testing.emulator.worker import Worker

WORKERS_PER_CELL = 4  # workers per cell
TRAILING_TIME = 2.0  # s that a run continues after the last deadline
REPLACEMENT_OVERLAP = 3.0  # s that a replaced machine drains before it ends


class Result(Struct):
    """The outcome of a run, written as JSON under these field names."""

    scenario: str
    seed: int
    policy: str
    figures: dict[str, float]
    by_class: dict[str, float]
    by_site: dict[str, float]
    by_second: dict[int, float]
    counts: dict[str, dict[int, int]]  # event name: second: count
    work_by_second: dict[int, float]  # s of work on a core of speed 1
    percentiles: dict[str, dict[str, float]]  # class: percentile name: ms
    requests: int
    violations: list[str]
    lost_by_death: int
    troubles: list[dict[str, Any]]
    trace: str
    events: int
    wall_s: float

    @property
    def passed(self) -> bool:
        return not self.violations


def node_settings(scenario: Scenario, site: str, number: int, nodes: int) -> m.Settings:
    """The decision module's settings for one node of the scenario."""
    rules, prices = scenario.rules, scenario.prices
    return m.Settings(
        classes=tuple(
            m.JobClass(
                c.name,
                m.Effect.SAFE if c.safe else m.Effect.UNSAFE,
                c.aim,
                c.give_up,
                c.worth,
                c.late_worth,
                dedup_window=5000.0,
                work_factor=c.stretch,
            )
            for c in scenario.classes
        ),
        dispatcher_index=number,
        dispatchers=nodes,
        zone=site,
        kinds=tuple(kind.name for kind in scenario.kinds),
        drain_grace=rules.drain_grace_ms,
        answer_grace=rules.answer_grace_ms,
        cold_share=rules.stated_cold_share,
        warm_within=rules.stated_warm_ms,
        overload_multiple=rules.fall_multiple,
        overload_span=rules.fall_ms,
        second_copies=rules.second_copies,
        try_limit=rules.try_limit,
        max_retry_after=scenario.clients.longest_retry_after_ms,
        tick=2.0,
        list_on_request=scenario.discovery.calls_per_s > 0.0,
        must_ask_within=scenario.discovery.must_ask_s * 1000.0,
        reports_start=rules.tells_start,
        in_order=True,
        retries_marked=scenario.clients.marks_retry,
        progress_every=rules.progress_ms,
        late_fail_price=prices.late_fail,
        waste_price=prices.waste,
        cross_zone_price=prices.cross_site,
    )


def worker_name(random: Random, site: str) -> str:
    """A machine name that sorts independently of age, kind and site (the site is only a suffix)."""
    return f"{random.getrandbits(32):08x}-{site}"


class World:
    """One scenario with a seed and a policy."""

    def __init__(self, scenario: Scenario, seed: int, policy: str = "module", traced: bool = True) -> None:
        self.scenario, self.seed, self.policy = scenario, seed, policy
        self.scheduler = Scheduler()
        # Each part has its own random source, so that draws in one part do not shift those of another.
        self.random = Random(f"{seed} world")
        self.net = Network(scenario.net, Random(f"{seed} net"))
        self.dial_timeout = scenario.net.dial_timeout_ms / 1000.0
        self.failure_detection_s = sample(self.random, scenario.front_notice_s)
        rules = scenario.rules
        self.metrics = ServiceMetrics(scenario.classes, scenario.prices)
        self.checker = Checker(rules.drain_grace_ms / 1000.0, rules.answer_grace_ms / 1000.0)
        # worker: node: start time that discovery reported to the node
        self.known_starts: dict[str, dict[str, float]] = {}
        self.duplicate_call_backs = 0.0
        self.blocked_call_backs: set[str] = set()  # ids of workers whose call-backs don't get through
        self._hash = xxhash.xxh3_128() if traced else None
        self.workers = self._workers(Random(f"{seed} workers"))
        self.directory = Directory(scenario.discovery, self.scheduler, Random(f"{seed} discovery"))
        self.directory.load(list(self.workers.values()))
        self.load_balancer = LoadBalancer(Random(f"{seed} front"))
        clients = Random(f"{seed} clients")
        self.clients = Clients(
            scenario,
            1.0,
            self.scheduler,
            clients,
            self.load_balancer,
            self.metrics,
            self.checker,
            self.to_client,
            self.trace,
        )
        self.clients.rate = scenario.clients.rate or scenario.clients.load * self.capacity()
        if self.clients.rate * scenario.seconds > MAX_REQUESTS:
            load = f"{self.clients.rate:.0f} first requests per second for {scenario.seconds:.0f} s"
            raise ScenarioError(f"{scenario.name}: clients.load: {load}; at most {MAX_REQUESTS} in all")
        self.nodes = self._nodes()
        self.active_faults: list[ActiveFault] = []
        self._operations: dict[str, Any] = {}  # request id: its operation, read by the oracle only
        # worker: jobs that the oracle has sent and that have not arrived yet
        self.reserved: dict[str, int] = {}

    # ---- construction

    def _workers(self, random: Random) -> dict[str, Worker]:
        kinds, names = self.scenario.kinds, Random(f"{self.seed} names")
        workers: dict[str, Worker] = {}
        for site in self.scenario.sites:
            for _ in range(site.workers):
                kind: Kind = random.choices(kinds, [kind.share for kind in kinds])[0]
                name = worker_name(names, site.name)
                workers[name] = self._worker(name, site.name, kind, len(workers) // WORKERS_PER_CELL, random)
        return workers

    def _worker(self, name: str, site: str, kind: Kind, cell: int, random: Random) -> Worker:
        worker, rules = Worker(name, site, kind, cell, self.scheduler, random), self.scenario.rules
        worker.fall_multiple, worker.fall_span = rules.fall_multiple, rules.fall_ms / 1000.0
        worker.on_collapse = self._worker_collapsed
        return worker

    def _nodes(self) -> dict[str, VirtualNode]:
        nodes: dict[str, VirtualNode] = {}
        for site in self.scenario.sites:
            for _ in range(site.nodes):
                name = f"n{len(nodes)}"
                nodes[name] = VirtualNode(self, name, site.name, len(nodes), Random(f"{self.seed} {name}"))
        return nodes

    def capacity(self) -> float:
        """First requests per second that occupy all cores of the warm fleet."""
        classes = self.scenario.classes
        shares = sum(c.share for c in classes)
        mean = sum(c.share * self.clients.mean_work[c.name] for c in classes) / shares
        return sum(w.speed * w.kind.cores for w in self.workers.values()) / mean

    def make_policy(self, node: VirtualNode) -> Any:
        """Creates the decision module for one incarnation of a node."""
        settings = node_settings(self.scenario, node.site, node.number, len(self.nodes))
        policy = POLICIES[self.policy](settings, node.random.getrandbits(48), node.clock())
        if self.policy == "oracle":
            policy.estimate, policy.value_of, policy.reserve = (
                self._oracle_estimate,
                self._oracle_value,
                self._oracle_reserve,
            )
            policy.any_free = self._oracle_any_free
        for action in getattr(policy, "acts", ()):  # actions requested before the first event
            if isinstance(action, m.StartTimer):
                node.timer.callLater(
                    action.delay / 1000.0, self._timer_expired, node, action.label, node.timer
                )
        if hasattr(policy, "acts"):
            policy.acts = []
        return policy

    @staticmethod
    def _timer_expired(node: VirtualNode, label: str, timer: Any) -> None:
        from bitternpath.balancer.core.events import TimerExpired

        if node.timer is timer:
            node.broker._append(TimerExpired(label))

    def _oracle_estimate(self, name: str, request: str, zone: str) -> tuple[float, bool]:
        """For the oracle: seconds until a job would end on that worker, by its true state, and whether it
        would start at once."""
        worker, now = self.workers[name], self.scheduler.now
        unavailable = float("inf"), False
        if (
            not worker.alive
            or not worker.reachable
            or worker.collapsed
            or not self.net.delivers(zone, worker.site)
        ):
            return unavailable
        rate = worker.core_rate(now)
        operation = self._operations.get(request)
        if rate <= 0.0 or operation is None or not self.net.delivers(worker.site, zone):
            return unavailable
        reserved = self.reserved.get(name, 0)
        if worker.up_since > 0.0 and now < worker.up_since + worker.cold_s:
            sent = sum(w for at, w, _ in worker.recent_arrivals if at >= now - worker.fall_span)
            if (
                sent + (1 + reserved) * operation.work
                > 0.5 * worker.fall_multiple * worker.capacity(now) * worker.fall_span
            ):
                return unavailable
        job_count, cores = worker.job_count + reserved, worker.kind.cores
        remaining_work = sum(max(end - worker._virtual_time, 0.0) for end, _, _ in worker.running) + sum(
            a.work for a in worker.queue
        )
        wait = 0.0 if job_count < cores else (remaining_work + reserved * operation.work) / cores / rate
        transfer = 2 * self.net.cross_site if zone != worker.site else 0.0
        return wait + operation.work / rate + transfer, job_count < cores

    def _oracle_value(self, request: str) -> tuple[float, float, float]:
        operation = self._operations.get(request)
        if operation is None:
            return 0.0, 0.0, 0.0
        late = operation.job_class.late_worth
        latest_start = operation.target_deadline - operation.work / 0.8
        return operation.job_class.worth / operation.work, EPOCH + latest_start * 1000.0, late

    def _oracle_any_free(self) -> bool:
        reserved = self.reserved
        return any(
            w.alive and w.job_count + reserved.get(name, 0) < w.kind.cores for name, w in self.workers.items()
        )

    def _oracle_reserve(self, name: str) -> None:
        self.reserved[name] = self.reserved.get(name, 0) + 1

    # ---- events

    def trace(self, *event: Any) -> None:
        if self._hash is not None:
            self._hash.update(f"{self.scheduler.now:.6f} {event}\n".encode())

    def to_client(self, client_site: str, node_site: str) -> float:
        """One-way delay between a client and a node, in s."""
        transfer = self.net.delay(client_site, node_site) if client_site != node_site else 0.0
        return self.net.to_client() + transfer

    def call_backs_blocked(self, worker: Worker) -> bool:
        return worker.id in self.blocked_call_backs

    def _worker_collapsed(self, worker: Worker, informed_share: float) -> None:
        self.trace("fell", worker.id)
        self.checker.worker_collapsed(self.scheduler.now, worker.id, informed_share)
        self.scheduler.callLater(0.0, self.end_process, worker, False)

    def end_process(self, worker: Worker, silent: bool) -> None:
        """Ends a worker's process, or makes its machine unreachable (`silent`)."""
        self.trace("worker ends", worker.id, silent)
        lost_jobs = worker.stop()
        if silent:
            worker.reachable = False
        else:
            for node in self.nodes.values():
                node.idle_connections.pop(worker.id, None)
                node.open_connections.pop(worker.id, None)
            worker.connections = 0
            for attempt in lost_jobs:  # the machine's supervisor reports the jobs of the dead process
                attempt.notify(attempt, "lost")
        self.directory.process_ended(worker, silent)

    def start_process(self, worker: Worker, cold: bool = True) -> None:
        self.trace("worker starts", worker.id)
        worker.reachable = True
        for node in self.nodes.values():
            node.idle_connections.pop(worker.id, None)
            node.open_connections.pop(worker.id, None)
        worker.connections = 0
        worker.start(cold)
        self.directory.process_started(worker)

    def replace(self, old: Worker, random: Random) -> None:
        """Replaces a machine: the old one drains and ends, the new one starts cold under a new name."""
        self.directory.process_draining(old)
        self.scheduler.callLater(REPLACEMENT_OVERLAP, self.end_process, old, False)
        name = worker_name(random, old.site)
        new = self.workers[name] = self._worker(name, old.site, old.kind, old.cell, random)
        new.alive = False
        self.start_process(new)

    # ---- running

    def run(self) -> Result:
        started = time.perf_counter()
        if any(spec.kind == "upgrades" for spec in self.scenario.troubles):
            raise ScenarioError(f"{self.scenario.name}: troubles: upgrades: on sockets only, give --sockets")
        if self.scenario.fleet.stewards:
            raise ScenarioError(f"{self.scenario.name}: fleet.stewards: on sockets only, give --sockets")
        start_offsets = Random(f"{self.seed} starts")
        for node in self.nodes.values():
            self.scheduler.callLater(start_offsets.random() * self.scenario.start_spread_s, node.start)
        fault_random = Random(f"{self.seed} troubles")
        for spec in self.scenario.troubles:
            schedule_fault(self, spec, fault_random)
        self.clients.start()
        longest_timeout = max(c.give_up for c in self.scenario.classes) / 1000.0
        end = self.scenario.seconds + longest_timeout + TRAILING_TIME
        self.scheduler.run(end)
        self.checker.finish(self.scheduler.now)
        return self.result(time.perf_counter() - started)

    def result(self, wall_s: float) -> Result:
        metrics, violations = self.metrics, self.checker.violations
        counts: dict[str, dict[int, int]] = {}
        for (second, event), count in sorted(metrics.counts.items()):
            counts.setdefault(event, {})[second] = count
        return Result(
            scenario=self.scenario.name,
            seed=self.seed,
            policy=self.policy,
            figures=metrics.statistics(),
            by_class=metrics.value_by(1),
            by_site=metrics.value_by(2),
            by_second=metrics.value_by(0),
            counts=counts,
            work_by_second=dict(sorted(metrics.work_done.items())),
            percentiles={
                name: percentiles(latencies) for name, latencies in sorted(metrics.latencies.items())
            },
            requests=metrics.first_requests,
            violations=[str(violation) for violation in violations[:100]],
            lost_by_death=self.checker.lost_by_death,
            troubles=[fault.to_dict() for fault in self.active_faults],
            trace=self._hash.hexdigest() if self._hash is not None else "",
            events=self.scheduler.events_processed,
            wall_s=wall_s,
        )


def percentiles(latencies: list[float]) -> dict[str, float]:
    """p50, p90, p99 and maximum in ms, by HdrHistogram (3 significant digits, 0.1 ms to 60 s)."""
    from hdrh.histogram import HdrHistogram

    histogram = HdrHistogram(1, 600_000, 3)
    for value in latencies:
        histogram.record_value(max(int(value * 10), 1))
    return {f"p{p:g}": histogram.get_value_at_percentile(p) / 10 for p in (50, 90, 99)} | {
        "max": histogram.get_max_value() / 10
    }


def play(scenario: Scenario, seed: int, policy: str = "module", traced: bool = True) -> Result:
    """Runs a scenario once in virtual time."""
    return World(scenario, seed, policy, traced).run()


__all__ = ["Result", "World", "node_settings", "play"]
