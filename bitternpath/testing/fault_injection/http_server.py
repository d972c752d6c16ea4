"""An HTTP/1.1 server for the workers, the endpoint list and the call-back receiver."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from bitternpath.net.http1 import HttpError, Request, RequestReader, response
from bitternpath.testing.fault_injection.http_client import Reply

KEEP_ALIVE_S = 4  # time until an idle connection is closed, announced in `Keep-Alive`

Handler = Callable[[Request, "ServerConnection"], "Deferred[Reply]"]


class ServerConnection(Protocol, TimeoutMixin):
    """A persistent connection of a server; handles one request at a time."""

    transport: Any

    def __init__(self, handler: Handler, reactor: Any) -> None:
        self._handler = handler
        self._reactor = reactor
        self._reader = RequestReader()
        self._pending_reply: Deferred[Any] | None = None
        self.on_lost: Callable[[], None] | None = None  # called when the connection ends
        self.closed = False

    def connectionMade(self) -> None:
        """Start the idle time-out."""
        self.transport.setTcpNoDelay(True)
        self.setTimeout(KEEP_ALIVE_S)  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:
        """Handle each request as soon as it is complete."""
        self._reader.feed(data)
        self._handle_next()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the request that is being handled."""
        self.closed = True
        self.setTimeout(None)  # type: ignore[no-untyped-call]
        pending_reply = self._pending_reply
        self._pending_reply = None
        if pending_reply is not None:
            pending_reply.cancel()
        if self.on_lost is not None:
            self.on_lost()

    def callLater(self, period: float, func: Callable[[], object]) -> Any:
        """Schedule the time-out on the reactor of the test environment (see `TimeoutMixin`)."""
        return self._reactor.callLater(period, func)

    def timeoutConnection(self) -> None:
        """Close an idle connection."""
        self.transport.loseConnection()

    def _handle_next(self) -> None:
        if self._pending_reply is not None:
            return
        try:
            message = self._reader.next()
        except HttpError:
            self.transport.abortConnection()
            return
        if isinstance(message, Request):
            self.setTimeout(None)  # type: ignore[no-untyped-call]
            self._pending_reply = self._handler(message, self)
            self._pending_reply.addCallbacks(self._send_reply, self._failed)

    def _send_reply(self, reply: Reply) -> None:
        self._pending_reply = None
        headers = {"Keep-Alive": f"timeout={KEEP_ALIVE_S}", **reply.headers}
        header_fields = tuple(
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers.items()
        )
        self.transport.write(response(reply.status, reply.body, header_fields))
        self.setTimeout(KEEP_ALIVE_S)  # type: ignore[no-untyped-call]
        self._handle_next()

    def _failed(self, failure: Failure) -> None:
        self._pending_reply = None
        self.transport.abortConnection()


class ServerFactory(Factory):
    """Creates the connections of a server."""

    noisy = False

    def __init__(self, handler: Handler, reactor: Any) -> None:
        self._handler = handler
        self._reactor = reactor

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Return a connection that passes requests to the handler."""
        return ServerConnection(self._handler, self._reactor)


def serve(reactor: Any, host: str, handler: Handler, port_number: int = 0) -> tuple[Any, str]:
    """Listen on a port of `host` (0: a free one); return the port object and its address."""
    port = reactor.listenTCP(port_number, ServerFactory(handler, reactor), interface=host)
    return port, f"{host}:{port.getHost().port}"
