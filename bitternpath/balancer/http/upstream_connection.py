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
        self.data = data  # not written yet
        self.call = call  # None: a DELETE
        self.written = False  # the last byte has been passed to the system


class ConnectionOwner(typing.Protocol):
    """What a connection needs of its owner (`http.upstream_client.HttpUpstreamClient`)."""

    reactor: Any
    counts: Counter[str]
    broker: Broker

    @property
    def clock(self) -> Callable[[], float]:
        """The node's clock, in ms."""

    def response_received(self, connection: Connection, exchange: Exchange, message: http1.Message) -> None:
        """The response of an exchange is complete."""

    def connection_lost(self, connection: Connection, exchange: Exchange | None) -> None:
        """A connection is gone, with the exchange that it carried."""

    def closed_by_endpoint(self, idle: float) -> None:
        """An endpoint closed a connection that had been idle for that time (ms)."""


@implementer(IPullProducer)
class Connection(Protocol):
    """A connection to an endpoint; it carries one request at a time."""

    transport: Any

    def __init__(self, client: ConnectionOwner, pool: AddressPool) -> None:
        self.client = client
        self.pool = pool
        self.reader = http1.ResponseReader()
        self.exchange: Exchange | None = None
        self.idle_since = 0.0  # ms
        self.reused = False  # has carried something before
        self.timer: Any = None
        self.open = False

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def send(self, exchange: Exchange) -> None:
        """Write the request; its outcome is reported to the client by `answered` or `lost`."""
        self.exchange = exchange
        # A producer is notified when all has been written: only then may the request have been received.
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the request; called a second time when all of it has been written."""
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
        """The connection is closing; `connectionLost` does the rest."""

    def expect_response_within(self, seconds: float) -> None:
        """Abort the connection unless its response is complete by then."""
        if self.open and self.timer is None:
            self.timer = self.client.reactor.callLater(seconds, self.abort)

    def dataReceived(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None or not exchange.written:
            # Unsolicited bytes, be it half a line: what follows would pass for the response to another call.
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
        """Close now, whatever is in flight."""
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
        self.idle: list[Connection] = []  # the one used last at the end
        self.waiting: deque[Exchange] = deque()
        self.dials = 0  # connections being opened
        self.deletes = 0  # DELETEs in flight
        self.busy: dict[Connection, None] = {}  # carrying an exchange, or resting after one
