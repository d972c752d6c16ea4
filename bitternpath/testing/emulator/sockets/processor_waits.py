"""Waiting for a processor, as measured in a run: a busy machine must not pass for a slow node."""

from __future__ import annotations

from collections import deque
from pathlib import Path

KEPT = 10.0  # s for which looks are kept
AROUND = 0.1  # s before a moment of which the looks count as its own


class ProcessorWaits:
    """When there was no core for the world ("") or a node: what fell due meanwhile tells nothing of a node.

    Two sources, both measured: how late the world's own timers rang, and for how long each node's process
    stood in the queue for a core. An answer is excused by as much as was seen, and no more."""

    def __init__(self) -> None:
        self.looks: dict[str, deque[tuple[float, float]]] = {}  # who: when, s waited since the look before
        self.excused: list[str] = []

    def record(self, now: float, who: str, waited: float) -> None:
        looks = self.looks.setdefault(who, deque())
        looks.append((now, waited))
        while looks[0][0] < now - KEPT:
            looks.popleft()

    def waited(self, who: str, since: float, until: float) -> float:
        return sum(waited for when, waited in self.looks.get(who, ()) if since <= when <= until)

    def excuses(self, over: float, node: str, taken: float, due: float, now: float) -> bool:
        """Whether an answer `over` s beyond what is allowed came so late for want of a core: the node counts
        from when it read the request, so that a wait then and one at the end both count."""
        seen = sum(
            self.waited(who, taken, min(taken + AROUND, due)) + self.waited(who, due - AROUND, now)
            for who in ("", node)
        )
        return over <= seen


def waited_for_processor(process: int) -> float:
    """How long (s) a process has been ready to run without a core, since its start; 0 where nobody counts."""
    try:
        # proc(5), schedstat: time on a core, time waiting for one (ns), turns
        return int(Path(f"/proc/{process}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0
