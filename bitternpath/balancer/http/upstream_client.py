"""Upstream calls over HTTP/1.1: connection pooling, dialling, and the outcome of responses."""

from __future__ import annotations

from collections import Counter
from typing import Any
from urllib.parse import quote

import structlog
from twisted.python.failure import Failure

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.endpoint_registry import Endpoint, EndpointRegistry, Listing
from bitternpath.balancer.core.requests import Payload, UpstreamCall
from bitternpath.balancer.http.connection_reuse import ReusePolicy
from bitternpath.balancer.http.upstream_connection import AddressPool, Connection, Exchange
from bitternpath.net import http1
from bitternpath.net.sockets import Sockets, dial, peek

log = structlog.get_logger(part="upstream")

# s for which a connection is not reused after a response. A faulty endpoint may respond twice, some ms apart;
# on a reused connection the second response would be taken for that to the next call.
DUPLICATE_RESPONSE_WAIT = 0.05
SWEEP_INTERVAL = 0.5  # s between checks of idle connections
RESPONSE_TIMEOUT = 1.0  # s to wait for the response to a DELETE, or to a call that has finished
MAX_DELETES = 32  # concurrent DELETEs; more are not sent
MAX_DELETES_PER_ENDPOINT = 2

PER_CALL_HEADERS = frozenset((b"x-call-id", b"x-budget-ms"))  # headers that the node sets for each call


class HttpUpstreamClient:
    """Sends calls to endpoints over HTTP/1.1, on the most recently used idle connection or a new one.

    Implements `core.requests.UpstreamClient`; `broker` is set after construction. Timeouts are in ms.
    """

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
        self.reactor = reactor
        self.clock = clock
        self.registry = registry
        self.sockets = sockets
        self.dial_timeout = dial_timeout / 1000.0
        self.reuse = ReusePolicy(idle_timeout)
        self.pools: dict[str, AddressPool] = {}
        self.deletes = 0
        self.counts: Counter[str] = Counter()
        self._process_started_at: dict[str, float] = {}  # endpoint id: start time of its process (ms)

    def set_timeouts(self, dial_timeout: float, idle_timeout: float) -> None:
        """Set the connect timeout and the idle timeout of endpoints (ms)."""
        self.dial_timeout = dial_timeout / 1000.0
        self.reuse.set_idle_timeout(idle_timeout)

    def closed_by_endpoint(self, idle: float) -> None:
        """Record that an endpoint closed a connection that had been idle for `idle` ms."""
        self.counts["closed_by_provider"] += 1
        self.reuse.closed_by_endpoint(idle)

    def run(self) -> None:
        """Start the periodic check of idle connections."""
        self.reactor.callLater(SWEEP_INTERVAL, self._sweep)

    # ---- core.requests.UpstreamClient

    def start(self, call: UpstreamCall, endpoint: Endpoint) -> None:
        """Send a call to an endpoint, or queue it until a connection is available."""
        exchange = Exchange(b"", call)
        call.transport_state = exchange
        self._queue(endpoint.host_port, exchange)

    def cancel(self, call: UpstreamCall) -> None:
        """Cancel a call: before its 202 by closing the connection, afterwards by a DELETE."""
        exchange = call.transport_state
        if call.accepted:
            self._delete(call)
        if isinstance(exchange, Connection):
            if not call.accepted:
                exchange.abort()
            else:
                exchange.expect_response_within(RESPONSE_TIMEOUT)
            return
        for pool in self.pools.values():
            if exchange in pool.waiting:
                pool.waiting.remove(exchange)

    def _delete(self, call: UpstreamCall) -> None:
        endpoint = self.registry.endpoints.get(call.endpoint)
        if endpoint is None:
            return
        pool = self.pools.get(endpoint.host_port)
        if pool is None or pool.deletes >= MAX_DELETES_PER_ENDPOINT or self.deletes >= MAX_DELETES:
            self.counts["deletes_left_out"] += 1
            return
        headers = [(b"Host", endpoint.host_port.encode()), (b"X-Call-Id", call.id.encode())]
        exchange = Exchange(http1.request(b"DELETE", b"/jobs/" + quote(call.id, safe="").encode(), headers))
        pool.deletes += 1
        self.deletes += 1
        self.reactor.callLater(RESPONSE_TIMEOUT, self._release_delete_slot, pool, exchange)
        self._queue(endpoint.host_port, exchange)

    def _release_delete_slot(self, pool: AddressPool, exchange: Exchange) -> None:
        """Free the slot of a DELETE after a fixed time, whether or not a response has arrived."""
        pool.deletes -= 1
        self.deletes -= 1
        if exchange in pool.waiting:
            pool.waiting.remove(exchange)

    # ---- connections

    def _queue(self, address: str, exchange: Exchange) -> None:
        pool = self.pools.get(address)
        if pool is None:
            pool = self.pools[address] = AddressPool(address)
        since = self.clock() - self.reuse.reuse_limit if self.reuse.allows_reuse() else self.clock()
        while pool.idle:
            connection = pool.idle.pop()
            if connection.idle_since < since:
                connection.abort()
            elif connection.open and peek(connection.transport) is None:  # otherwise connectionLost follows
                self._send_exchange(connection, exchange)
                return
        pool.waiting.append(exchange)
        if pool.dials >= len(pool.waiting) or self._dial(pool):
            return
        # No socket is available. A connection of this pool may become free within the connect timeout.
        timeout = self.dial_timeout if pool.busy else 0.0
        self.reactor.callLater(timeout, self._queue_timed_out, pool, exchange)

    def _queue_timed_out(self, pool: AddressPool, exchange: Exchange) -> None:
        if exchange in pool.waiting:
            pool.waiting.remove(exchange)
            self._report_unsent(exchange)

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
        connecting = dial(self.reactor, host, int(port), self.dial_timeout, Connection(self, pool))
        connecting.addCallbacks(self.connection_opened, self._connect_failed, errbackArgs=(pool,))
        connecting.addErrback(
            lambda failure: log.error("connect_handling_failed", why=failure.getTraceback())
        )
        return True

    def connection_opened(self, connection: Connection) -> None:
        """Use a newly established connection."""
        connection.pool.dials -= 1
        connection.idle_since = self.clock()
        self._use_free_connection(connection, connection.pool)

    def _connect_failed(self, failure: Failure, pool: AddressPool) -> None:
        pool.dials -= 1
        self.sockets.endpoints -= 1
        log.debug("connect_failed", address=pool.address, why=failure.getErrorMessage())
        self.counts["dials_failed"] += 1
        # This dial was started for the exchange that has waited longest.
        while len(pool.waiting) > pool.dials:
            self._report_unsent(pool.waiting.popleft())

    def _report_unsent(self, exchange: Exchange) -> None:
        """Report that no byte of the request was written, so the call never ran."""
        if exchange.call is not None:
            self.broker.call_ended(exchange.call, m.AttemptOutcome.NO_CONNECTION)

    def _send_exchange(self, connection: Connection, exchange: Exchange) -> None:
        connection.pool.busy[connection] = None
        call = exchange.call
        if call is None:
            connection.expect_response_within(RESPONSE_TIMEOUT)
        else:
            call.transport_state = connection
            exchange.data = self._build_request(call, connection.pool.address)
        connection.send(exchange)

    def _build_request(self, call: UpstreamCall, address: str) -> bytes:
        message: Payload = call.request.payload
        remaining_ms = max(int(call.expires - self.clock()), 1)
        headers = [
            (b"Host", address.encode()),
            (b"X-Call-Id", call.id.encode()),
            (b"X-Budget-Ms", b"%d" % remaining_ms),
            *(header for header in http1.end_to_end(message.headers) if header[0] not in PER_CALL_HEADERS),
        ]
        return http1.request(message.method, message.target, headers, message.body)

    def _use_free_connection(self, connection: Connection, pool: AddressPool) -> None:
        """Send the next waiting exchange on a free connection, or keep the connection idle."""
        while pool.waiting and connection.open:
            exchange = pool.waiting.popleft()
            call = exchange.call
            if call is not None and not self.broker.may_start(call):
                self.broker.call_ended(call, m.AttemptOutcome.CANCELLED)
                continue
            # The endpoint started draining, or the start deadline passed, while the call was waiting.
            if call is not None and (
                self.registry.serving(call.endpoint) is None or self.clock() > call.start_deadline
            ):
                self._report_unsent(exchange)
                continue
            self._send_exchange(connection, exchange)
            return
        if connection.open and self.reuse.allows_reuse():
            pool.idle.append(connection)
        elif connection.open:
            connection.abort()

    def response_received(self, connection: Connection, exchange: Exchange, message: http1.Message) -> None:
        """Handle the complete response of an exchange."""
        call = exchange.call
        if call is not None and isinstance(message, http1.Response):
            call.transport_state = None
            self.reuse.record_call(reused=connection.reused, reset=False)
            if not call.accepted:
                self._report_outcome(call, message)
        connection.reused, connection.idle_since = True, self.clock()
        self.reactor.callLater(DUPLICATE_RESPONSE_WAIT, self._release, connection)

    def _release(self, connection: Connection) -> None:
        if connection.open:
            del connection.pool.busy[connection]
            self._use_free_connection(connection, connection.pool)

    def _report_outcome(self, call: UpstreamCall, message: http1.Response) -> None:
        if message.status == 202:
            call.accepted = True
        elif message.status in (503, 504) and message.headers.get(b"x-rejected") == b"1":
            self.broker.call_ended(call, m.AttemptOutcome.FULL)
        elif 400 <= message.status < 500:
            self.counts["unusable"] += 1
            self.broker.call_unusable(call)
        else:
            self.broker.call_ended(call, m.AttemptOutcome.ERROR)

    def connection_lost(self, connection: Connection, exchange: Exchange | None) -> None:
        """Handle the loss of a connection and of the exchange on it."""
        self.sockets.endpoints -= 1
        if connection in connection.pool.idle:
            connection.pool.idle.remove(connection)
        connection.pool.busy.pop(connection, None)
        call = exchange.call if exchange is not None else None
        if exchange is not None and call is not None:
            call.transport_state = None
            if not call.accepted:
                if exchange.written and not call.finished:
                    self.reuse.record_call(reused=connection.reused, reset=True)
                self.broker.call_ended(
                    call, m.AttemptOutcome.RESET if exchange.written else m.AttemptOutcome.NO_CONNECTION
                )

    def _close_oldest_idle(self) -> bool:
        idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.pool.idle.remove(oldest)
        oldest.abort()
        return True

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_INTERVAL, self._sweep)
        self.reuse.sweep()
        due = self.clock() - self.reuse.reuse_limit
        for pool in self.pools.values():
            while pool.idle and pool.idle[0].idle_since <= due:
                pool.idle.pop(0).abort()
            for connection in pool.busy:  # a response may stay incomplete although the call-back has arrived
                if connection.exchange and connection.exchange.call and connection.exchange.call.finished:
                    connection.expect_response_within(RESPONSE_TIMEOUT)
        current_addresses = {endpoint.host_port for endpoint in self.registry.endpoints.values()}
        for pool in [pool for pool in self.pools.values() if pool.address not in current_addresses]:
            if not (pool.idle or pool.waiting or pool.dials or pool.deletes):
                del self.pools[pool.address]

    def apply_listing(self, listing: Listing) -> None:
        """Close the connections to processes that were removed or have restarted."""
        for endpoint in listing.members:
            previous_start = self._process_started_at.get(endpoint.id, endpoint.up_since)
            self._process_started_at[endpoint.id] = endpoint.up_since
            if endpoint.state is m.WorkerState.GONE or endpoint.up_since > previous_start:
                self.close_idle(endpoint.host_port)

    def close_idle(self, address: str) -> None:
        """Close the connections to an address that carry no exchange, including those just used."""
        pool = self.pools.get(address)
        if pool is not None:
            for connection in (*pool.idle, *(c for c in pool.busy if c.exchange is None)):
                connection.abort()
            pool.idle.clear()
