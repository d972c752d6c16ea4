"""The life of an edge process: its listeners, and leaving in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet.defer import Deferred, DeferredList

from bitternpath.ingress.servers import build_client_server, build_operator_server, build_readiness_server
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP
from bitternpath.roles.edge import EdgeNode
from bitternpath.roles.machine import Machine
from bitternpath.roles.settings import Settings

log = logbook.Logger("edge")

RESERVED_DESCRIPTORS = 600  # for files, links to nodes, workers and receivers
UNREADY_S = 2.1  # two misses of the platform's question, a second apart: then no new connections come
EXIT_RESERVE_S = 1.2  # of the time of grace, kept for the end
FINAL_ANSWERS_LEAD_S = (
    0.4  # before that, whoever waits still gets an answer without a promise, and time to read it
)
LISTEN_BACKLOG = 1024
LOOK_S = 0.05


class EdgeProcess:
    """One edge process (see `roles.process.Role`)."""

    def __init__(self, reactor: Any, settings: Settings, machine: Machine | None = None) -> None:
        self.reactor, self.settings = reactor, settings
        self.node = EdgeNode(reactor, settings, machine)
        self._servers = self._build_servers()
        self._ports: dict[str, Any] = {}
        self._sites: list[Any] = []
        self._give_up_at = 0.0
        self._finished: Callable[[], None] | None = None
        self._served = False
        self._last_answers_given = False

    def listen(self) -> None:
        """Open all ports, the internal one last; raises `CannotListenError`, and may be called again then."""
        for name, address, site in self._servers:
            if address and name not in self._ports:
                host, _, port = address.rpartition(":")
                self._ports[name] = self.reactor.listenTCP(
                    int(port), site, backlog=LISTEN_BACKLOG, interface=host
                )
                self._sites.append(site)
        self.node.base.listen()

    def start(self) -> None:
        """Take part."""
        self.node.start()
        log.info("event=listening node={} front={}", self.settings.node_name, self.settings.front)

    def reload(self) -> None:
        """Read the settings again."""
        self.node.base.reload()

    def shut_down(self, finished: Callable[[], None]) -> None:
        """Unready at once; whole answers for all that was read; leases back; reports out; then the end."""
        log.info("event=shutting_down")
        grace = self.settings.bounds.grace_s
        self._finished = finished
        self._give_up_at = self.reactor.seconds() + grace - EXIT_RESERVE_S
        self.node.stopping = True
        self.node.deliveries.stopping = True
        self.node.base.leave()
        if self.node.base.host is not None:
            self.node.base.host.transfer_leadership(CONFIGURATION_GROUP)
        self.reactor.callLater(min(UNREADY_S, grace / 3), self._stop_serving)

    def _stop_serving(self) -> None:
        if "front" in self._ports:
            self._ports["front"].stopListening()
        sites: list[Deferred[None]] = [site.begin_shutdown() for site in self._sites]
        DeferredList(sites).addCallback(self._all_served)
        self._look()

    def _all_served(self, _: object) -> None:
        self._served = True

    def _look(self) -> None:
        node = self.node
        at_rest = (
            self._served
            and not node.deliveries.in_flight
            and not node.reports.in_flight
            and not node.callbacks.in_flight
        )
        if not self._served and self.reactor.seconds() >= self._give_up_at - FINAL_ANSWERS_LEAD_S:
            self._give_last_answers()
        if not at_rest and self.reactor.seconds() < self._give_up_at:
            self.reactor.callLater(LOOK_S, self._look)
            return
        log.info(
            "event=stopped served={} deliveries={} reports={} memory_mb={:.0f}",
            self._served,
            node.deliveries.in_flight,
            node.reports.in_flight,
            node.base.memory_peak_mb(),
        )
        node.base.stop()
        self.reactor.callLater(LOOK_S, self._end)

    def _give_last_answers(self) -> None:
        """A request that was read must not end without an answer, however long its deadline is."""
        if not self._last_answers_given:
            self._last_answers_given = True
            for site in self._sites:
                site.answer_pending()

    def _end(self) -> None:
        self.node.base.close_disk()
        if self._finished is not None:
            self._finished()

    def _build_servers(self) -> list[tuple[str, str, Any]]:
        """Name, address and site of the listeners for clients, the platform and the operator."""
        settings, node, reactor = self.settings, self.node, self.reactor
        most = max(settings.max_fds - RESERVED_DESCRIPTORS, 64)
        wall_ms = node.base.wall_clock.wall_ms
        front = build_client_server(
            node, reactor, origin=settings.node_name, max_connections=most, wall_ms=wall_ms
        )
        return [
            ("front", settings.front, front),
            ("readiness", settings.readiness, build_readiness_server(node, reactor)),
            ("control", settings.control, build_operator_server(node, reactor)),
        ]
