"""Connections that carry the fleet's messages, framed as in messages.py (Twisted)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from bitternpath.balancer.fleet import messages as m

log = structlog.get_logger(part="fleet")

MAX_UNREAD_BYTES = 4 << 20  # bytes sent while the peer does not read, beyond which the connection is aborted
HELLO_TIMEOUT = 3.0  # s from connecting to the peer's first message


@implementer(IPushProducer)
class FleetConnection(Protocol):
    """One connection of the fleet's protocol.

    `receive` gets the peer's `Hello` and then every message; `lost` is called once, when it is closed.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        hello: m.Hello,
        receive: Callable[[FleetConnection, m.FleetMessage], None],
        lost: Callable[[FleetConnection], None],
    ) -> None:
        self.reactor, self.hello, self._receive, self._lost = reactor, hello, receive, lost
        self.server_name = ""  # of the server connected to, on the client's side
        self.decoder = m.FrameDecoder()
        self.peer: m.Hello | None = None  # what the peer sent as its identity
        self.is_open = self.paused = False
        self.unread_bytes = 0  # bytes sent since the transport was paused
        self._hello_timer: Any = None

    def connectionMade(self) -> None:
        self.is_open = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._hello_timer = self.reactor.callLater(HELLO_TIMEOUT, self.abort, "no first message in time")
        self.send(self.hello)

    # Registered as a push producer only to learn whether the peer reads: messages are not produced here.

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused, self.unread_bytes = False, 0

    def stopProducing(self) -> None:
        self.paused = True

    def send(self, message: m.FleetMessage) -> None:
        if not self.is_open:
            return
        data = m.encode_frame(message)
        if self.paused:
            self.unread_bytes += len(data)
            if self.unread_bytes > MAX_UNREAD_BYTES:
                self.abort(f"has not read {self.unread_bytes} bytes")
                return
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        try:
            for message in self.decoder.feed(data):
                if not self.is_open:
                    return
                if self.peer is None and not self._accept_hello(message):
                    return
                self._receive(self, message)
        except m.WireError as error:
            self.abort(str(error))

    def _accept_hello(self, message: m.FleetMessage) -> bool:
        refusal = ""
        if isinstance(message, m.Refused):
            self.abort(f"rejected this side: {message.reason}")
            return False
        if not isinstance(message, m.Hello):
            refusal = "the first message must be hello"
        elif message.version != m.PROTOCOL_VERSION:
            refusal = (
                f"protocol version {message.version} of the fleet's messages; "
                f"this side supports {m.PROTOCOL_VERSION}"
            )
        elif message.fleet and self.hello.fleet and message.fleet != self.hello.fleet:
            refusal = "another fleet"
        else:
            self.peer = message
            self._hello_timer.cancel()
            return True
        log.warning("connection_refused", peer=str(self.transport.getPeer()), why=refusal)
        self.send(m.Refused(refusal))
        self.close()
        return False

    def abort(self, reason: str) -> None:
        """Abort the connection, and log the reason in one line."""
        if self.is_open:
            peer = self.peer.name if self.peer is not None else str(self.transport.getPeer())
            log.warning("connection_aborted", peer=peer, why=reason)
            self.is_open = False
            self.transport.abortConnection()

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_open = False
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()
        self._lost(self)
