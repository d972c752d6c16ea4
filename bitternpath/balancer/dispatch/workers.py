"""What a dispatcher knows of each worker. Times are in ms."""

from bitternpath.balancer import messages as m


class Worker:
    """A worker as this dispatcher knows it."""

    def __init__(self, entry: m.WorkerEntry, warm_within: float = 0.0) -> None:
        self.entry, self.name, self.kind, self.up = entry, entry.worker, entry.kind, entry.up_since or 0.0
        self.n = self.strikes = self.slots = 0  # own jobs in flight, silences in a row, places (0: not told)
        self.last_heard = self.out_until = self.full_until = self.unsafe_out_until = self.last_begun = 0.0
        # By class: faults not made up for by a job that ended well, until when any and unsafe jobs stay away.
        self.faults: dict[str, tuple[int, float, float]] = {}
        self.warm_at = self.up + warm_within if self.up else 0.0
        self.cold_at = self.cold_work = 0.0  # of the last job while cold: when it was sent, and its work
        self.wait = self.wait_at = 0.0  # how long a job there had waited to begin, and when that was seen
        self.cancelled_until: list[float] = []  # when jobs that nobody waits for any more should end
        self.waiting = self.room = 0  # own jobs not begun; sends allowed while it is held to be full

    def broken(self, spec: m.JobClass, now: float) -> bool:
        """Whether faults keep jobs of the class away: its own, or those of two classes any job."""
        kept = [name for name, fault in self.faults.items() if fault[1 if spec.safe_to_repeat else 2] > now]
        return len(kept) > 1 or self.faults.get(spec.name, (0, 0.0, 0.0))[1] > now

    def load(self, now: float) -> int:
        """Own jobs there, those too that were called off: workers finish what they have."""
        self.cancelled_until = [end for end in self.cancelled_until if end > now]
        return self.n + len(self.cancelled_until)

    def own_queue(self, run: float) -> float:
        """How long own jobs that have not begun keep the slots busy that own jobs have there."""
        return self.waiting * run / max(self.n - self.waiting, 1)
