"""The discovery service as one node reaches it: watches, each a chunked response with one line per update."""

from __future__ import annotations

from typing import Any

import ujson

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Listing
from bitternpath.net import http1
from bitternpath.testing.emulator.sockets.run import Run
from bitternpath.testing.emulator.sockets.servers import Server, ServerConnection

PHASES = {m.WorkerState.SERVING: "up", m.WorkerState.DRAINING: "draining", m.WorkerState.GONE: "removed"}
HEARTBEAT_INTERVAL = 2.0  # s between empty lines on a watch
OLD_ADDRESS_CLOSE_DELAY = 1.5  # s during which the previous address still answers after a move


class DiscoveryFeed:
    """Serves the watches of one node."""

    def __init__(self, world: Run, node: str) -> None:
        self.world, self.node = world, node
        self.watches: set[ServerConnection] = set()
        self.server = Server(world.reactor, self._watch)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.number}"

    def move(self) -> None:
        """Moves to another address; the previous one closes after a delay."""
        old_server, self.server = self.server, Server(self.world.reactor, self._watch)
        self.world.reactor.callLater(OLD_ADDRESS_CLOSE_DELAY, old_server.close)

    def message(self, listing: Listing) -> dict[str, Any]:
        """A listing in the platform's format, with the addresses at which this node reaches the workers."""
        return {
            "revision": listing.revision,
            "complete": listing.complete,
            "members": [
                {"id": p.id, "host_port": self.world.worker_servers.address(self.node, p.id),
                 "locality": p.zone, "flavor": p.kind, "cell": p.cell, "phase": PHASES[p.state], "size": 1.0,
                 "up_since_ms": p.up_since}
                for p in listing.members
            ],
        }  # fmt: skip

    def publish(self, name: str, listing: Listing) -> None:
        """Sends an update on all watches."""
        now = self.world.now()
        for endpoint in listing.members:
            self.world.checker.discovery_notified(
                now, self.node, endpoint.id, endpoint.state is m.WorkerState.SERVING
            )
            if endpoint.up_since:
                self.world.known_starts.setdefault(endpoint.id, {})[self.node] = endpoint.up_since
        for connection in list(self.watches):
            if connection.transport.connected:
                self._write(connection, listing)

    def _watch(self, connection: ServerConnection, request: http1.Request) -> None:
        connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.add(connection)
        self._write(connection, self.world.directory.full_listing())
        self._send_heartbeat(connection)

    def _write(self, connection: ServerConnection, listing: Listing) -> None:
        data = ujson.dumps(self.message(listing)).encode() + b"\n"
        connection.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _send_heartbeat(self, connection: ServerConnection) -> None:
        if connection.transport.connected:
            connection.transport.write(b"1\r\n\n\r\n")
            self.world.reactor.callLater(HEARTBEAT_INTERVAL, self._send_heartbeat, connection)
        else:
            self.watches.discard(connection)
