"""Connection pool of one address, with the deliveries that wait for a free connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from twisted.python.failure import Failure

from bitternpath.delivery.connections import WorkerConnection
from bitternpath.delivery.exchanges import MIN_REMAINING_S, Exchange
from bitternpath.delivery.results import RefusalKind
from bitternpath.net.reactor import TcpReactor
from bitternpath.net.sockets import dial, peek

MAX_WAIT_SHARE = 1 / 3  # fraction of a delivery's remaining time for which it waits for a free connection
CONNECT_SHARE = 1 / 4  # fraction of a delivery's remaining time for which it waits for a new connection
MIN_CONNECT_TIMEOUT_S = 0.25  # allows for distant workers and a busy machine at either end
MAX_CONNECT_TIMEOUT_S = 1.0  # a lost SYN is retransmitted after a second; another worker is better by then


def connect_timeout_s(remaining_s: float) -> float:
    """Return how long a delivery with that remaining time waits for a new connection, in seconds."""
    share = max(MIN_CONNECT_TIMEOUT_S, remaining_s * CONNECT_SHARE)
    return min(MAX_CONNECT_TIMEOUT_S, share, max(remaining_s, MIN_REMAINING_S))


class AddressPool:
    """Up to `limit` connections, each used for one delivery at a time; the longest idle one is used first.

    A late second response of a faulty worker closes its connection if that is idle. This order maximizes the
    time in which it can arrive before another delivery uses the connection.
    """

    def __init__(self, address: str, reactor: TcpReactor, connections_changed: Callable[[], None]) -> None:
        """Create an empty pool; `connections_changed` is called when a connection becomes idle or ends."""
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port) if port.isdigit() else 0
        self._reactor = reactor
        self._connections_changed = connections_changed
        self._idle: deque[WorkerConnection] = deque()  # longest idle first
        self._waiting: deque[Exchange] = deque()
        self._connection_count = 0  # including those being established
        self._retired = False
        self.limit = 1

    @property
    def empty(self) -> bool:
        """Whether there are no connections and no waiting deliveries."""
        return self._connection_count == 0 and not self._waiting

    @property
    def has_idle(self) -> bool:
        """Whether a connection is idle."""
        return bool(self._idle)

    def now(self) -> float:
        """Return the time of the pool's clock in seconds."""
        return self._reactor.seconds()

    def submit(self, exchange: Exchange) -> None:
        """Send a delivery over an idle connection, a new one, or the next one that becomes free."""
        if not exchange.sendable():
            exchange.complete_unsent(RefusalKind.BUSY)
            return
        connection = self._pop_idle(exchange.message.request_id)
        if connection is not None:
            connection.send(exchange)
        elif self._connection_count < self.limit:
            self._connect(exchange)
        elif self._idle:  # none may carry this message, since all have carried it before
            self._idle.popleft().close()
            self.submit(exchange)
        else:
            self._waiting.append(exchange)
            timeout_s = min(exchange.remaining_s() * MAX_WAIT_SHARE, exchange.send_time_s())
            exchange.set_timeout(timeout_s, lambda: self._wait_timed_out(exchange))

    def close_idle(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.popleft().close()

    def close_expired(self) -> None:
        """Close the idle connections that the worker may be about to close."""
        now = self.now()
        for connection in [each for each in self._idle if each.usable_until <= now]:
            connection.close()

    def retire(self) -> None:
        """Send nothing more, since the address was removed; deliveries in flight complete normally."""
        self._retired = True
        self.close_idle()
        while self._waiting:
            self._waiting.popleft().complete_unsent(RefusalKind.NO_CONNECTION)

    def connection_released(self, connection: WorkerConnection) -> None:
        """Reuse a connection that has received a complete response, or close it if it is over the limit."""
        exchange = self._next_waiting()
        if exchange is not None and not connection.may_send(exchange.message.request_id):
            self._waiting.appendleft(exchange)
            connection.close()  # the waiting delivery then gets a new connection
        elif exchange is not None:
            connection.send(exchange)
        elif self._retired or self._connection_count > self.limit:
            connection.close()
        else:
            self._idle.append(connection)
            self._connections_changed()

    def connection_lost(self, connection: WorkerConnection) -> None:
        """Remove a connection that has ended or must not be reused."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._connection_ended()

    def _pop_idle(self, request_id: str) -> WorkerConnection | None:
        """Remove and return the first usable idle connection that may carry a message, or None."""
        now = self.now()
        skipped: list[WorkerConnection] = []
        usable = None
        while self._idle and usable is None:
            connection = self._idle.popleft()
            if connection.usable_until <= now or peek(connection.transport) is not None:
                connection.close()
            elif connection.may_send(request_id):
                usable = connection
            else:
                skipped.append(connection)
        self._idle.extendleft(reversed(skipped))
        return usable

    def _connect(self, exchange: Exchange) -> None:
        self._connection_count += 1
        connection = WorkerConnection(self)
        timeout_s = min(connect_timeout_s(exchange.remaining_s()), exchange.send_time_s())
        connecting = dial(self._reactor, self._host, self._port, timeout_s, connection)
        connecting.addCallbacks(self._connected, self._connect_failed, (exchange,), {}, (exchange,))

    def _connected(self, connection: WorkerConnection, exchange: Exchange) -> None:
        if not connection.open:
            exchange.complete_unsent(RefusalKind.NO_CONNECTION)
        elif self._retired:
            exchange.complete_unsent(RefusalKind.NO_CONNECTION)
            connection.close()
        elif not exchange.sendable():
            exchange.complete_unsent(RefusalKind.BUSY)
            self.connection_released(connection)
        else:
            connection.send(exchange)

    def _connect_failed(self, _: Failure, exchange: Exchange) -> None:
        exchange.complete_unsent(RefusalKind.NO_CONNECTION)
        self._connection_ended()

    def _connection_ended(self) -> None:
        self._connection_count -= 1
        exchange = self._next_waiting() if self._connection_count < self.limit else None
        if exchange is not None:
            self._connect(exchange)
        self._connections_changed()

    def _next_waiting(self) -> Exchange | None:
        while self._waiting:
            exchange = self._waiting.popleft()
            if exchange.sendable():
                return exchange
            exchange.complete_unsent(RefusalKind.BUSY)
        return None

    def _wait_timed_out(self, exchange: Exchange) -> None:
        self._waiting.remove(exchange)
        exchange.complete_unsent(RefusalKind.BUSY)
