"""Each broken build is detected by a family of runs that the unmodified program passes.

A family varies the affected machine and the time of the fault, so that detection doesn't depend on
milliseconds. The builds are in `broken_builds`; four more, with their own runs, in `test_simulation_broken`.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bitternpath.testing.fault_injection.records import DeliveryKind
from bitternpath.testing.simulation.events import Event, Fault, FaultKind, Layout, Message, Retire, RunPlan
from bitternpath.testing.simulation.runs.draw import SCENARIOS, draw
from bitternpath.testing.simulation.runs.play import play
from tests.system.broken_builds import BUILDS, broken

MESSAGES, MESSAGE_EVERY_S, MESSAGE_BYTES = 16, 0.05, 20_000
BURST = 40
DELAY_S = 6.0  # delay of messages that have to be queued until after the fault
RETIRE_AT_S = 1.5
STALL_S = 1.2
STORES = ("s1", "s2", "s3")


def queued_messages() -> list[Event]:
    """Messages that are still queued at the time of the fault, except those with an order key."""
    kinds = list(DeliveryKind)
    return [
        Message(
            number=number + 1,
            at=number * MESSAGE_EVERY_S,
            kind=kinds[number % len(kinds)],
            key=f"key-{number % 3}" if kinds[number % len(kinds)] is DeliveryKind.ENDPOINT else "",
            delay_s=0.0 if kinds[number % len(kinds)] is DeliveryKind.ENDPOINT else DELAY_S,
            size=MESSAGE_BYTES,
        )
        for number in range(MESSAGES)
    ]


def a_disk_is_lost_while_another_machine_retires() -> Iterator[RunPlan]:
    """Another storage machine loses its disk right after the order to retire."""
    for after_s in (0.02, 0.07, 0.15):
        for victim in STORES:
            events = [
                *queued_messages(),
                Retire(number=101, at=RETIRE_AT_S, node="s4"),
                Fault(number=102, at=RETIRE_AT_S + after_s, kind=FaultKind.WIPE, nodes=(victim,), lasts=0.5),
            ]
            yield _plan(Layout(storages=4), events)


def a_disk_is_lost_while_another_machine_retires_slowly() -> Iterator[RunPlan]:
    """A stalled disk delays member changes while another machine retires; then a third one loses its disk."""
    for stalled in STORES:
        for victim in STORES:
            events = [
                *queued_messages(),
                Retire(number=101, at=RETIRE_AT_S, node="s4"),
                Fault(
                    number=103, at=RETIRE_AT_S - 0.05, kind=FaultKind.STALL, nodes=(stalled,), lasts=STALL_S
                ),
                Fault(number=102, at=RETIRE_AT_S + 0.3, kind=FaultKind.WIPE, nodes=(victim,), lasts=0.5),
            ]
            yield _plan(Layout(storages=4), events)


def a_disk_is_lost_while_two_machines_retire() -> Iterator[RunPlan]:
    """Two machines of five retire at once, and a third loses its disk."""
    for after_s in (0.1, 0.05, 0.2):
        for victim in STORES:
            events = [
                *queued_messages(),
                Retire(number=101, at=RETIRE_AT_S, node="s4"),
                Retire(number=103, at=RETIRE_AT_S, node="s5"),
                Fault(number=102, at=RETIRE_AT_S + after_s, kind=FaultKind.WIPE, nodes=(victim,), lasts=2.5),
            ]
            yield _plan(Layout(storages=5), events)


def all_stores_are_killed_under_a_burst() -> Iterator[RunPlan]:
    """All storage processes are killed while a burst of messages is being written."""
    burst = [Message(number=number, at=1.0, kind=DeliveryKind.LISTED) for number in range(1, BURST + 1)]
    for after_s in (0.008, 0.012, 0.016, 0.02, 0.025):
        fault = Fault(number=101, at=1.0 + after_s, kind=FaultKind.KILL, nodes=STORES, lasts=0.5)
        yield _plan(Layout(), [*burst, fault])


def all_lose_power_while_disks_stall() -> Iterator[RunPlan]:
    """A burst of delayed messages arrives while no storage machine can write; then all lose power."""
    burst = [
        Message(number=number, at=1.0, kind=DeliveryKind.LISTED, delay_s=DELAY_S)
        for number in range(1, BURST + 1)
    ]
    stalls = [
        Fault(number=200 + index, at=0.98, kind=FaultKind.STALL, nodes=(store,), lasts=STALL_S)
        for index, store in enumerate(STORES)
    ]
    counted = ("e1", "e2", "e3", *STORES)
    for after_s in (0.1, 0.2, 0.3, 0.5):
        power = Fault(number=300, at=1.0 + after_s, kind=FaultKind.ALL_POWER, nodes=counted, lasts=0.6)
        yield _plan(Layout(), [*burst, *stalls, power])


def stores_lose_power_in_turn() -> Iterator[RunPlan]:
    """Storage machines briefly lose power one after the other while messages are accepted."""
    faults = [
        Fault(
            number=101 + turn, at=1.0 + 0.7 * turn, kind=FaultKind.POWER, nodes=(STORES[turn % 3],), lasts=0.3
        )
        for turn in range(9)
    ]
    for seed in range(6):
        yield _plan(Layout(), [*queued_messages(), *faults], seed)


def mixed_runs() -> Iterator[RunPlan]:
    """Generated plans with all kinds of faults."""
    for seed in range(2000, 2003):
        yield draw(seed, SCENARIOS["mixed"])


def _plan(layout: Layout, events: list[Event], seed: int = 1) -> RunPlan:
    return RunPlan(seed=seed, scenario="named", seconds=8.0, layout=layout, events=tuple(events))


@dataclass(frozen=True, slots=True)
class DetectingRun:
    """The runs that detect a build, and the checker that reports it."""

    family: Callable[[], Iterator[RunPlan]]
    checker: str


DETECTING_RUNS = {
    "two_member_changes_at_once": DetectingRun(a_disk_is_lost_while_two_machines_retire, "check_lost"),
    "removal_before_successor": DetectingRun(a_disk_is_lost_while_another_machine_retires, "check_lost"),
    "retirement_without_reports": DetectingRun(
        a_disk_is_lost_while_another_machine_retires_slowly, "check_lost"
    ),
    "link_number_used_again": DetectingRun(mixed_runs, "check_mixed"),
    "voter_before_it_caught_up": DetectingRun(a_disk_is_lost_while_two_machines_retire, "check_lost"),
    "candidate_with_an_older_log": DetectingRun(stores_lose_power_in_turn, "fault"),
    "acknowledged_before_it_is_stored": DetectingRun(all_lose_power_while_disks_stall, "check_lost"),
    "repeat_after_reset": DetectingRun(all_stores_are_killed_under_a_burst, "check_refused"),
}


class BrokenBuilds(unittest.TestCase):
    """All broken builds, and the unmodified one."""

    longest_test_s = 120

    def test_each_is_detected(self) -> None:
        for name, run in DETECTING_RUNS.items():
            with self.subTest(build=name):
                self.assertTrue(any(self.is_detected(name, run, plan) for plan in run.family()))

    def test_unmodified_build_passes_the_same_runs(self) -> None:
        for family in dict.fromkeys(run.family for run in DETECTING_RUNS.values()):
            for plan in family():
                with self.subTest(family=family.__name__, events=plan.events[-2:]):
                    report = play(plan)
                    self.assertEqual([str(finding) for finding in report.findings], [])
                    self.assertEqual(report.errors, [])

    def test_each_build_has_a_family(self) -> None:
        self.assertEqual(set(BUILDS), set(DETECTING_RUNS))

    @staticmethod
    def is_detected(name: str, run: DetectingRun, plan: RunPlan) -> bool:
        with broken(BUILDS[name]):
            return run.checker in play(plan).checkers


if __name__ == "__main__":
    unittest.main()
