"""What operators can ask of a running node and have it do, whoever carries the call. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath import messages as m
from bitternpath.core.broker import Broker
from bitternpath.core.roster import Roster
from bitternpath.http.console import Answer, Routes

READINESS, STATS = b"/ops/readiness", b"/ops/stats"


class Operations:
    """The calls of the console."""

    def __init__(
        self,
        broker: Broker,
        roster: Roster,
        clock: Callable[[], float],
        avoids: Callable[[float], set[str]],
        serves: Callable[[], bool],
    ) -> None:
        self.broker, self.roster, self.clock, self.avoids, self.serves = broker, roster, clock, avoids, serves
        gauges = {"hosts_listed": lambda: len(roster.providers), "hosts_down": self.down}
        broker.figures.has(gauges=gauges)

    def routes(self) -> Routes:
        return {READINESS: (b"GET", self.readiness), STATS: (b"GET", self.stats)}

    def readiness(self, body: bytes) -> Answer:
        return Answer(200, b"ready\n") if self.serves() else Answer(503, b"not ready\n")

    def stats(self, body: bytes) -> Answer:
        return Answer(200, self.broker.figures.lines().encode())

    def down(self) -> int:
        """Listed providers that the node avoids now: the module by its choice, or because they drain."""
        avoided = self.avoids(self.clock())
        return sum(p.id in avoided or p.state is not m.State.SERVING for p in self.roster.providers.values())
