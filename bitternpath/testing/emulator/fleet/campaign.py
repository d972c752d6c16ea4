"""Runs of the fleet by seed: faults and changes, then a phase without faults in which it must recover."""

from __future__ import annotations

from random import Random

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.fleet.faults import FAULTS, random_change
from bitternpath.testing.emulator.fleet.world import FleetWorld

FAULTS_START = 4.0  # s; the fleet is bootstrapped by then
FAULTS_WINDOW = 40.0  # s during which faults start
FAULT_DURATION = 0.3, 9.0  # s, shortest and longest
CHANGE_INTERVAL = 2.5  # s between changes, times a factor drawn from 0.2 to 2.0
RECOVERY_LIMIT = 90.0  # s after the last fault
TERMS = p.LeaseTerms(lease=3.0, drift=0.02, catch_up=4.0)


class Outcome(Struct, frozen=True):
    seed: int
    violations: tuple[str, ...]
    stuck: str  # what had not recovered; empty if everything had
    versions: int
    acts: int
    faults: tuple[str, ...]
    trace: str

    @property
    def passed(self) -> bool:
        return not self.violations and not self.stuck

    def __str__(self) -> str:
        summary = "; ".join((*self.violations[:3], *([f"stuck: {self.stuck}"] if self.stuck else [])))
        return f"seed {self.seed}: {summary or 'rules kept'} ({self.versions} versions, {self.acts} acts)"


def run_seed(
    seed: int, faults: int = 20, server_count: int = 0, nodes: int = 6, world: type[FleetWorld] = FleetWorld
) -> Outcome:
    """One run; by default with 3 servers, or 5 for every third seed."""
    random = Random(f"{seed} faults")
    fleet = world(seed, server_count or (3 if seed % 3 else 5), nodes, TERMS, TERMS.drift)
    scheduler, schedule = fleet.scheduler, []
    fleet.start()
    faults_end = FAULTS_START + FAULTS_WINDOW
    for _ in range(faults):
        name = random.choice(list(FAULTS))
        at = FAULTS_START + random.random() * FAULTS_WINDOW
        lasts = random.uniform(*FAULT_DURATION)
        faults_end = max(faults_end, at + lasts)
        schedule.append((at, lasts, name))

        def inject(name: str = name, lasts: float = lasts) -> None:
            scheduler.callLater(lasts, FAULTS[name](fleet, random))

        scheduler.callLater(at, inject)
    changes = Random(f"{seed} changes")

    def submit_change(number: int = 0) -> None:
        fleet.operator.submit(m.Propose(f"c{number}", "somebody", "a reason", random_change(changes, number)))
        if scheduler.now < FAULTS_START + FAULTS_WINDOW:
            scheduler.callLater(CHANGE_INTERVAL * changes.uniform(0.2, 2.0), submit_change, number + 1)

    scheduler.callLater(FAULTS_START, submit_change)
    scheduler.run(faults_end)
    stuck = "not checked"
    until = faults_end + RECOVERY_LIMIT
    while stuck and scheduler.now < until and not fleet.checker.violations:
        scheduler.run(scheduler.now + 1.0)
        stuck = fleet.unsettled_reason()
    if fleet.checker.violations:
        stuck = ""
    leader = fleet.leader()
    if leader is not None and not stuck and not fleet.checker.violations:
        fleet.checker.finish(scheduler.now, leader.replica.record)
    record = leader.replica.record if leader is not None else p.Record()
    names = tuple(f"{at:.1f}+{lasts:.1f} {name}" for at, lasts, name in sorted(schedule))
    violations = tuple(str(b) for b in fleet.checker.violations)
    return Outcome(
        seed, violations, stuck, record.released.version, fleet.checker.acts, names, fleet.trace.hexdigest()
    )
