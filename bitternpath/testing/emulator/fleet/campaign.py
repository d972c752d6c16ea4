"""Runs of the fleet by seed: faults and changes, then a while without any in which all must come right."""

from __future__ import annotations

from random import Random

from msgspec import Struct

from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.fleet.faults import FAULTS, change
from bitternpath.testing.emulator.fleet.world import FleetWorld

BEGINS = 4.0  # s: by then the fleet is founded
LASTS = 40.0  # s in which faults begin
FAULT = 0.3, 9.0  # s that one lasts
CHANGE_EVERY = 2.5
RIGHT_WITHIN = 90.0  # s after the last fault
TERMS = p.LeaseTerms(lease=3.0, drift=0.02, catch_up=4.0)


class Outcome(Struct, frozen=True):
    seed: int
    broken: tuple[str, ...]
    stuck: str  # what had not come right; empty: all had
    versions: int
    acts: int
    faults: tuple[str, ...]
    trace: str

    @property
    def kept(self) -> bool:
        return not self.broken and not self.stuck

    def __str__(self) -> str:
        says = "; ".join((*self.broken[:3], *([f"stuck: {self.stuck}"] if self.stuck else [])))
        return f"seed {self.seed}: {says or 'rules kept'} ({self.versions} versions, {self.acts} acts)"


def play(
    seed: int, faults: int = 20, stewards: int = 0, nodes: int = 6, world: type[FleetWorld] = FleetWorld
) -> Outcome:
    """One run; with 3 stewards, or 5 for each third seed, where their number is not given."""
    random = Random(f"{seed} faults")
    made = world(seed, stewards or (3 if seed % 3 else 5), nodes, TERMS, TERMS.drift)
    later, told = made.later, []
    made.start()
    ends = BEGINS + LASTS
    for _ in range(faults):
        name = random.choice(list(FAULTS))
        at = BEGINS + random.random() * LASTS
        lasts = random.uniform(*FAULT)
        ends = max(ends, at + lasts)
        told.append((at, lasts, name))

        def begin(name: str = name, lasts: float = lasts) -> None:
            later.callLater(lasts, FAULTS[name](made, random))

        later.callLater(at, begin)
    changes = Random(f"{seed} changes")

    def type_change(number: int = 0) -> None:
        made.operator.type(m.Propose(f"c{number}", "somebody", "a reason", change(changes, number)))
        if later.now < BEGINS + LASTS:
            later.callLater(CHANGE_EVERY * changes.uniform(0.2, 2.0), type_change, number + 1)

    later.callLater(BEGINS, type_change)
    later.run(ends)
    stuck = "not looked at"
    until = ends + RIGHT_WITHIN
    while stuck and later.now < until and not made.checker.broken:
        later.run(later.now + 1.0)
        stuck = made.settled()
    if made.checker.broken:
        stuck = ""
    leader = made.leader()
    if leader is not None and not stuck and not made.checker.broken:
        made.checker.end(later.now, leader.replica.record)
    record = leader.replica.record if leader is not None else p.Record()
    names = tuple(f"{at:.1f}+{lasts:.1f} {name}" for at, lasts, name in sorted(told))
    broken = tuple(str(b) for b in made.checker.broken)
    return Outcome(
        seed, broken, stuck, record.released.version, made.checker.acts, names, made.trace.hexdigest()
    )
