"""Listening ports of simulated hosts: TCP and UDP."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed

from bitternpath.testing.simulation.interfaces import Address
from bitternpath.testing.simulation.reactor import VirtualReactor
from bitternpath.testing.simulation.streams import Stream

MAX_PENDING_DATAGRAMS = 64  # receive buffer of a frozen process; further datagrams are dropped


class TcpPort:
    """A listening port (`IListeningPort`)."""

    def __init__(self, reactor: VirtualReactor, port: int, factory: Any) -> None:
        self.reactor = reactor
        self.port = port
        self.factory = factory
        self.open = True

    def getHost(self) -> IPv4Address:
        """The address on which it listens."""
        return IPv4Address("TCP", self.reactor.host.ip, self.port)

    def stopListening(self) -> Deferred[None]:
        """Close the port; its connections stay open."""
        if self.open:
            self._close()
            self.factory.doStop()
        return succeed(None)

    loseConnection = stopListening

    def accept(self, stream: Stream) -> None:
        """Accept a connection; a frozen process does so after its thaw."""
        if not self.open:
            stream.killed(True)
            return
        self.reactor.read(lambda: self._accept(stream))

    def killed(self, resets: bool) -> None:
        """Close because the process has ended."""
        self._close()

    def lost_power(self) -> None:
        """Close because the host lost power."""
        self._close()

    def _close(self) -> None:
        self.open = False
        self.reactor.host.ports.pop(self.port, None)
        self.reactor.sockets.pop(self, None)

    def _accept(self, stream: Stream) -> None:
        if not self.open or self.reactor.ended:
            stream.killed(True)
            return
        self.reactor.run(self._build, stream)

    def _build(self, stream: Stream) -> None:
        protocol = self.factory.buildProtocol(stream.getPeer())
        if protocol is None:
            stream.killed(False)
        else:
            stream.start(protocol)


class DatagramPort:
    """A datagram port (`IUDPTransport`)."""

    def __init__(self, reactor: VirtualReactor, port: int, protocol: Any) -> None:
        self.reactor = reactor
        self.port = port
        self.protocol = protocol
        self._network = reactor.network
        self._open = True
        self._pending = 0

    def getHost(self) -> IPv4Address:
        """The address on which it listens."""
        return IPv4Address("UDP", self.reactor.host.ip, self.port)

    def write(self, datagram: bytes, addr: Address | None = None) -> None:
        """Send a datagram, which may be lost."""
        if not self._open or addr is None:
            return
        network, ip = self._network, self.reactor.host.ip
        path = network.path(ip, addr[0])
        if path.loses_datagram():
            return
        arrival = path.arrival(network.scheduler.now, len(datagram))
        network.scheduler.push(arrival, network.datagram_arrives, path, datagram, (ip, self.port), addr)

    def received(self, datagram: bytes, sender: Address) -> None:
        """Receive a datagram; a frozen process handles it after its thaw."""
        if self.reactor.frozen:
            if self._pending >= MAX_PENDING_DATAGRAMS:
                return
            self._pending += 1
        self.reactor.read(lambda: self._deliver(datagram, sender))

    def stopListening(self) -> Deferred[None]:
        """Close the port."""
        if self._open:
            self._close()
            self.protocol.doStop()
        return succeed(None)

    loseConnection = stopListening

    def killed(self, resets: bool) -> None:
        """Close because the process has ended."""
        self._close()

    def lost_power(self) -> None:
        """Close because the host lost power."""
        self._close()

    def _deliver(self, datagram: bytes, sender: Address) -> None:
        self._pending = max(self._pending - 1, 0)
        if self._open:
            self.reactor.run(self.protocol.datagramReceived, datagram, sender)

    def _close(self) -> None:
        self._open = False
        self.reactor.host.datagram_ports.pop(self.port, None)
        self.reactor.sockets.pop(self, None)
