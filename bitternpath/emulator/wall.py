"""The same world in wall time: real `serve` processes on loopback sockets, spoken to by the platform's
protocol.

Workers, discovery, clients and the front are the model's, on Twisted's reactor instead of the simulated
clock. Each node reaches each worker at an address of its own, so that the worker knows who sends and
how far away that is; the delay between sites is added here. The world measures its own lateness, and
calls a run void rather than blame nodes.
"""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import ujson
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath import messages as m
from bitternpath.core.roster import Listing
from bitternpath.emulator.checker import SLACK, Checker
from bitternpath.emulator.clients import Clients, Front, Try
from bitternpath.emulator.discovery import Directory
from bitternpath.emulator.network import Network
from bitternpath.emulator.ports import HeldPort
from bitternpath.emulator.scenario import Scenario, ScenarioError, drawn
from bitternpath.emulator.service import Tally
from bitternpath.emulator.troubles import Active, begin
from bitternpath.emulator.worker import Attempt, Worker
from bitternpath.emulator.world import Result, World
from bitternpath.http import http1

if TYPE_CHECKING:
    from bitternpath.emulator.fleet.processes import FleetOnSockets

READY_WITHIN = 30.0  # s for a node to come up
VOID_BEYOND = 0.050  # s of the world's own lateness at p99 above which a run is void
LOOK = 0.01  # s between looks at it
# s for which a client's connection is read on once its time is up: an answer that is late, but within the
# rules' grace, would else go unread, and one that is later still would not show how late.
READ_ON = 1.0
LOOKS_FOR_CORES = 5  # of these looks, one asks how long each node has waited for a core
SOCKETS = 1024
OPERATORS = ("out-by-hand", "upgrades")  # troubles for which nodes need a console
PHASES = {m.State.SERVING: "up", m.State.DRAINING: "draining", m.State.GONE: "removed"}


OLDER_ENDS_WITHIN = 3.7  # s after SIGTERM at which a process may be killed


class VoidError(Exception):
    """The machine was too busy for the run to mean anything."""


def settings_json(scenario: Scenario, site: str, number: int, nodes: int) -> dict[str, Any]:
    """What a node is told, in the platform's words."""
    rules, prices, classes = scenario.rules, scenario.prices, scenario.classes
    return {
        "allowed": {
            "cancel": True, "connIdle": scenario.net.idle_s * 1000,
            "dialTimeout": scenario.net.dial_timeout_ms,
            "maxRetryAfter": scenario.clients.longest_retry_after_ms, "secondCopies": rules.second_copies,
            "tryLimit": rules.try_limit, "mayProbe": False,
        },
        "balancers": nodes,
        "classes": [
            {"name": c.name, "aim": c.aim, "giveUp": c.give_up, "value": c.worth, "lateWorth": c.late_worth,
             "effect": "pure" if c.safe else "side_effect"}
            for c in classes
        ],
        "clientHabits": {"marksRetry": scenario.clients.marks_retry},
        "deductions": {
            "crossZone": prices.cross_site, "waste": prices.waste, "lateFail": prices.late_fail,
        },
        "familyInfo": {
            "classStretch": [c.stretch for c in classes], "progress": rules.progress_ms,
            "tellsStart": rules.tells_start, "queueOrder": "fifo",
        },
        "kinds": [kind.name for kind in scenario.kinds],
        "locality": site,
        "me": number,
        "rules": {
            "coldFrom": rules.stated_cold_share, "drainGrace": rules.drain_grace_ms, "fall": rules.fall_ms,
            "graceToAnswer": rules.answer_grace_ms, "tipMultiple": rules.fall_multiple,
            "warmWithin": rules.stated_warm_ms,
        },
        "tick": 2.0,
    }  # fmt: skip


class _Serving(Protocol):
    """A connection to one of the world's servers: whole requests in, answers out."""

    transport: Any

    def __init__(self, serve: Callable[[_Serving, http1.Request], None], open_: set[_Serving]) -> None:
        self.serve, self.open = serve, open_
        self.reader = http1.RequestReader()
        self.deaf = False  # its machine is silent

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.open.add(self)

    def dataReceived(self, data: bytes) -> None:
        if self.deaf:
            return
        self.reader.feed(data)
        try:
            while isinstance(message := self.reader.next(), http1.Request):
                self.serve(self, message)
        except http1.HttpError:
            self.transport.abortConnection()

    def answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        if self.transport.connected and not self.deaf:
            self.transport.write(http1.response(status, b"", headers))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open.discard(self)


class _Server(Factory):
    """A server of the world's on a port of the system's choosing."""

    noisy = False

    def __init__(self, reactor: Any, serve: Callable[[_Serving, http1.Request], None]) -> None:
        self.serve = serve
        self.connections: set[_Serving] = set()
        self.reactor = reactor
        self.filling: list[socket.socket] = []
        self.port: Any = reactor.listenTCP(0, self, 64, "127.0.0.1")
        self.number: int = self.port.getHost().port

    def buildProtocol(self, addr: Any) -> Protocol:
        return _Serving(self.serve, self.connections)

    def close(self) -> None:
        """The process dies: connections are reset, new ones refused."""
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def open(self) -> None:
        if self.port is None:
            self.port = self.reactor.listenTCP(self.number, self, 64, "127.0.0.1")
        self.hear()

    def silence(self) -> None:
        """The machine is gone from the network: connections stay open and silent, new ones never come up."""
        for connection in self.connections:
            connection.deaf = True
        if self.port is not None:
            self.port.stopReading()
            self.port.socket.listen(
                0
            )  # what the kernel would accept is filled, so that it drops the next ones
            for _ in range(2):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", self.number))
                self.filling.append(sock)

    def hear(self) -> None:
        """Back again: what was open is reset."""
        if self.filling and self.port is not None:
            for sock in self.filling:
                sock.close()
            self.filling.clear()
            self.port.socket.listen(64)
            self.port.startReading()
        for connection in list(self.connections):
            if connection.deaf:
                connection.transport.abortConnection()


class _Asking(Protocol):
    """A connection of the world's to a node: one request at a time."""

    transport: Any

    def __init__(self, pool: _Pool) -> None:
        self.pool = pool
        self.reader = http1.ResponseReader()
        self.heard: Callable[[http1.Response | None], None] | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def ask(self, data: bytes, heard: Callable[[http1.Response | None], None]) -> None:
        self.heard = heard
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except http1.HttpError:
            self.transport.abortConnection()
            return
        if isinstance(message, http1.Response) and self.heard is not None:
            heard, self.heard = self.heard, None
            if message.keep_alive:
                self.pool.idle.append(self)
            else:
                self.transport.loseConnection()
            heard(message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        heard, self.heard = self.heard, None
        if heard is not None:
            heard(None)


class _Pool:
    """Connections to one node, kept and used again."""

    def __init__(self, reactor: Any, port: Callable[[], int]) -> None:
        self.reactor, self.port = reactor, port
        self.idle: list[_Asking] = []

    def ask(
        self, data: bytes, heard: Callable[[http1.Response | None], None], refused: Callable[[], None],
        sent: Callable[[_Asking], None],
    ) -> None:  # fmt: skip
        if self.idle:
            connection = self.idle.pop()
            sent(connection)
            connection.ask(data, heard)
            return
        factory: Any = Factory.forProtocol(lambda: _Asking(self))
        factory.noisy = False
        dialled = TCP4ClientEndpoint(self.reactor, "127.0.0.1", self.port(), 3).connect(factory)

        def up(connection: Any) -> None:
            sent(connection)
            connection.ask(data, heard)

        dialled.addCallbacks(up, lambda failure: refused())

    def close(self) -> None:
        for connection in list(self.idle):
            connection.transport.abortConnection()
        self.idle.clear()


class WallNode:
    """A real node: a `serve` process that is started, killed, stopped and restarted."""

    def __init__(self, world: WallWorld, name: str, site: str, number: int) -> None:
        self.world, self.name, self.site, self.number = world, name, site, number
        self.up = False
        self.stopped_at = float("inf")  # s of the run; infinite while it is not
        self.process: Any = None
        self.held = HeldPort()
        self.port = self.held.number
        self.pool = _Pool(world.reactor, lambda: self.port)
        self.news = _Pool(world.reactor, lambda: self.port)
        self.watches: set[_Serving] = set()
        self.discovery = _Server(world.reactor, self._watch)
        self.log = world.folder / f"{name}.log"
        self.lives = 0
        self.ending = False
        self.console = 0  # its port, where the scenario has operators
        self.consoles: list[HeldPort] = []
        self.older: list[Any] = []  # processes that a newer one has taken over from
        self.shared = world.folder / f"{name}.tmp"
        self.shared.mkdir()

    # ---- its lives

    def start(self, known: Listing | None = None) -> None:
        world = self.world
        self.lives += 1
        self.process = self._spawn(known or world.directory.whole())
        self.up = True
        world.directory.nodes[self.name] = self.hear
        self._look_ready(self.lives, time.monotonic())

    def _spawn(self, listing: Listing) -> Any:
        """Start a process of the node."""
        world = self.world
        conf: dict[str, Any] = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.number}", "seed": f"{world.random.getrandbits(48):x}",
            "limits": {"sockets": SOCKETS}, "known": self._message(listing),
            "settings": settings_json(world.scenario, self.site, self.number, len(world.scenario.sites)),
        }  # fmt: skip
        conf["settings"]["balancers"] = max(sum(site.nodes for site in world.scenario.sites), 1)
        if world.operated:
            self.consoles.append(HeldPort())
            self.console = self.consoles[-1].number
            conf["console"] = f"127.0.0.1:{self.console}"
        file = world.folder / f"{self.name}.json"
        file.write_text(json.dumps(conf))
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
        return subprocess.Popen(
            self._program(),
            env=env | {"PROXY_CONFIG": str(file), "TMPDIR": str(self.shared)} | self._under(),
            cwd=Path(__file__).parent.parent.parent,
            stderr=self.log.open("ab"),
            stdin=subprocess.DEVNULL,
        )

    def _program(self) -> list[str]:
        if self.world.fleet is None:
            return [sys.executable, "-m", "bitternpath"]
        from bitternpath.emulator.fleet.processes import program

        return program()

    def _under(self) -> dict[str, str]:
        """What tells a process of this node of its stewards."""
        return self.world.fleet.environ(self.name) if self.world.fleet is not None else {}

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
            self.pool.close()
            self.world.later.callLater(self.world.front_notice, self._noticed)

    def _noticed(self) -> None:
        if not self.up:
            self.world.front.drop(self)

    def stop(self) -> None:
        self.stopped_at = min(self.stopped_at, self.world.now())
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        since, self.stopped_at = self.stopped_at, float("inf")
        self.world.checker.held_up(self.world.now(), self.name, since)
        self.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Discovery moves: a new configuration, SIGHUP, and the old address closes after 1.5 s."""
        old, self.discovery = self.discovery, _Server(self.world.reactor, self._watch)
        file = self.world.folder / f"{self.name}.json"
        told = json.loads(file.read_text())
        told["discovery"] = f"127.0.0.1:{self.discovery.number}"
        file.write_text(json.dumps(told))
        self.process.send_signal(signal.SIGHUP)
        self.world.reactor.callLater(1.5, old.close)

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
                self.world.reactor.callLater(0.05, self._await_newer, older, newer, since)

        self.operate(b"GET", b"/ops/readiness", b"", heard)

    def _await_older(self, older: Any, since: float) -> None:
        if older.poll() is None and time.monotonic() < since + OLDER_ENDS_WITHIN:
            self.world.reactor.callLater(0.05, self._await_older, older, since)
        elif older.poll() is None:
            older.kill()
        elif older.returncode:
            self.world.faults.append(f"{self.name}: the older process ended with {older.returncode}")

    def operate(self, method: bytes, path: bytes, body: bytes, heard: Callable[[int], None]) -> None:
        """One call to the console; `heard` gets the status, or 0 where there was no answer."""
        pool = _Pool(self.world.reactor, lambda: self.console)
        data = http1.request(method, path, [(b"Host", b"console")], body)
        pool.ask(
            data, lambda answer: heard(answer.status if answer else 0), lambda: heard(0), lambda made: None
        )

    def take_out(self, worker: str) -> None:
        def heard(status: int) -> None:
            if status == 200:
                self.world.checker.out_by_hand(self.world.now(), self.name, worker)
            elif self.up:
                self.world.faults.append(f"{self.name} said {status} to taking {worker} out")

        self.operate(b"POST", b"/ops/calendar-workers/down", worker.encode(), heard)

    def call_back(self, worker: str) -> None:
        self.world.checker.called_back(self.name, worker)
        self.operate(b"POST", b"/ops/calendar-workers/up", worker.encode(), lambda status: None)

    def restart(self, down: float) -> None:
        """A planned restart, by SIGTERM; the front has been told."""
        self.world.front.drop(self)
        self.process.send_signal(signal.SIGTERM)
        self._await_end(down)

    def _await_end(self, down: float) -> None:
        if self.process.poll() is None:
            self.world.reactor.callLater(0.05, self._await_end, down)
            return
        self.up = False
        if self.process.returncode:
            self.world.faults.append(f"{self.name} ended with {self.process.returncode} after SIGTERM")
        self.pool.close()
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

    # ---- discovery

    def _message(self, listing: Listing) -> dict[str, Any]:
        return {
            "revision": listing.revision,
            "complete": listing.complete,
            "members": [
                {"id": p.id, "host_port": self.world.address(self.name, p.id), "locality": p.zone,
                 "flavor": p.kind, "cell": p.cell, "phase": PHASES[p.state], "size": 1.0,
                 "up_since_ms": p.up_since}
                for p in listing.members
            ],
        }  # fmt: skip

    def _watch(self, connection: _Serving, request: http1.Request) -> None:
        connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.add(connection)
        self._line(connection, self.world.directory.whole())
        self._beat(connection)

    def _beat(self, connection: _Serving) -> None:
        if connection.transport.connected:
            connection.transport.write(b"1\r\n\n\r\n")
            self.world.reactor.callLater(2.0, self._beat, connection)
        else:
            self.watches.discard(connection)

    def _line(self, connection: _Serving, listing: Listing) -> None:
        data = ujson.dumps(self._message(listing)).encode() + b"\n"
        connection.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def hear(self, name: str, listing: Listing) -> None:
        """Discovery's word goes out on the watches."""
        now = self.world.now()
        for provider in listing.members:
            self.world.checker.told(now, self.name, provider.id, provider.state is m.State.SERVING)
            if provider.up_since:
                self.world.informed.setdefault(provider.id, {})[self.name] = provider.up_since
        for connection in list(self.watches):
            if connection.transport.connected:
                self._line(connection, listing)

    # ---- clients

    def request(self, told: Try) -> bool:
        """Send a client's request on a kept connection or a new one."""
        world, ask = self.world, told.ask
        id = told.id
        left = max(int((told.sent + told.budget - world.now()) * 1000), 1)
        headers = [
            (b"Host", b"backend.local"), (b"X-Call-Id", id.encode()),
            (b"X-Call-Class", ask.job_class.name.encode()), (b"X-Budget-Ms", b"%d" % left),
        ]  # fmt: skip
        if told.number and world.scenario.clients.marks_retry:
            headers.append((b"X-Again", b"1"))
        world.asks[id] = told

        def sent(connection: _Asking) -> None:
            world.checker.took(world.now(), id, self.name, told.sent + told.budget, ask.job_class.safe)
            world.connections[id] = connection
            if told.done:  # it gave up or left before there was a connection
                world.checker.left(id)
                world.later.callLater(0.0, self._hang_up, told)

        def heard(answer: http1.Response | None) -> None:
            world.connections.pop(id, None)
            if answer is None:
                world.answer(self, told, "reset", 0.0, b"")
            elif answer.status == 200:
                world.answer(self, told, "served", 0.0, answer.body)
            elif answer.status in (429, 503):
                advice = answer.headers.get(b"retry-after", b"0")
                world.answer(self, told, "refused", float(advice) * 1000.0, b"")
            else:
                world.answer(self, told, "failed", 0.0, b"")

        def refused() -> None:
            world.later.callLater(0.0, world.clients.answer, told, "unreachable", 0.0, b"")

        data = http1.request(b"POST", b"/" + ask.job_class.name.encode(), headers, b"work")
        self.pool.ask(data, heard, refused, sent)
        return True

    def gone(self, told: Try) -> None:
        """The client waits no longer. One whose time is up reads on for a while: what the node answered in
        time may lie unread, or be on its way."""
        if self.world.now() < told.sent + told.budget:
            self._hang_up(told)
        else:
            self.world.later.callLater(READ_ON, self._hang_up, told)

    def _hang_up(self, told: Try) -> None:
        connection = self.world.connections.pop(told.id, None)
        if connection is not None:
            connection.heard = None
            connection.transport.abortConnection()
            if self.world.now() < self.world.checker.due(told.id):
                self.world.checker.left(told.id)

    def waited(self) -> float:
        """For how long its process has had work and no core, in s since its start; 0 where nobody counts."""
        try:
            # proc(5), schedstat: time on a core, time waiting for one (ns), turns
            return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) / 1e9
        except (OSError, IndexError, AttributeError):
            return 0.0


class Starved:
    """Where the machine had no core to give: what fell due meanwhile tells nothing of a node.

    Two sources, both measured: how late the world's own timers rang, and for how long each node's process
    stood in the queue for a core. An answer is excused by as much as was seen, and no more."""

    KEPT, AROUND = 10.0, 0.1  # s: for which looks are kept; before a moment that count as its own

    def __init__(self) -> None:
        self.looks: dict[str, deque[tuple[float, float]]] = {}  # who: when, s waited since the look before
        self.excused: list[str] = []

    def saw(self, now: float, who: str, waited: float) -> None:
        looks = self.looks.setdefault(who, deque())
        looks.append((now, waited))
        while looks[0][0] < now - self.KEPT:
            looks.popleft()

    def waited(self, who: str, since: float, until: float) -> float:
        return sum(waited for when, waited in self.looks.get(who, ()) if since <= when <= until)

    def excuses(self, over: float, node: str, taken: float, due: float, now: float) -> bool:
        """Whether an answer `over` s beyond what is allowed came so late for want of a core: the node counts
        from when it read the request, so that a wait then and one at the end both count."""
        seen = sum(
            self.waited(who, taken, min(taken + self.AROUND, due)) + self.waited(who, due - self.AROUND, now)
            for who in ("", node)
        )
        return over <= seen


class _Later:
    """The reactor's clock from the start of a run, as the model's parts want it."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.begun = reactor, reactor.seconds()
        self.callLater = reactor.callLater
        self.done = 0  # events are not counted here

    def seconds(self) -> float:
        return float(self.reactor.seconds() - self.begun)

    @property
    def now(self) -> float:
        return self.seconds()


class WallWorld(World):
    """A scenario on sockets."""

    def __init__(self, scenario: Scenario, seed: int, reactor: Any, folder: Path) -> None:
        self.scenario, self.seed, self.policy, self.reactor, self.folder = (
            scenario,
            seed,
            "sockets",
            reactor,
            folder,
        )
        self.later: Any = _Later(reactor)
        self.random = Random(f"{seed} world")
        self.net = Network(scenario.net, Random(f"{seed} net"))
        self.front_notice = drawn(self.random, scenario.front_notice_s)
        rules = scenario.rules
        self.tally = Tally(scenario.classes, scenario.prices)
        self.checker = Checker(rules.drain_grace_ms / 1000.0, rules.answer_grace_ms / 1000.0, SLACK)
        self.informed: dict[str, dict[str, float]] = {}
        self.call_backs_twice = 0.0
        self.losing: set[str] = set()
        self._hash = None
        self.workers = self._workers(Random(f"{seed} workers"))
        self.directory = Directory(scenario.discovery, self.later, Random(f"{seed} discovery"))
        self.directory.know(list(self.workers.values()))
        self.front = Front(Random(f"{seed} front"))
        self.clients = Clients(
            scenario, 1.0, self.later, Random(f"{seed} clients"), self.front, self.tally, self.checker,
            self.to_client, self.trace,
        )  # fmt: skip
        self.clients.rate = scenario.clients.rate or scenario.clients.load * self.capacity()
        self.active: list[Active] = []
        self.asks: dict[str, Try] = {}
        self.connections: dict[str, _Asking] = {}
        self.faults: list[str] = []
        self.lateness: list[float] = []
        self.starved = Starved()
        self._waited: dict[int, float] = {}  # process: s it had waited for a core at the last look
        self.operated = any(t.kind in OPERATORS for t in scenario.troubles)
        self.fleet = self._fleet() if scenario.fleet.stewards else None
        self.nodes = self._wall_nodes()  # type: ignore[assignment]
        self.servers: dict[tuple[str, str], _Server] = {}
        self.attempts: dict[tuple[str, str], Attempt] = {}
        for node in self.nodes.values():
            for worker in self.workers.values():
                serve = partial(self._serve, worker, node)
                self.servers[node.name, worker.id] = _Server(reactor, serve)

    def _fleet(self) -> FleetOnSockets:
        from bitternpath.emulator.fleet.processes import FleetOnSockets

        return FleetOnSockets(self)

    def _wall_nodes(self) -> dict[str, WallNode]:
        made: dict[str, WallNode] = {}
        for site in self.scenario.sites:
            for _ in range(site.nodes):
                name = f"n{len(made)}"
                made[name] = WallNode(self, name, site.name, len(made))
        return made

    def now(self) -> float:
        return float(self.later.now)

    def address(self, node: str, worker: str) -> str:
        return f"127.0.0.1:{self.servers[node, worker].number}"

    # ---- workers on sockets

    def _serve(self, worker: Worker, node: Any, connection: _Serving, request: http1.Request) -> None:
        """A request of a node's has come whole; it takes the way between the sites first."""
        if request.method == b"DELETE":
            self.later.callLater(self.net.delay(node.site, worker.site), connection.answer, 200)
            return
        if self.net.passes(node.site, worker.site):
            delay = self.net.delay(node.site, worker.site)
            self.later.callLater(delay, self._arrive, worker, node, connection, request)

    def _arrive(self, worker: Worker, node: Any, connection: _Serving, request: http1.Request) -> None:
        if not worker.up or not worker.reachable:
            return
        now, id = self.now(), request.headers.get(b"x-call-id", b"").decode()
        told = self.asks.get(id)
        if told is None:
            self.checker.arrived(now, id, worker.id, 0)
            connection.answer(400)
            return
        self.tally.attempt(now, node.site != worker.site)
        left = float(request.headers.get(b"x-budget-ms", b"5000")) / 1000.0
        number = len([v for v in self.attempts if v[0] == id])
        attempt = Attempt(
            id, told.ask.job_class.name, told.ask.work, 1, now + left, node, partial(self._told, worker)
        )
        attempt.informed = self.informed.get(worker.id, {}).get(node.name) == (
            self.directory.epoch + worker.up_since * 1000.0
        )
        self.checker.sent(now, id, node.name, worker.id)
        self.checker.arrived(now, id, worker.id, number)
        back = self.net.delay(worker.site, node.site)
        passes = self.net.passes(worker.site, node.site)
        if worker.arrive(attempt):
            self.attempts[id, worker.id] = attempt
            if passes:
                self.later.callLater(back, connection.answer, 202)
        else:
            self.checker.turned_away(now, id, worker.id, number)
            if passes:
                self.later.callLater(back, connection.answer, 503, ((b"X-Rejected", b"1"),))

    def _told(self, worker: Worker, attempt: Attempt, what: str) -> None:
        news: dict[str, Any] = {"id": attempt.id, "from": worker.id}
        if what == "started":
            news["state"] = "started"
            every = self.scenario.rules.progress_ms / 1000.0
            if every:
                attempt.progress = self.later.callLater(every, self._progress, worker, attempt)
        elif what in ("done", "failed"):
            self.tally.worked(self.now(), attempt.work)
            if attempt.progress is not None and attempt.progress.active():
                attempt.progress.cancel()
            news["state"] = what
            result = f"{worker.id}:{attempt.id}"
            if what == "done":
                news["result"] = result
            self.checker.ran(self.now(), attempt.id, worker.id, result.encode() if what == "done" else None)
        elif what == "lost":
            news["state"] = "lost"
        else:
            return
        self._call_back(worker, attempt.node, ujson.dumps(news).encode(), 0)

    def _progress(self, worker: Worker, attempt: Attempt) -> None:
        if not attempt.ended:
            if not worker.paused:
                news = {"id": attempt.id, "from": worker.id, "state": "running", "share": 0.5}
                self._call_back(worker, attempt.node, ujson.dumps(news).encode(), 0)
            every = self.scenario.rules.progress_ms / 1000.0
            attempt.progress = self.later.callLater(every, self._progress, worker, attempt)

    def _call_back(self, worker: Worker, node: Any, body: bytes, tries: int) -> None:
        """Tried until it is answered, ten times at most."""

        def again() -> None:
            if tries < 10:
                self.later.callLater(1.0, self._call_back, worker, node, body, tries + 1)

        if not worker.reachable or not self.net.passes(worker.site, node.site) or worker.id in self.losing:
            again()
            return
        data = http1.request(b"POST", b"/_jobs/news", [(b"Host", b"n")], body)

        def send() -> None:
            def heard(answer: http1.Response | None) -> None:
                if answer is None or answer.status not in (200, 204):
                    again()

            node.news.ask(data, heard, again, lambda connection: None)

        delay = self.net.delay(worker.site, node.site)
        self.later.callLater(delay, send)
        if self.call_backs_twice and self.random.random() < self.call_backs_twice:
            self.later.callLater(2 * delay, send)

    def end_process(self, worker: Worker, silent: bool) -> None:
        had = worker.stop()
        for node in self.nodes:
            server = self.servers[node, worker.id]
            if silent:
                server.silence()
            else:
                server.close()
        if silent:
            worker.reachable = False
        else:
            for attempt in had:
                attempt.tell(attempt, "lost")
        self.directory.ended(worker, silent)

    def start_process(self, worker: Worker, cold: bool = True) -> None:
        worker.reachable = True
        for node in self.nodes:
            self.servers[node, worker.id].open()
        worker.start(cold)
        self.directory.started(worker)

    def answer(self, node: WallNode, told: Try, what: str, retry_after: float, result: bytes) -> None:
        """What a client reads."""
        now = self.now()
        self._excuse(now, node, told)
        if what == "reset":
            if node.up and node.process.poll() is None and not told.done:
                self.checker.answered(now, told.id, "closed")  # a whole answer was owed
                self.faults.append(f"{node.name} closed on request {told.id} without an answer")
        else:
            self.checker.answered(now, told.id, what, result)
        self.later.callLater(
            self.to_client(told.ask.site, node.site), self.clients.answer, told, what, retry_after, result
        )

    def _excuse(self, now: float, node: WallNode, told: Try) -> None:
        """An answer that the machine, not the node, held up says nothing of the rules; the run is void."""
        due = self.checker.due(told.id)
        over = now - due - self.checker.answer_grace - self.checker.slack
        if over <= 0.0 or not self.checker.owed(told.id):
            return
        self._look_for_cores(now)
        if self.starved.excuses(over, node.name, told.sent, due, now):
            self.checker.left(told.id)
            late = f"{(now - due) * 1000:.0f} ms late"
            self.starved.excused.append(f"{node.name} had no core when request {told.id} was {late}")

    def _look_for_cores(self, now: float) -> None:
        for node in self.nodes.values():
            if node.process is None:  # type: ignore[attr-defined]
                continue
            pid, waited = node.process.pid, node.waited()  # type: ignore[attr-defined]
            self.starved.saw(now, node.name, max(waited - self._waited.get(pid, waited), 0.0))
            self._waited[pid] = waited

    # ---- a run

    def play(self, over: Callable[[], None]) -> None:
        """Start the nodes; once all are ready, the clients and what goes wrong; `over` is called at the
        end."""
        self._look_late(self.reactor.seconds())
        if self.fleet is not None:
            self.fleet.start()
        for node in self.nodes.values():
            node.start()
        self._await_ready(over, time.monotonic())

    def _await_ready(self, over: Callable[[], None], since: float) -> None:
        admitted = sum(len(nodes) for nodes in self.front.admitted.values())
        waits = admitted < len(self.nodes) or (self.fleet is not None and self.fleet.unsettled())
        if waits and time.monotonic() < since + READY_WITHIN:
            self.reactor.callLater(0.02, self._await_ready, over, since)
            return
        self.later.begun = self.reactor.seconds()
        self.directory.epoch = time.time() * 1000.0
        self.lateness.clear()
        troubles = Random(f"{self.seed} troubles")
        for trouble in self.scenario.troubles:
            begin(self, trouble, troubles)
        self.clients.start()
        self._await_end(over)

    def _await_end(self, over: Callable[[], None]) -> None:
        longest = max(c.give_up for c in self.scenario.classes) / 1000.0
        ended = self.now() > self.scenario.seconds and not self.clients.open and not self.connections
        late = self.now() > self.scenario.seconds + longest + READ_ON + 1.0
        if self.fleet is not None and (ended or late):
            self.checker.end(self.now())
            self.fleet.finish(over)
        elif ended or self.now() > self.scenario.seconds + longest + READ_ON + 1.0:
            self.checker.end(self.now())
            over()
        else:
            self.reactor.callLater(0.05, self._await_end, over)

    def _look_late(self, due: float) -> None:
        late = self.reactor.seconds() - due
        self.lateness.append(late)
        self.starved.saw(self.now(), "", late)
        if len(self.lateness) % LOOKS_FOR_CORES == 0:
            self._look_for_cores(self.now())
        self.reactor.callLater(LOOK, self._look_late, self.reactor.seconds() + LOOK)

    @property
    def own_lateness(self) -> float:
        """Its p99 in s."""
        found = sorted(self.lateness)
        return found[int(len(found) * 0.99)] if found else 0.0

    def close(self) -> None:
        """Stop all that was started."""
        for node in self.nodes.values():
            if node.crashed():  # type: ignore[attr-defined]
                last = (self.folder / f"{node.name}.log").read_text(errors="replace").splitlines()[-1:]
                code = node.process.returncode  # type: ignore[attr-defined]
                self.faults.append(f"{node.name} ended by itself with {code}: {' '.join(last)[:300]}")
            node.end()  # type: ignore[attr-defined]
        for server in self.servers.values():
            server.close()
        if self.fleet is not None:
            self.fleet.close()

    def finished(self, wall: float) -> Result:
        result = self.result(wall)
        result.violations += self.faults
        if self.fleet is not None:
            result.violations = self.fleet.faults + result.violations
        for name in [*self.nodes, *(self.fleet.stewards if self.fleet is not None else ())]:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            result.violations += [f"{name}: {line[:300]}" for line in re.findall(r".*trace=.*", text)[:3]]
        return result


def _in_virtual_time_only(scenario: Scenario) -> str:
    """What of the scenario the sockets can't show; empty where they show all."""
    if scenario.discovery.calls_per_s:
        return "discovery.calls_per_s"
    if any(kind.connections for kind in scenario.kinds):
        return "kinds.connections"
    return "troubles: replace" if any(t.kind == "replace" for t in scenario.troubles) else ""


def play_on_sockets(
    scenario: Scenario, seed: int, each_second: Callable[[WallWorld], None] | None = None
) -> Result:
    """One run with real nodes; VoidError where the machine was too busy to tell.

    What the fleet's processes wrote down themselves breaks a rule however busy the machine was.
    """
    only = _in_virtual_time_only(scenario)
    if only:
        raise ScenarioError(f"{scenario.name}: {only}: in virtual time only, leave out --sockets")
    from twisted.internet import reactor as installed

    reactor: Any = installed
    with tempfile.TemporaryDirectory(prefix="bitternpath-") as folder:
        world = WallWorld(scenario, seed, reactor, Path(folder))
        begun = time.perf_counter()
        interrupted: list[bool] = []

        def over() -> None:
            reactor.callLater(0.1, reactor.stop)

        def on_interrupt(number: int, frame: object) -> None:
            interrupted.append(True)
            reactor.callFromThread(reactor.stop)

        def tick() -> None:
            if each_second is not None:
                each_second(world)
            reactor.callLater(1.0, tick)

        before = {number: signal.signal(number, on_interrupt) for number in (signal.SIGINT, signal.SIGTERM)}
        reactor.callWhenRunning(world.play, over)
        reactor.callLater(1.0, tick)
        try:
            reactor.run(installSignalHandlers=False)
        finally:
            world.close()
            for number, handler in before.items():
                signal.signal(number, handler)
        if interrupted:
            raise KeyboardInterrupt
        result = world.finished(time.perf_counter() - begun)
        if world.fleet is not None and world.fleet.faults:
            return result
        if world.own_lateness > VOID_BEYOND:
            late = f"{world.own_lateness * 1000:.0f} ms"
            raise VoidError(
                f"void: the emulator itself was {late} late at p99, {VOID_BEYOND * 1000:.0f} ms allowed"
            )
        if world.starved.excused:
            raise VoidError(f"void: the machine was too busy: {world.starved.excused[0]}")
        return result


__all__ = ["VoidError", "WallWorld", "play_on_sockets"]
