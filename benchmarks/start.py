"""Compares the start of a node and a plain lookup with those of an earlier revision of this repository.

    .venv/bin/python benchmarks/start.py [--before REV] [--rounds 7] [--lookups 2000]

Prints resident memory at /ready, time to /ready and the node's CPU time per lookup, as medians of rounds that
alternate between the two trees. Exits with 1 if memory grew by more than 3 MB or the time by more than 60 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from standins import read_message

ROOT = Path(__file__).parent.parent
BASELINE_REVISION = "9c0ecdd"  # last revision with all networking code under net/
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SETTINGS: dict[str, Any] = {
    "allowed": {"cancel": True, "connIdle": 10000.0, "dialTimeout": 250.0, "tryLimit": 6},
    "balancers": 3,
    "classes": [{"name": "lookup", "aim": 500.0, "effect": "pure", "giveUp": 5000.0, "lateWorth": 0.5}],
    "familyInfo": {"tellsStart": True, "progress": 1000.0},
    "kinds": ["standard"],
    "locality": "a",
    "rules": {"coldFrom": 0.2, "drainGrace": 2e3, "fall": 1e3, "tipMultiple": 4.0, "warmWithin": 9e3},
    "tick": 2.0,
}  # fmt: skip


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Node:
    """A node process run from a source tree, with one endpoint (none if the port is 0)."""

    # Options of `serve`; if empty, the node is started as on the platform, without `serve`.
    serve_options: tuple[str, ...] = ()

    def __init__(self, tree: Path, folder: Path, endpoint: int, port: int = 0, console_port: int = 0) -> None:
        member = {"id": "s-0", "host_port": f"127.0.0.1:{endpoint}", "locality": "a", "flavor": "standard",
               "cell": 0, "phase": "up", "size": 1.0, "up_since_ms": 0}  # fmt: skip
        self.port, self.console_port = port or free_port(), console_port
        config = {
            "name": "n", "listen": f"127.0.0.1:{self.port}", "discovery": "127.0.0.1:9", "seed": "1",
            "limits": {"sockets": 16384 if self.serve_options else 1024}, "settings": SETTINGS,
            "known": {"revision": 1, "complete": True, "members": [member] if endpoint else []},
        }  # fmt: skip
        if console_port:
            config["console"] = f"127.0.0.1:{console_port}"
        config_file, self.log = folder / "config.json", folder / "log"
        config_file.write_text(json.dumps(config))
        started_at = time.perf_counter()
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bitternpath",
                *(("serve", *self.serve_options) if self.serve_options else ()),
            ],
            cwd=tree,
            env={"PATH": os.environ["PATH"], "PROXY_CONFIG": str(config_file), "TMPDIR": str(folder)},
            stderr=self.log.open("w"),
        )
        while not self.ready() and (endpoint or not self.log.read_text().count("event=listening")):
            if self.process.poll() is not None or time.perf_counter() > started_at + 30:
                raise SystemExit(f"{tree}: the node did not become ready")
        self.start_ms = (time.perf_counter() - started_at) * 1000
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        self.rss_mb = int(re.findall(r"VmRSS:\s+(\d+)", status)[0]) / 1024

    def ready(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), 5) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            time.sleep(0.002)
            return False

    def cpu_seconds(self) -> float:
        """Return the CPU time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()


async def run_lookups(port: int, count: int, concurrency: int, id_prefix: str) -> None:
    """Run lookups over `concurrency` persistent connections; each must succeed."""

    async def client(client_index: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(count // concurrency):
            request_head = (
                f"POST /lookup HTTP/1.1\r\nHost: n\r\n"
                f"X-Call-Id: {id_prefix}-{client_index}-{number}\r\nX-Budget-Ms: 5000\r\n"
            )
            writer.write(request_head.encode() + b"Content-Length: 2\r\n\r\nhi")
            status = (await read_message(reader))[0]
            assert status.startswith(b"HTTP/1.1 200"), status
        writer.close()

    await asyncio.gather(*(client(number) for number in range(concurrency)))


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--before", default=BASELINE_REVISION)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--lookups", type=int, default=2000)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        baseline_tree = folder / "before"
        baseline_tree.mkdir()
        archive = subprocess.run(
            ["git", "archive", options.before], cwd=ROOT, capture_output=True, check=True
        )
        subprocess.run(["tar", "x", "-C", str(baseline_tree)], input=archive.stdout, check=True)
        address = folder / "node"
        measurements: dict[str, list[tuple[float, float, float]]] = {"before": [], "now": []}
        for round_number in range(options.rounds + 1):  # round 0 warms the caches and isn't counted
            for variant, tree in (("before", baseline_tree), ("now", ROOT)):
                env = os.environ | {"NODE_FILE": str(address)}
                worker = subprocess.Popen(
                    [sys.executable, str(ROOT / "benchmarks" / "standins.py"), "0"],
                    stdout=subprocess.PIPE,
                    env=env,
                )
                assert worker.stdout is not None
                node = Node(tree, folder, int(worker.stdout.readline()))
                try:
                    address.write_text(f"127.0.0.1:{node.port}")
                    asyncio.run(run_lookups(node.port, 200, 4, "warm"))
                    before = node.cpu_seconds()
                    asyncio.run(run_lookups(node.port, options.lookups, 4, "run"))
                    cpu_us = (node.cpu_seconds() - before) / options.lookups * 1e6
                    if round_number:
                        measurements[variant].append((node.rss_mb, node.start_ms, cpu_us))
                finally:
                    node.stop()
                    worker.kill()
                    worker.wait()
    print(
        f"{'':8}{'MB at /ready':>14}{'ms to /ready':>14}{'CPU us a lookup':>17}"
        f"   (medians of {options.rounds})"
    )
    medians = {
        variant: [statistics.median(column) for column in zip(*rows, strict=True)]
        for variant, rows in measurements.items()
    }
    for variant, (mb, ms, cpu_us) in medians.items():
        print(f"{variant:8}{mb:14.1f}{ms:14.0f}{cpu_us:17.0f}")
    mb, ms, cpu_us = (now - before for now, before in zip(medians["now"], medians["before"], strict=True))
    ratio = medians["now"][2] / medians["before"][2]
    print(f"{'change':8}{mb:+14.1f}{ms:+14.0f}{cpu_us:+17.0f}   ratio of CPU {ratio:.2f}")
    return int(mb > 3 or ms > 60)


if __name__ == "__main__":
    sys.exit(main())
