"""What a dispatcher knows of each worker. Times are in ms."""

from bitternpath.balancer import messages as m


class Worker:
    """A worker as this dispatcher knows it."""

    def __init__(self, entry: m.WorkerEntry, warm_within: float = 0.0) -> None:
        self.entry, self.name, self.kind, self.up_since = (
            entry,
            entry.worker,
            entry.kind,
            entry.up_since or 0.0,
        )
        self.in_flight = self.suspensions = self.slots = (
            0  # own jobs in flight, silences in a row, places (0: not told)
        )
        self.last_report_at = self.suspended_until = self.full_until = self.unsafe_suspended_until = (
            self.newest_started_send
        ) = 0.0
        # By class: faults not made up for by a job that ended well, until when any and unsafe jobs stay away.
        self.faults: dict[str, tuple[int, float, float]] = {}
        self.warm_at = self.up_since + warm_within if self.up_since else 0.0
        self.last_cold_send_at = self.last_cold_work = (
            0.0  # of the last job while cold: when it was sent, and its work
        )
        self.queue_wait = self.queue_wait_seen_at = (
            0.0  # how long a job there had waited to begin, and when that was seen
        )
        self.cancelled_job_ends: list[float] = []  # when jobs that nobody waits for any more should end
        self.not_started = self.sends_while_full = (
            0  # own jobs not begun; sends allowed while it is held to be full
        )

    def blocked_by_faults(self, spec: m.JobClass, now: float) -> bool:
        """Whether faults keep jobs of the class away: its own, or those of two classes any job."""
        blocked_classes = [
            name for name, fault in self.faults.items() if fault[1 if spec.safe_to_repeat else 2] > now
        ]
        return len(blocked_classes) > 1 or self.faults.get(spec.name, (0, 0.0, 0.0))[1] > now

    def load(self, now: float) -> int:
        """Own jobs there, those too that were called off: workers finish what they have."""
        self.cancelled_job_ends = [end for end in self.cancelled_job_ends if end > now]
        return self.in_flight + len(self.cancelled_job_ends)

    def own_queue_wait(self, run_time: float) -> float:
        """How long own jobs that have not begun keep the slots busy that own jobs have there."""
        return self.not_started * run_time / max(self.in_flight - self.not_started, 1)
