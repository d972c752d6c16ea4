"""The HTTP servers of an edge node with a fake node, in memory and in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.configuration.validation import parse_configuration
from bitternpath.ingress.interfaces import OperatorReply
from bitternpath.ingress.servers import build_client_server
from bitternpath.net.http1 import Response, ResponseReader
from bitternpath.shards.results import (
    Acceptance,
    AcceptResult,
    FoundMessage,
    LeaseAnswer,
    LookupFailure,
    PulledJob,
)
from bitternpath.transport.records import Message

ROUTES = [
    {"name": "plain", "host": "a.example", "path_prefix": "/p/", "timeout_ms": 1000, "service": "s"},
    {
        "name": "full",
        "host": "a.example",
        "path_prefix": "/p/full/",
        "timeout_ms": 1000,
        "service": "s",
        "ordered": True,
        "callback_url": True,
    },
]
LIMITS = {
    "max_header_bytes": 1_000,
    "max_body_bytes": 2_000,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
HEAD = b"POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"


def routing(version: int = 5) -> RoutingTable:
    document = {"version": version, "routes": ROUTES, "services": [{"name": "s"}], "limits": LIMITS}
    return RoutingTable(parse_configuration(document))


def job(request_id: str = "r9", lease_id: str = "L1") -> PulledJob:
    message = Message(
        request_id, "PUT", "a.example", "/p/%41?q=\xe9", (), "k", "plain", 5, 0, "", "e", 0, b"\x00body"
    )
    return PulledJob(lease_id, message)


class FakePull:
    """A waiting pull that the test completes."""

    def __init__(self) -> None:
        self.result: Deferred[PulledJob | None] = Deferred()
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeNode:
    """An edge node whose results the test sets."""

    def __init__(self) -> None:
        self.table: RoutingTable | None = routing()
        self.ready = True
        self.accepted: list[tuple[Message, int]] = []
        self.acceptances: list[Deferred[Acceptance]] = []
        self.found: Deferred[FoundMessage | LookupFailure] = Deferred()
        self.lookups: list[tuple[str, bool]] = []
        self.waiting_pulls: list[FakePull] = []
        self.pulls: list[tuple[str, str, int]] = []
        self.lease: LeaseAnswer | None = LeaseAnswer.ACKNOWLEDGED  # None: no response
        self.ends: list[tuple[str, str, int, str]] = []
        self.extensions: list[tuple[str, str]] = []
        self.operator_calls: list[tuple[str, str, str, bytes]] = []
        self.reply: OperatorReply | None = OperatorReply(200, b'{"version":5}')  # None: no response
        self.late_reply: Deferred[OperatorReply] = Deferred()

    def is_ready(self) -> bool:
        return self.ready

    def routing(self) -> RoutingTable | None:
        return self.table

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        self.accepted.append((message, deadline_ms))
        self.acceptances.append(Deferred())
        return self.acceptances[-1]

    def find_message(self, message_id: str, *, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        self.lookups.append((message_id, wants_body))
        return self.found

    def pull(self, service: str, instance: str, wait_ms: int) -> FakePull:
        self.pulls.append((service, instance, wait_ms))
        self.waiting_pulls.append(FakePull())
        return self.waiting_pulls[-1]

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        self.ends.append((lease_id, request_id, status, stamp))
        return Deferred() if self.lease is None else succeed(self.lease)

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        self.extensions.append((lease_id, request_id))
        return Deferred() if self.lease is None else succeed(self.lease)

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        self.operator_calls.append((method, path, if_match, body))
        return self.late_reply if self.reply is None else succeed(self.reply)


class _Handle:
    """The socket of a connection in memory; `unread` is data that has arrived but hasn't been read."""

    unread = b""

    def recv(self, size: int, flags: int) -> bytes:
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size]


class _Wire:
    """A connection in memory that records what was written and how it was closed."""

    def __init__(self) -> None:
        self.handle = _Handle()
        self.written = bytearray()
        self.disconnecting = False
        self.half_closed = False
        self.aborted = False

    def getHandle(self) -> _Handle:
        return self.handle

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", "10.0.0.1", 8069)

    getPeer = getHost

    def write(self, data: bytes) -> None:
        if not (self.disconnecting or self.half_closed or self.aborted):
            self.written.extend(data)

    def writeSequence(self, parts: Iterable[bytes]) -> None:
        self.write(b"".join(parts))

    def loseWriteConnection(self) -> None:
        self.half_closed = True

    def loseConnection(self) -> None:
        self.disconnecting = True

    def abortConnection(self) -> None:
        self.aborted = True


class Client:
    """A connection to a server, in memory."""

    def __init__(self, server: Any) -> None:
        self.channel = server.buildProtocol(None)
        self.wire = _Wire()
        self.channel.makeConnection(self.wire)

    def send(self, data: bytes, step: int = 0) -> Client:
        """Have the server read `data`, in chunks of `step` bytes unless that is 0."""
        for at in range(0, len(data), step or len(data)):
            self.channel.dataReceived(data[at : at + (step or len(data))])
        return self

    def lose(self, clean: bool = False) -> None:
        self.channel.connectionLost(Failure(ConnectionDone() if clean else ConnectionLost()))

    def responses(self) -> list[Response]:
        """All responses so far; fails if the bytes contain anything else."""
        reader = ResponseReader()
        reader.feed(bytes(self.wire.written))
        responses = []
        while (response := reader.next()) is not None:
            assert isinstance(response, Response)
            responses.append(response)
        if reader.has_partial_message:
            raise AssertionError(f"incomplete response: {self.wire.written!r}")
        return responses

    def statuses(self) -> list[int]:
        return [response.status for response in self.responses()]

    @property
    def closed(self) -> bool:
        """Whether the server sends nothing more."""
        return self.wire.disconnecting or self.wire.half_closed or self.wire.aborted


class ClientServerCase(unittest.TestCase):
    """A test case with a server for clients, in virtual time."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.node = FakeNode()
        self.server = self.new_server()

    def new_server(self, max_connections: int = 100) -> Any:
        return build_client_server(
            self.node, self.clock, origin="edge-1", max_connections=max_connections, wall_ms=lambda: 77
        )

    def client(self) -> Client:
        return Client(self.server)

    def send(self, data: bytes, step: int = 0) -> Client:
        return self.client().send(data, step)

    def accept(self, index: int = -1, message_id: str = "m-1") -> None:
        self.node.acceptances[index].callback(Acceptance(AcceptResult.ACCEPTED, message_id))
