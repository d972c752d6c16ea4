"""Stewards as real processes beside a world on sockets, with a relay from each process to each steward.

The world's operator types commands, its troubles take stewards and links, and at the end the processes' own
records are reckoned with (`final_checks.py`). What the checker asks of a steward goes past the relays.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from bitternpath.balancer.fleet import audit
from bitternpath.balancer.fleet import messages as m
from bitternpath.balancer.fleet.connection import FleetConnection
from bitternpath.net.sockets import dial
from bitternpath.testing.emulator.fleet import final_checks
from bitternpath.testing.emulator.fleet.operator_request import OPERATOR, OperatorRequest
from bitternpath.testing.emulator.fleet.relay import Relay
from bitternpath.testing.emulator.fleet.surroundings import FleetWorld
from bitternpath.testing.emulator.ports import HeldPort

LOOK_EVERY = 0.25  # s between looks at what all stewards know
RIGHT_WITHIN = 40.0  # s after the last fault by which all must be in order
LAST_WORDS = 6.0  # s for nodes to end
BUILD = ""  # of `broken.py`, in place of the sound one: for tests of the checkers
AS_BUILT = """
import sys
from bitternpath.testing.emulator.fleet.broken import broken
from bitternpath.cli import main
with broken(sys.argv[1]):
    sys.exit(main(sys.argv[2:]))
"""


def program() -> list[str]:
    """What runs a process of the fleet."""
    return [sys.executable, "-c", AS_BUILT, BUILD] if BUILD else [sys.executable, "-m", "bitternpath"]


class StewardOnSockets:
    """A `steward` process that is started, killed, stopped and started again."""

    def __init__(self, fleet: FleetOnSockets, name: str, site: str) -> None:
        self.fleet, self.name, self.site = fleet, name, site
        self.held = HeldPort()
        self.folder = fleet.world.folder / f"steward-{name}"
        self.log = fleet.world.folder / f"{name}.log"
        self.process: Any = None
        self.known: dict[str, Any] = {}  # what it last told the checker

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self, found: bool = False) -> None:
        told, fleet = self.fleet.world.scenario.fleet, self.fleet
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
        env |= fleet.environ(self.name) | {
            "BITTERNPATH_FLEET_NAME": self.name,
            "BITTERNPATH_FLEET_LISTEN": f"127.0.0.1:{self.held.number}",
            "BITTERNPATH_FLEET_FOLDER": str(self.folder),
            "BITTERNPATH_FLEET_LEASE": str(told.lease),
            "BITTERNPATH_FLEET_CATCH_UP": str(told.catch_up),
            "BITTERNPATH_FLEET_DRIFT": str(told.drift),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*program(), "consensus-server", *["--found"] * found],
                env=env,
                cwd=Path(__file__).parents[4],
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self) -> None:
        if self.up:
            self.process.kill()
            self.process.wait()

    def stop(self) -> None:
        if self.up:
            self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self.up:
            self.process.send_signal(signal.SIGCONT)

    def end(self) -> None:
        self.resume()
        self.kill()
        self.held.close()


class FleetOnSockets:
    """The stewards of a world, the links to them, and an operator."""

    def __init__(self, world: FleetWorld) -> None:
        self.world = world
        sites = [site.name for site in world.scenario.sites]
        many = world.scenario.fleet.stewards
        self.stewards = {
            f"S{k + 1}": StewardOnSockets(self, f"S{k + 1}", sites[k % len(sites)]) for k in range(many)
        }  # fmt: skip
        self.relays: dict[tuple[str, str], Relay] = {}
        self.random = Random(f"{world.seed} fleet")
        self.promised: dict[str, int] = {}  # change id: the version that was answered
        self.bans: dict[str, int] = {}  # worker: the version that banned it, while it is asked for
        self.changes = 0
        self.members = 1
        self.faults: list[str] = []  # of rules, found at the end
        self.finished = False
        self.figures: dict[str, Any] = {}
        self._asked_at: dict[int, float] = {}  # version: when it was answered for, until it is in effect
        self.effect: list[float] = []  # s from an answer to in effect
        self.leaderless = 0.0  # s for which no steward said that it leads

    def program(self) -> list[str]:
        """What runs a process of the fleet."""
        return program()

    # ---- the ways

    def relay(self, sender: str, steward: str) -> Relay:
        found = self.relays.get((sender, steward))
        if found is None:
            held = self.stewards[steward].held
            found = self.relays[sender, steward] = Relay(self.world.reactor, lambda: held.number)
        return found

    def environ(self, name: str) -> dict[str, str]:
        """What tells a process of the stewards: each at a relay of its own."""
        at = [f"{s}=127.0.0.1:{self.relay(name, s).number}" for s in self.stewards]
        told = {"BITTERNPATH_FLEET_STEWARDS": ",".join(at)}
        if name not in self.stewards:
            told["BITTERNPATH_FLEET_FOLDER"] = str(self.world.folder / f"{name}.acts")
            told["BITTERNPATH_FLEET_ALONE"] = self.world.scenario.fleet.alone
        return told

    def site_of(self, name: str) -> str:
        return (self.stewards.get(name) or self.world.nodes[name]).site

    # ---- the operator

    def ask(self, command: m.Command, then: Callable[[m.CommandReply], None] = lambda answer: None) -> None:
        ports = [self.relay(OPERATOR, name).number for name in self.stewards]
        self.random.shuffle(ports)
        OperatorRequest(self.world.reactor, command, then, ports)

    def change(self, change: Any, then: Callable[[int], None] = lambda version: None) -> None:
        """Propose it, and remember what was answered."""
        self.changes += 1
        id = f"c{self.changes}"

        def heard(answer: m.CommandReply) -> None:
            if answer.ok:
                version = int(msgspec.msgpack.decode(answer.data)["version"])
                self.promised[id] = version
                self._asked_at[version] = self.world.reactor.seconds()
                then(version)

        self.ask(m.Propose(id, OPERATOR, "a scenario", change), heard)

    # ---- a run

    def start(self) -> None:
        """Found the fleet and add the others, one by one."""
        for k, steward in enumerate(self.stewards.values()):
            steward.start(found=k == 0)
        self._add(list(self.stewards)[1:])
        self._look()

    def _add(self, names: list[str]) -> None:
        if not names:
            return

        def heard(answer: m.CommandReply) -> None:
            if answer.ok:
                self.members += 1
                self._add(names[1:])
            else:
                self.world.reactor.callLater(0.2, self._add, names)

        self.ask(m.ChangeMembers(add=names[0]), heard)

    def _look(self) -> None:
        """What does each steward know? For the table, for bans that are in effect, and for the end."""
        if self.finished:
            return
        for steward in self.stewards.values():
            if steward.up:
                self._ask_alone(steward)
        found = self.leads()
        if found is None:
            self.leaderless += LOOK_EVERY
        else:
            self._effects(found)
        self.world.reactor.callLater(LOOK_EVERY, self._look)

    def _ask_alone(self, steward: StewardOnSockets) -> None:
        reactor = self.world.reactor

        def receive(wire: FleetConnection, said: m.FleetMessage) -> None:
            if isinstance(said, m.Hello):
                wire.send(m.CommandRequest(1, m.Query("status", stale=True)))
            elif isinstance(said, m.CommandReply):
                steward.known = dict(msgspec.msgpack.decode(said.data)) | {"at": reactor.seconds()}
                wire.close()

        wire = FleetConnection(
            reactor, m.Hello(m.PROTOCOL_VERSION, "", "command", "checker"), receive, lambda wire: None
        )
        dial(reactor, "127.0.0.1", steward.held.number, 1.0, wire).addErrback(lambda failure: None)

    def leads(self) -> dict[str, Any] | None:
        """What the leader knows, where one has said lately that it leads."""
        lately = self.world.reactor.seconds() - 4 * LOOK_EVERY
        found = [
            s.known for s in self.stewards.values()
            if s.known and s.known["at"] > lately and s.known["leader"] == s.known["steward"]
        ]  # fmt: skip
        return max(found, key=lambda known: int(known["term"]), default=None)

    def _effects(self, known: dict[str, Any]) -> None:
        world, holders = self.world, known["holders"]
        acting = min((h.get("acting", -1) for h in holders), default=-1)
        for version in [v for v in self._asked_at if v <= acting]:
            self.effect.append(world.reactor.seconds() - self._asked_at.pop(version))
        for worker, version in self.bans.items():
            if acting >= version:
                for holder in holders:
                    world.checker.out_by_hand(world.now(), holder["node"], worker)

    def unsettled(self) -> str:
        """What is not in order yet; empty: all is."""
        known = self.leads()
        if known is None:
            return "no leader"
        if len(known["voters"]) < len(self.stewards):
            return f"{len(known['voters'])} of {len(self.stewards)} stewards vote"
        holders = {h["node"]: h for h in known["holders"]}
        for node in self.world.nodes.values():
            holder = holders.get(node.name)
            if not node.up:
                continue
            if holder is None or holder.get("acting", -1) < known["latest"]:
                why = f"acts on {holder.get('acting')}" if holder else "no lease"
                return f"{node.name}: {why}, {known['latest']} is agreed"
        return ""

    def row(self) -> dict[str, str]:
        """For the live table."""
        known = self.leads()
        if known is None:
            return {"leader": "-", "version": "-", "leases": "-", "on it": "-"}
        acting = [h.get("acting", -1) for h in known["holders"]]
        return {
            "leader": str(known["leader"]).partition(".")[0],
            "version": f"{known['released']}/{known['latest']}",
            "leases": str(len(acting)),
            "on it": str(sum(version >= known["released"] for version in acting)),
        }

    # ---- the end

    def finish(self, over: Callable[[], None]) -> None:
        """Wait until all is in order, have the nodes end, reckon."""
        until = time.monotonic() + RIGHT_WITHIN
        for relay in self.relays.values():
            relay.mend()

        def wait() -> None:
            why = self.unsettled()
            if why and time.monotonic() < until:
                self.world.reactor.callLater(LOOK_EVERY, wait)
                return
            if why:
                self.faults.append(f"stuck: {why}, {RIGHT_WITHIN:.0f} s after the last fault")
            for node in self.world.nodes.values():
                node.say_stop()
            ends(time.monotonic() + LAST_WORDS)

        def ends(by: float) -> None:
            running = any(node.up and node.process.poll() is None for node in self.world.nodes.values())
            if running and time.monotonic() < by:
                self.world.reactor.callLater(0.1, ends, by)
            else:
                self.world.reactor.callLater(1.0, self._reckon, over)

        wait()

    def _reckon(self, over: Callable[[], None]) -> None:
        """Ask each steward for all that it knows, then hold it against what happened."""
        self.finished = True
        found: dict[str, dict[str, Any]] = {}
        names = [name for name, steward in self.stewards.items() if steward.up]

        def heard(name: str, answer: m.CommandReply) -> None:
            found[name] = dict(msgspec.msgpack.decode(answer.data))
            if len(found) == len(names):
                self._hold_against(found)
                over()

        for name in names:
            port = self.stewards[name].held.number
            OperatorRequest(self.world.reactor, m.Query("audit", stale=True), partial(heard, name), [port])

    def _hold_against(self, records: dict[str, dict[str, Any]]) -> None:
        newest = max(records.values(), key=lambda record: int(record["applied"]))
        accounts = {f"{a['node']}#{a['boot']}": a for a in newest["accounts"]}
        spans: list[final_checks.Served] = []
        for node in self.world.nodes.values():
            for file in sorted((self.world.folder / f"{node.name}.acts").glob("acts-*")):
                process = f"{node.name}#{file.name.removeprefix('acts-')}"
                lines = [
                    msgspec.json.decode(text, type=audit.AuditEntry)
                    for text in file.read_bytes().splitlines()
                ]
                spans += final_checks.served(process, lines)
                self.faults += final_checks.fences(process, lines)
                self.faults += final_checks.heard(process, lines, accounts.get(process))
        self.faults += final_checks.apart(spans)
        self.faults += final_checks.over(spans, accounts)
        self.faults += final_checks.kept(records, self.promised)
        self.figures = {
            "versions": newest["released"], "promised": len(self.promised), "spans": len(spans),
            "effect": sorted(self.effect), "leaderless": self.leaderless,
            "lines": sum(len(a["lines"]) for a in accounts.values()),
        }  # fmt: skip

    def close(self) -> None:
        for steward in self.stewards.values():
            steward.end()
        for relay in self.relays.values():
            relay.close()


__all__ = ["FleetOnSockets"]
