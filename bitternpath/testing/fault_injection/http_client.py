"""An HTTP/1.1 client for the test environment: one connection per call, without retries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.net.http1 import HttpError, Response, ResponseReader, request

CONNECT_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class Call:
    """A request to send. Header names are sent as written."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete answer. Header names of received answers are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class CallFailure(Enum):
    """The reason why there is no complete answer."""

    NO_CONNECTION = "no connection"  # nothing was sent
    CLOSED = "closed"
    TIMED_OUT = "timed out"
    MALFORMED = "malformed"


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def send_call(reactor: Any, address: str, call: Call, timeout_s: float) -> Deferred[Reply | CallFailure]:
    """Send one request on a new connection; the Deferred never fails."""
    from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

    protocol = _CallProtocol(address, call)
    timer = reactor.callLater(timeout_s, protocol.finish, CallFailure.TIMED_OUT)
    host, port = split_address(address)
    endpoint: Any = TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT_S)
    connecting: Any = connectProtocol(endpoint, protocol)  # type: ignore[no-untyped-call]
    connecting.addErrback(protocol.connection_failed)

    def stop_timer(answer: Reply | CallFailure) -> Reply | CallFailure:
        if timer.active():
            timer.cancel()
        return answer

    return protocol.answer.addCallback(stop_timer)


class _CallProtocol(Protocol):
    """One request and its answer."""

    transport: Any = None

    def __init__(self, address: str, call: Call) -> None:
        self.answer: Deferred[Reply | CallFailure] = Deferred()
        self._call = call
        self._address = address
        self._reader = ResponseReader(None)
        self._finished = False

    def connectionMade(self) -> None:
        if self._finished:
            self.transport.abortConnection()
            return
        headers = {"Host": self._address, **self._call.headers}
        header_fields = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()]
        call = self._call
        self.transport.setTcpNoDelay(True)
        self.transport.write(
            request(call.method.encode(), call.target.encode("latin-1"), header_fields, call.body)
        )

    def dataReceived(self, data: bytes) -> None:
        if self._finished:
            return
        try:
            self._reader.feed(data)
            answer = self._reader.next()
        except HttpError:
            self.finish(CallFailure.MALFORMED)
            return
        if isinstance(answer, Response):
            headers = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in answer.headers.items()
            }
            self.finish(Reply(answer.status, headers, answer.body))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.finish(CallFailure.CLOSED)

    def connection_failed(self, failure: Failure) -> None:
        """Handle a failed connection attempt."""
        failure.trap(ConnectError)  # type: ignore[no-untyped-call]
        self.finish(CallFailure.NO_CONNECTION)

    def finish(self, answer: Reply | CallFailure) -> None:
        """Fire the result and close the connection; later calls have no effect."""
        if self._finished:
            return
        self._finished = True
        if self.transport is not None:
            self.transport.abortConnection()
        elif answer is CallFailure.TIMED_OUT:
            answer = CallFailure.NO_CONNECTION
        self.answer.callback(answer)
