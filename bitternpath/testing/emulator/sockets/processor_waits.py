"""Waiting for a processor, as measured in a run: a busy machine must not pass for a slow node."""

from __future__ import annotations

from collections import deque
from pathlib import Path

RETENTION = 10.0  # s for which looks are kept
WINDOW = 0.1  # s before a moment of which the looks count as its own


class ProcessorWaits:
    """When there was no core for the world ("") or a node: what fell due meanwhile tells nothing of a node.

    Two sources, both measured: how late the world's own timers rang, and for how long each node's process
    stood in the queue for a core. An answer is excused by as much as was seen, and no more."""

    def __init__(self) -> None:
        self.samples: dict[str, deque[tuple[float, float]]] = {}  # who: when, s waited since the look before
        self.excused: list[str] = []

    def record(self, now: float, owner: str, waited: float) -> None:
        samples = self.samples.setdefault(owner, deque())
        samples.append((now, waited))
        while samples[0][0] < now - RETENTION:
            samples.popleft()

    def total_wait(self, owner: str, since: float, until: float) -> float:
        return sum(waited for time, waited in self.samples.get(owner, ()) if since <= time <= until)

    def explains(self, overrun: float, node: str, received: float, due: float, now: float) -> bool:
        """Whether an answer `over` s beyond what is allowed came so late for want of a core: the node counts
        from when it read the request, so that a wait then and one at the end both count."""
        measured = sum(
            self.total_wait(owner, received, min(received + WINDOW, due))
            + self.total_wait(owner, due - WINDOW, now)
            for owner in ("", node)
        )
        return overrun <= measured


def waited_for_processor(pid: int) -> float:
    """How long (s) a process has been ready to run without a core, since its start; 0 where nobody counts."""
    try:
        # proc(5), schedstat: time on a core, time waiting for one (ns), turns
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0
