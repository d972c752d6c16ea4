"""The connections to one address, and the deliveries that wait for a free one."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from bitternpath.delivery.connections import LEAST_TIME_S, Exchange, WorkerConnection
from bitternpath.delivery.results import RefusalKind
from bitternpath.net.sockets import dial, peek

WAIT_SHARE = 1 / 3  # of a delivery's time, for which it waits for a free connection
CONNECT_SHARE = 1 / 4  # of the time that a delivery has left, for which it waits for a new connection
CONNECT_LEAST_S = 0.25  # distant workers, and a busy machine at either end
CONNECT_MOST_S = 1.0  # a dropped opening packet is sent again after a second: then another worker is better


def connect_timeout_s(remaining_s: float) -> float:
    """How long a delivery with that time left waits for a new connection, in seconds."""
    share = max(CONNECT_LEAST_S, remaining_s * CONNECT_SHARE)
    return min(CONNECT_MOST_S, share, max(remaining_s, LEAST_TIME_S))


class AddressPool:
    """Up to `limit` connections, each used for one delivery at a time, oldest idle one first.

    The oldest goes first because a worker in trouble may answer twice: a late second answer then finds its
    connection idle, and closes it, before another delivery uses it.
    """

    def __init__(self, address: str, reactor: Any, changed: Callable[[], None]) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port) if port.isdigit() else 0
        self._reactor = reactor
        self._changed = changed
        self._idle: deque[WorkerConnection] = deque()
        self._waiting: deque[Exchange] = deque()
        self._open = 0  # with those that are being made
        self._retired = False
        self.limit = 1

    @property
    def empty(self) -> bool:
        """Whether nothing is open and nothing waits."""
        return self._open == 0 and not self._waiting

    @property
    def has_idle(self) -> bool:
        """Whether a connection is open and unused."""
        return bool(self._idle)

    def now(self) -> float:
        """The pool's clock, in seconds."""
        return float(self._reactor.seconds())

    def submit(self, exchange: Exchange) -> None:
        """Deliver over an idle connection, a new one, or the next that becomes free."""
        if not exchange.sendable():
            exchange.not_run(RefusalKind.BUSY)
            return
        connection = self._take_idle(exchange.message.request_id)
        if connection is not None:
            connection.carry(exchange)
        elif self._open < self.limit:
            self._connect(exchange)
        elif self._idle:  # all of them have carried this message
            self._idle.popleft().close()
            self.submit(exchange)
        else:
            self._waiting.append(exchange)
            patience = min(exchange.remaining_s() * WAIT_SHARE, exchange.send_time_s())
            exchange.watch(patience, lambda: self._give_up(exchange))

    def close_idle(self) -> None:
        """Close the connections that carry nothing."""
        while self._idle:
            self._idle.popleft().close()

    def close_expired(self) -> None:
        """Close the idle connections that the worker may be about to close."""
        now = self.now()
        for connection in [each for each in self._idle if each.usable_until <= now]:
            connection.close()

    def retire(self) -> None:
        """The worker has gone: nothing new is sent, and what is under way ends by itself."""
        self._retired = True
        self.close_idle()
        while self._waiting:
            self._waiting.popleft().not_run(RefusalKind.NO_CONNECTION)

    def released(self, connection: WorkerConnection) -> None:
        """A connection has had its whole answer and can be used again."""
        exchange = self._next_waiting()
        if exchange is not None and not connection.may_carry(exchange.message.request_id):
            self._waiting.appendleft(exchange)
            connection.close()  # which makes room for another one
        elif exchange is not None:
            connection.carry(exchange)
        elif self._retired or self._open > self.limit:
            connection.close()
        else:
            self._idle.append(connection)
            self._changed()

    def lost(self, connection: WorkerConnection) -> None:
        """A connection has ended, or is not to be used any more."""
        if connection in self._idle:
            self._idle.remove(connection)
        self._closed()

    def _take_idle(self, request_id: str) -> WorkerConnection | None:
        """The oldest idle connection that is whole and may carry that message."""
        now = self.now()
        passed_over: list[WorkerConnection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.popleft()
            if connection.usable_until <= now or peek(connection.transport) is not None:
                connection.close()
            elif connection.may_carry(request_id):
                found = connection
            else:
                passed_over.append(connection)
        self._idle.extendleft(reversed(passed_over))
        return found

    def _connect(self, exchange: Exchange) -> None:
        self._open += 1
        connection = WorkerConnection(self)
        patience = min(connect_timeout_s(exchange.remaining_s()), exchange.send_time_s())
        made = dial(self._reactor, self._host, self._port, patience, connection)
        made.addCallbacks(self._connected, self._not_connected, (exchange,), {}, (exchange,))

    def _connected(self, connection: WorkerConnection, exchange: Exchange) -> None:
        if not connection.open:
            exchange.not_run(RefusalKind.NO_CONNECTION)
        elif self._retired:
            exchange.not_run(RefusalKind.NO_CONNECTION)
            connection.close()
        elif not exchange.sendable():
            exchange.not_run(RefusalKind.BUSY)
            self.released(connection)
        else:
            connection.carry(exchange)

    def _not_connected(self, failure: Failure, exchange: Exchange) -> None:
        exchange.not_run(RefusalKind.NO_CONNECTION)
        self._closed()

    def _closed(self) -> None:
        self._open -= 1
        exchange = self._next_waiting() if self._open < self.limit else None
        if exchange is not None:
            self._connect(exchange)
        self._changed()

    def _next_waiting(self) -> Exchange | None:
        while self._waiting:
            exchange = self._waiting.popleft()
            if exchange.sendable():
                return exchange
            exchange.not_run(RefusalKind.BUSY)
        return None

    def _give_up(self, exchange: Exchange) -> None:
        self._waiting.remove(exchange)
        exchange.not_run(RefusalKind.BUSY)
