"""The operators' console: one HTTP/1.1 request per connection (DAYS, 'Where operators call').

Every response is due within 1 s under any load, so nothing here blocks: a request is answered in the reactor
turn in which its last byte is read. The number of connections without a complete request is limited, and the
oldest is closed first, so they never block a complete request. Imported only if the node has a console
address.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.net import http1
from bitternpath.net.sockets import BurstPort

log = structlog.get_logger(part="console")

MAX_CONSOLE_CONNECTIONS = 24  # concurrent connections; as many descriptors are reserved
# s to receive a complete request. Twice the 1 s in which responses are due: after a stall of the process,
# timers expire before sockets are read, and unread input must not be taken for an incomplete request.
CALL_TIMEOUT = 2.0
RECENT_CONNECTION_AGE = 0.1  # s: the request of a younger connection may be in transit
LINGER_TIMEOUT = 0.5  # s in which the rest of a rejected request is discarded, so that the response arrives
BODY_LIMIT = 1024  # bytes; a body contains one id
BACKLOG = 256
TEXT_HEADERS = ((b"Content-Type", b"text/plain; charset=utf-8"),)

_VISIBLE_ASCII_ID = re.compile(rb"[\x21-\x7e]{1,200}")


@dataclass(slots=True, frozen=True)
class ConsoleResponse:
    """Status, body and header fields of a response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = TEXT_HEADERS


CallHandler = Callable[[bytes], ConsoleResponse]  # called with the body of the request
Routes = Mapping[bytes, tuple[bytes, CallHandler]]  # path: method and handler


def parse_id(body: bytes) -> str:
    """Return the id in a body without surrounding white space; ValueError if the body is not one id."""
    id = body.strip()
    if not _VISIBLE_ASCII_ID.fullmatch(id):
        raise ValueError("the body must be one id: 1 to 200 visible ASCII characters")
    return id.decode()


def dispatch(routes: Routes, call: http1.Request) -> ConsoleResponse:
    """Call the handler for a complete request and return its response."""
    method, handle = routes.get(call.path, (b"", None))
    if handle is None:
        return ConsoleResponse(404, b"no such path; allowed are " + b", ".join(routes) + b"\n")
    if call.method != method:
        return ConsoleResponse(405, b"allowed is " + method + b"\n", ((b"Allow", method),))
    try:
        return handle(call.body)
    except ValueError as error:
        return ConsoleResponse(400, f"{error}\n".encode())


class ConsoleConnection(Protocol):
    """One connection with one request; input after the request is ignored."""

    transport: Any

    def __init__(self, console: Console) -> None:
        self.console = console
        self.reader = http1.RequestReader(BODY_LIMIT)
        self.timer: Any = None
        self.opened_at = console.reactor.seconds()
        self.finished = False  # a response was sent, or the connection is closed

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.timer = self.console.reactor.callLater(CALL_TIMEOUT, self.timed_out)
        self.console.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        if self.finished:
            return
        self.reader.feed(data)
        try:
            call = self.reader.next()
            head = self.reader.incomplete_message()
            if head is not None and head.headers.pop(b"expect", b"").lower() == b"100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        except http1.HttpError as error:
            self.respond(ConsoleResponse(error.status, f"{error}\n".encode()))
            return
        if isinstance(call, http1.Request):
            try:
                self.respond(dispatch(self.console.routes, call))
            except Exception:
                log.exception("console_call_failed", path=call.path.decode("latin-1"))
                self.respond(ConsoleResponse(500))

    def timed_out(self) -> None:
        """Handle an overdue request, or the end of the linger time after a response."""
        self.timer = None
        if self.finished:
            self.transport.abortConnection()
        elif self.reader.has_partial_message:
            self.respond(ConsoleResponse(408, b"a call must arrive whole within %g s\n" % CALL_TIMEOUT))
        else:
            self.drop()

    def respond(self, response: ConsoleResponse) -> None:
        """Write the response; further input is discarded for LINGER_TIMEOUT."""
        self.finished = True
        self.transport.write(
            http1.response(response.status, response.body, response.headers, keep_alive=False)
        )
        self.transport.loseWriteConnection()
        self.console.response_written(self)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.console.reactor.callLater(LINGER_TIMEOUT, self.timed_out)

    def drop(self) -> None:
        """Close without a response."""
        self.finished = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.console.connection_closed(self)


class Console(Factory):
    """Accepts the connections to the console's address.

    `address` is host and port; `routes` maps a path to its method and handler.
    """

    noisy = False

    def __init__(self, reactor: Any, address: tuple[str, int], routes: Routes) -> None:
        self.reactor = reactor
        self.address = address
        self.routes = routes
        # Connections with and without a response, each oldest first.
        self.answered: OrderedDict[ConsoleConnection, None] = OrderedDict()
        self.unanswered: OrderedDict[ConsoleConnection, None] = OrderedDict()
        self.port: Any = None

    def listen(self) -> None:
        """Listen on the console's address."""
        factory: Any = self
        host, port = self.address
        self.port = BurstPort(port, factory, BACKLOG, host, self.reactor)
        self.port.startListening()

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return ConsoleConnection(self)

    def connection_opened(self, connection: ConsoleConnection) -> None:
        """Register a new connection; above the limit close the oldest one without a response.

        If even that one is recent, the oldest connection that has its response is closed instead.
        """
        self.unanswered[connection] = None
        if len(self.unanswered) + len(self.answered) > MAX_CONSOLE_CONNECTIONS:
            oldest = next(iter(self.unanswered))
            if self.answered and oldest.opened_at > self.reactor.seconds() - RECENT_CONNECTION_AGE:
                oldest = next(iter(self.answered))
            self.connection_closed(oldest)
            oldest.drop()

    def response_written(self, connection: ConsoleConnection) -> None:
        """Record that a connection has its response."""
        self.unanswered.pop(connection, None)
        self.answered[connection] = None

    def connection_closed(self, connection: ConsoleConnection) -> None:
        """Unregister a closed connection."""
        self.unanswered.pop(connection, None)
        self.answered.pop(connection, None)
