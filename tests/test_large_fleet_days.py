"""Days of the large fleet in the emulator, short: what the operators' bench showed stays mended."""

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
SHORT = {"replace": (2.0, 2.0), "kill-nodes": (7.0, 1.5), "site-loss": (10.0, 3.0)}  # kind: at, lasts


@pytest.fixture(autouse=True)
def quiet() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())


def short() -> Scenario:
    told = load(SCENARIO)
    troubles = [structs.replace(t, at=SHORT[t.kind][0], lasts=SHORT[t.kind][1]) for t in told.troubles]
    return structs.replace(told, seconds=14.0, troubles=troubles)


def test_a_short_day_of_the_large_fleet() -> None:
    """Before: 254 calls to discovery, 19 of 40 nodes ever told; new workers without a job; 0.55 dials a call;
    service below that of two plain policies which have a list that discovery pushes."""
    world = World(short(), 3, "module", traced=False)
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
        World(short(), 3, policy, traced=False).run().figures["service"] for policy in ("random", "least")
    )
    assert run.figures["service"] > plain + 0.05


def test_calls_to_an_overbooked_discovery_fail_and_cost_it_all_the_same() -> None:
    clock, said = Scheduler(), list[tuple[str, str, float]]()
    told = Discovery(calls_per_s=2.0, call_waits_s=1.0)
    directory = Directory(told, clock, Random(1))

    def ask(name: str) -> None:
        directory.subscribe(
            name,
            lambda: said.append((name, "granted", clock.now)),
            lambda: said.append((name, "failed", clock.now)),
        )

    for k in range(6):
        ask(f"n{k}")
    clock.callLater(2.5, ask, "late")
    clock.run(4.0)
    assert said == [
        ("n4", "failed", 0.0),  # more are waiting than it could ever serve
        ("n5", "failed", 0.0),
        ("n0", "granted", 0.5),
        ("n1", "granted", 1.0),
        ("n2", "failed", 1.0),
        ("n3", "failed", 1.0),
        ("late", "granted", 3.0),
    ]


def test_a_worker_holds_no_more_connections_than_it_may_and_gives_them_back() -> None:
    told = short()
    kinds = [structs.replace(kind, connections=3) for kind in told.kinds]
    net = structs.replace(told.net, idle_s=1.0)
    told = structs.replace(told, seconds=4.0, kinds=kinds, net=net, troubles=[])
    world = World(told, 3, "random", traced=False)
    most = [0]

    def look() -> None:
        most[0] = max([most[0], *(worker.connections for worker in world.workers.values())])
        world.scheduler.callLater(0.01, look)

    look()
    run = world.run()
    assert most[0] == 3 and run.counts["unreachable"]
    assert not any(worker.connections for worker in world.workers.values())


def test_what_the_sockets_cannot_show_is_refused_there() -> None:
    with pytest.raises(ScenarioError, match=r"discovery\.calls_per_s: in virtual time only"):
        play_on_sockets(load(SCENARIO), 1)
