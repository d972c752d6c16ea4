"""What the fleet costs and how fast it is: the tables of docs/results/fleet.md.

.venv/bin/python benchmarks/fleet.py effect      # from a change to in effect, virtual time, 6 and 200 nodes
.venv/bin/python benchmarks/fleet.py leader      # without a leader after SIGKILL and SIGSTOP, real stewards
.venv/bin/python benchmarks/fleet.py straggler   # until one is up or shut out, virtual time
.venv/bin/python benchmarks/fleet.py steward     # a leader's cost with 3, 50 and 200 agents of one process
.venv/bin/python benchmarks/fleet.py lookup      # CPU of a lookup with an agent over one without, in turn
"""

# ruff: noqa: E402  (the rig of the tests stands beside)
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
from start import HERTZ, ROOT, Node, lookups

from bitternpath.balancer.fleet import client
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet import plan as p
from bitternpath.testing.emulator.fleet.world import FleetWorld

CHANGES = 60
ROUNDS = 10
CALM = 20.0  # s over which a steward is measured


def shown(values: list[float], unit: float = 1000.0, word: str = "ms") -> str:
    ordered = sorted(values)
    p99 = ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]
    return f"median {statistics.median(ordered) * unit:.0f} {word}, p99 {p99 * unit:.0f} {word}"


def settled_world(nodes: int, seed: int = 1) -> FleetWorld:
    world = FleetWorld(seed, 3, nodes, p.LeaseTerms(), 0.02)
    world.start()
    while world.scheduler.now < 60.0 and (world.scheduler.now < 4.0 or world.unsettled_reason()):
        world.scheduler.run(world.scheduler.now + 0.5)
    if world.unsettled_reason():
        raise SystemExit(f"{nodes} nodes: {world.unsettled_reason()}")
    return world


def effect() -> None:
    for nodes in (6, 200):
        for loss in (0.0, 0.1):
            world = settled_world(nodes)
            world.all_links.loss = loss
            took = []
            for k in range(CHANGES):
                begun = world.scheduler.now
                world.operator.submit(m.Propose(f"c{k}", "a", "b", p.SetClass("lookup", {"aim": 1.0 + k})))
                while any(n.holder.plan.version < k + 1 for n in world.nodes.values()):
                    world.scheduler.run(world.scheduler.now + 0.001)
                took.append(world.scheduler.now - begun)
                world.scheduler.run(world.scheduler.now + 0.5)
            print(f"change to in effect, {nodes} nodes, {loss:.0%} of messages lost: {shown(took)}")


def straggler() -> None:
    gone, back, lag = [], [], []
    for seed in range(ROUNDS):
        world = settled_world(6, seed)
        node = world.nodes["n3"]
        begun = world.scheduler.now
        node.stall()
        while any(h.node == "n3" for h in world.leader().desk.record.holders.values()):  # type: ignore[union-attr]
            world.scheduler.run(world.scheduler.now + 0.01)
        gone.append(world.scheduler.now - begun)
        world.operator.submit(m.Propose("c", "a", "b", p.EjectWorker("w1")))
        world.scheduler.run(world.scheduler.now + 5.0)
        begun = world.scheduler.now
        node.resume()
        while not (node.holder.fencing_token and node.holder.plan.version == 1):
            world.scheduler.run(world.scheduler.now + 0.01)
        back.append(world.scheduler.now - begun)
        node.holder.validate = lambda plan: "it cannot"
        begun = world.scheduler.now
        world.operator.submit(m.Propose("d", "a", "b", p.EjectWorker("w2")))
        while world.leader().desk.record.released.version < 2:  # type: ignore[union-attr]
            world.scheduler.run(world.scheduler.now + 0.01)
        lag.append(world.scheduler.now - begun)
    print(f"stalled until shut out (lease 4 s): {shown(gone, 1, 's')}")
    print(f"awake until it acts on what it missed: {shown(back)}")
    print(f"a change that one of six refuses, until the others have it (catch up 5 s): {shown(lag, 1, 's')}")


def leader() -> None:
    for number, word in ((signal.SIGKILL, "SIGKILL"), (signal.SIGSTOP, "SIGSTOP")):
        took = []
        with tempfile.TemporaryDirectory() as folder, running_fleet(Path(folder), 3) as made:
            made.start()
            for k in range(ROUNDS):
                old = made.leader()
                begun = time.monotonic()
                old.send_signal(number)
                others = {name: at for name, at in made.server_addresses.items() if name != old.name}
                ban = m.Propose(f"c{k}", "a", "b", p.SetClass("x", {"aim": 1.0 + k}))
                assert client.send_command(others, ban, "bench", 30.0).ok
                took.append(time.monotonic() - begun)
                if number == signal.SIGKILL:
                    old.kill()
                    old.start()
                else:
                    old.send_signal(signal.SIGCONT)
                wait_until(lambda: len(made.status()["voters"]) == 3)
                wait_until(lambda old=old: made.known_by(old.name).get("leader"))
        print(f"without a leader after {word}, until a change is answered: {shown(took, 1, 's')}")


AGENTS = """
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
    reactor.callLater(k * 0.005, agent.begin)
def report():
    held = sum(agent.service_span.fencing_token != 0 for agent in agents)
    print(held, count[0], flush=True)
    reactor.callLater(0.5, report)
report()
reactor.run()
"""


def cpu_of(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / HERTZ


def resident(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def steward() -> None:
    for many in (3, 50, 200):
        with tempfile.TemporaryDirectory() as folder, running_fleet(Path(folder), 3) as made:
            made.start()
            lead = made.leader()
            at = f"{lead.name}=127.0.0.1:{lead.held_port.number}"
            agents = subprocess.Popen(
                [sys.executable, "-c", AGENTS, str(many), at], cwd=ROOT, stdout=subprocess.PIPE, text=True
            )
            assert agents.stdout is not None
            told = iter(agents.stdout)
            while int(next(told).split()[0]) < many:
                pass
            pid = lead.process.pid
            begun, cpu, read = time.monotonic(), cpu_of(pid), int(next(told).split()[1])
            until_ = begun + CALM
            while time.monotonic() < until_:
                line = next(told)
            wall = time.monotonic() - begun
            used, bytes_ = (cpu_of(pid) - cpu) / wall, (int(line.split()[1]) - read) / wall
            took = []
            for k in range(20):
                begun = time.monotonic()
                version = made.change(f"c{k}", p.SetClass("lookup", {"aim": 1.0 + k}))
                while min(h.get("acting", -1) for h in made.known_by(lead.name)["holders"]) < version:
                    time.sleep(0.005)
                took.append(time.monotonic() - begun)
            disk = (lead.folder / "data.mdb").stat().st_size / 1e6
            print(
                f"{many} agents at the leader: {used:.1%} of a core, {resident(pid):.0f} MB, "
                f"{bytes_ / 1e3:.1f} KB/s to them, {disk:.1f} MB on disk; a change in effect: {shown(took)}"
            )
            agents.kill()
            agents.wait()


def lookup() -> None:
    rounds = 9
    found: dict[str, list[float]] = {"without": [], "with": []}
    with tempfile.TemporaryDirectory() as name, running_fleet(Path(name) / "s", 1) as made:
        made.start()
        folder = Path(name) / "n"
        for round_ in range(rounds + 1):
            for which in ("without", "with"):
                shutil.rmtree(folder, ignore_errors=True)
                folder.mkdir()
                worker = subprocess.Popen(
                    [sys.executable, str(ROOT / "benchmarks" / "standins.py"), "0"],
                    stdout=subprocess.PIPE, env=os.environ | {"NODE_FILE": str(folder / "node")},
                )  # fmt: skip
                assert worker.stdout is not None
                Node.flags = (
                    ("--fleet-stewards", made.addresses) if which == "with" else ("--log-level", "info")
                )
                node = Node(ROOT, folder, int(worker.stdout.readline()))
                try:
                    if which == "with":
                        wait_until(lambda: made.status()["holders"])
                    (folder / "node").write_text(f"127.0.0.1:{node.port}")
                    asyncio.run(lookups(node.port, 200, 4, "warm"))
                    before = node.cpu()
                    asyncio.run(lookups(node.port, 4000, 4, "run"))
                    if round_:
                        found[which].append((node.cpu() - before) / 4000 * 1e6)
                finally:
                    node.end()
                    worker.kill()
                    worker.wait()
    without, with_ = (statistics.median(found[which]) for which in ("without", "with"))
    print(
        f"CPU of a lookup: {without:.0f} us without an agent, {with_:.0f} us with one, "
        f"ratio {with_ / without:.3f}"
    )
    print(
        "  rounds:", ", ".join(f"{b / a:.2f}" for a, b in zip(found["without"], found["with"], strict=True))
    )


PARTS: dict[str, Callable[[], None]] = {
    "effect": effect, "straggler": straggler, "leader": leader, "steward": steward, "lookup": lookup,
}  # fmt: skip


def main() -> int:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    for name in sys.argv[1:] or PARTS:
        PARTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
