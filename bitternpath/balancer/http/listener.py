"""The listener: accepts connections of clients and endpoints, limits their number, and closes them."""

from __future__ import annotations

import os
from collections import OrderedDict
from socket import AF_INET
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory, Protocol

from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.lifecycle import (
    NEW_CONNECTIONS_UNTIL_MS,
    Lifecycle,
    answer_time_after_stop,
    idle_connection_time_after_stop,
)
from bitternpath.balancer.http.client_connection import ClientConnection
from bitternpath.balancer.http.request_handler import RequestHandler
from bitternpath.net.sockets import BURST, BurstPort, Sockets

TIMEOUT_CHECK_INTERVAL = 0.25  # s
LINGER_TIME = 3000.0  # ms after the last response in which input is discarded
BACKLOG = 1024  # established connections that the system queues until they are accepted
# ms: connections idle for less are closed neither at the limit nor at shutdown: a request may be in transit.
RECENTLY_IDLE = 100.0
CLOSE_RETRY_INTERVAL = 0.1  # s until recently idle connections are checked again


class Listener(Factory):
    """Accepts the connections to the node's address; closes idle ones at the socket limit and at shutdown."""

    noisy = False

    def __init__(
        self, reactor: Any, clock: Clock, sockets: Sockets, lifecycle: Lifecycle, handler: RequestHandler
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.sockets = sockets
        self.lifecycle = lifecycle
        self.handler = handler
        self.broker = handler.broker
        self.connections: dict[ClientConnection, None] = {}
        # Connections without a due response, and those after their last response; each oldest first.
        self.idle_connections: OrderedDict[ClientConnection, None] = OrderedDict()
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()
        self.closing: set[ClientConnection] = set()  # being closed without a response
        self.stopped_at: float | None = None  # ms: when the stop signal was received
        self.port: Any = None
        self.accepting = True
        self._capacity_check_scheduled = False

    def listen(self, host: str, port: int, shared: bool = False, descriptor: int | None = None) -> None:
        """Listen on the address, or on the socket passed by another process of this node."""
        factory: Any = self
        if descriptor is None:
            self.port = BurstPort(port, factory, BACKLOG, host, self.reactor)
        else:
            adopt: Any = BurstPort._fromListeningDescriptor
            self.port = adopt(self.reactor, descriptor, AF_INET, factory)
            os.close(descriptor)
        self.port.shared = shared
        self.port.startListening()
        self.lifecycle.listeners.append(self._update_accepting)
        self._check_timeouts()

    def buildProtocol(self, addr: IAddress | None) -> Protocol:
        return ClientConnection(self)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        self.connections[connection] = None
        self.idle_connections[connection] = None
        self.sockets.clients += 1
        self._close_excess_connections()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""
        if self.connections.pop(connection, connection) is None:
            self.sockets.clients -= 1
        self.idle_connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.closing.discard(connection)
        self._update_accepting()

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that no response is due: the connection becomes the last candidate for closing."""
        self.idle_connections[connection] = None
        self.idle_connections.move_to_end(connection)

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a response is due on the connection."""
        self.idle_connections.pop(connection, None)

    def mark_lingering(self, connection: ClientConnection) -> None:
        """Record that the last response was written and remaining input is discarded."""
        self.idle_connections.pop(connection, None)
        self.lingering[connection] = None

    def mark_closing(self, connection: ClientConnection) -> None:
        """Record that the connection is being closed without a response."""
        self.idle_connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.closing.add(connection)

    def _update_accepting(self) -> None:
        self._set_accepting(self.lifecycle.behavior.accepts and not self.sockets.clients_full())

    def _set_accepting(self, accepting: bool) -> None:
        if accepting == self.accepting:
            return
        self.accepting = accepting
        if accepting:
            self.port.startReading()
        else:
            self.broker.counts["accepting_paused"] += 1
            self.port.stopReading()

    def _close_excess_connections(self) -> None:
        """Close the connections idle for longest, so that new ones can be accepted.

        Connections idle for less than RECENTLY_IDLE stay open: a request may be in transit.
        """
        excess = len(self.connections) - len(self.closing) - (self.sockets.client_limit - BURST)
        idle_before = self.clock() - RECENTLY_IDLE
        for group in (self.lingering, self.idle_connections):
            while excess > 0 and group:
                oldest = next(iter(group))
                if oldest.last_activity > idle_before:
                    break
                oldest.drop()
                excess -= 1
        self._update_accepting()
        if not self.accepting and not self._capacity_check_scheduled:
            self._capacity_check_scheduled = True
            self.reactor.callLater(CLOSE_RETRY_INTERVAL, self._recheck_capacity)

    def _recheck_capacity(self) -> None:
        self._capacity_check_scheduled = False
        self._close_excess_connections()

    def _check_timeouts(self) -> None:
        self.reactor.callLater(TIMEOUT_CHECK_INTERVAL, self._check_timeouts)
        now = self.clock()
        for connection in list(self.idle_connections):
            connection.check_timeout(now)
        for connection in list(self.lingering):
            if connection.last_activity + LINGER_TIME > now:
                break
            connection.drop()

    # ---- shutdown

    def stop(self) -> None:
        """Start the shutdown: idle connections are closed as soon as the phase allows."""
        self.stopped_at = self.clock()
        self.broker.answer_deadline = self.stopped_at + answer_time_after_stop(self.handler.longest_deadline)
        self.reactor.callLater(NEW_CONNECTIONS_UNTIL_MS / 1000.0, self._close_idle)

    @property
    def has_client_connections(self) -> bool:
        """Whether connections that clients may still use are open."""
        expired = (
            self.stopped_at is not None
            and self.clock()
            > self.stopped_at + idle_connection_time_after_stop(self.handler.longest_deadline)
        )
        return not expired and any(c.open and not c.only_callbacks for c in self.connections)

    def _close_idle(self) -> None:
        self.reactor.callLater(CLOSE_RETRY_INTERVAL, self._close_idle)
        if not self.lifecycle.behavior.closes_idle and self.has_client_connections:
            return
        idle_before = self.clock() - RECENTLY_IDLE
        for connection in [c for c in self.idle_connections if c.idle and c.last_activity <= idle_before]:
            connection.drop()
