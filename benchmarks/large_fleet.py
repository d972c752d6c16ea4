"""Compares the decision module with that of an earlier revision, as ratios of measurements in one run.

.venv/bin/python benchmarks/large_fleet.py [--before REV] [--rounds N]

Measures CPU time per job in the calm scenario with 14 and 60 workers; connection attempts per call and
discovery calls per node in the thundering herd of `scenarios/large-fleet.toml`; and the service level of the
complete scenario. CPU time is that spent in the module's calls, as the minimum of alternating rounds, since
other load on the machine can only increase it.
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

BASELINE_REVISION = "4194b88"  # last revision before the changes for large fleets
BASELINE = "before"


def calm_scenario(workers: int, nodes: int, seconds: float) -> Any:
    base = msgspec.to_builtins(load(ROOT / "scenarios" / "calm.toml"))
    sites = [{"name": "a", "workers": workers, "nodes": nodes, "traffic": 1.0}]
    return scenario_from(base | {"sites": sites, "seconds": seconds, "clients": {"load": 0.5}}, "calm")


def cpu_us_per_job(scenario: Any, policy: str) -> float:
    """Return the time in us that the module's calls take per job."""
    world, cpu_seconds = World(scenario, 1, policy, traced=False), [0.0]
    create_policy = world.make_policy

    def make_policy(node: Any) -> Any:
        module = create_policy(node)
        handle = module.handle

        def timed(now: float, event: Any) -> Any:
            started_at = time.perf_counter()
            actions = handle(now, event)
            cpu_seconds[0] += time.perf_counter() - started_at
            return actions

        module.handle = timed
        return module

    world.make_policy = make_policy  # type: ignore[method-assign]
    result = world.run()
    return cpu_seconds[0] / result.requests * 1e6


def print_row(*cells: object) -> None:
    print("| " + " | ".join(str(cell) for cell in cells) + " |")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--before", default=BASELINE_REVISION, metavar="REV")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    POLICIES[BASELINE] = earlier_dispatcher(options.before)
    print_row("figure", f"before ({options.before})", "now", "ratio")
    print_row("---", "---", "---", "---")
    for workers, nodes, seconds in ((14, 3, 40.0), (60, 40, 10.0)):
        scenario = calm_scenario(workers, nodes, seconds)
        cpu_us: dict[str, list[float]] = {"module": [], BASELINE: []}
        for round_number in range(options.rounds):
            for policy in sorted(cpu_us, reverse=bool(round_number % 2)):
                cpu_us[policy].append(cpu_us_per_job(scenario, policy))
        old, new = (min(cpu_us[policy]) for policy in (BASELINE, "module"))
        print_row(
            f"CPU a job, us, {workers} workers, {nodes} nodes", f"{old:.0f}", f"{new:.0f}", f"{new / old:.2f}"
        )
    full_scenario = load(ROOT / "scenarios" / "large-fleet.toml")
    node_kills = [fault for fault in full_scenario.troubles if fault.kind == "kill-nodes"]
    herd = msgspec.structs.replace(full_scenario, seconds=24.0, troubles=node_kills)
    metrics: dict[str, list[float]] = {}
    for policy in (BASELINE, "module"):
        world = World(herd, 3, policy, traced=False)
        run = world.run()
        calls, nodes = sum(run.counts["attempts"].values()), len(world.nodes)
        dials = sum(node.dials for node in world.nodes.values()) / calls
        subscribe_calls, subscribe_successes = (
            sum(world.directory.subscribe_calls.values()) / nodes,
            len(world.directory.subscribe_successes) / nodes,
        )
        service = statistics.mean(
            World(full_scenario, seed, policy, traced=False).run().figures["service"] for seed in (3, 4, 5)
        )
        metrics[policy] = [dials, subscribe_calls, subscribe_successes, service]
    metric_names = (
        "dials a call, herd",
        "calls to discovery a node, herd",
        "share of nodes that were ever told, herd",
        "service, whole scenario, seeds 3 to 5",
    )
    for name, old, new in zip(metric_names, metrics[BASELINE], metrics["module"], strict=True):
        print_row(name, f"{old:.3f}", f"{new:.3f}", f"{new / old:.2f}")


if __name__ == "__main__":
    main()
