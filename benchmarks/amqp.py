"""What AMQP costs against HTTP on the same core, and the cut table, in one run.

    .venv/bin/python benchmarks/amqp.py [--jobs 6000] [--connections 2000]

Jobs over HTTP run at an HTTP endpoint, jobs over AMQP at an AMQP subscriber. CPU is the node's own, by /proc;
peers are processes of their own. The bytes of an idle connection are the growth of the node's resident memory
over so many that have logged in and opened one channel.
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
WINDOW = 16  # jobs that a client has out at once, over either protocol


class Client:
    """A lean AMQP client: methods out of a stream, contents put together."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.buffer = reader, writer, b""

    @classmethod
    async def open(cls, port: int) -> Client:
        made = cls(*await asyncio.open_connection("127.0.0.1", port, limit=1 << 20))
        made.writer.write(header.ProtocolHeader().marshal())
        await made.until(c.Connection.Start)
        made.send(c.Connection.StartOk({}, "PLAIN", "\x00guest\x00guest"), 0)
        tune = await made.until(c.Connection.Tune)
        made.send(c.Connection.TuneOk(tune.channel_max, tune.frame_max, 0), 0)
        made.send(c.Connection.Open("/"), 0)
        made.send(c.Channel.Open())
        await made.until(c.Channel.OpenOk)
        return made

    def send(self, method: Any, channel: int = 1) -> None:
        self.writer.write(frame.marshal(method, channel))

    async def next(self) -> Any:
        while True:
            if len(self.buffer) >= 8:
                size = frame.frame_parts(self.buffer)[2] or 0
                if len(self.buffer) >= size + 8:
                    used, _, told = frame.unmarshal(self.buffer)
                    self.buffer = self.buffer[used:]
                    return told
            data = await self.reader.read(1 << 16)
            if not data:
                raise ConnectionError("closed")
            self.buffer += data

    async def until(self, kind: type) -> Any:
        while not isinstance(told := await self.next(), kind):
            if isinstance(told, c.Connection.Close):
                raise ConnectionError(told.reply_text)
        return told


def content(key: str, data: bytes, **properties: Any) -> bytes:
    return b"".join(
        frame.marshal(part, 1)
        for part in (
            c.Basic.Publish(0, "", key),
            header.ContentHeader(0, len(data), c.Basic.Properties(**properties)),
            body.ContentBody(data),
        )
    )


def subscriber(port: int, ready: Connection) -> None:
    """Runs every job at once: a result, then the ack."""

    async def main() -> None:
        client = await Client.open(port)
        client.send(c.Basic.Qos(0, 64, False))
        client.send(c.Basic.Consume(queue="lookup", consumer_tag="t"))
        await client.until(c.Basic.ConsumeOk)
        ready.send(True)
        while True:
            deliver = await client.until(c.Basic.Deliver)
            told = (await client.until(header.ContentHeader)).properties
            await client.until(body.ContentBody)
            client.writer.write(
                content(told.reply_to, b"r", correlation_id=told.correlation_id)
                + frame.marshal(c.Basic.Ack(deliver.delivery_tag), 1)
            )

    with contextlib.suppress(ConnectionError, KeyboardInterrupt):
        asyncio.run(main())


async def publish(port: int, jobs: int, first: str) -> list[float]:
    """So many jobs, a window at a time, with confirms and direct replies; ms from publish to answer."""
    client = await Client.open(port)
    client.send(c.Confirm.Select())
    client.send(c.Basic.Consume(queue="amq.rabbitmq.reply-to", consumer_tag="r", no_ack=True))
    sent: dict[str, float] = {}
    took: list[float] = []
    made = confirmed = 0
    while len(took) < jobs or confirmed < jobs:
        while made < jobs and len(sent) < WINDOW:
            id = f"{first}-{made}"
            sent[id] = time.perf_counter()
            client.writer.write(
                content("lookup", b"hi", message_id=id, correlation_id=id, expiration="5000",
                        reply_to="amq.rabbitmq.reply-to")
            )  # fmt: skip
            made += 1
        told = await client.next()
        if isinstance(told, header.ContentHeader):
            assert told.properties.headers["x-outcome"] == "served", told.properties.headers
            took.append((time.perf_counter() - sent.pop(told.properties.correlation_id)) * 1000)
        confirmed += isinstance(told, c.Basic.Ack)
        assert not isinstance(told, c.Basic.Nack)
    client.writer.close()
    return took


async def requests(port: int, jobs: int, first: str) -> list[float]:
    """So many jobs over HTTP on as many kept connections as the window is wide; ms from request to answer."""
    from standins import message

    took: list[float] = []

    async def client(own: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for k in range(jobs // WINDOW):
            begun = time.perf_counter()
            id = f"{first}-{own}-{k}"
            head = f"POST /lookup HTTP/1.1\r\nHost: n\r\nX-Call-Id: {id}\r\nX-Budget-Ms: 5000\r\n"
            writer.write(head.encode() + b"Content-Length: 2\r\n\r\nhi")
            status = (await message(reader))[0]
            assert status.startswith(b"HTTP/1.1 200"), status
            took.append((time.perf_counter() - begun) * 1000)
        writer.close()

    await asyncio.gather(*(client(k) for k in range(WINDOW)))
    return took


async def idle(port: int, many: int) -> list[Client]:
    return [await Client.open(port) for _ in range(many)]


class AmqpNode(Node):
    """A node with AMQP on, whose log says where."""

    flags = ("--amqp-listen", "127.0.0.1:0", "--amqp-max-connections", "8000", "--amqp-prefetch-cap", "64")

    @property
    def amqp_port(self) -> int:
        for _ in range(200):
            found = re.findall(r"event=amqp_listening address=127\.0\.0\.1:(\d+)", self.log.read_text())
            if found:
                return int(found[0])
            time.sleep(0.02)
        raise SystemExit("the node does not listen for AMQP")

    def memory(self) -> float:
        """Resident KB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return float(re.findall(r"VmRSS:\s+(\d+)", status)[0])


def measured(node: Node, run: Any) -> tuple[float, float, list[float]]:
    """CPU microseconds and wall seconds of a run, and its latencies."""
    cpu, wall = node.cpu(), time.perf_counter()
    took = asyncio.run(run)
    return (node.cpu() - cpu) * 1e6, time.perf_counter() - wall, took


def cut_table() -> int:
    """Cut points, lost answers and unsafe duplicates, by scripted peers; the number of faults."""
    import structlog
    from amqp_disconnects import disconnect_points, run_scenario

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    words = ("lost answers", "unsafe twice", "other")
    heads = "".join(f"{word:>14}" for word in words)
    print(f"\n{'class':10}{'SIGTERM':>9}{'cut points':>12}{'runs':>7}{heads}")
    faults = 0
    for key in ("reminder", "lookup"):
        for shutdown in (False, True):
            disconnects = list(disconnect_points(key, shutdown))
            found: Counter[str] = Counter()
            for disconnect in disconnects:
                for second_subscriber in (False, True):
                    for violation in run_scenario(key, disconnect, shutdown, second_subscriber).violations:
                        lost = violation.startswith("0 ")
                        found[words[0] if lost else words[1] if "ran" in violation else words[2]] += 1
            faults += sum(found.values())
            print(
                f"{key:10}{'yes' if shutdown else 'no':>9}{len(disconnects):12}{2 * len(disconnects):7}",
                end="",
            )
            print("".join(f"{found[word]:14}" for word in words))
    return faults


def compare(folder: Path, jobs: int, rounds: int) -> None:
    """The same jobs over each protocol, each on a node of its own, so that they run at its own endpoint."""
    address = folder / "node"
    worker = subprocess.Popen(
        [sys.executable, str(ROOT / "benchmarks" / "standins.py"), "0"],
        stdout=subprocess.PIPE, env=os.environ | {"NODE_FILE": str(address)},
    )  # fmt: skip
    assert worker.stdout is not None
    endpoint = int(worker.stdout.readline())
    medians: dict[str, list[float]] = {}
    for which in ("http", "amqp"):
        node = AmqpNode(ROOT, folder, endpoint if which == "http" else 0)
        address.write_text(f"127.0.0.1:{node.port}")
        process: Any = None
        rows = []
        try:
            if which == "amqp":
                ours, theirs = multiprocessing.Pipe()
                context = multiprocessing.get_context("spawn")
                process = context.Process(target=subscriber, args=(node.amqp_port, theirs), daemon=True)
                process.start()
                assert ours.poll(30)
            for round_ in range(rounds + 1):  # the first warms up
                if process is not None:
                    run = publish(node.amqp_port, jobs, f"a{round_}")
                else:
                    run = requests(node.port, jobs, f"h{round_}")
                cpu, wall, took = measured(node, run)
                took.sort()
                if round_:
                    rows.append(
                        (cpu / len(took), len(took) / wall, took[len(took) // 2], took[-len(took) // 100])
                    )
        finally:
            if process is not None:
                process.kill()
            node.end()
        medians[which] = [statistics.median(column) for column in zip(*rows, strict=True)]
    worker.kill()
    worker.wait()
    heads = f"{'CPU us a job':>14}{'jobs/s':>9}{'p50 ms':>9}{'p99 ms':>9}"
    print(f"{'':6}{heads}   (medians of {rounds} rounds of {jobs} jobs, {WINDOW} at once)")
    for which, (us, rate, p50, p99) in medians.items():
        print(f"{which:6}{us:14.0f}{rate:9.0f}{p50:9.2f}{p99:9.2f}")
    print(f"AMQP costs {medians['amqp'][0] / medians['http'][0]:.2f} times the CPU of HTTP")


def idle_cost(folder: Path, many: int) -> None:
    """What connections that are open and silent take."""
    node = AmqpNode(ROOT, folder, 0)

    async def held() -> tuple[float, float]:
        warm = await idle(node.amqp_port, 50)
        before = node.memory()
        clients = await idle(node.amqp_port, many)
        after, cpu = node.memory(), node.cpu()
        await asyncio.sleep(2)
        busy = (node.cpu() - cpu) / 2
        for client in [*warm, *clients]:
            client.writer.close()
        return (after - before) / many, busy

    try:
        size, busy = asyncio.run(held())
    finally:
        node.end()
    print(f"an idle connection takes {size:.1f} KB (aim 12); {many} of them take {busy:.1%} of a core")


def main() -> int:
    options = argparse.ArgumentParser()
    options.add_argument("--jobs", type=int, default=6000)
    options.add_argument("--rounds", type=int, default=3)
    options.add_argument("--connections", type=int, default=2000)
    given = options.parse_args()
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(65536, most), most))
    with tempfile.TemporaryDirectory() as name:
        compare(Path(name), given.jobs, given.rounds)
        idle_cost(Path(name), given.connections)
    return int(cut_table() > 0)


if __name__ == "__main__":
    sys.exit(main())
