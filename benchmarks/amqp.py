"""Compares the cost of AMQP with that of HTTP on the same core, and prints the table of disconnects.

    .venv/bin/python benchmarks/amqp.py [--jobs 6000] [--connections 2000]

Jobs over HTTP run at an HTTP endpoint, jobs over AMQP at an AMQP subscriber. CPU time is that of the node,
from /proc; peers are separate processes. The memory of an idle connection is the growth of the node's
resident memory divided by the number of connections, each logged in with one open channel.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import multiprocessing
import os
import re
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from pamqp import body, commands, frame, header

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from start import Node  # noqa: E402

c = commands
MAX_JOBS_IN_FLIGHT = 16  # per client, for both protocols


class Client:
    """A minimal AMQP client with one channel."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.buffer = reader, writer, b""

    @classmethod
    async def connect(cls, port: int) -> Client:
        client = cls(*await asyncio.open_connection("127.0.0.1", port, limit=1 << 20))
        client.writer.write(header.ProtocolHeader().marshal())
        await client.receive(c.Connection.Start)
        client.send(c.Connection.StartOk({}, "PLAIN", "\x00guest\x00guest"), 0)
        tune = await client.receive(c.Connection.Tune)
        client.send(c.Connection.TuneOk(tune.channel_max, tune.frame_max, 0), 0)
        client.send(c.Connection.Open("/"), 0)
        client.send(c.Channel.Open())
        await client.receive(c.Channel.OpenOk)
        return client

    def send(self, method: Any, channel: int = 1) -> None:
        self.writer.write(frame.marshal(method, channel))

    async def receive_frame(self) -> Any:
        while True:
            if len(self.buffer) >= 8:
                size = frame.frame_parts(self.buffer)[2] or 0
                if len(self.buffer) >= size + 8:
                    used, _, received = frame.unmarshal(self.buffer)
                    self.buffer = self.buffer[used:]
                    return received
            data = await self.reader.read(1 << 16)
            if not data:
                raise ConnectionError("closed")
            self.buffer += data

    async def receive(self, kind: type) -> Any:
        while not isinstance(received := await self.receive_frame(), kind):
            if isinstance(received, c.Connection.Close):
                raise ConnectionError(received.reply_text)
        return received


def marshal_content(key: str, data: bytes, **properties: Any) -> bytes:
    return b"".join(
        frame.marshal(frame_value, 1)
        for frame_value in (
            c.Basic.Publish(0, "", key),
            header.ContentHeader(0, len(data), c.Basic.Properties(**properties)),
            body.ContentBody(data),
        )
    )


def run_subscriber(port: int, ready: Connection) -> None:
    """Process each job immediately: publish a result, then acknowledge the delivery."""

    async def main() -> None:
        client = await Client.connect(port)
        client.send(c.Basic.Qos(0, 64, False))
        client.send(c.Basic.Consume(queue="lookup", consumer_tag="t"))
        await client.receive(c.Basic.ConsumeOk)
        ready.send(True)
        while True:
            deliver = await client.receive(c.Basic.Deliver)
            received = (await client.receive(header.ContentHeader)).properties
            await client.receive(body.ContentBody)
            client.writer.write(
                marshal_content(received.reply_to, b"r", correlation_id=received.correlation_id)
                + frame.marshal(c.Basic.Ack(deliver.delivery_tag), 1)
            )

    with contextlib.suppress(ConnectionError, KeyboardInterrupt):
        asyncio.run(main())


async def publish_jobs(port: int, jobs: int, id_prefix: str) -> list[float]:
    """Publish jobs with confirms and direct replies, at most MAX_JOBS_IN_FLIGHT at a time.

    Returns the latencies in ms from publish to reply.
    """
    client = await Client.connect(port)
    client.send(c.Confirm.Select())
    client.send(c.Basic.Consume(queue="amq.rabbitmq.reply-to", consumer_tag="r", no_ack=True))
    publish_times: dict[str, float] = {}
    latencies_ms: list[float] = []
    sent_count = confirmed = 0
    while len(latencies_ms) < jobs or confirmed < jobs:
        while sent_count < jobs and len(publish_times) < MAX_JOBS_IN_FLIGHT:
            message_id = f"{id_prefix}-{sent_count}"
            publish_times[message_id] = time.perf_counter()
            client.writer.write(
                marshal_content(
                    "lookup",
                    b"hi",
                    message_id=message_id,
                    correlation_id=message_id,
                    expiration="5000",
                    reply_to="amq.rabbitmq.reply-to",
                )
            )
            sent_count += 1
        received = await client.receive_frame()
        if isinstance(received, header.ContentHeader):
            assert received.properties.headers["x-outcome"] == "served", received.properties.headers
            latencies_ms.append(
                (time.perf_counter() - publish_times.pop(received.properties.correlation_id)) * 1000
            )
        confirmed += isinstance(received, c.Basic.Ack)
        assert not isinstance(received, c.Basic.Nack)
    client.writer.close()
    return latencies_ms


async def send_requests(port: int, jobs: int, id_prefix: str) -> list[float]:
    """Send jobs over MAX_JOBS_IN_FLIGHT persistent HTTP connections; return their latencies in ms."""
    from standins import read_message

    latencies_ms: list[float] = []

    async def client(client_index: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(jobs // MAX_JOBS_IN_FLIGHT):
            started_at = time.perf_counter()
            message_id = f"{id_prefix}-{client_index}-{number}"
            request_head = (
                f"POST /lookup HTTP/1.1\r\nHost: n\r\nX-Call-Id: {message_id}\r\nX-Budget-Ms: 5000\r\n"
            )
            writer.write(request_head.encode() + b"Content-Length: 2\r\n\r\nhi")
            status = (await read_message(reader))[0]
            assert status.startswith(b"HTTP/1.1 200"), status
            latencies_ms.append((time.perf_counter() - started_at) * 1000)
        writer.close()

    await asyncio.gather(*(client(number) for number in range(MAX_JOBS_IN_FLIGHT)))
    return latencies_ms


async def open_clients(port: int, count: int) -> list[Client]:
    return [await Client.connect(port) for _ in range(count)]


class AmqpNode(Node):
    """A node with AMQP enabled; its log contains the port."""

    serve_options = (
        "--amqp-listen",
        "127.0.0.1:0",
        "--amqp-max-connections",
        "8000",
        "--amqp-prefetch-cap",
        "64",
    )

    @property
    def amqp_port(self) -> int:
        for _ in range(200):
            ports = re.findall(r"event=amqp_listening address=127\.0\.0\.1:(\d+)", self.log.read_text())
            if ports:
                return int(ports[0])
            time.sleep(0.02)
        raise SystemExit("the node does not listen for AMQP")

    def memory(self) -> float:
        """Return the resident memory in KB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return float(re.findall(r"VmRSS:\s+(\d+)", status)[0])


def measure(node: Node, run: Any) -> tuple[float, float, list[float]]:
    """Run a coroutine; return the node's CPU time in us, the wall time in s and the latencies."""
    cpu, wall = node.cpu_seconds(), time.perf_counter()
    latencies_ms = asyncio.run(run)
    return (node.cpu_seconds() - cpu) * 1e6, time.perf_counter() - wall, latencies_ms


def print_disconnect_table() -> int:
    """Disconnect scripted peers at each point and print lost replies and unsafe duplicates.

    Returns the number of violations.
    """
    import structlog
    from amqp_disconnects import disconnect_points, run_scenario

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    categories = ("lost answers", "unsafe twice", "other")
    headings = "".join(f"{category:>14}" for category in categories)
    print(f"\n{'class':10}{'SIGTERM':>9}{'cut points':>12}{'runs':>7}{headings}")
    violation_count = 0
    for key in ("reminder", "lookup"):
        for shutdown in (False, True):
            break_points = list(disconnect_points(key, shutdown))
            violations: Counter[str] = Counter()
            for break_point in break_points:
                for second_subscriber in (False, True):
                    for violation in run_scenario(key, break_point, shutdown, second_subscriber).violations:
                        answer_lost = violation.startswith("0 ")
                        violations[
                            categories[0]
                            if answer_lost
                            else categories[1]
                            if "ran" in violation
                            else categories[2]
                        ] += 1
            violation_count += sum(violations.values())
            print(
                f"{key:10}{'yes' if shutdown else 'no':>9}{len(break_points):12}{2 * len(break_points):7}",
                end="",
            )
            print("".join(f"{violations[category]:14}" for category in categories))
    return violation_count


def compare_protocols(folder: Path, jobs: int, rounds: int) -> None:
    """Run the same jobs over each protocol, on separate nodes so that each uses only its own endpoint."""
    address = folder / "node"
    worker = subprocess.Popen(
        [sys.executable, str(ROOT / "benchmarks" / "standins.py"), "0"],
        stdout=subprocess.PIPE, env=os.environ | {"NODE_FILE": str(address)},
    )  # fmt: skip
    assert worker.stdout is not None
    endpoint = int(worker.stdout.readline())
    medians: dict[str, list[float]] = {}
    for variant in ("http", "amqp"):
        node = AmqpNode(ROOT, folder, endpoint if variant == "http" else 0)
        address.write_text(f"127.0.0.1:{node.port}")
        process: Any = None
        rows = []
        try:
            if variant == "amqp":
                parent_connection, child_connection = multiprocessing.Pipe()
                context = multiprocessing.get_context("spawn")
                process = context.Process(
                    target=run_subscriber, args=(node.amqp_port, child_connection), daemon=True
                )
                process.start()
                assert parent_connection.poll(30)
            for round_number in range(rounds + 1):  # round 0 is a warm-up and isn't counted
                if process is not None:
                    run = publish_jobs(node.amqp_port, jobs, f"a{round_number}")
                else:
                    run = send_requests(node.port, jobs, f"h{round_number}")
                cpu, wall, latencies_ms = measure(node, run)
                latencies_ms.sort()
                if round_number:
                    rows.append(
                        (
                            cpu / len(latencies_ms),
                            len(latencies_ms) / wall,
                            latencies_ms[len(latencies_ms) // 2],
                            latencies_ms[-len(latencies_ms) // 100],
                        )
                    )
        finally:
            if process is not None:
                process.kill()
            node.stop()
        medians[variant] = [statistics.median(column) for column in zip(*rows, strict=True)]
    worker.kill()
    worker.wait()
    headings = f"{'CPU us a job':>14}{'jobs/s':>9}{'p50 ms':>9}{'p99 ms':>9}"
    print(f"{'':6}{headings}   (medians of {rounds} rounds of {jobs} jobs, {MAX_JOBS_IN_FLIGHT} at once)")
    for variant, (cpu_us, rate, median_ms, p99_ms) in medians.items():
        print(f"{variant:6}{cpu_us:14.0f}{rate:9.0f}{median_ms:9.2f}{p99_ms:9.2f}")
    print(f"AMQP costs {medians['amqp'][0] / medians['http'][0]:.2f} times the CPU of HTTP")


def measure_idle_connections(folder: Path, count: int) -> None:
    """Measure the memory and CPU of idle connections."""
    node = AmqpNode(ROOT, folder, 0)

    async def measure_idle_clients() -> tuple[float, float]:
        warm_up_clients = await open_clients(node.amqp_port, 50)
        before = node.memory()
        clients = await open_clients(node.amqp_port, count)
        after, cpu = node.memory(), node.cpu_seconds()
        await asyncio.sleep(2)
        core_share = (node.cpu_seconds() - cpu) / 2
        for client in [*warm_up_clients, *clients]:
            client.writer.close()
        return (after - before) / count, core_share

    try:
        size, core_share = asyncio.run(measure_idle_clients())
    finally:
        node.stop()
    print(f"an idle connection takes {size:.1f} KB (aim 12); {count} of them take {core_share:.1%} of a core")


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=6000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, default=2000)
    options = parser.parse_args()
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(65536, hard_limit), hard_limit))
    with tempfile.TemporaryDirectory() as name:
        compare_protocols(Path(name), options.jobs, options.rounds)
        measure_idle_connections(Path(name), options.connections)
    return int(print_disconnect_table() > 0)


if __name__ == "__main__":
    sys.exit(main())
