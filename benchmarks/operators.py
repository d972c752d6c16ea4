"""Measures the CPU cost and latency of the console and the jobs lost in upgrades, in one run.

    .venv/bin/python benchmarks/operators.py [--rounds 5] [--lookups 2000] [--upgrades 10]

Prints the CPU time of a plain lookup with a console whose statistics are polled ten times a second, relative
to that without one, as medians of alternating rounds; the slowest of 200 console replies under full load of 8
clients and with 30 idle console connections; and the numbers of served and failed jobs and broken connections
during a series of upgrades under the same load.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from standins import read_message
from start import ROOT, Node, free_port, run_lookups

CLIENTS = 8


@contextlib.contextmanager
def running_endpoint(folder: Path) -> Iterator[int]:
    """Run a stub endpoint and yield its port; callbacks go to the address in `folder/node`."""
    env = os.environ | {"NODE_FILE": str(folder / "node")}
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "benchmarks" / "standins.py"), "0"], stdout=subprocess.PIPE, env=env
    )
    assert process.stdout is not None
    try:
        yield int(process.stdout.readline())
    finally:
        process.kill()
        process.wait()


async def call_console(port: int, path: str) -> tuple[int, float]:
    """Call the console; return the status and the latency in ms."""
    started_at = time.perf_counter()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {path} HTTP/1.1\r\n\r\n".encode())
    start_line, _, _ = await read_message(reader)
    writer.close()
    return int(start_line.split()[1]), (time.perf_counter() - started_at) * 1000


async def is_ready(port: int) -> bool:
    """Return whether a process is ready, by its own console: in an upgrade both share the service port."""
    try:
        return (await call_console(port, "/ops/readiness"))[0] == 200
    except OSError:
        return False


async def poll_stats(port: int) -> None:
    while True:
        await call_console(port, "/ops/stats")
        await asyncio.sleep(0.1)


def measure_console_cost(rounds: int, count: int) -> tuple[float, float]:
    """Return the CPU time of a lookup in us without and with a console."""
    cpu_us: dict[bool, list[float]] = {False: [], True: []}
    for round_number in range(rounds + 1):  # round 0 warms the caches and isn't counted
        for with_console in (False, True) if round_number % 2 else (True, False):
            with tempfile.TemporaryDirectory() as name, running_endpoint(Path(name)) as endpoint:
                node = Node(ROOT, Path(name), endpoint, console_port=free_port() if with_console else 0)
                (Path(name) / "node").write_text(f"127.0.0.1:{node.port}")

                async def run(node: Node = node) -> float:
                    await run_lookups(node.port, 200, 4, "warm")
                    polling = (
                        asyncio.create_task(poll_stats(node.console_port)) if node.console_port else None
                    )
                    before = node.cpu_seconds()
                    await run_lookups(node.port, count, 4, "run")
                    if polling is not None:
                        polling.cancel()
                    return (node.cpu_seconds() - before) / count * 1e6

                try:
                    lookup_us = asyncio.run(run())
                finally:
                    node.stop()
                if round_number:
                    cpu_us[with_console].append(lookup_us)
    return statistics.median(cpu_us[False]), statistics.median(cpu_us[True])


async def measure_console_latency(node: Node) -> tuple[list[float], int]:
    """Return the latencies in ms of 200 console calls under full load with idle console connections.

    Also returns the number of lookups served meanwhile.
    """
    stop_load, served = asyncio.Event(), 0

    async def client(client_index: int) -> None:
        nonlocal served
        round_number = 0
        while not stop_load.is_set():
            await run_lookups(node.port, 20, 1, f"load-{client_index}-{round_number}")
            served, round_number = served + 20, round_number + 1

    clients = [asyncio.create_task(client(client_index)) for client_index in range(CLIENTS)]
    idle_connections = [await asyncio.open_connection("127.0.0.1", node.console_port) for _ in range(30)]
    latencies_ms = []
    for index in range(200):
        status, ms = await call_console(node.console_port, ("/ops/stats", "/ops/readiness")[index % 2])
        assert status == 200, status
        latencies_ms.append(ms)
    stop_load.set()
    await asyncio.gather(*clients)
    for _, writer in idle_connections:
        writer.close()
    return latencies_ms, served


async def run_upgrades(folder: Path, endpoint: int, node: Node, count: int) -> Counter[str]:
    """Upgrade the node `count` times under load and count the jobs by outcome.

    Clients reuse their connections until the node closes them.
    """
    stop_load, counts = asyncio.Event(), Counter[str]()

    async def client(client_index: int) -> None:
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        round_number = 0
        while not stop_load.is_set():
            round_number += 1
            request_head = (
                f"POST /lookup HTTP/1.1\r\nHost: n\r\n"
                f"X-Call-Id: u-{client_index}-{round_number}\r\nX-Budget-Ms: 5000\r\n"
            )
            try:
                connection = connection or await asyncio.open_connection("127.0.0.1", node.port)
                connection[1].write(request_head.encode() + b"Content-Length: 2\r\n\r\nhi")
                start_line, headers, _ = await read_message(connection[0])
            except (OSError, asyncio.IncompleteReadError):
                counts["broken connections"] += 1
                connection = None
                continue
            counts["served" if b" 200 " in start_line else "failed"] += 1
            if headers.get(b"connection") == b"close":
                connection[1].close()
                connection = None

    clients = [asyncio.create_task(client(client_index)) for client_index in range(CLIENTS)]
    for _ in range(count):
        await asyncio.sleep(0.3)
        successor = await asyncio.to_thread(Node, ROOT, folder, endpoint, node.port, free_port())
        while not await is_ready(successor.console_port):
            await asyncio.sleep(0.01)
        node.process.send_signal(signal.SIGTERM)
        exit_code = await asyncio.to_thread(node.process.wait, 20)
        counts["older processes that did not end with 0"] += exit_code != 0
        node = successor
    stop_load.set()
    await asyncio.gather(*clients)
    node.stop()
    return counts


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--lookups", type=int, default=2000)
    parser.add_argument("--upgrades", type=int, default=10)
    options = parser.parse_args()
    without_console, with_console = measure_console_cost(options.rounds, options.lookups)
    print(
        f"CPU of a lookup, us: {without_console:.0f} without a console, "
        f"{with_console:.0f} with; ratio {with_console / without_console:.2f}"
    )
    with tempfile.TemporaryDirectory() as name, running_endpoint(Path(name)) as endpoint:
        node = Node(ROOT, Path(name), endpoint, console_port=free_port())
        (Path(name) / "node").write_text(f"127.0.0.1:{node.port}")
        latencies_ms, served = asyncio.run(measure_console_latency(node))
        median = statistics.median(latencies_ms)
        print(
            f"console under load ({served} lookups served): median {median:.1f} ms, "
            f"slowest of 200 {max(latencies_ms):.1f} ms"
        )
        counts = asyncio.run(run_upgrades(Path(name), endpoint, node, options.upgrades))
    print(
        f"{options.upgrades} upgrades: "
        + ", ".join(f"{count} {outcome}" for outcome, count in sorted(counts.items()))
    )
    failed = counts["failed"] or counts["older processes that did not end with 0"]
    return int(max(latencies_ms) > 1000 or bool(failed))


if __name__ == "__main__":
    sys.exit(main())
