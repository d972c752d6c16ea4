"""Coverage of runs: pairs of concurrent faults, and state transitions during which a machine crashed.

A campaign adds up the coverage of its runs. Combinations that never occurred need scenarios of their own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import combinations_with_replacement

from bitternpath.testing.simulation.checks.history import RetireCall, Retirement, SystemHistory
from bitternpath.testing.simulation.events import Fault, FaultKind, RunPlan
from bitternpath.testing.simulation.recorder import Ownership, Recorder
from bitternpath.testing.simulation.runs.draw import CATCH_UP_S
from bitternpath.testing.simulation.transitions import Transition, TransitionKind

CONCURRENT_WITHIN_S = 0.3  # maximum time between a crash and a transition that count as concurrent
CRASH_EVENTS = frozenset(("kill", "power_loss", "wipe", "remove", "exit"))  # events of the trace


Pair = tuple[FaultKind, FaultKind]


@dataclass
class Coverage:
    """Counts over runs. The members of a pair are in the order of `FaultKind`."""

    pairs: Counter[Pair] = field(default_factory=Counter)
    crashes: Counter[TransitionKind] = field(default_factory=Counter)  # transitions with a concurrent crash
    transitions: Counter[TransitionKind] = field(default_factory=Counter)
    runs: int = 0

    def add(self, other: Coverage) -> None:
        """Add the counts of other runs."""
        self.pairs += other.pairs
        self.crashes += other.crashes
        self.transitions += other.transitions
        self.runs += other.runs

    def lines(self) -> Iterator[str]:
        """A report: for each kind of fault the kinds that overlapped it or never did, and each transition."""
        yield f"coverage of {self.runs} runs"
        for kind in FaultKind:
            crossed = {other: self._crossed(kind, other) for other in FaultKind}
            crossed_text = ", ".join(f"{other.value} {count}" for other, count in crossed.items() if count)
            yield f"  {kind.value} crossed: {crossed_text or 'nothing'}"
            missed = ", ".join(other.value for other, count in crossed.items() if not count)
            yield f"    never: {missed or '-'}"
        for transition in TransitionKind:
            crash_count, of = self.crashes[transition], self.transitions[transition]
            yield f"  {transition.value}: {of}, a crash fell into {crash_count}"

    def never_crossed(self) -> list[Pair]:
        """Pairs of kinds of faults that never overlapped."""
        return [pair for pair in combinations_with_replacement(FaultKind, 2) if not self.pairs[pair]]

    def _crossed(self, kind: FaultKind, other: FaultKind) -> int:
        return self.pairs[_ordered(kind, other)]


def coverage_of(plan: RunPlan, recorder: Recorder, history: SystemHistory) -> Coverage:
    """The coverage of one run, from its plan, the world's records and the operators' observations."""
    coverage = Coverage(runs=1)
    coverage.pairs.update(_crossed_pairs(plan))
    crashes = [at for at, event in _trace_events(recorder) if event in CRASH_EVENTS]
    for change in (
        *_ownership_changes(recorder.ownerships),
        *recorder.membership_changes,
        *_retirements(history.retirements),
    ):
        coverage.transitions[change.kind] += 1
        coverage.crashes[change.kind] += any(
            abs(change.at - crash) <= CONCURRENT_WITHIN_S for crash in crashes
        )
    return coverage


def _crossed_pairs(plan: RunPlan) -> Iterator[Pair]:
    faults = [event for event in plan.events if isinstance(event, Fault)]
    for index, fault in enumerate(faults):
        for other in faults[index + 1 :]:
            if other.at <= _until(fault) and fault.at <= _until(other):
                yield _ordered(fault.kind, other.kind)


def _until(fault: Fault) -> float:
    """The time by which the machines of a fault have caught up."""
    return fault.at + fault.lasts + fault.gap_s * len(fault.nodes) + CATCH_UP_S


def _ordered(kind: FaultKind, other: FaultKind) -> Pair:
    kinds = list(FaultKind)
    return (kind, other) if kinds.index(kind) <= kinds.index(other) else (other, kind)


def _trace_events(recorder: Recorder) -> Iterator[tuple[float, str]]:
    for line in recorder.trace:
        at, event, _ = line.split(" ", 2)
        yield float(at), event


def _ownership_changes(ownerships: Sequence[Ownership]) -> Iterator[Transition]:
    groups: set[str] = set()
    for change in ownerships:
        if not change.gained:
            yield Transition(change.at, TransitionKind.OWNER_LOST)
        elif change.group in groups:
            yield Transition(change.at, TransitionKind.OWNER_GAINED)
        else:
            groups.add(change.group)
            yield Transition(change.at, TransitionKind.BOOTSTRAP)


def _retirements(calls: Sequence[Retirement]) -> Iterator[Transition]:
    """Transitions of retirements: the first successful order and the first report of completion."""
    seen: set[tuple[str, TransitionKind]] = set()
    for call in calls:
        if call.status != 200 or (call.call is RetireCall.READ and call.state != "done"):
            continue
        ordered = call.call is RetireCall.ORDER
        kind = TransitionKind.RETIREMENT_ORDERED if ordered else TransitionKind.RETIREMENT_DONE
        if (call.machine, kind) not in seen:
            seen.add((call.machine, kind))
            yield Transition(call.ended_at, kind)
