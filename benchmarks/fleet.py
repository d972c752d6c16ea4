"""Measures the cost and the latency of the fleet: the tables of docs/results/fleet.md.

.venv/bin/python benchmarks/fleet.py effect      # from proposal to effect, virtual time, 6 and 200 nodes
.venv/bin/python benchmarks/fleet.py leader      # no leader after SIGKILL and SIGSTOP, real processes
.venv/bin/python benchmarks/fleet.py straggler   # recovery or exclusion of a stalled node, virtual time
.venv/bin/python benchmarks/fleet.py steward     # cost of a leader with 3, 50 and 200 agents in one process
.venv/bin/python benchmarks/fleet.py lookup      # CPU of a lookup with and without an agent, alternating
"""

# ruff: noqa: E402  (sys.path must be extended first, to import the fixtures of the tests)
from __future__ import annotations

import asyncio
import os
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import structlog

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests")]

from fleet_rig import running_fleet, wait_until
from start import CLOCK_TICKS_PER_S, ROOT, Node, run_lookups

from bitternpath.balancer.fleet import client
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.fleet.world import FleetWorld

CHANGE_COUNT = 60
ROUNDS = 10
MEASUREMENT_S = 20.0  # duration of the measurement of a consensus server


def format_times(values: list[float], scale: float = 1000.0, unit: str = "ms") -> str:
    ordered = sorted(values)
    p99 = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
    return f"median {statistics.median(ordered) * scale:.0f} {unit}, p99 {p99 * scale:.0f} {unit}"


def start_settled_world(nodes: int, seed: int = 1) -> FleetWorld:
    world = FleetWorld(seed, 3, nodes, p.LeaseTerms(), 0.02)
    world.start()
    while world.scheduler.now < 60.0 and (world.scheduler.now < 4.0 or world.unsettled_reason()):
        world.scheduler.run(world.scheduler.now + 0.5)
    if world.unsettled_reason():
        raise SystemExit(f"{nodes} nodes: {world.unsettled_reason()}")
    return world


def measure_change_latency() -> None:
    for nodes in (6, 200):
        for loss in (0.0, 0.1):
            world = start_settled_world(nodes)
            world.all_links.loss = loss
            durations = []
            for index in range(CHANGE_COUNT):
                started_at = world.scheduler.now
                world.operator.submit(
                    m.Propose(f"c{index}", "a", "b", p.SetClass("lookup", {"aim": 1.0 + index}))
                )
                while any(n.holder.plan.version < index + 1 for n in world.nodes.values()):
                    world.scheduler.run(world.scheduler.now + 0.001)
                durations.append(world.scheduler.now - started_at)
                world.scheduler.run(world.scheduler.now + 0.5)
            print(
                f"change to in effect, {nodes} nodes, {loss:.0%} of messages lost: {format_times(durations)}"
            )


def measure_straggler() -> None:
    shutout_times, resume_times, refused_change_times = [], [], []
    for seed in range(ROUNDS):
        world = start_settled_world(6, seed)
        node = world.nodes["n3"]
        started_at = world.scheduler.now
        node.stall()
        while any(holder.node == "n3" for holder in world.leader().desk.record.holders.values()):  # type: ignore[union-attr]
            world.scheduler.run(world.scheduler.now + 0.01)
        shutout_times.append(world.scheduler.now - started_at)
        world.operator.submit(m.Propose("c", "a", "b", p.EjectWorker("w1")))
        world.scheduler.run(world.scheduler.now + 5.0)
        started_at = world.scheduler.now
        node.resume()
        while not (node.holder.fencing_token and node.holder.plan.version == 1):
            world.scheduler.run(world.scheduler.now + 0.01)
        resume_times.append(world.scheduler.now - started_at)
        node.holder.validate = lambda plan: "it cannot"
        started_at = world.scheduler.now
        world.operator.submit(m.Propose("d", "a", "b", p.EjectWorker("w2")))
        while world.leader().desk.record.released.version < 2:  # type: ignore[union-attr]
            world.scheduler.run(world.scheduler.now + 0.01)
        refused_change_times.append(world.scheduler.now - started_at)
    print(f"stalled until shut out (lease 4 s): {format_times(shutout_times, 1, 's')}")
    print(f"awake until it acts on what it missed: {format_times(resume_times)}")
    print(
        f"a change that one of six refuses, until the others have it (catch up 5 s): "
        f"{format_times(refused_change_times, 1, 's')}"
    )


def measure_leader_loss() -> None:
    for signal_number, signal_name in ((signal.SIGKILL, "SIGKILL"), (signal.SIGSTOP, "SIGSTOP")):
        durations = []
        with tempfile.TemporaryDirectory() as folder, running_fleet(Path(folder), 3) as fleet:
            fleet.start()
            for index in range(ROUNDS):
                old_leader = fleet.leader()
                started_at = time.monotonic()
                old_leader.send_signal(signal_number)
                other_servers = {
                    name: address
                    for name, address in fleet.server_addresses.items()
                    if name != old_leader.name
                }
                command = m.Propose(f"c{index}", "a", "b", p.SetClass("x", {"aim": 1.0 + index}))
                assert client.send_command(other_servers, command, "bench", 30.0).ok
                durations.append(time.monotonic() - started_at)
                if signal_number == signal.SIGKILL:
                    old_leader.kill()
                    old_leader.start()
                else:
                    old_leader.send_signal(signal.SIGCONT)
                wait_until(lambda: len(fleet.status()["voters"]) == 3)
                wait_until(lambda old_leader=old_leader: fleet.known_by(old_leader.name).get("leader"))
        print(
            f"without a leader after {signal_name}, until a change is answered: "
            f"{format_times(durations, 1, 's')}"
        )


AGENTS_PROGRAM = """
import sys, structlog
from twisted.internet import reactor
from bitternpath.balancer.config.operator import Fleet
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry, Listing
from bitternpath.balancer.fleet.record_client import RecordClient
from bitternpath.balancer.fleet.connection import FleetConnection
structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
count = [0, 0]
read = FleetConnection.dataReceived
def counted(self, data):
    count[0] += len(data)
    read(self, data)
FleetConnection.dataReceived = counted
fleet = Fleet(stewards=[sys.argv[2]])
agents = [
    RecordClient(reactor, fleet, f"n{k}", "site", EndpointRegistry(Listing(0, True, ())),
          lambda plan: "", lambda plan: None,
          lambda name: 0.0) for k in range(int(sys.argv[1]))
]
for k, agent in enumerate(agents):
    reactor.callLater(k * 0.005, agent.start)
def report():
    lease_count = sum(agent.service_span.fencing_token != 0 for agent in agents)
    print(lease_count, count[0], flush=True)
    reactor.callLater(0.5, report)
report()
reactor.run()
"""


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_consensus_server() -> None:
    for agent_count in (3, 50, 200):
        with tempfile.TemporaryDirectory() as folder, running_fleet(Path(folder), 3) as fleet:
            fleet.start()
            leader = fleet.leader()
            address = f"{leader.name}=127.0.0.1:{leader.held_port.number}"
            agents = subprocess.Popen(
                [sys.executable, "-c", AGENTS_PROGRAM, str(agent_count), address],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                text=True,
            )
            assert agents.stdout is not None
            output_lines = iter(agents.stdout)
            while int(next(output_lines).split()[0]) < agent_count:
                pass
            pid = leader.process.pid
            started_at, cpu_before, bytes_before = (
                time.monotonic(),
                cpu_seconds(pid),
                int(next(output_lines).split()[1]),
            )
            deadline = started_at + MEASUREMENT_S
            while time.monotonic() < deadline:
                last_line = next(output_lines)
            wall_seconds = time.monotonic() - started_at
            core_share, bytes_per_s = (
                (cpu_seconds(pid) - cpu_before) / wall_seconds,
                (int(last_line.split()[1]) - bytes_before) / wall_seconds,
            )
            durations = []
            for index in range(20):
                started_at = time.monotonic()
                version = fleet.change(f"c{index}", p.SetClass("lookup", {"aim": 1.0 + index}))
                while (
                    min(holder.get("acting", -1) for holder in fleet.known_by(leader.name)["holders"])
                    < version
                ):
                    time.sleep(0.005)
                durations.append(time.monotonic() - started_at)
            disk_mb = (leader.folder / "data.mdb").stat().st_size / 1e6
            print(
                f"{agent_count} agents at the leader: {core_share:.1%} of a core, {resident_mb(pid):.0f} MB, "
                f"{bytes_per_s / 1e3:.1f} KB/s to them, {disk_mb:.1f} MB on disk; a change in effect: "
                f"{format_times(durations)}"
            )
            agents.kill()
            agents.wait()


def measure_lookup_cost() -> None:
    rounds = 9
    cpu_us: dict[str, list[float]] = {"without": [], "with": []}
    with tempfile.TemporaryDirectory() as name, running_fleet(Path(name) / "s", 1) as fleet:
        fleet.start()
        folder = Path(name) / "n"
        for round_number in range(rounds + 1):
            for variant in ("without", "with"):
                shutil.rmtree(folder, ignore_errors=True)
                folder.mkdir()
                worker = subprocess.Popen(
                    [sys.executable, str(ROOT / "benchmarks" / "standins.py"), "0"],
                    stdout=subprocess.PIPE, env=os.environ | {"NODE_FILE": str(folder / "node")},
                )  # fmt: skip
                assert worker.stdout is not None
                Node.serve_options = (
                    ("--fleet-stewards", fleet.addresses) if variant == "with" else ("--log-level", "info")
                )
                node = Node(ROOT, folder, int(worker.stdout.readline()))
                try:
                    if variant == "with":
                        wait_until(lambda: fleet.status()["holders"])
                    (folder / "node").write_text(f"127.0.0.1:{node.port}")
                    asyncio.run(run_lookups(node.port, 200, 4, "warm"))
                    before = node.cpu_seconds()
                    asyncio.run(run_lookups(node.port, 4000, 4, "run"))
                    if round_number:
                        cpu_us[variant].append((node.cpu_seconds() - before) / 4000 * 1e6)
                finally:
                    node.stop()
                    worker.kill()
                    worker.wait()
    without_agent, with_agent = (statistics.median(cpu_us[variant]) for variant in ("without", "with"))
    print(
        f"CPU of a lookup: {without_agent:.0f} us without an agent, {with_agent:.0f} us with one, "
        f"ratio {with_agent / without_agent:.3f}"
    )
    print(
        "  rounds:", ", ".join(f"{b / a:.2f}" for a, b in zip(cpu_us["without"], cpu_us["with"], strict=True))
    )


BENCHMARKS: dict[str, Callable[[], None]] = {
    "effect": measure_change_latency,
    "straggler": measure_straggler,
    "leader": measure_leader_loss,
    "steward": measure_consensus_server,
    "lookup": measure_lookup_cost,
}


def main() -> int:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for name in sys.argv[1:] or BENCHMARKS:
        BENCHMARKS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
