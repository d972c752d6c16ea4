"""Persistent connections to workers."""

from __future__ import annotations

import socket
from typing import Any
from typing import Protocol as Interface

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from bitternpath.delivery.exchanges import Exchange
from bitternpath.delivery.requests import request_bytes
from bitternpath.delivery.responses import NO_RESPONSE, Progress, ResponseOutcome, WorkerResponseReader
from bitternpath.transport.records import AttemptOutcome

RESPONSE_GRACE_S = 0.05  # added to the deadline sent to the worker, for the response to arrive
TCP_USER_TIMEOUT_MS = 2_000  # the connection ends if sent bytes are not acknowledged within this time
MAX_REMEMBERED_REQUESTS = 500  # a connection is closed when it has remembered this many request ids
IDLE_USE_SHARE = 0.6  # fraction of a worker's keep-alive time for which an idle connection is used

_FINAL_OUTCOMES = (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED)  # the message is never sent again


class ConnectionPool(Interface):
    """Interface that a connection requires of its pool, implemented by `pool.AddressPool`."""

    def now(self) -> float:
        """Return the time in seconds, on the clock of `usable_until`."""

    def connection_released(self, connection: WorkerConnection) -> None:
        """Called when a connection has received a complete response and can be reused."""

    def connection_lost(self, connection: WorkerConnection) -> None:
        """Called once per connection when it has ended or must not be reused."""


class WorkerConnection(Protocol):
    """A connection that carries one delivery at a time and is closed after any unexpected data or error."""

    transport: Any

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._exchange: Exchange | None = None
        self._response: WorkerResponseReader | None = None
        self._remembered: set[str] = set()  # request ids of messages that may be sent again
        self.usable_until = 0.0  # on the pool's clock, while the connection is idle
        self.open = False

    def connectionMade(self) -> None:
        """Set the socket options."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        sock = self.transport.getHandle()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def may_send(self, request_id: str) -> bool:
        """Whether a message can be sent without confusing its response with that of an earlier delivery.

        A faulty worker may respond twice, and responses are matched only by request id: a late second
        response to an earlier delivery of the message would be mistaken for the response to the new one.
        """
        return request_id not in self._remembered

    def send(self, exchange: Exchange) -> None:
        """Send a delivery and wait for its response."""
        remaining_s = exchange.remaining_s()
        message = exchange.message
        self._exchange = exchange
        self._response = WorkerResponseReader(message.request_id, bodiless=message.method == "HEAD")
        exchange.set_timeout(remaining_s + RESPONSE_GRACE_S, self._response_timed_out)
        self.transport.write(request_bytes(exchange.target, message, int(remaining_s * 1000)))

    def close(self) -> None:
        """Close an idle connection."""
        self._leave_pool()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Read the response; unexpected bytes abort the connection."""
        if not self.open:
            return
        if self._response is None:
            self._abort()
            return
        progress = self._response.feed(data)
        if progress is Progress.COMPLETE:
            self._responded(self._response)
        elif progress is Progress.INVALID:
            self._abort()

    def connectionLost(self, _: Failure = connectionDone) -> None:
        """End the delivery in flight, if any; whether the message ran is unknown."""
        self._leave_pool()
        self._complete(NO_RESPONSE)

    def _responded(self, response: WorkerResponseReader) -> None:
        self._response = None
        outcome = response.outcome()
        if self._exchange is not None and outcome.outcome not in _FINAL_OUTCOMES:
            self._remembered.add(self._exchange.message.request_id)
        if response.reusable and len(self._remembered) < MAX_REMEMBERED_REQUESTS:
            self.usable_until = self._pool.now() + response.keep_alive_s * IDLE_USE_SHARE
            exchange = self._exchange
            self._exchange = None
            self._pool.connection_released(self)
            if exchange is not None:
                exchange.complete(outcome)
        else:
            self._leave_pool()
            self.transport.loseConnection()
            self._complete(outcome)

    def _response_timed_out(self) -> None:
        # Timers run before sockets are read, so a response that arrived while this process was stalled may
        # still be unread. The second timer runs after the next read.
        if self._exchange is not None:
            self._exchange.set_timeout(0.0, self._abort)

    def _abort(self) -> None:
        self._leave_pool()
        self.transport.abortConnection()
        self._complete(NO_RESPONSE)

    def _leave_pool(self) -> None:
        if self.open:
            self.open = False
            self._pool.connection_lost(self)

    def _complete(self, outcome: ResponseOutcome) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.complete(outcome)
