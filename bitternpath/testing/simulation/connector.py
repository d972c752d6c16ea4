"""Outgoing connections over the simulated network."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.python.failure import Failure

from bitternpath.testing.simulation.connections import Connection
from bitternpath.testing.simulation.errors import connect_cancelled, failure, refused, timed_out
from bitternpath.testing.simulation.interfaces import Address
from bitternpath.testing.simulation.paths import Path
from bitternpath.testing.simulation.ports import TcpPort
from bitternpath.testing.simulation.reactor import VirtualReactor
from bitternpath.testing.simulation.streams import Stream

SYN_RETRIES_S = (1.0, 2.0, 4.0, 8.0)  # delays of the retransmissions of a SYN, in seconds


class Connector:
    """An outgoing connection, from its first packet on (`IConnector`)."""

    def __init__(self, reactor: VirtualReactor, target: Address, factory: Any, timeout: float | None) -> None:
        self.reactor = reactor
        self.target = target
        self.factory = factory
        self.timeout = timeout
        self._network = reactor.network
        self.state = "disconnected"
        self.transport: Stream | None = None
        self._attempt = 0
        self._timer: Any = None

    def connect(self) -> None:
        """Start to connect."""
        self.state = "connecting"
        self._attempt += 1
        self.factory.doStart()
        if self.timeout is not None:
            self._timer = self.reactor.callLater(self.timeout, self._failed, timed_out())
        self.factory.startedConnecting(self)
        if self.state == "connecting":
            self._send_syn(self._attempt, 0)

    def disconnect(self) -> None:
        """Stop connecting, or close the connection."""
        if self.state == "connecting":
            self.stopConnecting()
        elif self.state == "connected" and self.transport is not None:
            self.transport.loseConnection()

    def stopConnecting(self) -> None:
        """Cancel the attempt; raises `RuntimeError` if there is none."""
        if self.state != "connecting":
            raise RuntimeError("not connecting")
        self._failed(connect_cancelled())

    def getDestination(self) -> IPv4Address:
        """The address to which it connects."""
        return IPv4Address("TCP", *self.target)

    def connectionLost(self, reason: Failure) -> None:
        """Notify the factory of the end of the connection."""
        self.state = "disconnected"
        self.factory.clientConnectionLost(self, reason)
        if self.state == "disconnected":
            self.factory.doStop()

    def _send_syn(self, attempt: int, tries: int) -> None:
        """Send a SYN and schedule its retransmission."""
        if not self._is_current(attempt) or not self.reactor.host.powered:
            return
        scheduler = self._network.scheduler
        path = self._network.path(self.reactor.host.ip, self.target[0])
        scheduler.push(path.arrival(scheduler.now, 0), self._syn_arrives, path, attempt)
        if tries < len(SYN_RETRIES_S):
            scheduler.push(scheduler.now + SYN_RETRIES_S[tries], self._send_syn, attempt, tries + 1)

    def _syn_arrives(self, path: Path, attempt: int) -> None:
        host = self._network.hosts.get(self.target[0])
        reverse_path = self._network.path(self.target[0], self.reactor.host.ip)
        if host is None or not host.powered or path.partitioned or reverse_path.partitioned:
            return
        arrival = reverse_path.arrival(self._network.scheduler.now, 0)
        answer = self._refused if self.target[1] not in host.ports else self._answered
        self._network.scheduler.push(arrival, self.reactor.read, lambda: answer(attempt))

    def _refused(self, attempt: int) -> None:
        if self._is_current(attempt):
            self.reactor.run(self._failed, refused())

    def _answered(self, attempt: int) -> None:
        host = self._network.hosts.get(self.target[0])
        port = host.ports.get(self.target[1]) if host is not None else None
        if not self._is_current(attempt):
            return
        if port is None:
            self._refused(attempt)
            return
        self.reactor.run(self._connected, port)

    def _connected(self, port: TcpPort) -> None:
        self._stop_timer()
        self.state = "connected"
        local = self.reactor.host.ip, self.reactor.host.ephemeral_port()
        connection = Connection(self._network, self.reactor, port.reactor, (local, self.target))
        connection.open(port)
        protocol = self.factory.buildProtocol(self.getDestination())
        self.transport = connection.client
        self.transport.connector = self
        if protocol is None:
            self.transport.killed(False)
            self.connectionLost(failure(connect_cancelled()))
        else:
            self.transport.start(protocol)

    def _failed(self, reason: Exception) -> None:
        if self.state != "connecting":
            return
        self._stop_timer()
        self.state = "disconnected"
        self.factory.clientConnectionFailed(self, failure(reason))
        if self.state == "disconnected":
            self.factory.doStop()

    def _is_current(self, attempt: int) -> bool:
        return self.state == "connecting" and attempt == self._attempt and not self.reactor.ended

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
