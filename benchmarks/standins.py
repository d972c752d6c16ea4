"""A stand-in for benchmarks: an endpoint that takes every job and reports it done at once.

`python benchmarks/standins.py PORT` listens there and prints the port; the variable NODE_FILE names a
file with the address of the node, to which the call-backs go."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable


async def message(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes], bytes]:
    """One HTTP message with a Content-Length: first line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].split(b"\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get(b"content-length", b"0")))


class CallBacks:
    """Connections to the node's listener, kept and used again."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def tell(self, body: bytes) -> None:
        """Tried until it is answered, ten times at most."""
        for _ in range(10):
            try:
                kept = self.free.pop() if self.free else await asyncio.open_connection(self.host, self.port)
                reader, writer = kept
                head = b"POST /_jobs/news HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n" % len(body)
                writer.write(head + body)
                first, headers, _ = await message(reader)
            except (OSError, asyncio.IncompleteReadError):
                continue
            if headers.get(b"connection") == b"close":
                writer.close()
            else:
                self.free.append((reader, writer))
            if first.split()[1] in (b"200", b"204"):
                return


def endpoint(name: str, node: Callable[[], CallBacks]) -> Callable[..., Awaitable[None]]:
    """Takes each job and says at once that it has started and is done."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                _, headers, _ = await message(reader)
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                id = headers[b"x-call-id"].decode()
                told = f'{{"id":"{id}","from":"{name}","state":"done","result":"r"}}'
                task = asyncio.create_task(node().tell(told.encode()))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    return serve


async def main(port: int) -> None:
    made: list[CallBacks] = []

    def node() -> CallBacks:
        if not made:
            with open(os.environ["NODE_FILE"]) as file:
                host, _, number = file.read().strip().rpartition(":")
            made.append(CallBacks(host, int(number)))
        return made[0]

    server = await asyncio.start_server(endpoint("s-0", node), "127.0.0.1", port)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.wait_for(server.serve_forever(), 600)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1])))
