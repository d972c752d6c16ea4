"""The platform's load balancer, which selects edge nodes for new connections (PROTOCOL, "Ingress")."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from random import Random
from typing import Any

from bitternpath.testing.fault_injection.http_client import Call, CallFailure, Reply, send_call
from bitternpath.testing.fault_injection.plan import Port, ReachableNode

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.9
# After this many consecutive failures a node gets no new connections until it answers 200 again.
MAX_FAILED_PROBES = 2


class LoadBalancer:
    """Probes the readiness of edge nodes and selects among the ready ones."""

    def __init__(self, reactor: Any, edges: Sequence[ReachableNode], random: Random) -> None:
        """Create the load balancer; the caller may change `edges` later."""
        self._reactor = reactor
        self._edges = edges
        self._random = random
        self._failed_probes: dict[str, int] = defaultdict(lambda: MAX_FAILED_PROBES)
        self._timer: Any = None

    def start(self) -> None:
        """Probe all nodes now and periodically."""
        self._timer = self._reactor.callLater(PROBE_INTERVAL_S, self.start)
        for edge in self._edges:
            probe = send_call(
                self._reactor, edge.address(Port.READINESS), Call("GET", "/readyz"), PROBE_TIMEOUT_S
            )
            probe.addCallback(self._answered, edge.name)

    def stop(self) -> None:
        """Stop probing."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def ready(self) -> list[ReachableNode]:
        """Return the nodes that get new connections."""
        return [edge for edge in self._edges if self._failed_probes[edge.name] < MAX_FAILED_PROBES]

    def choose(self, zone: str = "") -> ReachableNode:
        """Return a random ready node, preferably in `zone`; any node if none is ready."""
        ready = self.ready()
        in_zone = [edge for edge in ready if edge.zone == zone]
        return self._random.choice(in_zone or ready or list(self._edges))

    def _answered(self, answer: Reply | CallFailure, name: str) -> None:
        is_ready = isinstance(answer, Reply) and answer.status == 200
        self._failed_probes[name] = 0 if is_ready else self._failed_probes[name] + 1
