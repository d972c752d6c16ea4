"""A node in a separate process, with discovery and endpoints on loopback that tests control."""

from __future__ import annotations

import contextlib
import json
import os
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPResponse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

SETTINGS: dict[str, Any] = {
    "allowed": {"cancel": True, "connIdle": 10000.0, "dialTimeout": 250.0, "maxRetryAfter": 2000.0,
                "secondCopies": True, "tryLimit": 6},
    "balancers": 3,
    "classes": [
        {"name": "lookup", "aim": 5000.0, "effect": "pure", "giveUp": 9000.0, "lateWorth": 0.5},
        {"name": "reminder", "aim": 5000.0, "effect": "side_effect", "giveUp": 9000.0, "lateWorth": 0.5},
    ],
    "familyInfo": {"tellsStart": True, "progress": 1000.0},
    "kinds": ["standard"],
    "locality": "a",
    "rules": {"coldFrom": 0.2, "drainGrace": 2e3, "fall": 6e4, "tipMultiple": 4.0, "warmWithin": 9e5},
    "tick": 2.0,
}  # fmt: skip

Behavior = Callable[["Endpoint", BaseHTTPRequestHandler, str], None]


def done(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    accept(endpoint, handler, id)
    endpoint.send_callback(id, "done", result=f"made by {endpoint.id}")


def accept(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    reply(handler, 202)


def reject(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    reply(handler, 503, "X-Rejected: 1")


def reset(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    handler.close_connection = True


def hang(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    endpoint.rig.stopping.wait(30)
    handler.close_connection = True


def reply(handler: BaseHTTPRequestHandler, status: int, *headers: str) -> None:
    lines = [f"HTTP/1.1 {status} x", "Content-Length: 0", *headers]
    handler.wfile.write(("\r\n".join(lines) + "\r\n\r\n").encode())


class Server:
    """An HTTP server on a port chosen by the system."""

    def __init__(self, handle: Callable[[BaseHTTPRequestHandler], None]) -> None:
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self) -> None:
                with contextlib.suppress(OSError):
                    handle(self)

            do_GET = do_DELETE = do_POST

            def log_message(self, *args: Any) -> None: ...

        self.http = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.http.daemon_threads = True
        self.address = f"127.0.0.1:{self.http.server_address[1]}"
        threading.Thread(target=self.http.serve_forever, args=(0.01,), daemon=True).start()


class Endpoint:
    def __init__(self, rig: Rig, id: str, behavior: Behavior, up_since: float = 0.0) -> None:
        self.rig, self.id, self.behavior, self.up_since, self.phase = rig, id, behavior, up_since, "up"
        self.requests: list[tuple[str, str, bytes]] = []  # method, target, body
        self.post_received = threading.Event()
        self.deleted = threading.Event()
        self.server = Server(self.handle)

    def handle(self, handler: BaseHTTPRequestHandler) -> None:
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        self.requests.append((handler.command, handler.path, body))
        if handler.command == "DELETE":
            reply(handler, 200)
            self.deleted.set()
            return
        self.post_received.set()
        self.behavior(self, handler, handler.headers["X-Call-Id"])

    @property
    def posts(self) -> int:
        return sum(method == "POST" for method, _, _ in self.requests)

    def send_callback(self, id: str, state: str, **fields: Any) -> int:
        callback = {"id": id, "from": self.id, "state": state, **fields}
        return self.rig.send("POST", "/_jobs/news", json.dumps(callback).encode())[0]

    def row(self) -> dict[str, Any]:
        return {"id": self.id, "host_port": self.server.address, "locality": "a", "flavor": "standard",
                "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since}  # fmt: skip


class Discovery:
    """Serves the rig's endpoint list, then queued changes; None in the queue ends the subscription."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.changes: queue.Queue[dict[str, Any] | None] = queue.Queue()
        self.subscriptions: queue.Queue[str] = queue.Queue()
        self.disconnected = threading.Event()
        self.server = Server(self.serve_subscription)
        self.address = self.server.address

    def serve_subscription(self, handler: BaseHTTPRequestHandler) -> None:
        self.subscriptions.put(handler.path)
        handler.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        threading.Thread(target=self._wait_for_disconnect, args=(handler,), daemon=True).start()
        change: dict[str, Any] | None = self.rig.listing()
        while change is not None:
            data = json.dumps(change).encode() + b"\n"
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            change = self.changes.get()
        handler.close_connection = True

    def _wait_for_disconnect(self, handler: BaseHTTPRequestHandler) -> None:
        with contextlib.suppress(OSError):
            handler.connection.recv(1)
        self.disconnected.set()


class Rig:
    def __init__(
        self,
        path: Path,
        *endpoints: tuple[Behavior, float],
        sockets: int = 256,
        flags: tuple[str, ...] = (),
        console: bool = False,
        allowed: dict[str, Any] | None = None,
    ) -> None:
        self.stopping = threading.Event()
        self.revision = 1
        self.endpoints = [
            Endpoint(self, f"s-{k}", behavior, up) for k, (behavior, up) in enumerate(endpoints)
        ]
        self.discovery = Discovery(self)
        self.config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "8c1f",
            "limits": {"sockets": sockets}, "known": self.listing(),
            "settings": {**SETTINGS, "allowed": {**SETTINGS["allowed"], **(allowed or {})}},
        }  # fmt: skip
        if console:
            self.config["console"] = "127.0.0.1:0"
        self.file = path / "config.json"
        self.file.write_text(json.dumps(self.config))
        self.flags, self.tmp = flags, path / "tmp"
        self.tmp.mkdir()
        self.previous_processes: list[subprocess.Popen[str]] = []
        self.log: list[str] = []
        self.start()

    def start(self) -> None:
        """Start a process of the node and wait until it listens; an earlier process keeps running."""
        self.process = self.spawn()
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            if "event=listening" in line:
                break
        fields = dict(p.split("=", 1) for p in self.log[-1].split() if "=" in p)
        self.address, self.console = fields["address"], fields.get("console", "")
        threading.Thread(target=self.log.extend, args=(self.process.stderr,), daemon=True).start()

    def spawn(self) -> subprocess.Popen[str]:
        env = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "BITTERNPATH_"))}
        env |= {"PROXY_CONFIG": str(self.file), "PROXY_DISCOVERY": self.discovery.address}
        return subprocess.Popen(
            [sys.executable, "-m", "bitternpath", *(("serve", *self.flags) if self.flags else ())],
            env={**env, "TMPDIR": str(self.tmp)},
            cwd=Path(__file__).parent.parent,
            stderr=subprocess.PIPE,
            text=True,
        )

    def upgrade(self, joins: bool = True) -> subprocess.Popen[str]:
        """Start a new process at the same address, wait until it can serve, and return the old one."""
        older, ready_event = self.process, "event=successor_ready"
        before = len(self.logged(ready_event))
        self.previous_processes.append(older)
        self.file.write_text(json.dumps({**self.config, "listen": self.address}))
        self.start()
        wait_until(lambda: self.call_console("GET", "/ops/readiness")[0] == 200)
        wait_until(lambda: not joins or len(self.logged(ready_event)) > before)
        return older

    def replace(self, joins: bool = True) -> None:
        """Start a new process and stop the old one with SIGTERM."""
        older = self.upgrade(joins)
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0

    def listing(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": [p.row() for p in self.endpoints]}

    def change(self, endpoint: Endpoint, phase: str) -> None:
        """Announce a phase of an endpoint and wait until the node has applied it."""
        endpoint.phase = phase
        self.revision += 1
        self.discovery.changes.put(
            {"revision": self.revision, "complete": False, "members": [endpoint.row()]}
        )
        wait_until(lambda: self.logged(f"event=endpoint_list_applied revision={self.revision} "))

    def open(self, **headers: str) -> HTTPConnection:
        return HTTPConnection(self.address, timeout=20)

    def send(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes, HTTPResponse]:
        connection = self.open()
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, header_fields)
        response = connection.getresponse()
        data = response.read()
        connection.close()
        return response.status, data, response

    def submit(
        self, id: str, path: str = "/lookup", budget: int = 9000, body: bytes = b"b"
    ) -> tuple[int, bytes, HTTPResponse]:
        return self.send("POST", path, body, X_Call_Id=id, X_Budget_Ms=str(budget))

    def call_console(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Send one request to the console and return status and body."""
        connection = HTTPConnection(self.console, timeout=20)
        connection.request(method, path, body or None)
        response = connection.getresponse()
        result = response.status, response.read()
        connection.close()
        return result

    def statistics(self) -> dict[str, int]:
        lines = self.call_console("GET", "/ops/stats")[1].decode().splitlines()
        return {name: int(value.partition("|")[0]) for name, value in (line.split(":") for line in lines)}

    def socket(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), 20)

    def raw(self, data: bytes) -> bytes:
        with self.socket() as sock:
            sock.sendall(data)
            return sock.recv(4096)

    def close(self) -> None:
        self.stopping.set()
        self.discovery.changes.put(None)
        for process in (self.process, *self.previous_processes):
            if process.poll() is None:
                process.kill()
            process.wait(20)

    def wait_for_log(self, text: str, times: int = 1) -> None:
        wait_until(lambda: len(self.logged(text)) >= times)

    @property
    def posts(self) -> int:
        """Number of jobs that all endpoints received."""
        return sum(p.posts for p in self.endpoints)

    def logged(self, text: str) -> list[str]:
        return [line for line in self.log if text in line]

    def reload(self, text: str, expected: str = "event=reloaded") -> None:
        """Replace the configuration file, send SIGHUP, and wait for the expected log line."""
        before = len(self.logged(expected))
        self.file.write_text(text)
        self.process.send_signal(signal.SIGHUP)
        wait_until(lambda: len(self.logged(expected)) > before)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true; fail after at least 20 s."""
    for _ in range(2000):
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError("the condition did not become true within 2000 checks")


@contextlib.contextmanager
def running(
    path: Path,
    *endpoints: Behavior | tuple[Behavior, float],
    sockets: int = 256,
    flags: tuple[str, ...] = (),
    console: bool = False,
    allowed: dict[str, Any] | None = None,
) -> Iterator[Rig]:
    specs = [p if isinstance(p, tuple) else (p, 0.0) for p in endpoints]
    rig = Rig(path, *specs, sockets=sockets, flags=flags, console=console, allowed=allowed)
    try:
        yield rig
    finally:
        rig.close()
    assert not [line for line in rig.log if "trace=" in line]
