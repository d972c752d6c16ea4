"""Whether the dispatcher decides as the one of an earlier revision did: both are given the same events.

.venv/bin/python benchmarks/same_decisions.py [--before REV] [--seeds N] [--random N] [--jobs N] [SCENARIO ..]

Plays scenarios in virtual time with N seeds (all that take seconds, where none is named), and N
runs of random events under random settings. After each event the actions of both must be equal,
and in the end the weights of all networks. Prints a line a scenario and ends with 1 at the first
difference.
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

MOVED = "44bd19b"  # the last revision with all decisions in brain.py
RANDOM = "random events"
LONG = frozenset({"big-fleet"})  # 100 nodes: tens of minutes of processor time a run
SOCKETS = frozenset({"fleet", "upgrades"})  # they can't be played in virtual time


class Difference(Exception):
    """The two decided otherwise."""


class Lockstep:
    """Both dispatchers under the same seed; the present one's actions are carried out."""

    before: type[Any]
    made: list[Lockstep]

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.present, self.earlier = Dispatcher(settings, seed, now), self.before(settings, seed, now)
        self.events = self.actions = 0
        self.made.append(self)

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        """Give the event to both; Difference where their actions are not equal."""
        acts, wanted = self.present.handle(now, event), self.earlier.handle(now, event)
        self.events += 1
        self.actions += len(acts)
        if acts != wanted:
            raise Difference(f"event {self.events}, {event}: {acts}, before {wanted}")
        return acts

    def compare_networks(self) -> None:
        """Difference where any weight, q or threshold is not equal to the last bit."""
        for name, line in self.present.class_states.items():
            now, then = line.network, self.earlier.lines[name].net
            ours = (now.plus, now.minus, now.q, now.plus_all, now.minus_all, now.threshold)
            if ours != (then.a, then.b, then.q, then.up, then.down, then.threshold):
                raise Difference(f"network of {name}")


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


def random_entry(random: Random, now: float, many: int) -> m.WorkerEntry:
    at = random.randrange(many)
    return m.WorkerEntry(
        f"w{at}", "pq"[at % 2], "xy"[at % 3 == 0], at % 4,
        random.choice((*[m.WorkerState.SERVING] * 4, *m.WorkerState)),
        up_since=random.choice((None, now, now - 1_000.0)), slots=random.choice((0, 0, 3)),
        classes=random.choice((None, None, frozenset("ab"))),
    )  # fmt: skip


def play_random_events(seed: int, many: int = 3_000) -> None:
    """Requests, notes, outcomes, lists and new settings in random order."""
    random, now = Random(seed), 1_000_000.0
    both, workers = Lockstep(random_settings(random), seed, now), random.choice((2, 8, 60))
    out: list[tuple[str, int, str, float]] = []
    for turn in range(many):
        now += random.expovariate(1 / random.choice((1.0, 30.0)))
        kind = random.random()
        event: m.Event
        if kind < 0.35:
            hint = random.choice((None, random.expovariate(1 / 100.0) + 1.0))
            event = m.Request(
                f"r{turn}", random.choice("abc"), random.uniform(1.0, 3_000.0), hint=hint,
                repeat=random.random() < 0.2,
            )  # fmt: skip
        elif kind < 0.5 and out:
            event = m.JobProgress(*random.choice(out)[:3])
        elif kind < 0.8 and out:
            id, n, worker, sent = out.pop(random.randrange(len(out)))
            how = random.choice((*[m.AttemptOutcome.OK] * 8, *m.AttemptOutcome))
            event = m.AttemptEnded(id, n, worker, how, now - sent, how is m.AttemptOutcome.OK)
        elif kind < 0.82:
            event = m.Withdrawn(f"r{random.randrange(turn + 1)}")
        elif kind < 0.85 or turn < 3:
            entries = [random_entry(random, now, workers) for _ in range(random.randrange(workers + 1))]
            event = m.WorkerList(random.choice(list(m.ListKind)), entries)
        elif kind < 0.852:
            event = m.NewSettings(random_settings(random))
        else:
            event = m.TimerFired(random.choice(("sweep", "sweep", "sweep", "watch")))
        acts = both.handle(now, event)
        for act in [act for act in acts if isinstance(act, m.Send)]:
            tries = [try_ for try_ in both.present.jobs[act.id].attempts if try_.in_flight]
            out.append((act.id, tries[-1].number, act.worker, now))


def play(given: tuple[str, str, int]) -> tuple[str, int, int]:
    """Play one scenario; its name, the events and the actions that were equal."""
    name, revision, seed = given
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    Lockstep.before, Lockstep.made = earlier_dispatcher(revision), []
    POLICIES["lockstep"] = Lockstep
    if name == RANDOM:
        play_random_events(seed)
    else:
        World(load(ROOT / "scenarios" / f"{name}.toml"), seed, "lockstep", traced=False).run()
    for both in Lockstep.made:
        both.compare_networks()
    return name, sum(b.events for b in Lockstep.made), sum(b.actions for b in Lockstep.made)


def main() -> int:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--before", default=MOVED, metavar="REV")
    options.add_argument("--seeds", type=int, default=2)
    options.add_argument("--random", type=int, default=50)
    options.add_argument("--jobs", type=int, default=3)
    options.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    told = options.parse_args()
    known = sorted(path.stem for path in (ROOT / "scenarios").glob("*.toml"))
    scenarios = told.scenarios or [name for name in known if name not in LONG | SOCKETS]
    work = [(name, told.before, seed) for name in scenarios for seed in range(1, told.seeds + 1)]
    work += [(RANDOM, told.before, seed) for seed in range(told.random)]
    sums: dict[str, list[int]] = {}
    with ProcessPoolExecutor(told.jobs) as pool:
        try:
            for name, events, actions in pool.map(play, work):
                row = sums.setdefault(name, [0, 0, 0])
                for k, value in enumerate((1, events, actions)):
                    row[k] += value
        except Difference as difference:
            pool.shutdown(cancel_futures=True)
            print(f"differs from {told.before}: {difference}")
            return 1
    print("| scenario | runs | events | actions, all equal |\n| --- | --- | --- | --- |")
    for name, (runs, events, actions) in sums.items():
        print(f"| {name} | {runs} | {events} | {actions} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
