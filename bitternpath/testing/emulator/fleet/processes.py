"""Consensus servers as real processes next to emulated nodes, with a relay from each process to each server.

Operator commands are issued here, faults affect servers and links, and at the end the processes' own
records are checked (`final_checks.py`). The checker's queries to a server bypass the relays.
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
from bitternpath.testing.emulator.ports import ReservedPort

POLL_INTERVAL = 0.25  # s between polls of all servers' status
RECOVERY_LIMIT = 40.0  # s after the last fault within which the fleet must recover
SHUTDOWN_LIMIT = 6.0  # s for the nodes to end
BUILD = ""  # name of a broken build (`broken.py`) to run instead of the sound one, for tests of the checkers
BROKEN_BUILD_PROGRAM = """
import sys
from bitternpath.testing.emulator.fleet.broken import broken_build
from bitternpath.cli import main
with broken_build(sys.argv[1]):
    sys.exit(main(sys.argv[2:]))
"""


def program() -> list[str]:
    """The command that runs a process of the fleet, without its arguments."""
    return (
        [sys.executable, "-c", BROKEN_BUILD_PROGRAM, BUILD]
        if BUILD
        else [sys.executable, "-m", "bitternpath"]
    )


class ServerProcess:
    """A `consensus-server` process that is started, killed, stopped and resumed."""

    def __init__(self, fleet: FleetProcesses, name: str, site: str) -> None:
        self.fleet, self.name, self.site = fleet, name, site
        self.reserved_port = ReservedPort()
        self.folder = fleet.world.folder / f"steward-{name}"
        self.log = fleet.world.folder / f"{name}.log"
        self.process: Any = None
        self.status: dict[str, Any] = {}  # its last reply to a status query

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self, bootstrap: bool = False) -> None:
        fleet_settings, fleet = self.fleet.world.scenario.fleet, self.fleet
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
        env |= fleet.environment(self.name) | {
            "BITTERNPATH_FLEET_NAME": self.name,
            "BITTERNPATH_FLEET_LISTEN": f"127.0.0.1:{self.reserved_port.number}",
            "BITTERNPATH_FLEET_FOLDER": str(self.folder),
            "BITTERNPATH_FLEET_LEASE": str(fleet_settings.lease),
            "BITTERNPATH_FLEET_CATCH_UP": str(fleet_settings.catch_up),
            "BITTERNPATH_FLEET_DRIFT": str(fleet_settings.drift),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*program(), "consensus-server", *["--found"] * bootstrap],
                env=env,
                cwd=Path(__file__).parents[4],
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def kill(self) -> None:
        if self.alive:
            self.process.kill()
            self.process.wait()

    def stop(self) -> None:
        if self.alive:
            self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self.alive:
            self.process.send_signal(signal.SIGCONT)

    def end(self) -> None:
        self.resume()
        self.kill()
        self.reserved_port.close()


class FleetProcesses:
    """The consensus servers of a run, the links to them, and an operator."""

    def __init__(self, world: FleetWorld) -> None:
        self.world = world
        sites = [site.name for site in world.scenario.sites]
        server_count = world.scenario.fleet.stewards
        self.servers = {
            f"S{k + 1}": ServerProcess(self, f"S{k + 1}", sites[k % len(sites)]) for k in range(server_count)
        }  # fmt: skip
        self.relays: dict[tuple[str, str], Relay] = {}
        self.random = Random(f"{world.seed} fleet")
        self.acknowledged: dict[str, int] = {}  # change id: the version in its answer
        self.ejections: dict[str, int] = {}  # worker: the version that ejected it, while the ejection lasts
        self.changes = 0
        self.members = 1
        self.violations: list[str] = []  # found at the end of the run
        self.finished = False
        self.statistics: dict[str, Any] = {}
        self._acknowledged_at: dict[int, float] = {}  # version: time of its answer, until it is in effect
        self.effect_delays: list[float] = []  # s from the answer until in effect
        self.leaderless_s = 0.0  # s during which no server claimed to lead

    def program(self) -> list[str]:
        """The command that runs a process of the fleet, without its arguments."""
        return program()

    # ---- links

    def relay(self, sender: str, server: str) -> Relay:
        relay = self.relays.get((sender, server))
        if relay is None:
            reserved_port = self.servers[server].reserved_port
            relay = self.relays[sender, server] = Relay(self.world.reactor, lambda: reserved_port.number)
        return relay

    def environment(self, name: str) -> dict[str, str]:
        """The environment variables that give a process the servers' addresses, each through its own
        relay."""
        at = [f"{s}=127.0.0.1:{self.relay(name, s).number}" for s in self.servers]
        fleet_settings = {"BITTERNPATH_FLEET_STEWARDS": ",".join(at)}
        if name not in self.servers:
            fleet_settings["BITTERNPATH_FLEET_FOLDER"] = str(self.world.folder / f"{name}.acts")
            fleet_settings["BITTERNPATH_FLEET_ALONE"] = self.world.scenario.fleet.alone
        return fleet_settings

    def site_of(self, name: str) -> str:
        return (self.servers.get(name) or self.world.nodes[name]).site

    # ---- the operator

    def request(
        self, command: m.Command, on_reply: Callable[[m.CommandReply], None] = lambda answer: None
    ) -> None:
        ports = [self.relay(OPERATOR, name).number for name in self.servers]
        self.random.shuffle(ports)
        OperatorRequest(self.world.reactor, command, on_reply, ports)

    def change(self, change: Any, on_version: Callable[[int], None] = lambda version: None) -> None:
        """Proposes a change and records the version in the answer."""
        self.changes += 1
        id = f"c{self.changes}"

        def on_reply(answer: m.CommandReply) -> None:
            if answer.ok:
                version = int(msgspec.msgpack.decode(answer.data)["version"])
                self.acknowledged[id] = version
                self._acknowledged_at[version] = self.world.reactor.seconds()
                on_version(version)

        self.request(m.Propose(id, OPERATOR, "a scenario", change), on_reply)

    # ---- running

    def start(self) -> None:
        """Bootstraps the fleet and adds the other servers one by one."""
        for k, server in enumerate(self.servers.values()):
            server.start(bootstrap=k == 0)
        self._add(list(self.servers)[1:])
        self._poll_status()

    def _add(self, names: list[str]) -> None:
        if not names:
            return

        def on_reply(answer: m.CommandReply) -> None:
            if answer.ok:
                self.members += 1
                self._add(names[1:])
            else:
                self.world.reactor.callLater(0.2, self._add, names)

        self.request(m.ChangeMembers(add=names[0]), on_reply)

    def _poll_status(self) -> None:
        """Queries the status of each server, for the live table, ejections in effect and the final checks."""
        if self.finished:
            return
        for server in self.servers.values():
            if server.alive:
                self._query_status(server)
        status = self.leader_status()
        if status is None:
            self.leaderless_s += POLL_INTERVAL
        else:
            self._record_effects(status)
        self.world.reactor.callLater(POLL_INTERVAL, self._poll_status)

    def _query_status(self, server: ServerProcess) -> None:
        reactor = self.world.reactor

        def receive(connection: FleetConnection, message: m.FleetMessage) -> None:
            if isinstance(message, m.Hello):
                connection.send(m.CommandRequest(1, m.Query("status", stale=True)))
            elif isinstance(message, m.CommandReply):
                server.status = dict(msgspec.msgpack.decode(message.data)) | {"at": reactor.seconds()}
                connection.close()

        connection = FleetConnection(
            reactor, m.Hello(m.PROTOCOL_VERSION, "", "command", "checker"), receive, lambda connection: None
        )
        dial(reactor, "127.0.0.1", server.reserved_port.number, 1.0, connection).addErrback(
            lambda failure: None
        )

    def leader_status(self) -> dict[str, Any] | None:
        """The leader's status, if a server has claimed recently to lead."""
        oldest = self.world.reactor.seconds() - 4 * POLL_INTERVAL
        claims = [
            s.status for s in self.servers.values()
            if s.status and s.status["at"] > oldest and s.status["leader"] == s.status["steward"]
        ]  # fmt: skip
        return max(claims, key=lambda status: int(status["term"]), default=None)

    def _record_effects(self, status: dict[str, Any]) -> None:
        world, holders = self.world, status["holders"]
        acting = min((h.get("acting", -1) for h in holders), default=-1)
        for version in [v for v in self._acknowledged_at if v <= acting]:
            self.effect_delays.append(world.reactor.seconds() - self._acknowledged_at.pop(version))
        for worker, version in self.ejections.items():
            if acting >= version:
                for holder in holders:
                    world.checker.worker_ejected(world.now(), holder["node"], worker)

    def unsettled_reason(self) -> str:
        """What has not settled yet; empty if everything has."""
        status = self.leader_status()
        if status is None:
            return "no leader"
        if len(status["voters"]) < len(self.servers):
            return f"{len(status['voters'])} of {len(self.servers)} consensus servers vote"
        holders = {h["node"]: h for h in status["holders"]}
        for node in self.world.nodes.values():
            holder = holders.get(node.name)
            if not node.alive:
                continue
            if holder is None or holder.get("acting", -1) < status["latest"]:
                reason = f"acts on {holder.get('acting')}" if holder else "no lease"
                return f"{node.name}: {reason}, {status['latest']} is committed"
        return ""

    def table_row(self) -> dict[str, str]:
        """The fleet's columns of the live table."""
        status = self.leader_status()
        if status is None:
            return {"leader": "-", "version": "-", "leases": "-", "up to date": "-"}
        acting = [h.get("acting", -1) for h in status["holders"]]
        return {
            "leader": str(status["leader"]).partition(".")[0],
            "version": f"{status['released']}/{status['latest']}",
            "leases": str(len(acting)),
            "up to date": str(sum(version >= status["released"] for version in acting)),
        }

    # ---- end of a run

    def finish(self, on_finished: Callable[[], None]) -> None:
        """Waits until the fleet has settled, stops the nodes, and checks the records."""
        until = time.monotonic() + RECOVERY_LIMIT
        for relay in self.relays.values():
            relay.repair()

        def await_recovery() -> None:
            reason = self.unsettled_reason()
            if reason and time.monotonic() < until:
                self.world.reactor.callLater(POLL_INTERVAL, await_recovery)
                return
            if reason:
                self.violations.append(f"stuck: {reason}, {RECOVERY_LIMIT:.0f} s after the last fault")
            for node in self.world.nodes.values():
                node.request_stop()
            await_nodes(time.monotonic() + SHUTDOWN_LIMIT)

        def await_nodes(deadline: float) -> None:
            running = any(node.alive and node.process.poll() is None for node in self.world.nodes.values())
            if running and time.monotonic() < deadline:
                self.world.reactor.callLater(0.1, await_nodes, deadline)
            else:
                self.world.reactor.callLater(1.0, self._collect_records, on_finished)

        await_recovery()

    def _collect_records(self, on_finished: Callable[[], None]) -> None:
        """Fetches each server's complete record and checks it against what happened."""
        self.finished = True
        records: dict[str, dict[str, Any]] = {}
        names = [name for name, server in self.servers.items() if server.alive]

        def on_reply(name: str, answer: m.CommandReply) -> None:
            records[name] = dict(msgspec.msgpack.decode(answer.data))
            if len(records) == len(names):
                self._check_records(records)
                on_finished()

        for name in names:
            port = self.servers[name].reserved_port.number
            OperatorRequest(self.world.reactor, m.Query("audit", stale=True), partial(on_reply, name), [port])

    def _check_records(self, records: dict[str, dict[str, Any]]) -> None:
        newest = max(records.values(), key=lambda record: int(record["applied"]))
        accounts = {f"{a['node']}#{a['boot']}": a for a in newest["accounts"]}
        spans: list[final_checks.ServedSpan] = []
        for node in self.world.nodes.values():
            for file in sorted((self.world.folder / f"{node.name}.acts").glob("acts-*")):
                process = f"{node.name}#{file.name.removeprefix('acts-')}"
                entries = [
                    msgspec.json.decode(text, type=audit.AuditEntry)
                    for text in file.read_bytes().splitlines()
                ]
                spans += final_checks.served_spans(process, entries)
                self.violations += final_checks.check_fencing_tokens(process, entries)
                self.violations += final_checks.check_audit(process, entries, accounts.get(process))
        self.violations += final_checks.check_versions_apart(spans)
        self.violations += final_checks.check_ended_leases(spans, accounts)
        self.violations += final_checks.check_changes(records, self.acknowledged)
        self.statistics = {
            "versions": newest["released"], "promised": len(self.acknowledged), "spans": len(spans),
            "effect": sorted(self.effect_delays), "leaderless": self.leaderless_s,
            "lines": sum(len(a["lines"]) for a in accounts.values()),
        }  # fmt: skip

    def close(self) -> None:
        for server in self.servers.values():
            server.end()
        for relay in self.relays.values():
            relay.close()


__all__ = ["FleetProcesses"]
