"""Invoker calls: connections to endpoints, kept and reused, and the requests on them."""

from __future__ import annotations

from collections import Counter, deque
from typing import Any
from urllib.parse import quote

import structlog
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import Payload, UpstreamCall
from bitternpath.balancer.core.statistics import BACKEND_CALLS
from bitternpath.net import http1
from bitternpath.net.sockets import Sockets, dial, peek

log = structlog.get_logger(part="invoker")

IDLE_SHARE = 0.6  # of the time after which an endpoint closes idle connections: ours go earlier
# Endpoints may close idle connections far earlier than the settings say; what crosses such a close is lost.
# Ours are used again within half the shortest time seen; every look for idle ones lengthens that a little.
EARLY_SHARE, LONGER = 0.5, 1.035  # the latter doubles it in 10 s
# None are used again while calls on kept connections are reset more often, by RISK, than those on new ones.
# Each call counts for RECENT of its share; every look for idle ones forgives a little (half of it in 17 s).
RISK, RECENT, FORGIVEN = 0.1, 0.1, 0.98
# s for which a connection rests after an answer. A spoilt endpoint may answer twice, the second time some ms
# later; on a connection that is in use again that would pass for the answer to another call.
SECOND_ANSWER = 0.05
SWEEP = 0.5  # s between looks for connections that have been idle too long
WORD_WITHIN = 1.0  # s for the answer to a DELETE, and for one that a call no longer waits for
DELETES, DELETES_EACH = 32, 2  # at once in all and at one endpoint; more are not sent

OWN = frozenset((b"x-call-id", b"x-budget-ms"))  # headers that each call has anew


class Exchange:
    """One request on a connection and what waits for its answer."""

    __slots__ = ("call", "data", "written")

    def __init__(self, data: bytes, call: UpstreamCall | None = None) -> None:
        self.data, self.call = data, call
        self.written = False  # the last byte has gone to the system


@implementer(IPullProducer)
class Connection(Protocol):
    """A connection to an endpoint. It carries one request at a time."""

    transport: Any

    def __init__(self, client: HttpUpstreamClient, pool: AddressPool) -> None:
        self.client, self.pool = client, pool
        self.reader = http1.ResponseReader()
        self.exchange: Exchange | None = None
        self.idle_since = 0.0
        self.kept = False  # has carried something before
        self.timer: Any = None
        self.open = False

    def connectionMade(self) -> None:
        self.open = True
        self.transport.setTcpNoDelay(True)

    def carry(self, exchange: Exchange) -> None:
        self.exchange = exchange
        # As a producer it hears when all has been written: only then may the request have been received.
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
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
        """The connection is going down; connectionLost tells the rest."""

    def answer_within(self, seconds: float) -> None:
        if self.open and self.timer is None:
            self.timer = self.client.reactor.callLater(seconds, self.abort)

    def dataReceived(self, data: bytes) -> None:
        exchange = self.exchange
        if exchange is None or not exchange.written:
            # Said to nothing, be it half a line: what comes next would pass for the answer to another call.
            self.client.counts["unasked"] += 1
            self.abort()
            return
        self.reader.feed(data)
        try:
            message = self.reader.next()
            while isinstance(message, http1.Response) and message.status < 200:
                message = self.reader.next()
        except http1.HttpError as error:
            log.warning("bad answer", **{"from": self.pool.address, "why": error})
            self.abort()
            return
        if message is None:
            return
        self._answered(exchange, message)

    def _answered(self, exchange: Exchange, message: http1.Message) -> None:
        self.exchange = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not message.keep_alive or self.reader.begun:
            self.abort()
        self.client.answered(self, exchange, message)

    def abort(self) -> None:
        """Close now, whatever is under way."""
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
        message = self.reader.end() if exchange is not None and exchange.written else None
        if exchange is not None and message is not None:
            self.client.answered(self, exchange, message)
            exchange = None
        self.client.lost(self, exchange)


class AddressPool:
    """The connections to one address and the exchanges that wait for one."""

    __slots__ = ("address", "busy", "deletes", "dials", "idle", "waiting")

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: list[Connection] = []  # the last used at the end
        self.waiting: deque[Exchange] = deque()
        self.dials = self.deletes = 0
        self.busy: dict[Connection, None] = {}  # connections that carry something or rest after it


class HttpUpstreamClient:
    """The upstream client: calls go out on the connection used last, or on a new one."""

    broker: Broker

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        registry: EndpointRegistry,
        sockets: Sockets,
        dial_timeout: float,
        idle_timeout: float,
    ) -> None:
        self.reactor, self.clock, self.registry, self.sockets = reactor, clock, registry, sockets
        self.set_times(dial_timeout, idle_timeout)
        self.pools: dict[str, AddressPool] = {}
        self.deletes = 0
        self.counts: Counter[str] = Counter()
        self.resets = {True: 0.0, False: 0.0}  # share of late of the calls on kept and on new connections
        self._started: dict[str, float] = {}  # endpoint: when its process last started

    def set_times(self, dial_timeout: float, idle_timeout: float) -> None:
        self.dial_timeout = dial_timeout / 1000.0
        self.idle_for = self.reuse_for = idle_timeout * IDLE_SHARE

    def closed_by_endpoint(self, idle: float) -> None:
        self.counts["closed_by_provider"] += 1
        self.reuse_for = min(self.reuse_for, EARLY_SHARE * idle)

    def run(self) -> None:
        self.reactor.callLater(SWEEP, self._sweep)

    # ---- what the broker asks

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        exchange = Exchange(b"", call)
        call.transport_state = exchange
        self._queue(endpoint.host_port, exchange)

    def give_up(self, call: UpstreamCall) -> None:
        """Before the 202 by closing the connection, after it by a DELETE."""
        exchange = call.transport_state
        if call.accepted:
            self._delete(call)
        if isinstance(exchange, Connection):
            if not call.accepted:
                exchange.abort()
            else:
                exchange.answer_within(WORD_WITHIN)
            return
        for pool in self.pools.values():
            if exchange in pool.waiting:
                pool.waiting.remove(exchange)

    def _delete(self, call: UpstreamCall) -> None:
        endpoint = self.registry.endpoints.get(call.endpoint)
        if endpoint is None:
            return
        pool = self.pools.get(endpoint.host_port)
        if pool is None or pool.deletes >= DELETES_EACH or self.deletes >= DELETES:
            self.counts["deletes_left_out"] += 1
            return
        headers = [(b"Host", endpoint.host_port.encode()), (b"X-Call-Id", call.id.encode())]
        exchange = Exchange(http1.request(b"DELETE", b"/jobs/" + quote(call.id, safe="").encode(), headers))
        pool.deletes += 1
        self.deletes += 1
        self.reactor.callLater(WORD_WITHIN, self._delete_over, pool, exchange)
        self._queue(endpoint.host_port, exchange)

    def _delete_over(self, pool: AddressPool, exchange: Exchange) -> None:
        """The place of a DELETE is free again after a fixed time, answered or not."""
        pool.deletes -= 1
        self.deletes -= 1
        if exchange in pool.waiting:
            pool.waiting.remove(exchange)

    # ---- connections

    def _queue(self, address: str, exchange: Exchange) -> None:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = AddressPool(address)
        since = self.clock() - self.reuse_for if self._keeps() else self.clock()
        while pool.idle:
            connection = pool.idle.pop()
            if connection.idle_since < since:
                connection.abort()
            elif connection.open and peek(connection.transport) is None:  # else it is told soon that it ends
                self._carry(connection, exchange)
                return
        pool.waiting.append(exchange)
        if pool.dials >= len(pool.waiting) or self._dial(pool):
            return
        # No socket is left. One of this line's may become free in the time that a dial might have taken.
        wait = self.dial_timeout if pool.busy else 0.0
        self.reactor.callLater(wait, self._waited, pool, exchange)

    def _waited(self, pool: AddressPool, exchange: Exchange) -> None:
        if exchange in pool.waiting:
            pool.waiting.remove(exchange)
            self._unsent(exchange)

    def _dial(self, pool: AddressPool) -> bool:
        if self.sockets.endpoints_full() and not self._close_oldest_idle():
            self.counts["no_socket"] += 1
            return False
        host, _, port = pool.address.rpartition(":")
        if not port.isdigit():
            return False
        self.sockets.endpoints += 1
        self.counts["dials"] += 1
        pool.dials += 1
        dialled = dial(self.reactor, host, int(port), self.dial_timeout, Connection(self, pool))
        dialled.addCallbacks(self._dialled, self._not_dialled, errbackArgs=(pool,))
        dialled.addErrback(lambda failure: log.error("dial", why=failure.getTraceback()))
        return True

    def _dialled(self, connection: Connection) -> None:
        connection.pool.dials -= 1
        connection.idle_since = self.clock()
        self._free(connection, connection.pool)

    def _not_dialled(self, failure: Failure, pool: AddressPool) -> None:
        pool.dials -= 1
        self.sockets.endpoints -= 1
        log.debug("dial failed", to=pool.address, why=failure.getErrorMessage())
        self.counts["dials_failed"] += 1
        # The exchange that has waited longest is the one that this dial was for.
        while len(pool.waiting) > pool.dials:
            self._unsent(pool.waiting.popleft())

    def _unsent(self, exchange: Exchange) -> None:
        """No byte of it was written: it never ran."""
        if exchange.call is not None:
            self.broker.ended(exchange.call, m.How.NO_CONNECTION)

    def _carry(self, connection: Connection, exchange: Exchange) -> None:
        connection.pool.busy[connection] = None
        call = exchange.call
        if call is None:
            connection.answer_within(WORD_WITHIN)
        else:
            call.transport_state = connection
            exchange.data = self._request(call, connection.pool.address)
        connection.carry(exchange)

    def _request(self, call: UpstreamCall, address: str) -> bytes:
        message: Payload = call.request.payload
        left = max(int(call.expires - self.clock()), 1)
        headers = [
            (b"Host", address.encode()),
            (b"X-Call-Id", call.id.encode()),
            (b"X-Budget-Ms", b"%d" % left),
            *(header for header in http1.end_to_end(message.headers) if header[0] not in OWN),
        ]
        return http1.request(message.method, message.target, headers, message.body)

    def _free(self, connection: Connection, pool: AddressPool) -> None:
        """A connection can carry something: what waits, or nothing for a while."""
        while pool.waiting and connection.open:
            exchange = pool.waiting.popleft()
            call = exchange.call
            if call is not None and not self.broker.wanted(call):
                self.broker.ended(call, m.How.CANCELLED)
                continue
            # Its drain was told, or its time to begin went by, while the call waited for a connection.
            if call is not None and (
                self.registry.serving(call.endpoint) is None or self.clock() > call.begin_by
            ):
                self._unsent(exchange)
                continue
            self._carry(connection, exchange)
            return
        if connection.open and self._keeps():
            pool.idle.append(connection)
        elif connection.open:
            connection.abort()

    def _keeps(self) -> bool:
        """Whether connections are worth keeping."""
        return self.resets[True] <= self.resets[False] + RISK

    def _learn(self, connection: Connection, reset: bool) -> None:
        self.resets[connection.kept] += RECENT * (reset - self.resets[connection.kept])

    def answered(self, connection: Connection, exchange: Exchange, message: http1.Message) -> None:
        call = exchange.call
        if call is not None and isinstance(message, http1.Response):
            call.transport_state = None
            self._learn(connection, False)
            if not call.accepted:
                self._outcome(call, message)
        connection.kept, connection.idle_since = True, self.clock()
        self.reactor.callLater(SECOND_ANSWER, self._rested, connection)

    def _rested(self, connection: Connection) -> None:
        if connection.open:
            del connection.pool.busy[connection]
            self._free(connection, connection.pool)

    def _outcome(self, call: UpstreamCall, message: http1.Response) -> None:
        if message.status == 202:
            call.accepted = True
        elif message.status in (503, 504) and message.headers.get(b"x-rejected") == b"1":
            self.broker.ended(call, m.How.FULL)
        elif 400 <= message.status < 500:
            self.counts["unusable"] += 1
            self.broker.unusable(call)
        else:
            self.broker.ended(call, m.How.ERROR)

    def lost(self, connection: Connection, exchange: Exchange | None) -> None:
        self.sockets.endpoints -= 1
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        connection.pool.busy.pop(connection, None)
        call = exchange.call if exchange is not None else None
        if exchange is not None and call is not None:
            call.transport_state = None
            if not call.accepted:
                if exchange.written and not call.over:
                    self._learn(connection, True)
                self.broker.ended(call, m.How.RESET if exchange.written else m.How.NO_CONNECTION)

    def _close_oldest_idle(self) -> bool:
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.pool.idle.remove(oldest)
        oldest.abort()
        return True

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP, self._sweep)
        self.reuse_for = min(self.reuse_for * LONGER, self.idle_for)
        self.resets[True] *= FORGIVEN
        due = self.clock() - self.reuse_for
        for pool in self.pools.values():
            while pool.idle and pool.idle[0].idle_since <= due:
                pool.idle.pop(0).abort()
            for connection in pool.busy:  # an answer may never end, though a call-back came
                if connection.exchange and connection.exchange.call and connection.exchange.call.over:
                    connection.answer_within(WORD_WITHIN)
        known = {endpoint.host_port for endpoint in self.registry.endpoints.values()}
        for pool in [pool for pool in self.pools.values() if pool.address not in known]:
            if not (pool.idle or pool.waiting or pool.dials or pool.deletes):
                del self.pools[pool.address]

    def listed(self, listing: Listing) -> None:
        """Connections to a process that is gone or has started anew are of no more use."""
        for endpoint in listing.members:
            before = self._started.get(endpoint.id, endpoint.up_since)
            self._started[endpoint.id] = endpoint.up_since
            if endpoint.state is m.State.GONE or endpoint.up_since > before:
                self.close_idle(endpoint.host_port)

    def close_idle(self, address: str) -> None:
        """Those too that rest after an answer."""
        pool = self.pools.get(address)
        if pool is not None:
            for connection in (*pool.idle, *(c for c in pool.busy if c.exchange is None)):
                connection.abort()
            pool.idle.clear()
