"""The operators' console: one HTTP/1.1 call a connection (DAYS, 'Where operators call').

Every answer is due within 1 s under any load, so nothing here blocks: a call is answered in the reactor turn
in which its last byte is read. Connections without a complete call are bounded in number, and the one that
has been silent for longest is closed first; they never keep a complete call out. Imported only where the node
has a console address.
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

MAX_CONSOLE_CONNECTIONS = 24  # connections at once; as many descriptors are kept for them
# s for a call to arrive completely. Twice the second in which answers are due: after a stall of the process
# timers expire before sockets are read, and unread input must not pass for half a call.
CALL_TIMEOUT = 2.0
RECENT_CONNECTION_AGE = 0.1  # s: a connection younger than that is not silent yet, its call may be on the way
LINGER_TIMEOUT = (
    0.5  # s in which the rest of a bad call is read and dropped, so that the answer to it arrives
)
BODY_LIMIT = 1024  # bytes: a body is one id
BACKLOG = 256
TEXT_HEADERS = ((b"Content-Type", b"text/plain; charset=utf-8"),)

_VISIBLE_ASCII_ID = re.compile(rb"[\x21-\x7e]{1,200}")


@dataclass(slots=True, frozen=True)
class ConsoleResponse:
    """The answer to a call."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = TEXT_HEADERS


CallHandler = Callable[[bytes], ConsoleResponse]  # takes the body
Routes = Mapping[bytes, tuple[bytes, CallHandler]]  # path: method, what answers it


def parse_id(body: bytes) -> str:
    """The id in a body, without surrounding white space; ValueError where the body is not one id."""
    id = body.strip()
    if not _VISIBLE_ASCII_ID.fullmatch(id):
        raise ValueError("the body must be one id: 1 to 200 visible ASCII characters")
    return id.decode()


def dispatch(routes: Routes, call: http1.Request) -> ConsoleResponse:
    """Answer a complete call."""
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
    """One connection with one call; input after the call is ignored."""

    transport: Any

    def __init__(self, console: Console) -> None:
        self.console = console
        self.reader = http1.RequestReader(BODY_LIMIT)
        self.timer: Any = None
        self.opened_at = console.reactor.seconds()
        self.finished = False  # has been answered

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
        """The call is overdue, or the time to linger after the answer is over."""
        self.timer = None
        if self.finished:
            self.transport.abortConnection()
        elif self.reader.has_partial_message:
            self.respond(ConsoleResponse(408, b"a call must arrive whole within %g s\n" % CALL_TIMEOUT))
        else:
            self.drop()

    def respond(self, response: ConsoleResponse) -> None:
        """Write the answer; the rest of the input is read and dropped for a while."""
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
        """Close without an answer."""
        self.finished = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.console.connection_closed(self)


class Console(Factory):
    """All connections to the console's address.

    `where` is host and port; `routes` maps a path to its method and the function that answers it.
    """

    noisy = False

    def __init__(self, reactor: Any, address: tuple[str, int], routes: Routes) -> None:
        self.reactor = reactor
        self.address = address
        self.routes = routes
        # Those that were answered and those that were not, each the oldest first.
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
        """A caller has connected; above the limit another one is closed."""
        self.unanswered[connection] = None
        if len(self.unanswered) + len(self.answered) > MAX_CONSOLE_CONNECTIONS:
            oldest = next(iter(self.unanswered))
            if self.answered and oldest.opened_at > self.reactor.seconds() - RECENT_CONNECTION_AGE:
                oldest = next(iter(self.answered))
            self.connection_closed(oldest)
            oldest.drop()

    def response_written(self, connection: ConsoleConnection) -> None:
        """A caller has been answered."""
        self.unanswered.pop(connection, None)
        self.answered[connection] = None

    def connection_closed(self, connection: ConsoleConnection) -> None:
        """A caller's connection is gone."""
        self.unanswered.pop(connection, None)
        self.answered.pop(connection, None)
