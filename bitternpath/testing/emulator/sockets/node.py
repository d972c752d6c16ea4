"""A real node: a `serve` process that is started, killed, stopped, upgraded and restarted."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from bitternpath.balancer.core.endpoint_registry import Listing
from bitternpath.net import http1
from bitternpath.testing.emulator.clients import Try
from bitternpath.testing.emulator.ports import HeldPort
from bitternpath.testing.emulator.sockets.feed import DiscoveryFeed
from bitternpath.testing.emulator.sockets.platform_settings import settings_json
from bitternpath.testing.emulator.sockets.pool import ConnectionPool
from bitternpath.testing.emulator.sockets.processor_waits import waited_for_processor
from bitternpath.testing.emulator.sockets.requests import ClientRequests
from bitternpath.testing.emulator.sockets.run import Run

ROOT = Path(__file__).parents[4]
READY_WITHIN = 30.0  # s for a node to come up
OLDER_ENDS_WITHIN = 3.7  # s after SIGTERM at which a process may be killed
SOCKETS = 1024
POLL = 0.05  # s between looks at a process that is to end or to get ready


class SocketNode:
    """One node of the world, with the process that is its present life."""

    def __init__(self, world: Run, name: str, site: str, number: int) -> None:
        self.world, self.name, self.site, self.number = world, name, site, number
        self.up = False
        self.stopped_at = float("inf")  # s of the run; infinite while it is not
        self.process: Any = None
        self.held = HeldPort()
        self.port = self.held.number
        self.requests = ClientRequests(world, self)
        self.news = ConnectionPool(world.reactor, lambda: self.port)  # call-backs of workers
        self.feed = DiscoveryFeed(world, name)
        self.log = world.folder / f"{name}.log"
        self.file = world.folder / f"{name}.json"
        self.lives = 0
        self.ending = False
        self.console = 0  # its port, where the scenario has operators
        self.consoles: list[HeldPort] = []
        self.older: list[Any] = []  # processes that a newer one has taken over from
        self.shared = world.folder / f"{name}.tmp"
        self.shared.mkdir()

    # ---- clients

    def request(self, told: Try) -> bool:
        """A client's request has arrived; somebody listens, or it is refused later."""
        self.requests.send(told)
        return True

    def gone(self, told: Try) -> None:
        self.requests.leave(told)

    # ---- start and end

    def start(self, known: Listing | None = None) -> None:
        world = self.world
        self.lives += 1
        self.process = self._spawn(known or world.directory.whole())
        self.up = True
        world.directory.nodes[self.name] = self.feed.hear
        self._look_ready(self.lives, time.monotonic())

    def _spawn(self, listing: Listing) -> Any:
        """Start a process of the node."""
        self.file.write_text(json.dumps(self._configuration(listing)))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
        env |= {"PROXY_CONFIG": str(self.file), "TMPDIR": str(self.shared)}
        if self.world.fleet is not None:
            env |= self.world.fleet.environ(self.name)
        return subprocess.Popen(
            self._program(), env=env, cwd=ROOT, stderr=self.log.open("ab"), stdin=subprocess.DEVNULL
        )

    def _configuration(self, listing: Listing) -> dict[str, Any]:
        world, sites = self.world, self.world.scenario.sites
        told: dict[str, Any] = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}",
            "discovery": self.feed.address, "seed": f"{world.random.getrandbits(48):x}",
            "limits": {"sockets": SOCKETS}, "known": self.feed.message(listing),
            "settings": settings_json(
                world.scenario, self.site, self.number, max(sum(site.nodes for site in sites), 1)
            ),
        }  # fmt: skip
        if world.operated:
            self.consoles.append(HeldPort())
            self.console = self.consoles[-1].number
            told["console"] = f"127.0.0.1:{self.console}"
        return told

    def _program(self) -> list[str]:
        if self.world.fleet is None:
            return [sys.executable, "-m", "bitternpath"]
        return self.world.fleet.program()

    def _look_ready(self, life: int, since: float) -> None:
        """The front admits a node once `/ready` has answered 200."""
        if not self.up or life != self.lives:
            return

        def heard(answer: http1.Response | None) -> None:
            if answer is not None and answer.status == 200:
                self.world.front.admit(self)
            else:
                again()

        def again() -> None:
            if time.monotonic() < since + READY_WITHIN:
                self.world.reactor.callLater(0.02, self._look_ready, life, since)

        self.news.ask(
            http1.request(b"GET", b"/ready", [(b"Host", b"n")]), heard, again, lambda connection: None
        )

    def kill(self) -> None:
        if self.up:
            self.up = False
            self.world.checker.died(self.world.now(), self.name)
            self.world.directory.nodes.pop(self.name, None)
            self.process.kill()
            self.process.wait()
            self.requests.close()
            self.world.later.callLater(self.world.front_notice, self._noticed)

    def _noticed(self) -> None:
        if not self.up:
            self.world.front.drop(self)

    def stop(self) -> None:
        """SIGSTOP, as on a machine that stands still."""
        self.stopped_at = min(self.stopped_at, self.world.now())
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        since, self.stopped_at = self.stopped_at, float("inf")
        self.world.checker.held_up(self.world.now(), self.name, since)
        self.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Discovery moves: a new configuration and SIGHUP."""
        self.feed.move()
        told = json.loads(self.file.read_text())
        told["discovery"] = self.feed.address
        self.file.write_text(json.dumps(told))
        self.process.send_signal(signal.SIGHUP)

    def restart(self, down: float) -> None:
        """A planned restart, by SIGTERM; the front has been told."""
        self.world.front.drop(self)
        self.process.send_signal(signal.SIGTERM)
        self._await_end(down)

    def _await_end(self, down: float) -> None:
        if self.process.poll() is None:
            self.world.reactor.callLater(POLL, self._await_end, down)
            return
        self.up = False
        if self.process.returncode:
            self.world.faults.append(f"{self.name} ended with {self.process.returncode} after SIGTERM")
        self.requests.close()
        self.news.close()
        self.world.reactor.callLater(down, self.start)

    def say_stop(self) -> None:
        """Have it end by itself."""
        if self.up and self.process.poll() is None:
            self.ending = True
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        """At the end of a run."""
        for process in (self.process, *self.older):
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for held in (self.held, *self.consoles):
            held.close()
        self.up = False

    def crashed(self) -> bool:
        ended = self.process.poll()
        return self.up and ended is not None and not (self.ending and ended == 0)

    def waited(self) -> float:
        """For how long (s) its process has had work and no core, since its start."""
        return waited_for_processor(self.process.pid)

    # ---- upgrades

    def upgrade(self) -> None:
        """A newer process beside the older one, which is told to stop once the newer one can serve."""
        if not self.up:
            return
        older, self.process = self.process, self._spawn(self.world.directory.whole())
        self.older.append(older)
        self._await_newer(older, self.process, time.monotonic())

    def _await_newer(self, older: Any, newer: Any, since: float) -> None:
        def heard(status: int) -> None:
            if status == 200:
                older.send_signal(signal.SIGTERM)
                self._await_older(older, time.monotonic())
            elif time.monotonic() > since + READY_WITHIN or newer.poll() is not None:
                self.world.faults.append(f"{self.name}: a newer process never got ready")
            else:
                self.world.reactor.callLater(POLL, self._await_newer, older, newer, since)

        self.operate(b"GET", b"/ops/readiness", b"", heard)

    def _await_older(self, older: Any, since: float) -> None:
        if older.poll() is None and time.monotonic() < since + OLDER_ENDS_WITHIN:
            self.world.reactor.callLater(POLL, self._await_older, older, since)
        elif older.poll() is None:
            older.kill()
        elif older.returncode:
            self.world.faults.append(f"{self.name}: the older process ended with {older.returncode}")

    # ---- its console

    def operate(self, method: bytes, path: bytes, body: bytes, heard: Callable[[int], None]) -> None:
        """One call to the console; `heard` gets the status, or 0 where there was no answer."""
        pool = ConnectionPool(self.world.reactor, lambda: self.console)
        data = http1.request(method, path, [(b"Host", b"console")], body)
        pool.ask(
            data, lambda answer: heard(answer.status if answer else 0), lambda: heard(0), lambda made: None
        )

    def eject(self, worker: str) -> None:
        def heard(status: int) -> None:
            if status == 200:
                self.world.checker.out_by_hand(self.world.now(), self.name, worker)
            elif self.up:
                self.world.faults.append(f"{self.name} said {status} to taking {worker} out")

        self.operate(b"POST", b"/ops/calendar-workers/down", worker.encode(), heard)

    def reinstate(self, worker: str) -> None:
        self.world.checker.called_back(self.name, worker)
        self.operate(b"POST", b"/ops/calendar-workers/up", worker.encode(), lambda status: None)
