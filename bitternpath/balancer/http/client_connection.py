"""One client connection to the listener: its requests in order, their responses, and its timeouts."""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.lifecycle import Lifecycle
from bitternpath.balancer.core.requests import AcceptedRequest
from bitternpath.net import http1
from bitternpath.net.sockets import peek
from bitternpath.net.writing import has_unsent

log = structlog.get_logger(part="listener")

# ms from connecting to the end of the first request, and from the first to the last byte of a later one. A
# client that sends no complete request must get an error or a close within 3 s; checks run every 0.25 s.
MESSAGE_TIMEOUT = 2250.0
# Bytes of input read and discarded after an error: a close with unread input would reset the connection and
# could destroy the response. Covers a body of 60 MB.
LINGER_BYTES = 64 << 20
# Bytes of pipelined input buffered while a response is due. More is read and discarded, since a close goes
# unnoticed on a connection that is not read; the request truncated by it gets a 413 and is the last one.
PENDING_LIMIT = 2 * http1.BODY_LIMIT


class MessageHandler(typing.Protocol):
    """Handles the requests of a connection (`http.request_handler.RequestHandler`)."""

    def serve(self, connection: ClientConnection, message: http1.Request) -> None:
        """Answer a message on its connection, at once or later."""


class ConnectionOwner(typing.Protocol):
    """The listener that owns a connection and tracks its state (`http.listener.Listener`)."""

    reactor: Any
    accepting: bool
    broker: Broker
    lifecycle: Lifecycle

    @property
    def clock(self) -> Callable[[], float]:
        """The node's clock, in ms."""

    @property
    def handler(self) -> MessageHandler:
        """The handler of the requests."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a new connection."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no response is due on the connection."""

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a response is due on the connection."""

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Record that the last response was written and remaining input is discarded."""

    def mark_closing(self, connection: ClientConnection) -> None:
        """Record that the connection is being closed without a response."""


class ClientConnection(Protocol):
    """A client connection; it processes one request at a time.

    Implements `core.requests.Client` for the request in progress.
    """

    transport: Any

    def __init__(self, listener: ConnectionOwner) -> None:
        self.listener = listener
        self.reader = http1.RequestReader()
        self.message_started_at = 0.0  # ms: when the first byte of the current message was read
        self.idle_since = 0.0  # ms: when the client connected, or the last response was written
        self.request: AcceptedRequest | None = None
        self.keep_alive = True  # whether the connection persists after the current request
        self.open = False
        self.input_truncated = False  # more input was pipelined than is buffered
        self.response_sent = False  # at least one response was written
        self.relayed = False  # its call-back was forwarded to another process of this node
        self.only_callbacks = True  # no client request was accepted on it
        self.discarded_bytes = 0  # bytes beyond PENDING_LIMIT, and after the last response

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)
        self.idle_since = self.listener.clock()
        self.listener.connection_opened(self)

    def dataReceived(self, data: bytes) -> None:
        if not self.open or self.input_truncated:
            self._discard(data)
            return
        if not self.reader.has_partial_message:
            self.message_started_at = self.listener.clock()
            if self.response_sent and not self.busy:
                self.listener.mark_idle(self)
        capacity = max(PENDING_LIMIT - len(self.reader.buffer), 0)
        if self.busy and len(data) > capacity:
            self.input_truncated = True
            self._discard(data[capacity:])
            data = data[:capacity]
        self.reader.feed(data)
        if not self.busy:
            self.advance()

    def _discard(self, data: bytes) -> None:
        self.discarded_bytes += len(data)
        if self.discarded_bytes > LINGER_BYTES:
            self.transport.abortConnection()

    def advance(self) -> None:
        """Process the complete requests in the buffer, until one waits for its response."""
        while self.open and not self.busy:
            try:
                message = self.reader.next()
                self._send_continue()
            except http1.HttpError as error:
                self.keep_alive = False
                self.send_response(error.status, str(error).encode())
                return
            if not isinstance(message, http1.Request):
                if self.input_truncated:
                    self.keep_alive = False
                    self.send_response(413, b"too much ahead of an answer")
                break
            self.keep_alive = message.keep_alive
            try:
                self.listener.handler.serve(self, message)
            except Exception:
                log.exception("request_handling_failed", target=message.target.decode("latin-1"))
                self.keep_alive = False
                self.send_response(500)
                return
            self.message_started_at = self.listener.clock()

    def _send_continue(self) -> None:
        head = self.reader.incomplete_message()
        if head is not None and head.headers.pop(b"expect", b"").lower() == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @property
    def last_activity(self) -> float:
        """Time (ms) of the last activity: connecting, the last response, or the start of a later message."""
        return max(self.idle_since, self.message_started_at) if self.response_sent else self.idle_since

    def check_timeout(self, now: float) -> None:
        """Time out an incomplete message; single bytes do not extend the timeout.

        A connection that has carried a response may stay idle between messages.
        """
        if not self.open or self.busy or self.last_activity + MESSAGE_TIMEOUT > now:
            return
        if self.reader.has_partial_message:
            self.keep_alive = False
            self.send_response(408)
        elif not self.response_sent:
            self.drop()

    @property
    def busy(self) -> bool:
        """Whether a response is due that the broker or another process provides."""
        return self.request is not None or self.relayed

    @property
    def idle(self) -> bool:
        """Whether it is open, no response is due and no partial message was read."""
        return self.open and not self.busy and not self.reader.has_partial_message

    def send_response(
        self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Write the response that is due; close the connection unless it persists."""
        self.request = None
        self.relayed = False
        if not self.open:
            return
        keep_alive = (
            self.keep_alive and self.listener.lifecycle.behavior.keep_alive and self.listener.accepting
        )
        self.transport.write(http1.response(status, body, headers, keep_alive))
        self.response_sent = True
        self.idle_since = self.listener.clock()
        if keep_alive:
            self.listener.mark_idle(self)
        else:
            self.close()

    def has_unsent_response(self) -> bool:
        """Whether part of a written response has not been passed to the socket yet."""
        return self.response_sent and has_unsent(self.transport)

    def close(self) -> None:
        """Close after a response; further input is read and discarded for a limited time."""
        if self.open:
            self.open = False
            self.reader = http1.RequestReader()  # frees the buffer
            self.transport.loseWriteConnection()
            self.listener.mark_lingering(self)

    def drop(self) -> None:
        """Close without a response, which frees the socket immediately."""
        self.open = False
        self.listener.mark_closing(self)
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.open = False
        request, self.request = self.request, None
        if request is not None:
            self.listener.broker.withdraw(request)
        self.listener.connection_closed(self)

    def disconnected(self) -> bool:
        """Whether the client has closed, also if the end of input has not been read yet."""
        return not self.open or peek(self.transport) == b""

    # ---- core.requests.Client

    def served(self, result: bytes) -> None:
        self.send_deferred_response(200, result)

    def rejected(self, retry_after: float) -> None:
        self.send_deferred_response(503, b"", ((b"Retry-After", b"%.3f" % (max(retry_after, 0.0) / 1000.0)),))

    def failed(self) -> None:
        self.send_deferred_response(500)

    def send_deferred_response(
        self, status: int, body: bytes = b"", headers: tuple[tuple[bytes, bytes], ...] = ()
    ) -> None:
        """Write a response after the reactor turn in which the request was read."""
        self.send_response(status, body, headers)
        if self.reader.has_partial_message or self.input_truncated:
            # Process pipelined input in a later turn, since the broker is in the middle of a batch.
            self.listener.reactor.callLater(0, self.advance)
