"""HTTP/1.1 for the world around the system: one call on a connection of its own, and small servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from bitternpath.net.http1 import (
    HttpError,
    Request,
    RequestReader,
    Response,
    ResponseReader,
    request,
    response,
)

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 4  # for which servers keep an idle connection, as they say in `Keep-Alive`

Handler = Callable[[Request, "ServerConnection"], "Deferred[Reply]"]


@dataclass(frozen=True, slots=True)
class Call:
    """A request to send. Header names are as written."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer. Header names are in lower case in answers that were read."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Unanswered(Enum):
    """Why there is no whole answer."""

    NO_CONNECTION = "no connection"  # nothing was sent
    CLOSED = "closed"
    SILENT = "silent"
    MALFORMED = "malformed"


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def send_call(reactor: Any, address: str, call: Call, timeout_s: float) -> Deferred[Reply | Unanswered]:
    """Send one request on a new connection; never fails."""
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

    protocol = _CallProtocol(address, call)
    timer = reactor.callLater(timeout_s, protocol.finish, Unanswered.SILENT)
    host, port = split_address(address)
    endpoint: Any = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT_S)
    connecting: Any = connectProtocol(endpoint, protocol)  # type: ignore[no-untyped-call]
    connecting.addErrback(protocol.not_connected)

    def ended(answer: Reply | Unanswered) -> Reply | Unanswered:
        if timer.active():
            timer.cancel()
        return answer

    return protocol.answer.addCallback(ended)


class _CallProtocol(Protocol):
    """One request and its answer."""

    transport: Any = None

    def __init__(self, address: str, call: Call) -> None:
        self.answer: Deferred[Reply | Unanswered] = Deferred()
        self._call, self._address = call, address
        self._reader = ResponseReader(None)
        self._done = False

    def connectionMade(self) -> None:
        if self._done:
            self.transport.abortConnection()
            return
        headers = {"Host": self._address, **self._call.headers}
        lines = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()]
        call = self._call
        self.transport.setTcpNoDelay(True)
        self.transport.write(request(call.method.encode(), call.target.encode("latin-1"), lines, call.body))

    def dataReceived(self, data: bytes) -> None:
        if self._done:
            return
        try:
            self._reader.feed(data)
            answer = self._reader.next()
        except HttpError:
            self.finish(Unanswered.MALFORMED)
            return
        if isinstance(answer, Response):
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in answer.headers.items()}
            self.finish(Reply(answer.status, headers, answer.body))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.finish(Unanswered.CLOSED)

    def not_connected(self, failure: Failure) -> None:
        """There is no connection."""
        failure.trap(ConnectError)  # type: ignore[no-untyped-call]
        self.finish(Unanswered.NO_CONNECTION)

    def finish(self, answer: Reply | Unanswered) -> None:
        """Give the result, once, and close."""
        if self._done:
            return
        self._done = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif answer is Unanswered.SILENT:
            answer = Unanswered.NO_CONNECTION
        self.answer.callback(answer)


class ServerConnection(Protocol, TimeoutMixin):
    """A connection of a small server: one request at a time, kept while it is used."""

    transport: Any

    def __init__(self, handler: Handler, reactor: Any) -> None:
        self._handler = handler
        self._reactor = reactor
        self._reader = RequestReader()
        self._running: Deferred[Any] | None = None
        self.on_lost: Callable[[], None] | None = None  # hears the end of the connection
        self.closed = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.setTimeout(KEEP_ALIVE_S)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:
        self._reader.feed(data)
        self._next()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.closed = True
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        if self.on_lost is not None:
            self.on_lost()

    def callLater(self, period: float, func: Callable[[], object]) -> Any:
        """The time-out's clock (see `TimeoutMixin`)."""
        return self._reactor.callLater(period, func)

    def timeoutConnection(self) -> None:
        self.transport.loseConnection()

    def _next(self) -> None:
        if self._running is not None:
            return
        try:
            message = self._reader.next()
        except HttpError:
            self.transport.abortConnection()
            return
        if isinstance(message, Request):
            self.setTimeout(None)  # type: ignore[no-untyped-call]
            self._running = self._handler(message, self)
            self._running.addCallbacks(self._answered, self._failed)

    def _answered(self, reply: Reply) -> None:
        self._running = None
        headers = {"Keep-Alive": f"timeout={KEEP_ALIVE_S}", **reply.headers}
        lines = tuple((name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items())
        self.transport.write(response(reply.status, reply.body, lines))
        self.setTimeout(KEEP_ALIVE_S)  # type: ignore[no-untyped-call]
        self._next()

    def _failed(self, failure: Failure) -> None:
        self._running = None
        self.transport.abortConnection()


class ServerFactory(Factory):
    """Makes the connections of a small server."""

    noisy = False

    def __init__(self, handler: Handler, reactor: Any) -> None:
        self._handler, self._reactor = handler, reactor

    def buildProtocol(self, addr: Any) -> ServerConnection:
        return ServerConnection(self._handler, self._reactor)


def serve(reactor: Any, host: str, handler: Handler, port_number: int = 0) -> tuple[Any, str]:
    """Listen on a port of `host`, a free one if none is given; the port object and its address."""
    port = reactor.listenTCP(port_number, ServerFactory(handler, reactor), interface=host)
    return port, f"{host}:{port.getHost().port}"
