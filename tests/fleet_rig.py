"""Runs real consensus servers on loopback and sends them commands."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from bitternpath.balancer.fleet import client
from bitternpath.balancer.fleet import messages as m
from bitternpath.testing.emulator.ports import ReservedPort

ROOT = Path(__file__).parent.parent
TIMEOUT = 30.0  # s to wait for an expected condition


def wait_until(condition: Callable[[], Any], description: str = "") -> Any:
    """Return the condition's value once it is true; fail after `TIMEOUT`."""
    deadline = time.monotonic() + TIMEOUT
    while time.monotonic() < deadline:
        if result := condition():
            return result
        time.sleep(0.02)
    raise AssertionError(f"did not happen in {TIMEOUT:.0f} s: {description or condition}")


class ConsensusServerProcess:
    """A `consensus-server` process with its port, folder and log."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.held_port = ReservedPort()
        self.folder = fleet.folder / name
        self.log = fleet.folder / f"{name}.log"
        self.process: Any = None

    def start(self, found: bool = False, ulimit: str = "") -> None:
        """Start the process; `ulimit` is an argument of the shell's `ulimit`, set before."""
        command = [sys.executable, "-m", "bitternpath", "consensus-server", "--fleet-name", self.name]
        command += ["--fleet-folder", str(self.folder)] + ["--found"] * found
        if ulimit:
            command = [
                "bash",
                "-c",
                f'ulimit {ulimit}; trap "" XFSZ; exec "$@"',
                "consensus-server",
                *command,
            ]
        env = {k: v for k, v in os.environ.items() if not k.startswith("BITTERNPATH_")}
        env |= {"BITTERNPATH_FLEET_STEWARDS": self.fleet.addresses, **self.fleet.settings}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env | {"PYTHONPATH": str(ROOT)}, stderr=log
            )

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def has_logged(self, text: str) -> bool:
        return text in self.log.read_text()

    def wait_exit_code(self) -> int:
        """Wait for the process to end and return its exit code."""
        return int(self.process.wait(TIMEOUT))


class Fleet:
    """Several consensus servers: the first bootstraps the fleet, the others are added."""

    def __init__(self, folder: Path, count: int, settings: Mapping[str, str]) -> None:
        self.folder, self.settings = folder, settings
        folder.mkdir(exist_ok=True)
        self.servers = {f"S{k}": ConsensusServerProcess(self, f"S{k}") for k in range(1, count + 1)}
        self.server_addresses = {name: ("127.0.0.1", s.held_port.number) for name, s in self.servers.items()}

    @property
    def addresses(self) -> str:
        return ",".join(f"{name}=127.0.0.1:{s.held_port.number}" for name, s in self.servers.items())

    def start(self) -> None:
        for k, server in enumerate(self.servers.values()):
            server.start(found=k == 0)
        for name in list(self.servers)[1:]:
            wait_until(lambda name=name: self.send(m.ChangeMembers(add=name)).ok, f"{name} is added")
        wait_until(lambda: len(self.status()["voters"]) == len(self.servers), "all vote")

    def send(self, command: m.Command, timeout: float = TIMEOUT) -> m.CommandReply:
        return client.send_command(self.server_addresses, command, "test", timeout)

    def change(self, id: str, change: Any) -> int:
        reply = self.send(m.Propose(id, "test", "a test", change))
        assert reply.ok, reply.text
        return int(msgspec.msgpack.decode(reply.data)["version"])

    def status(self, timeout: float = TIMEOUT) -> dict[str, Any]:
        return dict(msgspec.msgpack.decode(self.send(m.Query("status"), timeout).data))

    def known_by(self, name: str) -> dict[str, Any]:
        """Return the status from the local state of one server."""
        reply = client.send_command(
            {name: self.server_addresses[name]}, m.Query("status", stale=True), "test", TIMEOUT
        )
        return dict(msgspec.msgpack.decode(reply.data))

    def leader(self) -> ConsensusServerProcess:
        return self.servers[str(self.status()["leader"]).partition(".")[0]]

    def stop(self) -> None:
        for server in self.servers.values():
            if server.process is not None and server.process.poll() is None:
                server.send_signal(signal.SIGCONT)
                server.kill()
            server.held_port.close()


@contextlib.contextmanager
def running_fleet(folder: Path, count: int, settings: Mapping[str, str] | None = None) -> Iterator[Fleet]:
    """Yield a fleet, and stop its servers at the end; `settings` are added to their environment."""
    fleet = Fleet(folder, count, settings or {})
    try:
        yield fleet
    finally:
        fleet.stop()
