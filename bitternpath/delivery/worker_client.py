"""Delivers messages to workers over persistent HTTP/1.1 connections; each delivery is sent at most once."""

from __future__ import annotations

from twisted.internet.defer import Deferred, succeed

from bitternpath.delivery.exchanges import Exchange
from bitternpath.delivery.pool import AddressPool
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.net.clock import Timer
from bitternpath.net.reactor import TcpReactor
from bitternpath.transport.records import Message

SWEEP_INTERVAL_S = 0.5  # between checks for expired idle connections


class WorkerClient:
    """Connection pools by address for the deliveries of this node.

    The client never repeats a request, even if its connection fails; the message's shard decides on retries.
    """

    def __init__(self, reactor: TcpReactor) -> None:
        self._reactor = reactor
        self._pools: dict[str, AddressPool] = {}
        self._retired: list[AddressPool] = []  # pools of removed addresses, until their deliveries have ended
        self._sweep_timer: Timer | None = None
        self._stopped: Deferred[None] | None = None  # set once no more deliveries are accepted

    def deliver(self, target: WorkerTarget, message: Message, deadline_ms: int) -> Deferred[DeliveryResult]:
        """Deliver a message within `deadline_ms` milliseconds; the Deferred never fails."""
        exchange = Exchange(target, message, deadline_ms, self._reactor)
        if self._stopped is not None:
            exchange.complete_unsent(RefusalKind.NO_CONNECTION)
            return exchange.result
        pool = self._pools.get(target.address)
        if pool is None:
            pool = AddressPool(target.address, self._reactor, self._connections_changed)
            self._pools[target.address] = pool
        pool.limit = max(1, target.max_connections)
        pool.submit(exchange)
        return exchange.result

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        pool = self._pools.get(address)
        if pool is not None:
            pool.close_idle()

    def remove_address(self, address: str) -> None:
        """Retire the pool of a worker that left the catalogue; its deliveries in flight complete normally."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            self._retired.append(pool)
            pool.retire()
            self._connections_changed()

    def shutdown(self) -> Deferred[None]:
        """Refuse new deliveries; fires when those in flight have ended and all connections are closed."""
        if self._stopped is None:
            self._stopped = Deferred()
            for address in tuple(self._pools):
                self.remove_address(address)
            self._connections_changed()
        return self._stopped if not self._stopped.called else succeed(None)

    def _connections_changed(self) -> None:
        self._retired = [pool for pool in self._retired if not pool.empty]
        if self._stopped is not None:
            if not self._retired and not self._pools and not self._stopped.called:
                self._stopped.callback(None)
        elif self._sweep_timer is None and any(pool.has_idle for pool in self._pools.values()):
            self._sweep_timer = self._reactor.callLater(SWEEP_INTERVAL_S, self._close_expired)

    def _close_expired(self) -> None:
        self._sweep_timer = None
        for address, pool in tuple(self._pools.items()):
            pool.close_expired()
            if pool.empty:
                self._pools.pop(address, None)
        self._connections_changed()
