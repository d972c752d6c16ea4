"""What the parts of a run on sockets need of one another: interfaces, below all of them.

`SocketWorld` (`world.py`) is the `Run`, `SocketNode` (`node.py`) a `RunningNode`, `FleetOnSockets`
(`emulator/fleet/processes.py`) the `RunningFleet`.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import Any, Protocol

from bitternpath.testing.emulator.checker import Checker
from bitternpath.testing.emulator.clients import ClientRequest, Clients, LoadBalancer
from bitternpath.testing.emulator.discovery import Directory
from bitternpath.testing.emulator.network import Network
from bitternpath.testing.emulator.scenario import Scenario
from bitternpath.testing.emulator.service import ServiceMetrics
from bitternpath.testing.emulator.sockets.pool import ClientConnection, ConnectionPool
from bitternpath.testing.emulator.worker import Worker


class RunningNode(Protocol):
    """One node, whichever process is its present life."""

    name: str
    site: str
    port: int
    alive: bool
    process: Any  # subprocess.Popen
    call_back_pool: ConnectionPool  # call-backs of workers


class RunningFleet(Protocol):
    """The processes that keep the fleet's record."""

    def environment(self, name: str) -> dict[str, str]:
        """What tells a process of them, as environment variables."""

    def program(self) -> list[str]:
        """The command that runs a process of the fleet, without its arguments."""


class WorkerAddresses(Protocol):
    """Where workers are reached."""

    def address(self, node: str, worker: str) -> str:
        """The `ip:port` at which that node reaches that worker."""


class Run(Protocol):
    """A scenario that is being played; times are seconds of the run."""

    scenario: Scenario
    reactor: Any
    folder: Path  # for the nodes' files and logs
    scheduler: Any  # the run's clock
    random: Random
    net: Network
    metrics: ServiceMetrics
    checker: Checker
    directory: Directory
    load_balancer: LoadBalancer
    failure_detection_s: float  # s until the front notices that a node is gone
    clients: Clients
    workers: dict[str, Worker]
    client_requests: dict[str, ClientRequest]  # by request
    connections: dict[str, ClientConnection]  # by request
    known_starts: dict[str, dict[str, float]]  # by worker and node: the worker's start as the node knows it
    blocked_call_backs: set[str]  # workers whose call-backs are lost
    duplicate_call_backs: float  # share of them
    needs_console: bool  # whether nodes need a console
    failures: list[str]

    @property
    def nodes(self) -> Mapping[str, RunningNode]:
        """All nodes by name."""

    @property
    def fleet(self) -> RunningFleet | None:
        """The fleet, where the scenario has one."""

    @property
    def worker_servers(self) -> WorkerAddresses:
        """The workers' listeners."""

    def now(self) -> float:
        """s of the run."""

    def to_client(self, client_site: str, node_site: str) -> float:
        """Delay in s of an answer from a node to a client."""

    def excuse_delay(self, now: float, node: RunningNode, client_request: ClientRequest) -> None:
        """Note where the machine held an answer up, and not the node."""
