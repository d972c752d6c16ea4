"""The smallest system, of real processes: one edge node, one storage node, f = 0, and what is around them.

Uses only what users see (settings files, HTTP), no name of the program.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from threading import Thread
from typing import Any

ROOT = Path(__file__).resolve().parents[3]
FRONT, READINESS, CONTROL, INTERNAL = 0, 1, 2, 3  # ports, counted from the first
START_S = 30.0  # a start takes about a second; the machine may be busy
STOP_S = 15.0

SETTINGS = """\
node_name = "{name}"
role = "{role}"
ip = "{ip}"
zone = "zone-1"
region = "region-1"
internal_port_range = [{internal}, {last}]
seeds = ["{seed}"]
bootstrap = {bootstrap}
counts_for_quorum = {counts}
data_dir = "{data}"
[listen]
{listen}
[limits]
memory_mb = 300
max_fds = 4096
disk_mb = 1
[fault_tolerance]
machines = 0
[cloud_api]
address = "{platform}"
rate_per_s = 44.0
[bounds]
grace_s = 6
status_s = 1000000
visible_ms = 3000
ceiling_window_s = 5
origin_rate_over = 1.1
"""


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; header names as they came."""

    status: int
    headers: dict[str, str]
    body: bytes

    def document(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Got:
    """A request that came to a server of the surroundings; header names as they came."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def call(
    address: str, method: str, target: str, headers: Mapping[str, str] | None = None, body: bytes = b""
) -> Answer:
    """One request on a connection of its own; raises `OSError` and `HTTPException`."""
    connection = http.client.HTTPConnection(address, timeout=5.0)
    try:
        connection.request(method, target, body or None, dict(headers or {}))
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


class Server:
    """An HTTP server in threads. `answer` gives status, headers and body; requests are kept in `got`."""

    def __init__(self, answer: Callable[[Got], tuple[int, dict[str, str], bytes]]) -> None:
        self.got: list[Got] = []
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def handle_any(self) -> None:
                length = int(self.headers.get("Content-Length", "0"))
                got = Got(self.command, self.path, dict(self.headers.items()), self.rfile.read(length))
                server.got.append(got)
                status, headers, body = answer(got)
                self.send_response(status)
                for name, value in {**headers, "Content-Length": str(len(body))}.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_PUT = handle_any

            def log_message(self, format: str, *args: Any) -> None:
                """Nothing is logged."""

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._thread = Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """End."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


@dataclass(slots=True)
class Surroundings:
    """The platform's list with one worker, and a receiver of call-backs."""

    listed: bool = True  # whether the worker is in the list
    worker: Server = field(init=False)
    platform: Server = field(init=False)
    receiver: Server = field(init=False)

    def __post_init__(self) -> None:
        self.worker = Server(self._work)
        self.platform = Server(self._list)
        self.receiver = Server(lambda _: (200, {}, b""))

    def close(self) -> None:
        """End all servers."""
        for server in (self.worker, self.platform, self.receiver):
            server.close()

    def _work(self, got: Got) -> tuple[int, dict[str, str], bytes]:
        headers = {"X-Instance-Id": "worker-1"}
        if got.method == "GET" and got.target == "/healthz":
            return 200, headers, b""
        headers["X-Request-Id"] = got.headers.get("X-Request-Id", "")
        headers["X-Server-Stamp"] = "stamp-of-worker-1"
        return 200, headers, b"done"

    def _list(self, got: Got) -> tuple[int, dict[str, str], bytes]:
        worker = {
            "id": "worker-1",
            "service": "listed",
            "address": self.worker.address,
            "zone": "zone-1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
        }
        if "page_token=p-1" not in got.target:
            page: dict[str, Any] = {"instances": [], "next_page_token": "p-1"}
        else:
            page = {"instances": [worker] if self.listed else [], "next_page_token": None}
        return 200, {"Content-Type": "application/json"}, json.dumps(page).encode()


class SmallSystem:
    """Two processes on a folder: `edge` and `storage` in it are their disks."""

    def __init__(self, folder: Path, surroundings: Surroundings, *, bootstrap: bool) -> None:
        self.folder, self._surroundings = folder, surroundings
        self._bootstrap = bootstrap
        self._ips, self._first_port = free_addresses()
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def address(self, port: int) -> str:
        """Where the edge node listens."""
        return f"{self._ips['edge']}:{self._first_port + port}"

    def start(self) -> None:
        """Start both, and wait until the edge node is ready to be called."""
        for role in ("edge", "storage"):
            settings = self.folder / f"{role}.toml"
            settings.write_text(self._settings(role), "utf-8")
            environment = {**os.environ, "BITTERNPATH_CONFIG": str(settings), "PYTHONPATH": str(ROOT)}
            with (self.folder / f"{role}.log").open("ab") as log:
                self._children[role] = subprocess.Popen(
                    [sys.executable, "-m", "bitternpath", role],
                    cwd=ROOT,
                    env=environment,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )

    def stop(self) -> dict[str, int]:
        """SIGTERM both, the edge node first; their exit codes."""
        codes = {}
        for role, child in self._children.items():
            if child.poll() is None:
                child.send_signal(signal.SIGTERM)
            try:
                codes[role] = child.wait(STOP_S)
            except subprocess.TimeoutExpired:
                child.kill()
                codes[role] = child.wait()
        self._children = {}
        return codes

    def logs(self) -> str:
        """What both have logged."""
        return "".join(
            f"---- {role}\n" + (self.folder / f"{role}.log").read_text("utf-8")
            for role in ("edge", "storage")
        )

    def until(
        self, port: int, method: str, target: str, good: Callable[[Answer], bool], **more: Any
    ) -> Answer:
        """Call again and again until the answer is good; raises `AssertionError` after `START_S`."""
        end = time.monotonic() + START_S
        last: object = None
        while time.monotonic() < end:
            try:
                answer = call(self.address(port), method, target, **more)
            except (OSError, http.client.HTTPException) as error:
                last = error
            else:
                if good(answer):
                    return answer
                last = answer
            time.sleep(0.05)
        raise AssertionError(f"{method} {target}: {last}\n{self.logs()}")

    def _settings(self, role: str) -> str:
        ports = {"front": FRONT, "readiness": READINESS, "control": CONTROL}
        listen = "\n".join(f'{name} = "{self.address(port)}"' for name, port in ports.items())
        return SETTINGS.format(
            name=f"{role}-1",
            role=role,
            ip=self._ips[role],
            internal=self._first_port + INTERNAL,
            last=self._first_port + INTERNAL + 1,
            seed=self.address(CONTROL),
            bootstrap="true" if self._bootstrap else "false",
            counts="true" if role == "edge" else "false",
            data=self.folder / role,
            listen=listen if role == "edge" else "",
            platform=self._surroundings.platform.address,
        )


def free_addresses() -> tuple[dict[str, str], int]:
    """An address on loopback for each role, and the first of five ports that are free on both."""
    draw = random.SystemRandom()
    while True:
        prefix = f"127.{draw.randrange(64, 250)}.{draw.randrange(250)}"
        ips = {"edge": f"{prefix}.1", "storage": f"{prefix}.2"}
        first = draw.randrange(20_000, 32_000, 8)
        if all(_is_free(ip, first + port) for ip in ips.values() for port in range(5)):
            return ips, first


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
