"""Measured waits for a processor core, so that a busy machine does not look like a slow node."""

from __future__ import annotations

from collections import deque
from pathlib import Path

RETENTION = 10.0  # s for which samples are kept
WINDOW = 0.1  # s before a point in time from which samples count towards it


class ProcessorWaits:
    """Times when the emulator ("") or a node had no core: lateness then is not the node's fault.

    Both sources are measured: how late the emulator's own timers fired, and how long each node's process
    waited in the run queue for a core. An answer is excused by at most the measured wait.
    """

    def __init__(self) -> None:
        # process: (time, s waited since the previous sample)
        self.samples: dict[str, deque[tuple[float, float]]] = {}
        self.excused: list[str] = []

    def record(self, now: float, owner: str, waited: float) -> None:
        samples = self.samples.setdefault(owner, deque())
        samples.append((now, waited))
        while samples[0][0] < now - RETENTION:
            samples.popleft()

    def total_wait(self, owner: str, since: float, until: float) -> float:
        return sum(waited for time, waited in self.samples.get(owner, ()) if since <= time <= until)

    def explains(self, overrun: float, node: str, received: float, due: float, now: float) -> bool:
        """Whether waits for a core explain an answer that came `overrun` s too late. Waits around the arrival
        of the request and around its deadline both count, because the node's time starts when it reads the
        request.
        """
        measured = sum(
            self.total_wait(owner, received, min(received + WINDOW, due))
            + self.total_wait(owner, due - WINDOW, now)
            for owner in ("", node)
        )
        return overrun <= measured


def waited_for_processor(pid: int) -> float:
    """s that a process has been ready to run without a core since its start; 0 if the system doesn't count
    it."""
    try:
        # proc(5), schedstat: time on a core, time waiting for one (ns), time slices
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
    except (OSError, IndexError):
        return 0.0
