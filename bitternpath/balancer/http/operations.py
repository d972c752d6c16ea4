"""What operators can ask of a running node and have it do: the calls of the console."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.roster import Roster
from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.http.console import Answer, Routes, one_id
from bitternpath.balancer.store.bans import Bans

READINESS, STATS = b"/ops/readiness", b"/ops/stats"
DOWN, UP = b"/ops/calendar-workers/down", b"/ops/calendar-workers/up"


def avoided(module: Dispatcher, now: float) -> set[str]:
    """Names of the workers that the dispatcher leaves out at `now` (ms), for silence or for faults."""
    workers, lines = module.workers.values(), module.lines.values()
    return {w.name for w in workers if w.out_until > now or all(w.broken(line.spec, now) for line in lines)}


class Operations:
    """The calls of the console."""

    def __init__(
        self,
        broker: Broker,
        roster: Roster,
        clock: Callable[[], float],
        module: Dispatcher,
        serves: Callable[[], bool],
        bans: Bans,
    ) -> None:
        self.bans = bans
        self.broker, self.roster, self.clock, self.module, self.serves = broker, roster, clock, module, serves
        gauges = {"hosts_listed": lambda: len(roster.providers), "hosts_down": self.down}
        broker.figures.has(gauges=gauges)

    def routes(self) -> Routes:
        return {
            READINESS: (b"GET", self.readiness),
            STATS: (b"GET", self.stats),
            DOWN: (b"POST", partial(self._by_hand, self.bans.down)),
            UP: (b"POST", partial(self._by_hand, self.bans.up)),
        }

    def readiness(self, body: bytes) -> Answer:
        return Answer(200, b"ready\n") if self.serves() else Answer(503, b"not ready\n")

    def stats(self, body: bytes) -> Answer:
        return Answer(200, self.broker.figures.lines().encode())

    @staticmethod
    def _by_hand(do: Callable[[str], bool], body: bytes) -> Answer:
        id = one_id(body)
        try:
            known = do(id)
        except OSError as error:
            return Answer(
                503, f"nothing has changed: it cannot be stored: {error.strerror or error}\n".encode()
            )
        return Answer(200, b"done\n") if known else Answer(404, b"no calendar worker has that id\n")

    def down(self) -> int:
        """Listed providers that the node avoids now: out by hand, draining, or left out by the module."""
        left_out = avoided(self.module, self.clock())
        return sum(p.id in left_out or p.state is not m.State.SERVING for p in self.roster.providers.values())
