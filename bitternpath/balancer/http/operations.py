"""The console's handlers: readiness, statistics, manual ejections."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.http.console import ConsoleResponse, Routes, parse_id
from bitternpath.balancer.store.manual_ejections import ManualEjections

READINESS_PATH, STATS_PATH = b"/ops/readiness", b"/ops/stats"
EJECT_PATH, REINSTATE_PATH = b"/ops/calendar-workers/down", b"/ops/calendar-workers/up"


def avoided_workers(dispatcher: Dispatcher, now: float) -> set[str]:
    """Names of the workers that the dispatcher avoids at `now` (ms): suspended, or blocked by faults."""
    workers, class_states = dispatcher.workers.values(), dispatcher.class_states.values()
    return {
        w.name
        for w in workers
        if w.suspended_until > now
        or all(w.blocked_by_faults(class_state.spec, now) for class_state in class_states)
    }


class Operations:
    """Implements the requests to the console."""

    def __init__(
        self,
        broker: Broker,
        registry: EndpointRegistry,
        clock: Callable[[], float],
        dispatcher: Dispatcher,
        is_serving: Callable[[], bool],
        manual_ejections: ManualEjections,
    ) -> None:
        self.manual_ejections = manual_ejections
        self.broker, self.registry, self.clock, self.dispatcher, self.is_serving = (
            broker,
            registry,
            clock,
            dispatcher,
            is_serving,
        )
        gauges = {"hosts_listed": lambda: len(registry.endpoints), "hosts_down": self.avoided_endpoint_count}
        broker.statistics.register(gauges=gauges)

    def routes(self) -> Routes:
        """The routes of the console: path to method and handler."""
        return {
            READINESS_PATH: (b"GET", self.readiness),
            STATS_PATH: (b"GET", self.stats),
            EJECT_PATH: (b"POST", partial(self._eject_or_reinstate, self.manual_ejections.eject)),
            REINSTATE_PATH: (b"POST", partial(self._eject_or_reinstate, self.manual_ejections.reinstate)),
        }

    def readiness(self, body: bytes) -> ConsoleResponse:
        """Return 200 if this process is serving, else 503."""
        return ConsoleResponse(200, b"ready\n") if self.is_serving() else ConsoleResponse(503, b"not ready\n")

    def stats(self, body: bytes) -> ConsoleResponse:
        """Return all statistics, one per line."""
        return ConsoleResponse(200, self.broker.statistics.lines().encode())

    @staticmethod
    def _eject_or_reinstate(apply: Callable[[str], bool], body: bytes) -> ConsoleResponse:
        id = parse_id(body)
        try:
            is_known = apply(id)
        except OSError as error:
            return ConsoleResponse(
                503, f"nothing has changed: it cannot be stored: {error.strerror or error}\n".encode()
            )
        return (
            ConsoleResponse(200, b"done\n")
            if is_known
            else ConsoleResponse(404, b"no calendar worker has that id\n")
        )

    def avoided_endpoint_count(self) -> int:
        """Count the listed endpoints that are ejected, draining, or avoided by the dispatcher."""
        avoided_ids = avoided_workers(self.dispatcher, self.clock())
        return sum(
            p.id in avoided_ids or p.state is not m.WorkerState.SERVING
            for p in self.registry.endpoints.values()
        )
