"""One persistent connection to a worker."""

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

RESPONSE_GRACE_S = 0.05  # the response may come so long after the deadline that the worker was given
TCP_USER_TIMEOUT_MS = 2_000  # sent bytes that a dead peer doesn't acknowledge for so long end the connection
MAX_REMEMBERED_REQUESTS = 500  # ids of one connection whose messages may be sent again; then it is closed
IDLE_USE_SHARE = 0.6  # of a worker's keep-alive time, for which we use an idle connection

_FINAL_OUTCOMES = (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED)  # the message is never sent again


class ConnectionPool(Interface):
    """What a connection needs of the pool that made it; `pool.AddressPool` is one."""

    def now(self) -> float:
        """The clock by which `usable_until` is read, in seconds."""

    def connection_released(self, connection: WorkerConnection) -> None:
        """A connection has had its complete response and can be used again."""

    def connection_lost(self, connection: WorkerConnection) -> None:
        """A connection has ended, or is not to be used any more; called once for each."""


class WorkerConnection(Protocol):
    """A connection that carries one delivery at a time and is closed once anything about it is doubtful."""

    transport: Any

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._exchange: Exchange | None = None
        self._response: WorkerResponseReader | None = None
        self._remembered: set[str] = set()  # request ids of messages that may be sent again
        self.usable_until = 0.0  # by the pool's clock, while it is idle
        self.open = False

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.open = True
        self.transport.setTcpNoDelay(True)
        sock = self.transport.getHandle()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def may_send(self, request_id: str) -> bool:
        """Whether no earlier delivery of the same message may still get a response here.

        A faulty worker may respond twice, and responses are matched by request id alone: a late second
        response to the first delivery would be taken for the response to the second one.
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
        """End an idle connection."""
        self._leave_pool()
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Read the response; bytes that nobody waits for end the connection."""
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
        """End the delivery that waits for a response: whether it ran is unknown."""
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
        # A response may have come while this process stood still: timers run before sockets are read.
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
