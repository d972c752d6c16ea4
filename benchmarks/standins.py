"""Stub endpoint for benchmarks that accepts every job and immediately reports it as done.

`python benchmarks/standins.py PORT` listens on the port and prints it. The environment variable NODE_FILE
names a file with the address of the node that receives the callbacks.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """Read an HTTP message with a Content-Length; return its start line, headers and body."""
    head_bytes = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head_bytes[:-4].split(b"\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return start_line, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


class CallbackClient:
    """Sends callbacks to the node over pooled connections."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(self, body: bytes) -> None:
        """Send a callback; retries until it succeeds, at most ten attempts."""
        for _ in range(10):
            try:
                connection = (
                    self.idle_connections.pop()
                    if self.idle_connections
                    else await asyncio.open_connection(self.host, self.port)
                )
                reader, writer = connection
                head_bytes = b"POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head_bytes + body)
                start_line, headers, _ = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError):
                continue
            if headers.get(b"connection") == b"close":
                writer.close()
            else:
                self.idle_connections.append((reader, writer))
            if start_line.split()[1] in (b"200", b"204"):
                return


def job_handler(name: str, get_client: Callable[[], CallbackClient]) -> Callable[..., Awaitable[None]]:
    """Return a connection handler that accepts each job and immediately reports it as done."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                _, headers, _ = await read_message(reader)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                call_id = headers[b"x-call-id"].decode()
                report = f'{{"id":"{call_id}","from":"{name}","state":"done","result":"r"}}'
                task = asyncio.create_task(get_client().send(report.encode()))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    return serve


async def main(port: int) -> None:
    clients: list[CallbackClient] = []

    def get_client() -> CallbackClient:
        if not clients:
            with open(os.environ["NODE_FILE"]) as file:
                host, _, number = file.read().strip().rpartition(":")
            clients.append(CallbackClient(host, int(number)))
        return clients[0]

    server = await asyncio.start_server(job_handler("s-0", get_client), "127.0.0.1", port)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.wait_for(server.serve_forever(), 600)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
