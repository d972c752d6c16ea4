"""Interfaces between the parts of a run on sockets, without dependencies on the implementations.

`SocketWorld` (`world.py`) implements `Run`, `SocketNode` (`node.py`) `RunningNode`, and `FleetProcesses`
(`emulator/fleet/processes.py`) `RunningFleet`.
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
    """One node, whichever process currently runs."""

    name: str
    site: str
    port: int
    alive: bool
    process: Any  # subprocess.Popen
    call_back_pool: ConnectionPool  # for call-backs of workers


class RunningFleet(Protocol):
    """The consensus servers that keep the fleet's record."""

    def environment(self, name: str) -> dict[str, str]:
        """The environment variables that give a process of the fleet the servers' addresses."""

    def program(self) -> list[str]:
        """The command that runs a process of the fleet, without its arguments."""


class WorkerAddresses(Protocol):
    """The addresses of the workers' servers."""

    def address(self, node: str, worker: str) -> str:
        """The `ip:port` at which that node reaches that worker."""


class Run(Protocol):
    """A run of a scenario; times are seconds of the run."""

    scenario: Scenario
    reactor: Any
    folder: Path  # for the nodes' files and logs
    scheduler: Any  # the run's clock, with `callLater`
    random: Random
    net: Network
    metrics: ServiceMetrics
    checker: Checker
    directory: Directory
    load_balancer: LoadBalancer
    failure_detection_s: float  # s until the load balancer notices that a node has died
    clients: Clients
    workers: dict[str, Worker]
    client_requests: dict[str, ClientRequest]  # by request id
    connections: dict[str, ClientConnection]  # by request id
    # worker: node: the worker's start time as reported to that node
    known_starts: dict[str, dict[str, float]]
    blocked_call_backs: set[str]  # workers whose call-backs don't get through
    duplicate_call_backs: float  # share of call-backs that are delivered twice
    needs_console: bool  # whether nodes need a console
    failures: list[str]

    @property
    def nodes(self) -> Mapping[str, RunningNode]:
        """All nodes by name."""

    @property
    def fleet(self) -> RunningFleet | None:
        """The fleet, if the scenario has one."""

    @property
    def worker_servers(self) -> WorkerAddresses:
        """The workers' servers."""

    def now(self) -> float:
        """s since the start of the run."""

    def to_client(self, client_site: str, node_site: str) -> float:
        """Delay in s of an answer from a node to a client."""

    def excuse_delay(self, now: float, node: RunningNode, client_request: ClientRequest) -> None:
        """Records an answer whose delay is due to the machine rather than to the node."""
