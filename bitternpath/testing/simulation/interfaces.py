"""What the parts of the simulated network need of one another: interfaces, below all of them.

`Network` and `Host` (`network.py`) are the `SimulatedNetwork` and `SimulatedHost`, `Connection`
(`connections.py`) a `StreamCarrier`, `TcpPort` (`ports.py`) an `Acceptor`. Sockets and reactors go through
here untyped: their types stand above.
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
    """What goes over a connection."""

    ESTABLISHED = "established"
    DATA = "data"
    END = "end"
    RESET = "reset"


class StreamConnection(Protocol):
    """What an end of a connection needs of the connection."""

    def send(self, sender: Any, packet: Packet, data: bytes = b"") -> None:
        """A packet to the other end."""

    def stop_sending(self, sender: Any) -> None:
        """That end sends nothing again, and holds nothing."""

    def end_closed(self) -> None:
        """One end has closed."""


class Acceptor(Protocol):
    """What a connection needs of the port that it is made to."""

    def accept(self, stream: Any) -> None:
        """A new connection, by its end here."""


class SimulatedNetwork(Protocol):
    """All hosts of a run, as their sockets and reactors know them."""

    scheduler: Scheduler
    recorder: Recorder
    connections: dict[Any, None]

    @property
    def hosts(self) -> Mapping[str, SimulatedHost]:
        """By address."""

    def path(self, source: str, target: str) -> Path:
        """The way from one host to another."""

    def listen(self, reactor: Any, port: int, factory: Any, interface: str) -> Any:
        """A listening port; raises `CannotListenError`."""

    def connect(self, reactor: Any, host: str, port: int, factory: Any, timeout: float | None) -> Any:
        """Dial; the connector."""

    def listen_datagrams(self, reactor: Any, port: int, protocol: Any, interface: str) -> Any:
        """A port for datagrams; raises `CannotListenError`."""

    def datagram_arrives(self, path: Path, datagram: bytes, sender: Address, target: Address) -> None:
        """Called by the scheduler."""


class SimulatedHost(Protocol):
    """A machine, as the sockets and reactors of its processes know it."""

    ip: str
    powered: bool
    ports: dict[int, Any]  # listening, TCP
    datagram_ports: dict[int, Any]

    @property
    def network(self) -> SimulatedNetwork:
        """Where it is."""

    def ephemeral_port(self) -> int:
        """A port for a connection out."""
