"""Where operators call: one HTTP/1.1 call a connection (DAYS, 'Where operators call').

Every answer is due within 1 s under any load, so that nothing here waits for anything: a call is answered
in the turn in which its last byte is read. Callers that send nothing or half a call are bounded in number,
and the one that has been silent for longest goes first; a whole call is never kept out by them. Imported
only where the node has a console address.
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

CALLERS = 24  # connections at once; as many descriptors are kept for them
# s for a call to arrive whole. Twice the second in which answers are due: after a stall of the process its
# timers ring before its sockets are read, and what waits there unread must not pass for half a call.
CALL_WITHIN = 2.0
FRESH = 0.1  # s: who connected so lately is not silent yet, the call may be on the way
LINGER = 0.5  # s in which the rest of a bad call is read and dropped, so that the answer to it arrives
BODY_LIMIT = 1024  # bytes: a body is one id
BACKLOG = 256
TEXT = ((b"Content-Type", b"text/plain; charset=utf-8"),)

_ID = re.compile(rb"[\x21-\x7e]{1,200}")


@dataclass(slots=True, frozen=True)
class Answer:
    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = TEXT


Call = Callable[[bytes], Answer]  # takes the body
Routes = Mapping[bytes, tuple[bytes, Call]]  # path: method, what answers it


def one_id(body: bytes) -> str:
    """The id that a body holds, white space around it apart; ValueError where it is not one id."""
    found = body.strip()
    if not _ID.fullmatch(found):
        raise ValueError("the body must be one id: 1 to 200 visible ASCII characters")
    return found.decode()


def answer(routes: Routes, call: http1.Request) -> Answer:
    """What is owed to a whole call."""
    method, serve = routes.get(call.path, (b"", None))
    if serve is None:
        return Answer(404, b"no such path; allowed are " + b", ".join(routes) + b"\n")
    if call.method != method:
        return Answer(405, b"allowed is " + method + b"\n", ((b"Allow", method),))
    try:
        return serve(call.body)
    except ValueError as error:
        return Answer(400, f"{error}\n".encode())


class Caller(Protocol):
    """One connection, one call. What comes after it is not a second one."""

    transport: Any

    def __init__(self, console: Console) -> None:
        self.console = console
        self.reader = http1.RequestReader(BODY_LIMIT)
        self.timer: Any = None
        self.since = console.reactor.seconds()
        self.over = False  # has been answered

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.timer = self.console.reactor.callLater(CALL_WITHIN, self.too_slow)
        self.console.joined(self)

    def dataReceived(self, data: bytes) -> None:
        if self.over:
            return
        self.reader.feed(data)
        try:
            call = self.reader.next()
            head = self.reader.awaited()
            if head is not None and head.headers.pop(b"expect", b"").lower() == b"100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        except http1.HttpError as error:
            self.tell(Answer(error.status, f"{error}\n".encode()))
            return
        if isinstance(call, http1.Request):
            try:
                self.tell(answer(self.console.routes, call))
            except Exception:
                log.exception("call failed", path=call.path.decode("latin-1"))
                self.tell(Answer(500))

    def too_slow(self) -> None:
        self.timer = None
        if self.over:
            self.transport.abortConnection()
        elif self.reader.begun:
            self.tell(Answer(408, b"a call must arrive whole within %g s\n" % CALL_WITHIN))
        else:
            self.drop()

    def tell(self, told: Answer) -> None:
        self.over = True
        self.transport.write(http1.response(told.status, told.body, told.headers, keep_alive=False))
        self.transport.loseWriteConnection()
        self.console.told(self)
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.console.reactor.callLater(LINGER, self.too_slow)

    def drop(self) -> None:
        self.over = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.console.left(self)


class Console(Factory):
    """All connections to the console's address."""

    noisy = False

    def __init__(self, reactor: Any, where: tuple[str, int], routes: Routes) -> None:
        self.reactor, self.where, self.routes = reactor, where, routes
        # Those that were answered and those that were not, each the oldest first.
        self.answered: OrderedDict[Caller, None] = OrderedDict()
        self.silent: OrderedDict[Caller, None] = OrderedDict()
        self.port: Any = None

    def listen(self) -> None:
        factory: Any = self
        host, port = self.where
        self.port = BurstPort(port, factory, BACKLOG, host, self.reactor)
        self.port.startListening()

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return Caller(self)

    def joined(self, caller: Caller) -> None:
        self.silent[caller] = None
        if len(self.silent) + len(self.answered) > CALLERS:
            oldest = next(iter(self.silent))
            if self.answered and oldest.since > self.reactor.seconds() - FRESH:
                oldest = next(iter(self.answered))
            self.left(oldest)
            oldest.drop()

    def told(self, caller: Caller) -> None:
        self.silent.pop(caller, None)
        self.answered[caller] = None

    def left(self, caller: Caller) -> None:
        self.silent.pop(caller, None)
        self.answered.pop(caller, None)
