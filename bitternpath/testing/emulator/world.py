"""The world in virtual time: all parts of a scenario put together, and a run of it."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import xxhash
from msgspec import Struct

from bitternpath.balancer import messages as m
from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.clients import Clients, Front
from bitternpath.testing.emulator.clock import Scheduler
from bitternpath.testing.emulator.discovery import EPOCH, Directory
from bitternpath.testing.emulator.network import Network
from bitternpath.testing.emulator.nodes import VirtualNode
from bitternpath.testing.emulator.policies import POLICIES
from bitternpath.testing.emulator.scenario import MOST_REQUESTS, Kind, Scenario, ScenarioError, drawn
from bitternpath.testing.emulator.service import Tally
from bitternpath.testing.emulator.troubles.register import Active, begin
from bitternpath.testing.emulator.worker import Worker

CELL = 4  # workers that share a cell
TAIL = 2.0  # s after the last deadline
OVERLAP = 3.0  # s that a machine which is replaced still drains


class Result(Struct):
    """What came of a run."""

    scenario: str
    seed: int
    policy: str
    figures: dict[str, float]
    by_class: dict[str, float]
    by_site: dict[str, float]
    by_second: dict[int, float]
    counts: dict[str, dict[int, int]]  # what: by second
    work_by_second: dict[int, float]  # s of a core of speed 1
    percentiles: dict[str, dict[str, float]]  # class: ms
    requests: int
    violations: list[str]
    lost_by_death: int
    troubles: list[dict[str, Any]]
    trace: str
    events: int
    wall_s: float

    @property
    def kept(self) -> bool:
        return not self.violations


def settings_of(scenario: Scenario, site: str, number: int, nodes: int) -> m.Settings:
    """What a node is told, in the module's words."""
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
    """A machine's name; sorted, names tell nothing of age or kind, nor of the site that is written behind."""
    return f"{random.getrandbits(32):08x}-{site}"


class World:
    """A scenario with a seed and a policy."""

    def __init__(self, scenario: Scenario, seed: int, policy: str = "module", traced: bool = True) -> None:
        self.scenario, self.seed, self.policy = scenario, seed, policy
        self.later = Scheduler()
        # A source of its own for each part, so that one part's draws do not move another's.
        self.random = Random(f"{seed} world")
        self.net = Network(scenario.net, Random(f"{seed} net"))
        self.dial_timeout = scenario.net.dial_timeout_ms / 1000.0
        self.front_notice = drawn(self.random, scenario.front_notice_s)
        rules = scenario.rules
        self.tally = Tally(scenario.classes, scenario.prices)
        self.checker = Checker(rules.drain_grace_ms / 1000.0, rules.answer_grace_ms / 1000.0)
        self.informed: dict[str, dict[str, float]] = {}  # worker: node: start that it was told of
        self.call_backs_twice = 0.0
        self.losing: set[str] = set()  # workers whose call-backs are lost
        self._hash = xxhash.xxh3_128() if traced else None
        self.workers = self._workers(Random(f"{seed} workers"))
        self.directory = Directory(scenario.discovery, self.later, Random(f"{seed} discovery"))
        self.directory.know(list(self.workers.values()))
        self.front = Front(Random(f"{seed} front"))
        clients = Random(f"{seed} clients")
        self.clients = Clients(
            scenario,
            1.0,
            self.later,
            clients,
            self.front,
            self.tally,
            self.checker,
            self.to_client,
            self.trace,
        )
        self.clients.rate = scenario.clients.rate or scenario.clients.load * self.capacity()
        if self.clients.rate * scenario.seconds > MOST_REQUESTS:
            many = f"{self.clients.rate:.0f} first tries a second for {scenario.seconds:.0f} s"
            raise ScenarioError(f"{scenario.name}: clients.load: {many}; at most {MOST_REQUESTS} in all")
        self.nodes = self._nodes()
        self.active: list[Active] = []
        self._asks: dict[str, Any] = {}  # request: what is asked, for the oracle alone
        self.reserved: dict[str, int] = {}  # worker: jobs of the oracle's that have not come to it yet

    # ---- its parts

    def _workers(self, random: Random) -> dict[str, Worker]:
        kinds, names = self.scenario.kinds, Random(f"{self.seed} names")
        made: dict[str, Worker] = {}
        for site in self.scenario.sites:
            for _ in range(site.workers):
                kind: Kind = random.choices(kinds, [kind.share for kind in kinds])[0]
                name = worker_name(names, site.name)
                made[name] = self._worker(name, site.name, kind, len(made) // CELL, random)
        return made

    def _worker(self, name: str, site: str, kind: Kind, cell: int, random: Random) -> Worker:
        worker, rules = Worker(name, site, kind, cell, self.later, random), self.scenario.rules
        worker.fall_multiple, worker.fall_span = rules.fall_multiple, rules.fall_ms / 1000.0
        worker.on_fall = self._fell
        return worker

    def _nodes(self) -> dict[str, VirtualNode]:
        made: dict[str, VirtualNode] = {}
        for site in self.scenario.sites:
            for _ in range(site.nodes):
                name = f"n{len(made)}"
                made[name] = VirtualNode(self, name, site.name, len(made), Random(f"{self.seed} {name}"))
        return made

    def capacity(self) -> float:
        """First tries a second that fill all cores of the warm fleet."""
        classes = self.scenario.classes
        shares = sum(c.share for c in classes)
        mean = sum(c.share * self.clients.mean_work[c.name] for c in classes) / shares
        return sum(w.speed * w.kind.cores for w in self.workers.values()) / mean

    def make_policy(self, node: VirtualNode) -> Any:
        """The decisions of one life of a node."""
        settings = settings_of(self.scenario, node.site, node.number, len(self.nodes))
        made = POLICIES[self.policy](settings, node.random.getrandbits(48), node.clock())
        if self.policy == "oracle":
            made.look, made.worth, made.reserve = self._look, self._worth, self._reserve
            made.free = self._free
        for action in getattr(made, "acts", ()):  # asked for before any event
            if isinstance(action, m.StartTimer):
                node.timer.callLater(action.delay / 1000.0, self._wake, node, action.label, node.timer)
        if hasattr(made, "acts"):
            made.acts = []
        return made

    @staticmethod
    def _wake(node: VirtualNode, label: str, timer: Any) -> None:
        from bitternpath.balancer.core.events import TimerExpired

        if node.timer is timer:
            node.broker._append(TimerExpired(label))

    def _look(self, name: str, request: str, zone: str) -> tuple[float, bool]:
        """For the oracle: s until a job would end there, from the true state, and whether it would begin
        at once."""
        worker, now = self.workers[name], self.later.now
        never = float("inf"), False
        if not worker.up or not worker.reachable or worker.fallen or not self.net.passes(zone, worker.site):
            return never
        rate = worker.core_rate(now)
        found = self._asks.get(request)
        if rate <= 0.0 or found is None or not self.net.passes(worker.site, zone):
            return never
        coming = self.reserved.get(name, 0)
        if worker.up_since > 0.0 and now < worker.up_since + worker.cold_s:
            sent = sum(w for at, w, _ in worker.pressure if at >= now - worker.fall_span)
            if (
                sent + (1 + coming) * found.work
                > 0.5 * worker.fall_multiple * worker.capacity(now) * worker.fall_span
            ):
                return never
        held, cores = worker.held + coming, worker.kind.cores
        left = sum(max(end - worker._v, 0.0) for end, _, _ in worker.running) + sum(
            a.work for a in worker.queue
        )
        wait = 0.0 if held < cores else (left + coming * found.work) / cores / rate
        away = 2 * self.net.cross if zone != worker.site else 0.0
        return wait + found.work / rate + away, held < cores

    def _worth(self, request: str) -> tuple[float, float, float]:
        found = self._asks.get(request)
        if found is None:
            return 0.0, 0.0, 0.0
        late = found.job_class.late_worth
        by = found.in_time_by - found.work / 0.8
        return found.job_class.worth / found.work, EPOCH + by * 1000.0, late

    def _free(self) -> bool:
        taken = self.reserved
        return any(w.up and w.held + taken.get(name, 0) < w.kind.cores for name, w in self.workers.items())

    def _reserve(self, name: str) -> None:
        self.reserved[name] = self.reserved.get(name, 0) + 1

    # ---- what happens

    def trace(self, *what: Any) -> None:
        if self._hash is not None:
            self._hash.update(f"{self.later.now:.6f} {what}\n".encode())

    def to_client(self, client_site: str, node_site: str) -> float:
        """One way between a client and a node, s."""
        away = self.net.delay(client_site, node_site) if client_site != node_site else 0.0
        return self.net.to_client() + away

    def call_backs_lost(self, worker: Worker) -> bool:
        return worker.id in self.losing

    def _fell(self, worker: Worker, informed: float) -> None:
        self.trace("fell", worker.id)
        self.checker.fell(self.later.now, worker.id, informed)
        self.later.callLater(0.0, self.end_process, worker, False)

    def end_process(self, worker: Worker, silent: bool) -> None:
        """A worker's process ends, or its machine can't be reached any more (`silent`)."""
        self.trace("worker ends", worker.id, silent)
        had = worker.stop()
        if silent:
            worker.reachable = False
        else:
            for node in self.nodes.values():
                node.conns.pop(worker.id, None)
                node.open.pop(worker.id, None)
            worker.connections = 0
            for attempt in had:  # the machine's agent saw the process die
                attempt.tell(attempt, "lost")
        self.directory.ended(worker, silent)

    def start_process(self, worker: Worker, cold: bool = True) -> None:
        self.trace("worker starts", worker.id)
        worker.reachable = True
        for node in self.nodes.values():
            node.conns.pop(worker.id, None)
            node.open.pop(worker.id, None)
        worker.connections = 0
        worker.start(cold)
        self.directory.started(worker)

    def replace(self, old: Worker, random: Random) -> None:
        """A machine gives way to a new one: it drains and ends, the other starts cold under a new name."""
        self.directory.draining(old)
        self.later.callLater(OVERLAP, self.end_process, old, False)
        name = worker_name(random, old.site)
        new = self.workers[name] = self._worker(name, old.site, old.kind, old.cell, random)
        new.up = False
        self.start_process(new)

    # ---- a run

    def run(self) -> Result:
        begun = time.perf_counter()
        if any(trouble.kind == "upgrades" for trouble in self.scenario.troubles):
            raise ScenarioError(f"{self.scenario.name}: troubles: upgrades: on sockets only, give --sockets")
        if self.scenario.fleet.stewards:
            raise ScenarioError(f"{self.scenario.name}: fleet.stewards: on sockets only, give --sockets")
        spread = Random(f"{self.seed} starts")
        for node in self.nodes.values():
            self.later.callLater(spread.random() * self.scenario.start_spread_s, node.start)
        troubles = Random(f"{self.seed} troubles")
        for trouble in self.scenario.troubles:
            begin(self, trouble, troubles)
        self.clients.start()
        longest = max(c.give_up for c in self.scenario.classes) / 1000.0
        end = self.scenario.seconds + longest + TAIL
        self.later.run(end)
        self.checker.end(self.later.now)
        return self.result(time.perf_counter() - begun)

    def result(self, wall: float) -> Result:
        tally, broken = self.tally, self.checker.broken
        counts: dict[str, dict[int, int]] = {}
        for (second, what), many in sorted(tally.counts.items()):
            counts.setdefault(what, {})[second] = many
        return Result(
            scenario=self.scenario.name,
            seed=self.seed,
            policy=self.policy,
            figures=tally.figures(),
            by_class=tally.by(1),
            by_site=tally.by(2),
            by_second=tally.by(0),
            counts=counts,
            work_by_second=dict(sorted(tally.work_done.items())),
            percentiles={name: percentiles(took) for name, took in sorted(tally.took.items())},
            requests=tally.firsts,
            violations=[str(violation) for violation in broken[:100]],
            lost_by_death=self.checker.lost_by_death,
            troubles=[active.told() for active in self.active],
            trace=self._hash.hexdigest() if self._hash is not None else "",
            events=self.later.done,
            wall_s=wall,
        )


def percentiles(took: list[float]) -> dict[str, float]:
    """p50, p90, p99 and the longest, by HdrHistogram (3 digits, 0.1 ms to 60 s)."""
    from hdrh.histogram import HdrHistogram

    kept = HdrHistogram(1, 600_000, 3)
    for value in took:
        kept.record_value(max(int(value * 10), 1))
    return {f"p{p:g}": kept.get_value_at_percentile(p) / 10 for p in (50, 90, 99)} | {
        "max": kept.get_max_value() / 10
    }


def play(scenario: Scenario, seed: int, policy: str = "module", traced: bool = True) -> Result:
    """One run."""
    return World(scenario, seed, policy, traced).run()


__all__ = ["Result", "World", "play", "settings_of"]
