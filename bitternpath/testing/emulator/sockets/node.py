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
from bitternpath.testing.emulator.clients import ClientRequest
from bitternpath.testing.emulator.ports import ReservedPort
from bitternpath.testing.emulator.sockets.feed import DiscoveryFeed
from bitternpath.testing.emulator.sockets.platform_settings import settings_json
from bitternpath.testing.emulator.sockets.pool import ConnectionPool
from bitternpath.testing.emulator.sockets.processor_waits import waited_for_processor
from bitternpath.testing.emulator.sockets.requests import ClientRequests
from bitternpath.testing.emulator.sockets.run import Run

ROOT = Path(__file__).parents[4]
READY_TIMEOUT = 30.0  # s within which a node must become ready
PREDECESSOR_EXIT_TIMEOUT = 3.7  # s after SIGTERM after which a replaced process is killed
MAX_SOCKETS = 1024  # limit in the configuration of each node
POLL_INTERVAL = 0.05  # s between checks of a process that is ending or starting


class SocketNode:
    """One node, with its current process."""

    def __init__(self, world: Run, name: str, site: str, number: int) -> None:
        self.world, self.name, self.site, self.number = world, name, site, number
        self.alive = False
        self.stopped_at = float("inf")  # s of the run; infinite while the process is not stopped
        self.process: Any = None
        self.reserved_port = ReservedPort()
        self.port = self.reserved_port.number
        self.requests = ClientRequests(world, self)
        self.call_back_pool = ConnectionPool(world.reactor, lambda: self.port)  # for call-backs of workers
        self.feed = DiscoveryFeed(world, name)
        self.log = world.folder / f"{name}.log"
        self.file = world.folder / f"{name}.json"
        self.incarnation = 0
        self.ending = False
        self.console_port = 0  # set where the scenario has operators
        self.console_ports: list[ReservedPort] = []
        self.predecessors: list[Any] = []  # processes that a newer one has replaced
        self.temp_folder = world.folder / f"{name}.tmp"
        self.temp_folder.mkdir()

    # ---- clients

    def request(self, client_request: ClientRequest) -> bool:
        """Sends a client's request; a refused connection is reported later."""
        self.requests.send(client_request)
        return True

    def client_disconnected(self, client_request: ClientRequest) -> None:
        self.requests.leave(client_request)

    # ---- start and end

    def start(self, initial_listing: Listing | None = None) -> None:
        world = self.world
        self.incarnation += 1
        self.process = self._spawn(initial_listing or world.directory.full_listing())
        self.alive = True
        world.directory.subscribers[self.name] = self.feed.publish
        self._poll_ready(self.incarnation, time.monotonic())

    def _spawn(self, listing: Listing) -> Any:
        """Starts a process of the node."""
        self.file.write_text(json.dumps(self._configuration(listing)))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
        env |= {"PROXY_CONFIG": str(self.file), "TMPDIR": str(self.temp_folder)}
        if self.world.fleet is not None:
            env |= self.world.fleet.environment(self.name)
        return subprocess.Popen(
            self._program(), env=env, cwd=ROOT, stderr=self.log.open("ab"), stdin=subprocess.DEVNULL
        )

    def _configuration(self, listing: Listing) -> dict[str, Any]:
        world, sites = self.world, self.world.scenario.sites
        configuration: dict[str, Any] = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}",
            "discovery": self.feed.address, "seed": f"{world.random.getrandbits(48):x}",
            "limits": {"sockets": MAX_SOCKETS}, "known": self.feed.message(listing),
            "settings": settings_json(
                world.scenario, self.site, self.number, max(sum(site.nodes for site in sites), 1)
            ),
        }  # fmt: skip
        if world.needs_console:
            self.console_ports.append(ReservedPort())
            self.console_port = self.console_ports[-1].number
            configuration["console"] = f"127.0.0.1:{self.console_port}"
        return configuration

    def _program(self) -> list[str]:
        if self.world.fleet is None:
            return [sys.executable, "-m", "bitternpath"]
        return self.world.fleet.program()

    def _poll_ready(self, incarnation: int, since: float) -> None:
        """Polls `/ready`; on status 200 the load balancer admits the node."""
        if not self.alive or incarnation != self.incarnation:
            return

        def on_response(answer: http1.Response | None) -> None:
            if answer is not None and answer.status == 200:
                self.world.load_balancer.admit(self)
            else:
                retry()

        def retry() -> None:
            if time.monotonic() < since + READY_TIMEOUT:
                self.world.reactor.callLater(0.02, self._poll_ready, incarnation, since)

        self.call_back_pool.send(
            http1.request(b"GET", b"/ready", [(b"Host", b"n")]), on_response, retry, lambda connection: None
        )

    def kill(self) -> None:
        if self.alive:
            self.alive = False
            self.world.checker.node_killed(self.world.now(), self.name)
            self.world.directory.subscribers.pop(self.name, None)
            self.process.kill()
            self.process.wait()
            self.requests.close()
            self.world.scheduler.callLater(self.world.failure_detection_s, self._failure_detected)

    def _failure_detected(self) -> None:
        if not self.alive:
            self.world.load_balancer.drop(self)

    def stop(self) -> None:
        """SIGSTOP, as on a machine that hangs."""
        self.stopped_at = min(self.stopped_at, self.world.now())
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        since, self.stopped_at = self.stopped_at, float("inf")
        self.world.checker.node_resumed(self.world.now(), self.name, since)
        self.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Moves discovery to a new address: rewrites the configuration file and sends SIGHUP."""
        self.feed.move()
        client_request = json.loads(self.file.read_text())
        client_request["discovery"] = self.feed.address
        self.file.write_text(json.dumps(client_request))
        self.process.send_signal(signal.SIGHUP)

    def restart(self, down: float) -> None:
        """A planned restart by SIGTERM; the load balancer drops the node first."""
        self.world.load_balancer.drop(self)
        self.process.send_signal(signal.SIGTERM)
        self._await_end(down)

    def _await_end(self, down: float) -> None:
        if self.process.poll() is None:
            self.world.reactor.callLater(POLL_INTERVAL, self._await_end, down)
            return
        self.alive = False
        if self.process.returncode:
            self.world.failures.append(f"{self.name} ended with {self.process.returncode} after SIGTERM")
        self.requests.close()
        self.call_back_pool.close()
        self.world.reactor.callLater(down, self.start)

    def request_stop(self) -> None:
        """Asks the process to end (SIGTERM), also if it is stopped."""
        if self.alive and self.process.poll() is None:
            self.ending = True
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)

    def end(self) -> None:
        """Kills all processes at the end of a run."""
        for process in (self.process, *self.predecessors):
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for port in (self.reserved_port, *self.console_ports):
            port.close()
        self.alive = False

    def crashed(self) -> bool:
        ended = self.process.poll()
        return self.alive and ended is not None and not (self.ending and ended == 0)

    def core_wait_s(self) -> float:
        """s that its process has been ready to run without a core since its start."""
        return waited_for_processor(self.process.pid)

    # ---- upgrades

    def upgrade(self) -> None:
        """Starts a newer process next to the current one, which is told to stop once the newer is ready."""
        if not self.alive:
            return
        predecessor, self.process = self.process, self._spawn(self.world.directory.full_listing())
        self.predecessors.append(predecessor)
        self._await_successor(predecessor, self.process, time.monotonic())

    def _await_successor(self, predecessor: Any, successor: Any, since: float) -> None:
        def on_response(status: int) -> None:
            if status == 200:
                predecessor.send_signal(signal.SIGTERM)
                self._await_predecessor(predecessor, time.monotonic())
            elif time.monotonic() > since + READY_TIMEOUT or successor.poll() is not None:
                self.world.failures.append(f"{self.name}: the new process did not become ready")
            else:
                self.world.reactor.callLater(
                    POLL_INTERVAL, self._await_successor, predecessor, successor, since
                )

        self.call_console(b"GET", b"/ops/readiness", b"", on_response)

    def _await_predecessor(self, predecessor: Any, since: float) -> None:
        if predecessor.poll() is None and time.monotonic() < since + PREDECESSOR_EXIT_TIMEOUT:
            self.world.reactor.callLater(POLL_INTERVAL, self._await_predecessor, predecessor, since)
        elif predecessor.poll() is None:
            predecessor.kill()
        elif predecessor.returncode:
            self.world.failures.append(
                f"{self.name}: the replaced process ended with {predecessor.returncode}"
            )

    # ---- console

    def call_console(
        self, method: bytes, path: bytes, body: bytes, on_response: Callable[[int], None]
    ) -> None:
        """One call to the console; `on_response` gets the status, or 0 if there was no answer."""
        console_pool = ConnectionPool(self.world.reactor, lambda: self.console_port)
        data = http1.request(method, path, [(b"Host", b"console")], body)
        console_pool.send(
            data,
            lambda answer: on_response(answer.status if answer else 0),
            lambda: on_response(0),
            lambda connection: None,
        )

    def eject(self, worker: str) -> None:
        def on_response(status: int) -> None:
            if status == 200:
                self.world.checker.worker_ejected(self.world.now(), self.name, worker)
            elif self.alive:
                self.world.failures.append(f"{self.name} answered {status} to the ejection of {worker}")

        self.call_console(b"POST", b"/ops/calendar-workers/down", worker.encode(), on_response)

    def reinstate(self, worker: str) -> None:
        self.world.checker.worker_reinstated(self.name, worker)
        self.call_console(b"POST", b"/ops/calendar-workers/up", worker.encode(), lambda status: None)
