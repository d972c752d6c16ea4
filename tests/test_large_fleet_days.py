"""Shortened runs of the large fleet in the emulator; they guard against faults that the operators' test bench
found."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
import structlog
from msgspec import structs

from bitternpath.testing.emulator.clock import Scheduler
from bitternpath.testing.emulator.discovery import Directory
from bitternpath.testing.emulator.scenario import Discovery, Scenario, ScenarioError
from bitternpath.testing.emulator.scenario_file import load
from bitternpath.testing.emulator.sockets.play import play_on_sockets
from bitternpath.testing.emulator.world import World

SCENARIO = Path(__file__).parent.parent / "scenarios" / "large-fleet.toml"
# kind: start and duration in s
SHORT_FAULTS = {"replace": (2.0, 2.0), "kill-nodes": (7.0, 1.5), "site-loss": (10.0, 3.0)}


@pytest.fixture(autouse=True)
def silence_logging() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


def short_scenario() -> Scenario:
    scenario = load(SCENARIO)
    troubles = [
        structs.replace(t, at=SHORT_FAULTS[t.kind][0], lasts=SHORT_FAULTS[t.kind][1])
        for t in scenario.troubles
    ]
    return structs.replace(scenario, seconds=14.0, troubles=troubles)


def test_a_shortened_run_of_the_large_fleet() -> None:
    """Guards against nodes that exhaust discovery's capacity, so that some never get a list: 254 calls to
    discovery, 19 of 40 nodes ever informed, new workers without a job, 0.55 dials per call, and service
    below that of two plain policies with pushed lists.
    """
    world = World(short_scenario(), 3, "module", traced=False)
    run = world.run()
    assert run.passed, run.violations
    killed = next(len(t.targets) for t in world.active_faults if t.kind == "kill-nodes")
    directory, nodes = world.directory, len(world.nodes)
    assert len(directory.subscribe_successes) == nodes
    assert sum(directory.subscribe_calls.values()) < 1.5 * (nodes + killed)
    new = [w for w in world.workers.values() if w.alive and w.up_since > 0.0]
    assert len(new) > 30 and all(w.done_work > 0.0 for w in new)
    attempts = sum(run.counts["attempts"].values())
    assert sum(node.dials for node in world.nodes.values()) < 0.45 * attempts
    plain = max(
        World(short_scenario(), 3, policy, traced=False).run().figures["service"]
        for policy in ("random", "least")
    )
    assert run.figures["service"] > plain + 0.05


def test_subscribe_calls_beyond_the_capacity_fail_but_still_take_up_time() -> None:
    clock, replies = Scheduler(), list[tuple[str, str, float]]()
    scenario = Discovery(calls_per_s=2.0, call_waits_s=1.0)
    directory = Directory(scenario, clock, Random(1))

    def subscribe(name: str) -> None:
        directory.subscribe(
            name,
            lambda: replies.append((name, "granted", clock.now)),
            lambda: replies.append((name, "failed", clock.now)),
        )

    for k in range(6):
        subscribe(f"n{k}")
    clock.callLater(2.5, subscribe, "late")
    clock.run(4.0)
    assert replies == [
        ("n4", "failed", 0.0),  # the queue is longer than can ever be served
        ("n5", "failed", 0.0),
        ("n0", "granted", 0.5),
        ("n1", "granted", 1.0),
        ("n2", "failed", 1.0),
        ("n3", "failed", 1.0),
        ("late", "granted", 3.0),
    ]


def test_connections_to_a_worker_are_limited_and_released() -> None:
    scenario = short_scenario()
    kinds = [structs.replace(kind, connections=3) for kind in scenario.kinds]
    net = structs.replace(scenario.net, idle_s=1.0)
    scenario = structs.replace(scenario, seconds=4.0, kinds=kinds, net=net, troubles=[])
    world = World(scenario, 3, "random", traced=False)
    peak = [0]

    def sample() -> None:
        peak[0] = max([peak[0], *(worker.connections for worker in world.workers.values())])
        world.scheduler.callLater(0.01, sample)

    sample()
    run = world.run()
    assert peak[0] == 3 and run.counts["unreachable"]
    assert not any(worker.connections for worker in world.workers.values())


def test_scenarios_unsupported_on_sockets_are_rejected() -> None:
    with pytest.raises(ScenarioError, match=r"discovery\.calls_per_s: in virtual time only"):
        play_on_sockets(load(SCENARIO), 1)
