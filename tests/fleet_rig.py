"""Real stewards on loopback, and questions to them."""

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
from bitternpath.testing.emulator.ports import HeldPort

ROOT = Path(__file__).parent.parent
LONG = 30.0  # s: beyond that it will not happen any more


def until(what: Callable[[], Any], why: str = "") -> Any:
    """What it gives once that is something."""
    end = time.monotonic() + LONG
    while time.monotonic() < end:
        if found := what():
            return found
        time.sleep(0.02)
    raise AssertionError(f"did not happen in {LONG:.0f} s: {why or what}")


class ConsensusServerProcess:
    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.held = HeldPort()
        self.folder = fleet.folder / name
        self.log = fleet.folder / f"{name}.log"
        self.process: Any = None

    def start(self, found: bool = False, limit: str = "") -> None:
        """`limit`: what the shell's ulimit is told first."""
        command = [sys.executable, "-m", "bitternpath", "consensus-server", "--fleet-name", self.name]
        command += ["--fleet-folder", str(self.folder)] + ["--found"] * found
        if limit:
            command = ["bash", "-c", f'ulimit {limit}; trap "" XFSZ; exec "$@"', "consensus-server", *command]
        clean = {k: v for k, v in os.environ.items() if not k.startswith("BITTERNPATH_")}
        clean |= {"BITTERNPATH_FLEET_STEWARDS": self.fleet.addresses, **self.fleet.settings}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=clean | {"PYTHONPATH": str(ROOT)}, stderr=log
            )

    def send(self, number: int) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def says(self, text: str) -> bool:
        return text in self.log.read_text()

    def ended(self) -> int:
        """Its exit code, once it has ended."""
        return int(self.process.wait(LONG))


class Fleet:
    """So many stewards; the first one founds, the others are added."""

    def __init__(self, folder: Path, stewards: int, settings: Mapping[str, str]) -> None:
        self.folder, self.settings = folder, settings
        folder.mkdir(exist_ok=True)
        self.stewards = {f"S{k}": ConsensusServerProcess(self, f"S{k}") for k in range(1, stewards + 1)}
        self.at = {name: ("127.0.0.1", s.held.number) for name, s in self.stewards.items()}

    @property
    def addresses(self) -> str:
        return ",".join(f"{name}=127.0.0.1:{s.held.number}" for name, s in self.stewards.items())

    def start(self) -> None:
        for k, steward in enumerate(self.stewards.values()):
            steward.start(found=k == 0)
        for name in list(self.stewards)[1:]:
            until(lambda name=name: self.ask(m.ChangeMembers(add=name)).ok, f"{name} is added")
        until(lambda: len(self.status()["voters"]) == len(self.stewards), "all vote")

    def ask(self, command: m.Command, within: float = LONG) -> m.CommandReply:
        return client.send_command(self.at, command, "test", within)

    def change(self, id: str, change: Any) -> int:
        answer = self.ask(m.Propose(id, "test", "a test", change))
        assert answer.ok, answer.text
        return int(msgspec.msgpack.decode(answer.data)["version"])

    def status(self, within: float = LONG) -> dict[str, Any]:
        return dict(msgspec.msgpack.decode(self.ask(m.Query("status"), within).data))

    def known(self, name: str) -> dict[str, Any]:
        """What one steward knows by itself."""
        answer = client.send_command({name: self.at[name]}, m.Query("status", stale=True), "test", LONG)
        return dict(msgspec.msgpack.decode(answer.data))

    def leader(self) -> ConsensusServerProcess:
        return self.stewards[str(self.status()["leader"]).partition(".")[0]]

    def end(self) -> None:
        for steward in self.stewards.values():
            if steward.process is not None and steward.process.poll() is None:
                steward.send(signal.SIGCONT)
                steward.kill()
            steward.held.close()


@contextlib.contextmanager
def fleet(folder: Path, stewards: int, settings: Mapping[str, str] | None = None) -> Iterator[Fleet]:
    """`settings`: further variables of the stewards."""
    made = Fleet(folder, stewards, settings or {})
    try:
        yield made
    finally:
        made.end()
