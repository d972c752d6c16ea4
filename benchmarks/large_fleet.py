"""The decision module against the one of an earlier revision, in one run, as ratios.

.venv/bin/python benchmarks/large_fleet.py [--before REV] [--rounds N]

CPU a job on a calm day with 14 and 60 workers; dials a call and calls to discovery a node on the herd of
`scenarios/large-fleet.toml`; service on the whole scenario. CPU is the time inside the module's calls, the
least of rounds that alternate: other work on the machine only adds to it.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import structlog

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
structlog.configure(logger_factory=structlog.ReturnLoggerFactory())

from earlier import earlier_dispatcher  # noqa: E402

from bitternpath.testing.emulator.policies import POLICIES  # noqa: E402
from bitternpath.testing.emulator.scenario_file import load, scenario_from  # noqa: E402
from bitternpath.testing.emulator.world import World  # noqa: E402

UNTOUCHED = "4194b88"  # before any change for the large fleet
BEFORE = "before"


def calm(workers: int, nodes: int, seconds: float) -> Any:
    base = msgspec.to_builtins(load(ROOT / "scenarios" / "calm.toml"))
    sites = [{"name": "a", "workers": workers, "nodes": nodes, "traffic": 1.0}]
    return scenario_from(base | {"sites": sites, "seconds": seconds, "clients": {"load": 0.5}}, "calm")


def cpu_a_job(scenario: Any, policy: str) -> float:
    """us of a core that the module's own calls take for a job."""
    world, spent = World(scenario, 1, policy, traced=False), [0.0]
    made = world.make_policy

    def make_policy(node: Any) -> Any:
        module = made(node)
        handle = module.handle

        def timed(now: float, event: Any) -> Any:
            begun = time.perf_counter()
            acts = handle(now, event)
            spent[0] += time.perf_counter() - begun
            return acts

        module.handle = timed
        return module

    world.make_policy = make_policy  # type: ignore[method-assign]
    result = world.run()
    return spent[0] / result.requests * 1e6


def line(*cells: object) -> None:
    print("| " + " | ".join(str(cell) for cell in cells) + " |")


def main() -> None:
    options = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    options.add_argument("--before", default=UNTOUCHED, metavar="REV")
    options.add_argument("--rounds", type=int, default=5)
    given = options.parse_args()
    POLICIES[BEFORE] = earlier_dispatcher(given.before)
    line("figure", f"before ({given.before})", "now", "ratio")
    line("---", "---", "---", "---")
    for workers, nodes, seconds in ((14, 3, 40.0), (60, 40, 10.0)):
        scenario = calm(workers, nodes, seconds)
        spent: dict[str, list[float]] = {"module": [], BEFORE: []}
        for turn in range(given.rounds):
            for policy in sorted(spent, reverse=bool(turn % 2)):
                spent[policy].append(cpu_a_job(scenario, policy))
        old, new = (min(spent[policy]) for policy in (BEFORE, "module"))
        line(
            f"CPU a job, us, {workers} workers, {nodes} nodes", f"{old:.0f}", f"{new:.0f}", f"{new / old:.2f}"
        )
    told = load(ROOT / "scenarios" / "large-fleet.toml")
    kept = [t for t in told.troubles if t.kind == "kill-nodes"]
    herd = msgspec.structs.replace(told, seconds=24.0, troubles=kept)
    figures: dict[str, list[float]] = {}
    for policy in (BEFORE, "module"):
        world = World(herd, 3, policy, traced=False)
        run = world.run()
        calls, nodes = sum(run.counts["attempts"].values()), len(world.nodes)
        dials = sum(node.dials for node in world.nodes.values()) / calls
        asked, heard = (
            sum(world.directory.subscribe_calls.values()) / nodes,
            len(world.directory.subscribe_successes) / nodes,
        )
        whole = statistics.mean(
            World(told, s, policy, traced=False).run().figures["service"] for s in (3, 4, 5)
        )
        figures[policy] = [dials, asked, heard, whole]
    names = (
        "dials a call, herd",
        "calls to discovery a node, herd",
        "share of nodes that were ever told, herd",
        "service, whole scenario, seeds 3 to 5",
    )
    for name, old, new in zip(names, figures[BEFORE], figures["module"], strict=True):
        line(name, f"{old:.3f}", f"{new:.3f}", f"{new / old:.2f}")


if __name__ == "__main__":
    main()
