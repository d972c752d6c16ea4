"""Generation of plans from a seed: traffic, orders, and faults within `fault_tolerance` (DEPLOY, "Losses").

A counted machine is lost from its fault until `catch_up_s` after its return or its successor's start. At most
`tolerated` machines are lost at one time, except that all may be killed, or lose power, together.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from bitternpath.testing.fault_injection.records import DeliveryKind
from bitternpath.testing.fault_injection.time_bounds import BOUNDS
from bitternpath.testing.simulation.events import (
    Event,
    Fault,
    FaultKind,
    Layout,
    Message,
    Order,
    OrderStyle,
    Probe,
    ReadConfiguration,
    Retire,
    RunPlan,
    WorkerDeparture,
    WorkerFault,
    WorkerFaultKind,
)
from bitternpath.testing.simulation.settings import Plan

CATCH_UP_S = BOUNDS["catch_up_s"]
GRACE_S = BOUNDS["grace_s"]
EARLY_GAP_S = 0.2  # maximum time between the earliest permitted time and an early fault
EARLY_SHARE = 0.6  # share of early faults
LONGEST_GAP_S = 3.0  # maximum time between the earliest permitted time and any other fault
FIRST_FAULT_S = 1.0
ORDER_KEYS = 5
KIND_WEIGHTS = {DeliveryKind.LISTED: 4, DeliveryKind.ENDPOINT: 3, DeliveryKind.PULLED: 3}
DELAYED_SHARE, MAX_DELAY_S = 0.2, 2.0
MESSAGE_SIZES = (20, 200, 2_000, 20_000)
STATE_READ_SHARE, MAX_STATE_READ_DELAY_S = 0.5, 8.0
VERSION_STEPS = (1, 1, 2, 3, 7)
RIVAL_COUNTS = (1, 1, 2, 7)
LOST_ANSWER_COUNTS = (1, 1, 2, 3)
DURATIONS_S = {
    FaultKind.KILL: (0.3, 3.0),
    FaultKind.POWER: (0.3, 4.0),
    FaultKind.WIPE: (0.3, 3.0),
    FaultKind.FREEZE: (0.3, 6.0),
    FaultKind.PARTITION: (0.5, 10.0),
    FaultKind.PARTITION_INBOUND: (0.5, 6.0),
    FaultKind.PARTITION_OUTBOUND: (0.5, 6.0),
    FaultKind.PARTITION_WITH_SEEDS: (0.5, 10.0),
    FaultKind.SLOW: (0.5, 4.0),
    FaultKind.STALL: (0.3, 3.0),
    FaultKind.ALL_KILLED: (0.2, 0.9),
    FaultKind.ALL_POWER: (0.3, 2.0),
    FaultKind.HALVES: (0.5, 8.0),
    FaultKind.HERD_KILLED: (0.2, 0.9),
    FaultKind.POWER_CHAIN: (0.3, 4.0),
    FaultKind.LOSSY: (0.5, 6.0),
}
EDGE_KINDS = (FaultKind.KILL, FaultKind.FREEZE, FaultKind.PARTITION, FaultKind.RESET, FaultKind.TERM)
MASS_KINDS = (
    FaultKind.ALL_KILLED,
    FaultKind.ALL_POWER,
    FaultKind.HALVES,
    FaultKind.HERD_KILLED,
    FaultKind.POWER_CHAIN,
)
HERD_SHARES = (0.4, 0.7, 1.0)  # shares of all machines
SHORTEST_CHAIN_GAP_S, LONGEST_CHAIN_GAP_S = 0.1, 1.5
CLOCK_STEPS_MS = (-6_000, -1_500, -100, 100, 1_500, 6_000)
QUOTA_SHARE = 0.1  # processor share, see `Layout.processor_share`


@dataclass(frozen=True, slots=True)
class Scenario:
    """A mix of events. Rates are per second; weights needn't add up to one."""

    name: str
    faults: dict[FaultKind, float]
    core_share: float = 0.5  # share of single-machine faults that hit the core instead of a storage machine
    layout: Layout = field(default_factory=Layout)
    seconds: float = 14.0
    messages: float = 5.0
    orders: float = 1.0
    probes: float = 2.5
    configuration_reads: float = 1.5
    worker_faults: float = 0.15
    edge_faults: float = 0.1
    retirements: int = 0
    final: float = 0.2  # share of runs that end with a loss of power of all counted machines


# Kinds that have scenarios of their own are left out, so that seeds of older scenarios give the same plans.
_ALL: dict[FaultKind, float] = {
    kind: 1.0
    for kind in FaultKind
    if kind not in (FaultKind.ADD, FaultKind.CLOCK_STEP, FaultKind.LOSSY, *MASS_KINDS)
}
_ALL |= {FaultKind.ADD: 0.3, FaultKind.ALL_KILLED: 0.4, FaultKind.ALL_POWER: 0.4}
_PARTITIONS = (
    FaultKind.PARTITION,
    FaultKind.PARTITION_INBOUND,
    FaultKind.PARTITION_OUTBOUND,
    FaultKind.PARTITION_WITH_SEEDS,
    FaultKind.FREEZE,
)
_LOSSES = (FaultKind.WIPE, FaultKind.REPLACE, FaultKind.POWER, FaultKind.ALL_POWER)
_CRASHES = (FaultKind.KILL, FaultKind.ALL_KILLED, FaultKind.ALL_POWER, FaultKind.POWER)
_SNAPSHOTS = {
    **dict.fromkeys(_LOSSES, 1.0),
    FaultKind.KILL: 1.0,
    FaultKind.PARTITION: 2.0,
    FaultKind.SLOW: 1.0,
}
_OVERLAPS = {
    FaultKind.POWER_CHAIN: 2.0,
    FaultKind.WIPE: 1.0,
    FaultKind.REPLACE: 0.5,
    FaultKind.ALL_POWER: 0.5,
}
_HERD_KILLS = {
    FaultKind.HERD_KILLED: 2.0,
    FaultKind.ALL_KILLED: 1.0,
    FaultKind.WIPE: 0.5,
    FaultKind.STALL: 0.5,
}
_CLOCKS = {FaultKind.CLOCK_STEP: 3.0, FaultKind.KILL: 1.0, FaultKind.FREEZE: 0.5, FaultKind.POWER: 0.5}
_QUOTA = {FaultKind.KILL: 1.0, FaultKind.TERM: 1.0, FaultKind.POWER: 0.5, FaultKind.WIPE: 0.5}
_WIDE = Layout(core_edges=5, other_edges=1, storages=5, tolerated=2)

SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("mixed", _ALL),
        Scenario("cuts", dict.fromkeys(_PARTITIONS, 1.0), core_share=0.8, orders=1.5),
        Scenario("losses", dict.fromkeys(_LOSSES, 1.0), seconds=20.0, messages=4.0),
        Scenario("crashes", dict.fromkeys(_CRASHES, 1.0), final=0.6),
        Scenario("retire", _ALL, core_share=0.3, layout=Layout(storages=5), retirements=2, seconds=16.0),
        Scenario("orders", _ALL, core_share=1.0, messages=1.0, orders=4.0, configuration_reads=3.0),
        Scenario("workers", {FaultKind.RESET: 1.0, FaultKind.TERM: 1.0}, worker_faults=1.2, messages=8.0),
        Scenario("wide", _ALL, layout=_WIDE, messages=3.0, seconds=12.0),
        Scenario("snapshots", _SNAPSHOTS, layout=Layout(small_logs=True), orders=3.0, messages=6.0),
        Scenario("halves", {FaultKind.HALVES: 2.0, FaultKind.KILL: 0.5, FaultKind.RESET: 0.5}, orders=2.0),
        Scenario("overlaps", _OVERLAPS, layout=Layout(small_logs=True), seconds=20.0, orders=2.0, final=0.5),
        Scenario("herds", _HERD_KILLS, layout=Layout(other_edges=3), orders=2.0, final=0.6),
        Scenario("clocks", _CLOCKS, orders=2.0),
        Scenario("lossy", {FaultKind.LOSSY: 3.0, FaultKind.KILL: 0.5, FaultKind.PARTITION: 0.5}, orders=2.0),
        Scenario(
            "quota",
            _QUOTA,
            layout=Layout(processor_share=QUOTA_SHARE),
            seconds=16.0,
            messages=3.0,
            orders=1.5,
        ),
    )
}


def draw(seed: int, scenario: Scenario) -> RunPlan:
    """Generate the plan of a seed."""
    random = Random(f"{seed}/{scenario.name}")
    events = [
        *_messages(random, scenario),
        *_orders(random, scenario),
        *(Probe(number=0, at=at) for at in _times(random, scenario.probes, scenario.seconds)),
        *(
            ReadConfiguration(number=0, at=at)
            for at in _times(random, scenario.configuration_reads, scenario.seconds)
        ),
        *_worker_faults(random, scenario),
        *_FaultDrawer(random, scenario).draw(),
    ]
    events.sort(key=lambda event: event.at)
    numbered = tuple(_numbered(event, number) for number, event in enumerate(events, 1))
    return RunPlan(
        seed=seed, scenario=scenario.name, seconds=scenario.seconds, layout=scenario.layout, events=numbered
    )


class _FaultDrawer:
    """Draws faults of machines in order of time and tracks until when each machine counts as lost."""

    def __init__(self, random: Random, scenario: Scenario) -> None:
        self._random = random
        self._scenario = scenario
        layout = scenario.layout
        self._core = [f"e{number}" for number in range(1, layout.core_edges + 1)]
        self._others = [f"e{layout.core_edges + number}" for number in range(1, layout.other_edges + 1)]
        self._stores = [f"s{number}" for number in range(1, layout.storages + 1)]
        self._retired = self._stores[-scenario.retirements :] if scenario.retirements else []
        self._lost_until: dict[str, float] = {}
        self._all_until = 0.0

    def draw(self) -> list[Event]:
        """All faults and retirements."""
        events: list[Event] = []
        at = FIRST_FAULT_S
        while True:
            at = self._next_time(at)
            if at > self._scenario.seconds - CATCH_UP_S / 2:
                break
            events.append(self._fault(at))
        if self._random.random() < self._scenario.final:
            events.append(self._final_power_loss())
        for at in _times(self._random, self._scenario.edge_faults, self._scenario.seconds):
            events.append(self._edge_fault(at))
        return events + self._retirements()

    def _next_time(self, at: float) -> float:
        """The time of the next fault: when one more machine may be lost and no mass fault is in progress."""
        lost = sorted(until for until in self._lost_until.values() if until > at)
        free = len(lost) < self._scenario.layout.tolerated
        allowed = at if free else lost[len(lost) - self._scenario.layout.tolerated]
        is_early = self._random.random() < EARLY_SHARE
        gap = self._random.uniform(0.0, EARLY_GAP_S if is_early else LONGEST_GAP_S)
        return max(allowed, self._all_until) + gap

    def _fault(self, at: float) -> Fault:
        kinds = list(self._scenario.faults)
        kind = self._random.choices(kinds, [self._scenario.faults[kind] for kind in kinds])[0]
        lasts = self._duration(kind)
        if kind in MASS_KINDS:
            return self._mass_fault(at, kind, lasts)
        if kind is FaultKind.ADD:
            self._lost_until[f"new {at}"] = at + CATCH_UP_S
            return Fault(number=0, at=at, kind=kind, nodes=("storage",))
        free = [name for name in self._candidates() if self._lost_until.get(name, 0.0) <= at]
        name = self._random.choice(free)
        outage_s = GRACE_S + 1.0 if kind is FaultKind.TERM else lasts
        self._lost_until[name] = at + outage_s + CATCH_UP_S
        step_ms = self._random.choice(CLOCK_STEPS_MS) if kind is FaultKind.CLOCK_STEP else 0
        return Fault(number=0, at=at, kind=kind, nodes=(name,), lasts=lasts, step_ms=step_ms)

    def _candidates(self) -> list[str]:
        stores = [name for name in self._stores if name not in self._retired]
        return self._core if self._random.random() < self._scenario.core_share else stores

    def _mass_fault(self, at: float, kind: FaultKind, lasts: float) -> Fault:
        """A fault of more machines than are tolerated; at most the tolerated number of disks is lost."""
        nodes = self._mass_nodes(kind)
        at = max([at, *self._lost_until.values()])
        self._all_until = at + lasts + CATCH_UP_S
        if kind is not FaultKind.POWER_CHAIN:
            return Fault(number=0, at=at, kind=kind, nodes=tuple(nodes), lasts=lasts)
        gap_s = round(self._random.uniform(SHORTEST_CHAIN_GAP_S, LONGEST_CHAIN_GAP_S), 3)
        wiped = self._wiped_nodes(nodes)
        self._all_until += gap_s * len(nodes)
        return Fault(number=0, at=at, kind=kind, nodes=tuple(nodes), lasts=lasts, gap_s=gap_s, wiped=wiped)

    def _mass_nodes(self, kind: FaultKind) -> list[str]:
        """The machines of a mass fault: all counted ones, or a subset."""
        counted = [*self._core, *self._stores]
        match kind:
            case FaultKind.ALL_KILLED:
                return self._core
            case FaultKind.HALVES:
                half = self._random.sample(self._core, len(self._core) // 2)
                return half + self._random.sample(self._stores, len(self._stores) // 2)
            case FaultKind.HERD_KILLED:
                machines = [*counted, *self._others]
                share = self._random.choice(HERD_SHARES)
                return self._random.sample(machines, max(1, round(share * len(machines))))
            case FaultKind.POWER_CHAIN:
                return self._random.sample(counted, self._random.randint(2, len(counted)))
        return counted

    def _wiped_nodes(self, nodes: Sequence[str]) -> tuple[str, ...]:
        """The machines that lose their disks in a mass fault: as many as are tolerated, or none."""
        if self._random.random() < 0.5:
            return ()
        return tuple(self._random.sample(nodes, min(self._scenario.layout.tolerated, len(nodes))))

    def _final_power_loss(self) -> Fault:
        """A loss of power of all counted machines; as many disks as are tolerated may be lost."""
        at = max([self._scenario.seconds - 0.5, self._all_until, *self._lost_until.values()])
        nodes = [*self._core, *self._stores]
        wiped: Sequence[str] = ()
        if self._random.random() < 0.5:
            wiped = self._random.sample(nodes, self._scenario.layout.tolerated)
        return Fault(
            number=0,
            at=at,
            kind=FaultKind.ALL_POWER,
            nodes=tuple(nodes),
            lasts=self._duration(FaultKind.ALL_POWER),
            wiped=tuple(wiped),
        )

    def _edge_fault(self, at: float) -> Fault:
        kind = self._random.choice(EDGE_KINDS)
        return Fault(
            number=0, at=at, kind=kind, nodes=(self._random.choice(self._others),), lasts=self._duration(kind)
        )

    def _retirements(self) -> list[Event]:
        last = self._scenario.seconds - CATCH_UP_S
        return [Retire(number=0, at=self._random.uniform(0.5, last), node=name) for name in self._retired]

    def _duration(self, kind: FaultKind) -> float:
        shortest, longest = DURATIONS_S.get(kind, (0.0, 0.0))
        return round(self._random.uniform(shortest, longest), 3)


def _messages(random: Random, scenario: Scenario) -> list[Event]:
    zones = Plan().zones
    messages: list[Event] = []
    for at in _times(random, scenario.messages, scenario.seconds):
        kind = random.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        key = f"key-{random.randrange(ORDER_KEYS)}" if kind is DeliveryKind.ENDPOINT else ""
        is_delayed, reads_state = (
            random.random() < DELAYED_SHARE and not key,
            random.random() < STATE_READ_SHARE,
        )
        messages.append(
            Message(
                number=0,
                at=at,
                kind=kind,
                key=key,
                delay_s=round(random.uniform(0.2, MAX_DELAY_S), 3) if is_delayed else 0.0,
                zone=random.choice(zones),
                size=random.choice(MESSAGE_SIZES),
                ask_after=round(random.uniform(0.1, MAX_STATE_READ_DELAY_S), 3) if reads_state else 0.0,
            )
        )
    return messages


def _orders(random: Random, scenario: Scenario) -> list[Event]:
    styles = [OrderStyle.PUT, OrderStyle.PATCH, OrderStyle.PATCH, OrderStyle.INVALID]
    orders: list[Event] = []
    for at in _times(random, scenario.orders, scenario.seconds):
        orders.append(
            Order(
                number=0,
                at=at,
                style=random.choice(styles),
                step=random.choice(VERSION_STEPS),
                lost_answers=random.choice(LOST_ANSWER_COUNTS) if random.random() < 0.3 else 0,
                again=random.random() < 0.3,
                twice=random.random() < 0.2,
                rivals=random.choice(RIVAL_COUNTS) if random.random() < 0.25 else 0,
            )
        )
    return orders


def _configuration_reads(random: Random, scenario: Scenario) -> list[Event]:
    times = _times(random, scenario.configuration_reads, scenario.seconds)
    return [ReadConfiguration(number=0, at=at) for at in times]


def _worker_faults(random: Random, scenario: Scenario) -> list[Event]:
    events: list[Event] = []
    for at in _times(random, scenario.worker_faults, scenario.seconds):
        worker = random.randrange(-1, 3)
        if worker >= 0 and random.random() < 0.25:
            events.append(WorkerDeparture(number=0, at=at, worker=worker))
        else:
            fault = random.choice(list(WorkerFaultKind))
            lasts = round(random.uniform(0.5, 3.0), 3)
            events.append(WorkerFault(number=0, at=at, worker=worker, fault=fault, lasts=lasts))
    return events


def _times(random: Random, rate: float, seconds: float) -> list[float]:
    """Event times of a Poisson process, in seconds."""
    times: list[float] = []
    at = random.expovariate(rate) if rate else seconds
    while at < seconds:
        times.append(round(at, 3))
        at += random.expovariate(rate)
    return times


def _numbered(event: Event, number: int) -> Event:
    import msgspec

    return msgspec.structs.replace(event, number=number, at=round(event.at, 3))
