"""The server side of one HTTP/1.1 connection: strict parsing, limits, time-outs and closing.

`StrictChannel` restricts `twisted.web.http.HTTPChannel`: a request that two parsers could interpret
differently (RFC 9112, sections 6.1, 6.3 and 11.2) gets a single error response, after which nothing more is
read.

Phases of a connection (`Phase`), with the events that end each phase and its time-out:

    IDLE        the first byte of a head -> HEAD; idle time-out or shutdown -> CLOSING
    HEAD        a complete head -> BODY; an error, or 408 after the header time-out -> CLOSING
    BODY        a complete body -> RESPONDING; an error, or 408 after the idle time-out -> CLOSING
    RESPONDING  a complete response -> IDLE, or CLOSING if the connection isn't persistent; no time-out
    CLOSING     final: what was written is flushed, then the connection ends, at the latest after
                `FLUSH_TIMEOUT_S`, or `LINGER_S` after an error
"""

from __future__ import annotations

from enum import Enum
from typing import Any, Protocol

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.web.http import RESPONSES, HTTPChannel
from zope.interface import implementer

from bitternpath.configuration.documents import RequestLimits
from bitternpath.ingress.http_requests import HttpRequest
from bitternpath.net.sockets import peek

LINGER_S = 1.0  # after an error, input is discarded for this long, since a reset could destroy the response
FLUSH_TIMEOUT_S = 5.0  # the connection is aborted if a peer hasn't read its response by then
DRAINING_READ_TIMEOUT_S = 2.0  # during a shutdown, the rest of a request must arrive within this
MAX_LENGTH_DIGITS = 15  # of Content-Length; more digits can't be a real size


class Phase(Enum):
    """The phase of a connection."""

    IDLE = "between requests"
    HEAD = "reading a head"
    BODY = "reading a body"
    RESPONDING = "a request has been read; its response is awaited or written"
    CLOSING = "closing; nothing more is read"


class ChannelSite(Protocol):
    """What a connection needs from its server; implemented by `http_server.HttpServer`."""

    channels: dict[StrictChannel, None]  # the open connections, in the order in which they were made
    closing: bool  # whether the server is shutting down

    def limits(self) -> RequestLimits:
        """The limits for requests that are read from now on."""

    def channel_lost(self) -> None:
        """Called when a connection has ended and has been removed from `channels`."""


@implementer(IHalfCloseableProtocol)
class StrictChannel(HTTPChannel):
    """One connection from a client. Reads one request at a time; pipelined requests wait."""

    site: ChannelSite
    transport: Any
    timeOut: Any = None  # seconds or None; `TimeoutMixin` declares int, but fractions work as well

    def __init__(self) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.phase = Phase.IDLE
        self.body_bytes_left = 0  # bytes that the body may still have
        self._head_bytes_left = 0  # bytes that the head may still have
        self._rejected = False  # an error response was written
        self._read_closed = False  # the peer has closed its sending side

    def connectionMade(self) -> None:
        """Start in the phase IDLE."""
        super().connectionMade()  # type: ignore[no-untyped-call]
        self.site.channels[self] = None
        self._enter(Phase.IDLE)

    # ---- reading

    def dataReceived(self, data: bytes) -> None:
        """Read received data, unless the connection is being closed after an error."""
        if self._rejected:
            return
        if self.phase is Phase.BODY:
            self.setTimeout(self._body_timeout())  # type: ignore[no-untyped-call]
        LineReceiver.dataReceived(self, data)  # type: ignore[no-untyped-call]
        self._begin_head_if_buffered()

    def lineReceived(self, line: bytes) -> None:
        """Read a line of a head, within the limit for heads; line folding (RFC 9112, 5.2) is an error."""
        if self._rejected:
            return
        if self.phase is Phase.IDLE and line:
            self._begin_head()
        if self.phase is Phase.HEAD:
            self._head_bytes_left -= len(line) + 2
            if self._head_bytes_left < 0:
                self.reject(431)
                return
            if line[:1] in (b" ", b"\t"):
                self.reject(400)
                return
        super().lineReceived(line)  # type: ignore[no-untyped-call]

    def lineLengthExceeded(self, _: bytes) -> None:
        """Reject a head with a line over the limit."""
        self.reject(431)

    def rawDataReceived(self, data: bytes) -> None:
        """Read a part of a body; discard it after an error."""
        if not self._rejected:
            super().rawDataReceived(data)

    def _begin_head(self) -> None:
        limits = self.site.limits()
        self._head_bytes_left = limits.max_header_bytes
        self.body_bytes_left = limits.max_body_bytes
        self.MAX_LENGTH = limits.max_header_bytes
        self.totalHeadersSize = limits.max_header_bytes
        self._enter(Phase.HEAD)

    def _begin_head_if_buffered(self) -> None:
        if self.phase is Phase.IDLE and self._buffer:
            self._begin_head()

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:
        """Choose the framing of the body; False rejects the request (a hook of `HTTPChannel`)."""
        length_is_bad = header == b"Content-Length" and len(data) > MAX_LENGTH_DIGITS
        coding_is_bad = header == b"Transfer-Encoding" and (
            data.lower() != b"chunked" or self._version != b"HTTP/1.1"
        )
        if length_is_bad or coding_is_bad:
            self.reject(400)
            return False
        return bool(super()._maybeChooseTransferDecoder(header, data))  # type: ignore[no-untyped-call]

    def allHeadersReceived(self) -> None:
        """Check what only a complete head shows: a single `Host`, and a length within the limit."""
        request = self.requests[-1]
        hosts = request.requestHeaders.getRawHeaders(b"Host", ())
        if len(hosts) > 1 or (not hosts and self._version == b"HTTP/1.1"):
            self.reject(400)
            return
        if self.length is not None and self.length > self.body_bytes_left:
            self.reject(413)
            return
        self._enter(Phase.BODY)
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def allContentReceived(self) -> None:
        """Process a request that is complete."""
        if not self._rejected:
            self._enter(Phase.RESPONDING)
            super().allContentReceived()  # type: ignore[no-untyped-call]

    def checkPersistence(self, request: HttpRequest, version: bytes) -> bool:
        """Whether the connection stays open after the response."""
        values = request.requestHeaders.getRawHeaders(b"Connection", ())
        options = {option.strip().lower() for value in values for option in value.split(b",")}
        return version == b"HTTP/1.1" and b"close" not in options

    # ---- responding

    def before_response(self, request: HttpRequest) -> None:
        """Decide, before the head of the response to `request` is written, whether the connection closes."""
        pipelined = bool(self._dataBuffer)
        if self._read_closed or (self.site.closing and not pipelined):
            self.persistent = False
        if not self.persistent:
            request.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def requestDone(self, request: HttpRequest) -> None:
        """Called when a response is complete; reads the next request."""
        self._enter(Phase.IDLE)
        super().requestDone(request)  # type: ignore[no-untyped-call]
        self._begin_head_if_buffered()

    def reject(self, status: int) -> None:
        """Respond to a request that can't be parsed, and close the connection without reading the rest."""
        if self._rejected:
            return
        self._rejected = True
        self.persistent = False
        self.setRawMode()  # type: ignore[no-untyped-call]
        reason = RESPONSES.get(status, b"Error")
        head = b"HTTP/1.1 %d %b\r\nContent-Length: 0\r\nConnection: close\r\n\r\n" % (status, reason)
        self.transport.write(head)
        self._networkProducer.unregisterProducer()
        self._enter(Phase.CLOSING, LINGER_S)
        if self._read_closed:
            self.loseConnection()
        else:
            self.transport.loseWriteConnection()

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Reject a request that Twisted finds malformed (a hook of `HTTPChannel`)."""
        self.reject(400)

    # ---- time-outs and closing

    def begin_shutdown(self) -> None:
        """Close an idle connection now, any other one after the pending response."""
        if self.phase is Phase.IDLE and not self._has_unread_input():
            self.loseConnection()
        elif self.phase in (Phase.IDLE, Phase.HEAD, Phase.BODY):
            self.setTimeout(DRAINING_READ_TIMEOUT_S)  # type: ignore[no-untyped-call]

    def answer_pending(self) -> None:
        """Send the fallback response to the pending request and those pipelined after it; then close."""
        answered: HttpRequest | None = None
        while self.phase is Phase.RESPONDING and self.requests[0] is not answered:
            answered = self.requests[0]
            answered.reply_fallback()
        if self.phase not in (Phase.RESPONDING, Phase.CLOSING):
            self.loseConnection()

    def loseConnection(self) -> None:
        """Close once everything that was written is sent, or after the flush time-out."""
        self._enter(Phase.CLOSING, FLUSH_TIMEOUT_S)
        super().loseConnection()  # type: ignore[no-untyped-call]

    def timeoutConnection(self) -> None:
        """Called when the time-out of the current phase has expired."""
        if self.phase in (Phase.HEAD, Phase.BODY):
            self.reject(408)
        elif self.phase is Phase.CLOSING:
            self.transport.abortConnection()
        elif self._has_unread_input():
            self.setTimeout(DRAINING_READ_TIMEOUT_S)  # type: ignore[no-untyped-call]
        else:
            self.loseConnection()

    def readConnectionLost(self) -> None:
        """Called when the peer has closed its sending side; it may still wait for its response."""
        self._read_closed = True
        if self.phase is not Phase.RESPONDING or self.requests[0].needs_open_peer:
            self.loseConnection()

    def writeConnectionLost(self) -> None:
        """Called after this side's half-close following an error; the linger time is running."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Called when the connection has ended, on whichever side."""
        self.site.channels.pop(self, None)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]
        self.site.channel_lost()

    def _enter(self, phase: Phase, timeout_s: float | None = None) -> None:
        """Enter a phase, with its time-out in seconds (None: no time-out). `CLOSING` is never left."""
        if self.phase is Phase.CLOSING:
            return
        self.phase = phase
        if phase is Phase.IDLE:
            limits = self.site.limits()
            self.MAX_LENGTH = limits.max_header_bytes
            timeout_s = limits.idle_timeout_ms / 1000
        elif phase is Phase.HEAD:
            timeout_s = self.site.limits().header_timeout_ms / 1000
        elif phase is Phase.BODY:
            timeout_s = self._body_timeout()
        self.setTimeout(timeout_s)  # type: ignore[no-untyped-call]

    def _has_unread_input(self) -> bool:
        return bool(peek(self.transport))

    def _body_timeout(self) -> float:
        timeout_s = self.site.limits().idle_timeout_ms / 1000
        return min(timeout_s, DRAINING_READ_TIMEOUT_S) if self.site.closing else timeout_s
