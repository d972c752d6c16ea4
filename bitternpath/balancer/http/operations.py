"""The operators' calls of the console: readiness, statistics, manual ejections."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.endpoint_registry import EndpointRegistry
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.http.console import Answer, Routes, one_id
from bitternpath.balancer.store.manual_ejections import ManualEjections

READINESS, STATS = b"/ops/readiness", b"/ops/stats"
DOWN, UP = b"/ops/calendar-workers/down", b"/ops/calendar-workers/up"


def avoided(module: Dispatcher, now: float) -> set[str]:
    """Names of the workers that the dispatcher avoids at `now` (ms), for silence or for faults."""
    workers, lines = module.workers.values(), module.class_states.values()
    return {
        w.name
        for w in workers
        if w.suspended_until > now or all(w.blocked_by_faults(line.spec, now) for line in lines)
    }


class Operations:
    """Implements the calls of the console."""

    def __init__(
        self,
        broker: Broker,
        registry: EndpointRegistry,
        clock: Callable[[], float],
        module: Dispatcher,
        serves: Callable[[], bool],
        manual_ejections: ManualEjections,
    ) -> None:
        self.manual_ejections = manual_ejections
        self.broker, self.registry, self.clock, self.module, self.serves = (
            broker,
            registry,
            clock,
            module,
            serves,
        )
        gauges = {"hosts_listed": lambda: len(registry.endpoints), "hosts_down": self.avoided_count}
        broker.statistics.register(gauges=gauges)

    def routes(self) -> Routes:
        """Path: method, what answers it."""
        return {
            READINESS: (b"GET", self.readiness),
            STATS: (b"GET", self.stats),
            DOWN: (b"POST", partial(self._eject_or_reinstate, self.manual_ejections.eject)),
            UP: (b"POST", partial(self._eject_or_reinstate, self.manual_ejections.reinstate)),
        }

    def readiness(self, body: bytes) -> Answer:
        """200 where this process serves, else 503."""
        return Answer(200, b"ready\n") if self.serves() else Answer(503, b"not ready\n")

    def stats(self, body: bytes) -> Answer:
        """All statistics, one a line."""
        return Answer(200, self.broker.statistics.lines().encode())

    @staticmethod
    def _eject_or_reinstate(do: Callable[[str], bool], body: bytes) -> Answer:
        id = one_id(body)
        try:
            known = do(id)
        except OSError as error:
            return Answer(
                503, f"nothing has changed: it cannot be stored: {error.strerror or error}\n".encode()
            )
        return Answer(200, b"done\n") if known else Answer(404, b"no calendar worker has that id\n")

    def avoided_count(self) -> int:
        """How many listed endpoints the node avoids now: ejected, draining, or left out by the module."""
        left_out = avoided(self.module, self.clock())
        return sum(
            p.id in left_out or p.state is not m.WorkerState.SERVING for p in self.registry.endpoints.values()
        )
