"""An edge node as a process: its HTTP servers and its graceful shutdown."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import logbook
from twisted.internet.defer import Deferred, DeferredList

from bitternpath.ingress.http_server import HttpServer
from bitternpath.ingress.servers import build_client_server, build_operator_server, build_readiness_server
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP
from bitternpath.net.reactor import ListeningPort, NodeReactor
from bitternpath.roles.edge import EdgeNode
from bitternpath.roles.environment import ProcessEnvironment
from bitternpath.roles.settings import Settings

log = logbook.Logger("edge")

RESERVED_DESCRIPTORS = 600  # descriptors for files and for connections to nodes, workers and receivers
MIN_CONNECTIONS = 64  # client connections, however few descriptors the settings allow
UNREADY_PERIOD_S = 2.1  # two failed readiness probes, 1 s apart, make the platform stop new connections
UNREADY_GRACE_DIVISOR = 3  # the unready period is at most the grace period divided by this
EXIT_RESERVE_S = 1.2  # part of the grace period that is reserved for the end of the process
FINAL_ANSWERS_LEAD_S = 0.4  # before the shutdown deadline: time for clients to read the last answers
LISTEN_BACKLOG = 1024
CHECK_INTERVAL_S = 0.05  # between checks whether all work is done; also from closing links to closing disk


class Server(NamedTuple):
    """One of the process's HTTP servers."""

    name: str  # as in the settings' table `listen`
    address: str  # `ip:port`, or "" where the settings have none
    site: HttpServer


class EdgeProcess:
    """One edge process. Implements `roles.process.Role`."""

    def __init__(
        self, reactor: NodeReactor, settings: Settings, environment: ProcessEnvironment | None = None
    ) -> None:
        """Raises the same exceptions as `EdgeNode`."""
        self.settings = settings
        self.node = EdgeNode(reactor, settings, environment)
        self._reactor = reactor
        self._servers = self._build_servers()
        self._ports: dict[str, ListeningPort] = {}
        self._sites: list[HttpServer] = []
        self._shutdown_deadline = 0.0
        self._finished: Callable[[], None] | None = None
        self._served = False
        self._pending_requests_answered = False

    # ---- start

    def listen(self) -> None:
        """Open all ports, the internal one last; may be called again after `CannotListenError`."""
        for name, address, site in self._servers:
            if address and name not in self._ports:
                host, _, port = address.rpartition(":")
                self._ports[name] = self._reactor.listenTCP(
                    int(port), site, backlog=LISTEN_BACKLOG, interface=host
                )
                self._sites.append(site)
        self.node.base.listen()

    def start(self) -> None:
        """Start to take part in the system."""
        self.node.start()
        log.info("event=listening node={} front={}", self.settings.node_name, self.settings.front)

    def reload(self) -> None:
        """Reload the settings file."""
        self.node.base.reload()

    # ---- graceful shutdown

    def shut_down(self, finished: Callable[[], None]) -> None:
        """Shut down gracefully, then call `finished()`.

        Becomes unready at once, answers all requests that were read, returns leases and sends reports; then
        closes links and disk.
        """
        log.info("event=shutdown_started")
        grace = self.settings.bounds.grace_s
        self._finished = finished
        self._shutdown_deadline = self._reactor.seconds() + grace - EXIT_RESERVE_S
        self.node.stopping = True
        self.node.deliveries.stopping = True
        self.node.base.announce_draining()
        if self.node.base.host is not None:
            self.node.base.host.transfer_leadership(CONFIGURATION_GROUP)
        self._reactor.callLater(min(UNREADY_PERIOD_S, grace / UNREADY_GRACE_DIVISOR), self._stop_serving)

    def _stop_serving(self) -> None:
        if "front" in self._ports:
            self._ports["front"].stopListening()
        drained: list[Deferred[None]] = [site.begin_shutdown() for site in self._sites]
        DeferredList(drained).addCallback(self._all_served)
        self._check_finished()

    def _all_served(self, _: object) -> None:
        self._served = True

    def _check_finished(self) -> None:
        """Wait until all work is done, for no longer than the grace period allows."""
        now = self._reactor.seconds()
        finished = self._is_finished()
        if not self._served and now >= self._shutdown_deadline - FINAL_ANSWERS_LEAD_S:
            self._answer_pending_requests()
        if not finished and now < self._shutdown_deadline:
            self._reactor.callLater(CHECK_INTERVAL_S, self._check_finished)
            return
        node = self.node
        log.info(
            "event=shutdown_completed served={} deliveries={} reports={} memory_mb={:.0f}",
            self._served,
            node.deliveries.in_flight,
            node.reports.in_flight,
            node.base.memory_peak_mb(),
        )
        node.base.stop()
        self._reactor.callLater(CHECK_INTERVAL_S, self._close_disk)

    def _is_finished(self) -> bool:
        node = self.node
        pending = node.deliveries.in_flight or node.reports.in_flight or node.callbacks.in_flight
        return self._served and not pending

    def _answer_pending_requests(self) -> None:
        """Answer each request that was read and is still pending, whatever its deadline."""
        if not self._pending_requests_answered:
            self._pending_requests_answered = True
            for site in self._sites:
                site.answer_pending()

    def _close_disk(self) -> None:
        self.node.base.close_disk()
        if self._finished is not None:
            self._finished()

    # ---- assembly

    def _build_servers(self) -> list[Server]:
        """The servers for clients and workers, for the platform and for the operator."""
        settings = self.settings
        node = self.node
        client_server = build_client_server(
            node,
            self._reactor,
            origin=settings.node_name,
            max_connections=max(settings.max_fds - RESERVED_DESCRIPTORS, MIN_CONNECTIONS),
            wall_ms=node.base.wall_clock.wall_ms,
        )
        return [
            Server("front", settings.front, client_server),
            Server("readiness", settings.readiness, build_readiness_server(node, self._reactor)),
            Server("control", settings.control, build_operator_server(node, self._reactor)),
        ]
