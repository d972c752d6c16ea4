"""Checks that the dispatcher makes the same decisions as that of an earlier revision for the same events.

.venv/bin/python benchmarks/same_decisions.py [--before REV] [--seeds N] [--random N] [--jobs N] [SCENARIO ..]

Runs scenarios in virtual time with N seeds (by default all that take only seconds) and N sequences of
random events under random settings. The actions of both must be equal after each event, and the weights
of all networks at the end. Prints a row per scenario and exits with 1 at the first difference.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

import structlog  # noqa: E402
from earlier import earlier_dispatcher  # noqa: E402

from bitternpath import Dispatcher  # noqa: E402
from bitternpath.balancer import messages as m  # noqa: E402
from bitternpath.testing.emulator.policies import POLICIES  # noqa: E402
from bitternpath.testing.emulator.scenario_file import load  # noqa: E402
from bitternpath.testing.emulator.world import World  # noqa: E402

BASELINE_REVISION = "44bd19b"  # last revision with all decisions in brain.py
RANDOM_EVENTS = "random events"
SLOW_SCENARIOS = frozenset({"big-fleet"})  # 100 nodes: tens of minutes of CPU time per run
SOCKET_SCENARIOS = frozenset({"fleet", "upgrades"})  # can't run in virtual time


class DecisionMismatch(Exception):
    """The two dispatchers made different decisions."""


class LockstepDispatcher:
    """Runs both dispatchers with the same seed and returns the actions of the current one."""

    baseline_type: type[Any]
    instances: list[LockstepDispatcher]

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.current, self.baseline = Dispatcher(settings, seed, now), self.baseline_type(settings, seed, now)
        self.events = self.actions = 0
        self.instances.append(self)

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        """Pass the event to both; raise DecisionMismatch if their actions differ."""
        actions, expected = self.current.handle(now, event), self.baseline.handle(now, event)
        self.events += 1
        self.actions += len(actions)
        if actions != expected:
            raise DecisionMismatch(f"event {self.events}, {event}: {actions}, before {expected}")
        return actions

    def compare_networks(self) -> None:
        """Raise DecisionMismatch unless all weights, q and thresholds are bitwise equal."""
        for name, state in self.current.class_states.items():
            current, baseline = state.network, self.baseline.lines[name].net
            current_values = (
                current.plus,
                current.minus,
                current.q,
                current.plus_all,
                current.minus_all,
                current.threshold,
            )
            if current_values != (
                baseline.a,
                baseline.b,
                baseline.q,
                baseline.up,
                baseline.down,
                baseline.threshold,
            ):
                raise DecisionMismatch(f"network of {name}")


def random_settings(random: Random) -> m.Settings:
    classes = tuple(
        m.JobClass(
            name, random.choice(list(m.Effect)), random.choice((60.0, 400.0)), 3_000.0,
            value=random.choice((1.0, 4.0)), late_value_share=random.choice((0.0, 0.3)),
            dedup_scope=random.choice(list(m.DedupScope)), dedup_window=900.0,
            work_factor=random.choice((0.0, 2.0)),
            kind=random.choice((None, None, "x")),
        )
        for name in ("a", "b", "c")
    )  # fmt: skip
    return m.Settings(
        classes=classes, dispatcher_index=random.randrange(3), dispatchers=random.choice((3, 20)),
        list_on_request=random.random() < 0.5, warm_within=2_000.0, may_cancel=random.random() < 0.7,
        second_copies=random.random() < 0.5, max_retry_after=500.0, reports_start=random.random() < 0.5,
        in_order=random.random() < 0.5, retries_marked=random.random() < 0.5,
        progress_every=random.choice((0.0, 100.0)),
    )  # fmt: skip


def random_entry(random: Random, now: float, count: int) -> m.WorkerEntry:
    index = random.randrange(count)
    return m.WorkerEntry(
        f"w{index}", "pq"[index % 2], "xy"[index % 3 == 0], index % 4,
        random.choice((*[m.WorkerState.SERVING] * 4, *m.WorkerState)),
        up_since=random.choice((None, now, now - 1_000.0)), slots=random.choice((0, 0, 3)),
        classes=random.choice((None, None, frozenset("ab"))),
    )  # fmt: skip


def play_random_events(seed: int, count: int = 3_000) -> None:
    """Feed requests, progress reports, outcomes, worker lists, timers and new settings in random order."""
    random, now = Random(seed), 1_000_000.0
    lockstep, workers = LockstepDispatcher(random_settings(random), seed, now), random.choice((2, 8, 60))
    in_flight: list[tuple[str, int, str, float]] = []
    for step in range(count):
        now += random.expovariate(1 / random.choice((1.0, 30.0)))
        event_draw = random.random()
        event: m.Event
        if event_draw < 0.35:
            hint = random.choice((None, random.expovariate(1 / 100.0) + 1.0))
            event = m.Request(
                f"r{step}", random.choice("abc"), random.uniform(1.0, 3_000.0), hint=hint,
                repeat=random.random() < 0.2,
            )  # fmt: skip
        elif event_draw < 0.5 and in_flight:
            event = m.JobProgress(*random.choice(in_flight)[:3])
        elif event_draw < 0.8 and in_flight:
            job_id, number, worker, sent = in_flight.pop(random.randrange(len(in_flight)))
            outcome = random.choice((*[m.AttemptOutcome.OK] * 8, *m.AttemptOutcome))
            event = m.AttemptEnded(
                job_id, number, worker, outcome, now - sent, outcome is m.AttemptOutcome.OK
            )
        elif event_draw < 0.82:
            event = m.Withdrawn(f"r{random.randrange(step + 1)}")
        elif event_draw < 0.85 or step < 3:
            entries = [random_entry(random, now, workers) for _ in range(random.randrange(workers + 1))]
            event = m.WorkerList(random.choice(list(m.ListKind)), entries)
        elif event_draw < 0.852:
            event = m.NewSettings(random_settings(random))
        else:
            event = m.TimerFired(random.choice(("sweep", "sweep", "sweep", "watch")))
        actions = lockstep.handle(now, event)
        for action in [action for action in actions if isinstance(action, m.Send)]:
            attempts_in_flight = [
                attempt for attempt in lockstep.current.jobs[action.id].attempts if attempt.in_flight
            ]
            in_flight.append((action.id, attempts_in_flight[-1].number, action.worker, now))


def play_scenario(scenario_run: tuple[str, str, int]) -> tuple[str, int, int]:
    """Run one scenario; return its name and the numbers of events and of equal actions."""
    name, revision, seed = scenario_run
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    LockstepDispatcher.baseline_type, LockstepDispatcher.instances = earlier_dispatcher(revision), []
    POLICIES["lockstep"] = LockstepDispatcher
    if name == RANDOM_EVENTS:
        play_random_events(seed)
    else:
        World(load(ROOT / "scenarios" / f"{name}.toml"), seed, "lockstep", traced=False).run()
    for lockstep in LockstepDispatcher.instances:
        lockstep.compare_networks()
    return (
        name,
        sum(instance.events for instance in LockstepDispatcher.instances),
        sum(instance.actions for instance in LockstepDispatcher.instances),
    )


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", default=BASELINE_REVISION, metavar="REV")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--random", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    options = parser.parse_args()
    scenario_names = sorted(path.stem for path in (ROOT / "scenarios").glob("*.toml"))
    scenarios = options.scenarios or [
        name for name in scenario_names if name not in SLOW_SCENARIOS | SOCKET_SCENARIOS
    ]
    scenario_runs = [
        (name, options.before, seed) for name in scenarios for seed in range(1, options.seeds + 1)
    ]
    scenario_runs += [(RANDOM_EVENTS, options.before, seed) for seed in range(options.random)]
    totals: dict[str, list[int]] = {}
    with ProcessPoolExecutor(options.jobs) as pool:
        try:
            for name, events, actions in pool.map(play_scenario, scenario_runs):
                row = totals.setdefault(name, [0, 0, 0])
                for column, value in enumerate((1, events, actions)):
                    row[column] += value
        except DecisionMismatch as mismatch:
            pool.shutdown(cancel_futures=True)
            print(f"differs from {options.before}: {mismatch}")
            return 1
    print("| scenario | runs | events | actions, all equal |\n| --- | --- | --- | --- |")
    for name, (runs, events, actions) in totals.items():
        print(f"| {name} | {runs} | {events} | {actions} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
