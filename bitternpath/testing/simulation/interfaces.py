"""Interfaces between the modules of the simulated network, which avoid import cycles.

`Network` and `Host` (`network.py`) implement `SimulatedNetwork` and `SimulatedHost`, `Connection`
(`connections.py`) implements `StreamConnection`, `TcpPort` (`ports.py`) implements `Acceptor`. Sockets and
reactors are untyped here, since the modules that define them import this one.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, Protocol

from bitternpath.testing.simulation.paths import Path
from bitternpath.testing.simulation.recorder import Recorder
from bitternpath.testing.simulation.scheduler import Scheduler

Address = tuple[str, int]


class Packet(Enum):
    """Kinds of packets of a connection."""

    ESTABLISHED = "established"
    DATA = "data"
    END = "end"
    RESET = "reset"


class StreamConnection(Protocol):
    """A connection, as its ends use it."""

    def send(self, sender: Any, packet: Packet, data: bytes = b"") -> None:
        """Send a packet to the other end."""

    def stop_sending(self, sender: Any) -> None:
        """Stop retransmission from that end and drop its undelivered packets."""

    def end_closed(self) -> None:
        """Notify the connection that one end has closed."""


class Acceptor(Protocol):
    """A listening port, as connections use it."""

    def accept(self, stream: Any) -> None:
        """Accept a connection; `stream` is its end at the port."""


class SimulatedNetwork(Protocol):
    """The network, as sockets and reactors use it."""

    scheduler: Scheduler
    recorder: Recorder
    connections: dict[Any, None]

    @property
    def hosts(self) -> Mapping[str, SimulatedHost]:
        """All hosts, by address."""

    def path(self, source: str, target: str) -> Path:
        """The path from one host to another."""

    def listen(self, reactor: Any, port: int, factory: Any, interface: str) -> Any:
        """Open a listening port; raises `CannotListenError`."""

    def connect(self, reactor: Any, host: str, port: int, factory: Any, timeout: float | None) -> Any:
        """Start an outgoing connection; returns its connector."""

    def listen_datagrams(self, reactor: Any, port: int, protocol: Any, interface: str) -> Any:
        """Open a datagram port; raises `CannotListenError`."""

    def datagram_arrives(self, path: Path, datagram: bytes, sender: Address, target: Address) -> None:
        """Deliver a datagram to its port; called by the scheduler."""


class SimulatedHost(Protocol):
    """A machine, as the sockets and reactors of its processes use it."""

    ip: str
    powered: bool
    ports: dict[int, Any]  # listening TCP ports
    datagram_ports: dict[int, Any]

    @property
    def network(self) -> SimulatedNetwork:
        """The network of the host."""

    def ephemeral_port(self) -> int:
        """The next unused local port for an outgoing connection."""
