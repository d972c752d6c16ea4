"""A node as a process of its own, with a discovery and endpoints on loopback that do as a test says."""

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

Behaviour = Callable[["Endpoint", BaseHTTPRequestHandler, str], None]


def done(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    accept(endpoint, handler, id)
    endpoint.tell(id, "done", result=f"made by {endpoint.id}")


def accept(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    reply(handler, 202)


def reject(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    reply(handler, 503, "X-Rejected: 1")


def reset(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    handler.close_connection = True


def silent(endpoint: Endpoint, handler: BaseHTTPRequestHandler, id: str) -> None:
    endpoint.rig.over.wait(30)
    handler.close_connection = True


def reply(handler: BaseHTTPRequestHandler, status: int, *headers: str) -> None:
    lines = [f"HTTP/1.1 {status} x", "Content-Length: 0", *headers]
    handler.wfile.write(("\r\n".join(lines) + "\r\n\r\n").encode())


class Server:
    """An HTTP server on a port of the system's choosing."""

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
    def __init__(self, rig: Rig, id: str, does: Behaviour, up_since: float = 0.0) -> None:
        self.rig, self.id, self.does, self.up_since, self.phase = rig, id, does, up_since, "up"
        self.got: list[tuple[str, str, bytes]] = []  # method, target, body
        self.got_event = threading.Event()
        self.deleted = threading.Event()
        self.server = Server(self.handle)

    def handle(self, handler: BaseHTTPRequestHandler) -> None:
        body = handler.rfile.read(int(handler.headers.get("Content-Length", 0)))
        self.got.append((handler.command, handler.path, body))
        if handler.command == "DELETE":
            reply(handler, 200)
            self.deleted.set()
            return
        self.got_event.set()
        self.does(self, handler, handler.headers["X-Call-Id"])

    @property
    def posts(self) -> int:
        return sum(method == "POST" for method, _, _ in self.got)

    def tell(self, id: str, state: str, **more: Any) -> int:
        news = {"id": id, "from": self.id, "state": state, **more}
        return self.rig.send("POST", "/_jobs/news", json.dumps(news).encode())[0]

    def row(self) -> dict[str, Any]:
        return {"id": self.id, "host_port": self.server.address, "locality": "a", "flavor": "standard",
                "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since}  # fmt: skip


class Discovery:
    """Tells the rig's list, then changes as they come; None among them ends the watch."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.changes: queue.Queue[dict[str, Any] | None] = queue.Queue()
        self.watched: queue.Queue[str] = queue.Queue()
        self.left = threading.Event()
        self.server = Server(self.watch)
        self.address = self.server.address

    def watch(self, handler: BaseHTTPRequestHandler) -> None:
        self.watched.put(handler.path)
        handler.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        threading.Thread(target=self._until_left, args=(handler,), daemon=True).start()
        line: dict[str, Any] | None = self.rig.listing()
        while line is not None:
            data = json.dumps(line).encode() + b"\n"
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            line = self.changes.get()
        handler.close_connection = True

    def _until_left(self, handler: BaseHTTPRequestHandler) -> None:
        with contextlib.suppress(OSError):
            handler.connection.recv(1)
        self.left.set()


class Rig:
    def __init__(
        self,
        path: Path,
        *endpoints: tuple[Behaviour, float],
        sockets: int = 256,
        flags: tuple[str, ...] = (),
        console: bool = False,
        allowed: dict[str, Any] | None = None,
    ) -> None:
        self.over = threading.Event()
        self.revision = 1
        self.endpoints = [Endpoint(self, f"s-{k}", does, up) for k, (does, up) in enumerate(endpoints)]
        self.discovery = Discovery(self)
        self.conf = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "8c1f",
            "limits": {"sockets": sockets}, "known": self.listing(),
            "settings": {**SETTINGS, "allowed": {**SETTINGS["allowed"], **(allowed or {})}},
        }  # fmt: skip
        if console:
            self.conf["console"] = "127.0.0.1:0"
        self.file = path / "config.json"
        self.file.write_text(json.dumps(self.conf))
        self.flags, self.tmp = flags, path / "tmp"
        self.tmp.mkdir()
        self.older: list[subprocess.Popen[str]] = []
        self.log: list[str] = []
        self.start()

    def start(self) -> None:
        """A process of the node that listens; the one before, if there is one, goes on."""
        self.process = self.spawn()
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            if "event=listening" in line:
                break
        told = dict(p.split("=", 1) for p in self.log[-1].split() if "=" in p)
        self.address, self.console = told["address"], told.get("console", "")
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
        """Start a newer process at the same address and wait until it can serve; the older one."""
        older, served = self.process, "event=successor_ready"
        before = len(self.logged(served))
        self.older.append(older)
        self.file.write_text(json.dumps({**self.conf, "listen": self.address}))
        self.start()
        until(lambda: self.operate("GET", "/ops/readiness")[0] == 200)
        until(lambda: not joins or len(self.logged(served)) > before)
        return older

    def replace(self, joins: bool = True) -> None:
        """Upgrade, and tell the older process to stop."""
        older = self.upgrade(joins)
        older.send_signal(signal.SIGTERM)
        assert older.wait(20) == 0

    def listing(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": [p.row() for p in self.endpoints]}

    def change(self, endpoint: Endpoint, phase: str) -> None:
        """Tell it, and wait until the node has taken it in."""
        endpoint.phase = phase
        self.revision += 1
        self.discovery.changes.put(
            {"revision": self.revision, "complete": False, "members": [endpoint.row()]}
        )
        until(lambda: self.logged(f"event=endpoint_list_applied revision={self.revision} "))

    def open(self, **headers: str) -> HTTPConnection:
        return HTTPConnection(self.address, timeout=20)

    def send(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, bytes, HTTPResponse]:
        connection = self.open()
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, body, named)
        answer = connection.getresponse()
        data = answer.read()
        connection.close()
        return answer.status, data, answer

    def submit(
        self, id: str, path: str = "/lookup", budget: int = 9000, body: bytes = b"b"
    ) -> tuple[int, bytes, HTTPResponse]:
        return self.send("POST", path, body, X_Call_Id=id, X_Budget_Ms=str(budget))

    def operate(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """One call to the console."""
        connection = HTTPConnection(self.console, timeout=20)
        connection.request(method, path, body or None)
        answer = connection.getresponse()
        told = answer.status, answer.read()
        connection.close()
        return told

    def statistics(self) -> dict[str, int]:
        lines = self.operate("GET", "/ops/stats")[1].decode().splitlines()
        return {name: int(value.partition("|")[0]) for name, value in (line.split(":") for line in lines)}

    def socket(self) -> socket.socket:
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), 20)

    def raw(self, data: bytes) -> bytes:
        with self.socket() as sock:
            sock.sendall(data)
            return sock.recv(4096)

    def close(self) -> None:
        self.over.set()
        self.discovery.changes.put(None)
        for process in (self.process, *self.older):
            if process.poll() is None:
                process.kill()
            process.wait(20)

    def says(self, what: str, times: int = 1) -> None:
        until(lambda: len(self.logged(what)) >= times)

    @property
    def posts(self) -> int:
        """Jobs that came to all endpoints."""
        return sum(p.posts for p in self.endpoints)

    def logged(self, what: str) -> list[str]:
        return [line for line in self.log if what in line]

    def reload(self, text: str, says: str = "event=reloaded") -> None:
        """Replace the configuration file, send SIGHUP, and wait for the node's word on it."""
        before = len(self.logged(says))
        self.file.write_text(text)
        self.process.send_signal(signal.SIGHUP)
        until(lambda: len(self.logged(says)) > before)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)


def until(true: Callable[[], object]) -> None:
    """Wait until something holds; only a hang ends it otherwise."""
    for _ in range(2000):
        if true():
            return
        time.sleep(0.01)
    raise AssertionError("it never came true")


@contextlib.contextmanager
def running(
    path: Path,
    *endpoints: Behaviour | tuple[Behaviour, float],
    sockets: int = 256,
    flags: tuple[str, ...] = (),
    console: bool = False,
    allowed: dict[str, Any] | None = None,
) -> Iterator[Rig]:
    given = [p if isinstance(p, tuple) else (p, 0.0) for p in endpoints]
    rig = Rig(path, *given, sockets=sockets, flags=flags, console=console, allowed=allowed)
    try:
        yield rig
    finally:
        rig.close()
    assert not [line for line in rig.log if "trace=" in line]
