"""One connection to an endpoint, the request on it, and the pool of connections to one address."""

from __future__ import annotations

import typing
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.requests import UpstreamCall
from bitternpath.balancer.core.statistics import BACKEND_CALLS
from bitternpath.net import http1

log = structlog.get_logger(part="upstream")


class Exchange:
    """One request on a connection, and the call that waits for its response."""

    __slots__ = ("call", "data", "written")

    def __init__(self, data: bytes, call: UpstreamCall | None = None) -> None:
        self.data = data  # bytes not written yet
        self.call = call  # None for a DELETE
        self.written = False  # whether the last byte was passed to the socket


class ConnectionOwner(typing.Protocol):
    """The interface of the client that owns a connection (`http.upstream_client.HttpUpstreamClient`)."""

    reactor: Any
    counts: Counter[str]
    broker: Broker

    @property
    def clock(self) -> Callable[[], float]:
        """The node's clock, in ms."""

    def response_received(self, connection: Connection, exchange: Exchange, message: http1.Message) -> None:
        """Handle the complete response of an exchange."""

    def connection_lost(self, connection: Connection, exchange: Exchange | None) -> None:
        """Handle the loss of a connection and of the exchange on it."""

    def closed_by_endpoint(self, idle: float) -> None:
        """Record that an endpoint closed a connection that had been idle for `idle` ms."""


@implementer(IPullProducer)
class Connection(Protocol):
    """A connection to an endpoint; it carries one request at a time."""

    transport: Any

    def __init__(self, client: ConnectionOwner, pool: AddressPool) -> None:
        self.client = client
        self.pool = pool
        self.reader = http1.ResponseReader()
        self.exchange: Exchange | None = None
        self.idle_since = 0.0  # ms of the node's clock
        self.reused = False  # whether it has carried an exchange before
        self.timer: Any = None
        self.open = False

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def send(self, exchange: Exchange) -> None:
        """Write the request; `response_received` or `connection_lost` of the client reports its outcome."""
        self.exchange = exchange
        # A producer is called again when all was written: only then can the endpoint have the full request.
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the request; the second call means that all of it was written."""
        exchange = self.exchange
        if exchange is not None and exchange.data:
            data, exchange.data = exchange.data, b""
            self.transport.write(data)
            return
        if exchange is not None:
            exchange.written = True
            if exchange.call is not None:
                self.client.broker.statistics.count(BACKEND_CALLS)
        self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` follows and cleans up."""

    def expect_response_within(self, seconds: float) -> None:
        """Abort the connection unless its response is complete within `seconds`."""
        if self.open and self.timer is None:
            self.timer = self.client.reactor.callLater(seconds, self.abort)

    def dataReceived(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None or not exchange.written:
            # Unsolicited bytes, even part of a line, would be taken for the start of the next response.
            self.client.counts["unasked"] += 1
            self.abort()
            return
        self.reader.feed(data)
        try:
            message = self.reader.next()
            while isinstance(message, http1.Response) and message.status < 200:
                message = self.reader.next()
        except http1.HttpError as error:
            log.warning("bad_response", address=self.pool.address, why=error)
            self.abort()
            return
        if message is None:
            return
        self._response_complete(exchange, message)

    def _response_complete(self, exchange: Exchange, message: http1.Message) -> None:
        self.exchange = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not message.keep_alive or self.reader.has_partial_message:
            self.abort()
        self.client.response_received(self, exchange, message)

    def abort(self) -> None:
        """Close immediately; an exchange in flight is aborted."""
        if self.open:
            self.open = False
            if self.exchange is None:
                self.transport.loseConnection()
            else:
                self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if (
            self.open
            and self.exchange is None
            and self.idle_since
            and isinstance(reason.value, ConnectionDone)
        ):
            self.client.closed_by_endpoint(self.client.clock() - self.idle_since)
        self.open = False
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        exchange, self.exchange = self.exchange, None
        message = self.reader.finish_at_close() if exchange is not None and exchange.written else None
        if exchange is not None and message is not None:
            self.client.response_received(self, exchange, message)
            exchange = None
        self.client.connection_lost(self, exchange)


class AddressPool:
    """The connections to one address, and the exchanges that wait for one."""

    __slots__ = ("address", "busy", "deletes", "dials", "idle", "waiting")

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: list[Connection] = []  # most recently used last
        self.waiting: deque[Exchange] = deque()
        self.dials = 0  # connection attempts in progress
        self.deletes = 0  # DELETEs in flight
        self.busy: dict[
            Connection, None
        ] = {}  # with an exchange, or within DUPLICATE_RESPONSE_WAIT after one
