"""Discovery as the world has it: late, knows whether a process runs, and tells each node at its own time.
Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.endpoint_registry import Endpoint, Listing
from bitternpath.testing.emulator.scenario import Discovery, drawn
from bitternpath.testing.emulator.worker import Worker

EPOCH = 1_700_000_000_000.0  # Unix ms at the start of a run, so that a start is never 0, which means long ago

Tell = Callable[[str, Listing], None]  # node, what it is told


class Directory:
    """The list, and who has been told of which version of it."""

    def __init__(self, settings: Discovery, later: Any, random: Random) -> None:
        self.settings, self.later, self.random = settings, later, random
        self.notice, self.silent_notice = (
            drawn(random, settings.notice_s),
            drawn(random, settings.silent_notice_s),
        )
        self.add = drawn(random, settings.add_s)
        self.epoch = EPOCH  # Unix ms at the start of the run
        self.rows: dict[str, Endpoint] = {}
        self.revision = 1
        self.nodes: dict[str, Tell] = {}
        self.down = False  # it says nothing
        self.asked, self.granted = Counter[str](), Counter[str]()  # calls, by node
        self._busy_until = 0.0  # where it has to be asked
        self.dropped = 0.0  # share of changes that a node is told later, with the next one
        self.slower = 1.0
        self._lags: dict[str, float] = {}
        self._missed: dict[str, set[str]] = {}

    def row(self, worker: Worker, state: m.WorkerState = m.WorkerState.SERVING) -> Endpoint:
        since = self.epoch + worker.up_since * 1000.0 if worker.up_since > 0.0 else 0.0
        return Endpoint(
            worker.id, f"{worker.id}:1", worker.site, worker.kind.name, worker.cell, state, 1.0, since
        )

    def know(self, workers: list[Worker]) -> None:
        """What is there at the start."""
        self.rows = {worker.id: self.row(worker) for worker in workers}

    def whole(self) -> Listing:
        return Listing(self.revision, True, tuple(self.rows.values()))

    # ---- where nodes have to ask

    def ask(self, name: str, granted: Callable[[], None], failed: Callable[[], None]) -> None:
        """One call. Calls are served in turn; one that has waited too long has failed, but is served."""
        self.asked[name] += 1
        told, now = self.settings, self.later.now
        if self.down:
            self.later.callLater(told.call_waits_s, failed)
            return
        done = max(self._busy_until, now) + 1.0 / told.calls_per_s
        if done - now > 2 * told.call_waits_s:  # no more wait than it could ever serve
            self.later.callLater(0.0, failed)
            return
        self._busy_until = done
        if done - now > told.call_waits_s:
            self.later.callLater(told.call_waits_s, failed)
        else:
            self.granted[name] += 1
            self.later.callLater(done - now, granted)

    # ---- what happens to workers

    def started(self, worker: Worker) -> None:
        self.later.callLater(self.add * self.slower, self._change, self.row(worker))

    def ended(self, worker: Worker, silent: bool) -> None:
        wait = self.silent_notice if silent else self.notice
        self.later.callLater(wait * self.slower, self._gone, worker.id, worker.up_since)

    def draining(self, worker: Worker) -> None:
        self.later.callLater(self.add * self.slower, self._change, self.row(worker, m.WorkerState.DRAINING))

    def _gone(self, worker: str, up_since: float) -> None:
        found = self.rows.get(worker)
        since = self.epoch + up_since * 1000.0 if up_since > 0.0 else 0.0
        if found is not None and found.up_since == since:
            self._change(Endpoint(worker, found.host_port, found.zone, found.kind, found.cell,
                                  m.WorkerState.GONE, found.size, found.up_since))  # fmt: skip

    def _change(self, row: Endpoint) -> None:
        if row.state is m.WorkerState.GONE:
            self.rows.pop(row.id, None)
        else:
            self.rows[row.id] = row
        self.revision += 1
        for name in list(self.nodes):
            # Each node hears at a lag of its own, so that what it hears stays in order.
            lag = self._lags.setdefault(name, self.random.random() * self.settings.spread_s)
            self.later.callLater(lag, self._tell, name, row, self.revision)

    def _tell(self, name: str, row: Endpoint, revision: int) -> None:
        tell = self.nodes.get(name)
        if tell is None:
            return
        if self.down or self.random.random() < self.dropped:
            self._missed.setdefault(name, set()).add(row.id)
            return
        if self._missed.pop(name, None):  # after a gap the whole list comes
            tell(name, self.whole())
        else:
            tell(name, Listing(revision, False, (row,)))

    def back(self) -> None:
        """It speaks again."""
        self.down = False
        for name in list(self._missed):
            if name in self.nodes:
                self.nodes[name](name, self.whole())
        self._missed.clear()
