"""Simulated hosts, the network paths between them, and their sockets."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.simulation.connections import Connection
from bitternpath.testing.simulation.connector import Connector
from bitternpath.testing.simulation.errors import port_in_use
from bitternpath.testing.simulation.interfaces import Address
from bitternpath.testing.simulation.paths import Path
from bitternpath.testing.simulation.ports import DatagramPort, TcpPort
from bitternpath.testing.simulation.reactor import VirtualReactor
from bitternpath.testing.simulation.recorder import Recorder
from bitternpath.testing.simulation.scheduler import Scheduler

FIRST_EPHEMERAL_PORT = 32_768  # lowest local port of outgoing connections
DELAY_SAME_HOST_S, DELAY_SAME_ZONE_S, DELAY_CROSS_ZONE_S = 0.00005, 0.0003, 0.0012
DATAGRAM_LOSS = 0.005


class Host:
    """A machine of the simulated network: address, power state and open ports."""

    def __init__(self, network: Network, ip: str, zone: str) -> None:
        self.network = network
        self.ip = ip
        self.zone = zone
        self.powered = True
        self.factor = 1.0  # multiplies the delays of its paths
        self.ports: dict[int, TcpPort] = {}
        self.datagram_ports: dict[int, DatagramPort] = {}
        self._last_port = FIRST_EPHEMERAL_PORT - 1

    def ephemeral_port(self) -> int:
        """The next unused local port for an outgoing connection."""
        self._last_port += 1
        return self._last_port

    def close_sockets(self, reactor: VirtualReactor, random: Random) -> None:
        """Close the sockets of an ended process; each peer receives the end of the stream or a reset."""
        for open_socket in list(reactor.sockets):
            open_socket.killed(random.random() < 0.5)
        reactor.sockets.clear()

    def lose_power(self, reactor: VirtualReactor) -> None:
        """Close all sockets without notifying peers."""
        self.powered = False
        for open_socket in list(reactor.sockets):
            open_socket.lost_power()
        reactor.sockets.clear()


class Network:
    """All hosts of a run."""

    def __init__(self, scheduler: Scheduler, recorder: Recorder, random: Random) -> None:
        self.scheduler = scheduler
        self.recorder = recorder
        self._random = random
        self.hosts: dict[str, Host] = {}
        self.connections: dict[Connection, None] = {}
        self._paths: dict[tuple[str, str], Path] = {}

    def add_host(self, ip: str, zone: str) -> Host:
        """Add a host that is powered on."""
        host = self.hosts[ip] = Host(self, ip, zone)
        return host

    def path(self, source: str, target: str) -> Path:
        """The path from one host to another, created on first use."""
        path = self._paths.get((source, target))
        if path is None:
            path = Path(self._random, self._delay(source, target), DATAGRAM_LOSS)
            self._paths[source, target] = path
            self._set_factor(source, target, path)
        return path

    # ---- faults

    def partition(self, source: str, target: str) -> None:
        """Let no packet through in that direction."""
        path = self.path(source, target)
        if not path.partitioned:
            path.partitioned = True
            path.partitioned_since = self.scheduler.now

    def heal(self, source: str, target: str) -> None:
        """Open the direction again and retransmit the packets that were held back."""
        path = self.path(source, target)
        path.partitioned = False
        self._retransmit(path)

    def partitioned_pairs(self) -> list[tuple[str, str]]:
        """All partitioned directions, as (source, target)."""
        return [pair for pair, path in self._paths.items() if path.partitioned]

    def power_on(self, host: Host) -> None:
        """Power a host on; its former connections are unknown to it."""
        host.powered = True
        for (_, target), path in list(self._paths.items()):
            if target == host.ip:
                self._retransmit(path)

    def reset(self, a: str, b: str) -> None:
        """Reset all connections between two hosts."""
        for connection in list(self.connections):
            if {connection.client.local[0], connection.server.local[0]} == {a, b}:
                connection.reset()

    def set_factor(self, host: Host, factor: float) -> None:
        """Multiply all delays from and to a host by `factor`."""
        host.factor = factor
        for (source, target), path in self._paths.items():
            self._set_factor(source, target, path)

    def _set_factor(self, source: str, target: str, path: Path) -> None:
        ends = [self.hosts[ip].factor for ip in (source, target) if ip in self.hosts]
        path.factor = max(ends, default=1.0)

    def _retransmit(self, path: Path) -> None:
        for direction in list(path.blocked_directions):
            direction.retransmit()

    def _delay(self, source: str, target: str) -> float:
        if source == target:
            return DELAY_SAME_HOST_S
        hosts = self.hosts.get(source), self.hosts.get(target)
        zones = {host.zone for host in hosts if host is not None}
        return DELAY_SAME_ZONE_S if len(zones) == 1 else DELAY_CROSS_ZONE_S

    # ---- sockets

    def listen(self, reactor: VirtualReactor, port: int, factory: Any, interface: str) -> TcpPort:
        """Open a listening port; raises `CannotListenError`."""
        host = reactor.host
        if port in host.ports:
            raise port_in_use(interface, port)
        listener = TcpPort(reactor, port or host.ephemeral_port(), factory)
        host.ports[listener.port] = listener
        reactor.sockets[listener] = None
        factory.doStart()
        return listener

    def connect(
        self, reactor: VirtualReactor, host: str, port: int, factory: Any, timeout: float | None
    ) -> Connector:
        """Start an outgoing connection."""
        connector = Connector(reactor, (host, port), factory, timeout)
        connector.connect()
        return connector

    def listen_datagrams(
        self, reactor: VirtualReactor, port: int, protocol: Any, interface: str
    ) -> DatagramPort:
        """Open a datagram port; raises `CannotListenError`."""
        host = reactor.host
        if port in host.datagram_ports:
            raise port_in_use(interface, port)
        listener = host.datagram_ports[port] = DatagramPort(reactor, port, protocol)
        reactor.sockets[listener] = None
        protocol.makeConnection(listener)
        return listener

    def datagram_arrives(self, path: Path, datagram: bytes, sender: Address, target: Address) -> None:
        """Deliver a datagram to its port; called by the scheduler."""
        host = self.hosts.get(target[0])
        if host is None or not host.powered or path.partitioned:
            return
        port = host.datagram_ports.get(target[1])
        if port is not None:
            self.recorder.arrival(sender[0], target[0], datagram)
            port.received(datagram, sender)
