"""The state that a dispatcher keeps for each worker. Times are in ms."""

from bitternpath.balancer import messages as m


class Worker:
    """A listed worker, as this dispatcher knows it from its list entry and from its own attempts."""

    def __init__(self, entry: m.WorkerEntry, warm_within: float = 0.0) -> None:
        self.entry, self.name, self.kind, self.up_since = (
            entry,
            entry.worker,
            entry.kind,
            entry.up_since or 0.0,
        )
        # Own jobs in flight; suspensions in a row without a report in between; slots, 0 if not stated.
        self.in_flight = self.suspensions = self.slots = 0
        # In this order: the last report from it; until when no job is sent, it counts as full, and no unsafe
        # job is sent; when the newest of the jobs that have started was sent.
        self.last_report_at = self.suspended_until = self.full_until = self.unsafe_suspended_until = (
            self.newest_started_send
        ) = 0.0
        # By class: the number of faults less that of later successes, until when no job of the class is sent,
        # and until when no unsafe one is.
        self.faults: dict[str, tuple[int, float, float]] = {}
        self.warm_at = self.up_since + warm_within if self.up_since else 0.0
        # When the last job was sent while the worker was cold, and the work of that job.
        self.last_cold_send_at = self.last_cold_work = 0.0
        # The last known time that a job there waited before it started, and when that was observed.
        self.queue_wait = self.queue_wait_seen_at = 0.0
        self.cancelled_job_ends: list[float] = []  # when jobs that were cancelled but still run should end
        # Own jobs that have not started; jobs that may be sent although the worker counts as full.
        self.not_started = self.sends_while_full = 0

    def blocked_by_faults(self, spec: m.JobClass, now: float) -> bool:
        """Whether recent faults keep jobs of the class away: faults of that class, or of any two classes."""
        blocked_classes = [
            name for name, fault in self.faults.items() if fault[1 if spec.safe_to_repeat else 2] > now
        ]
        return len(blocked_classes) > 1 or self.faults.get(spec.name, (0, 0.0, 0.0))[1] > now

    def load(self, now: float) -> int:
        """Own jobs there, with those that were cancelled: workers finish what they have started."""
        self.cancelled_job_ends = [end for end in self.cancelled_job_ends if end > now]
        return self.in_flight + len(self.cancelled_job_ends)

    def own_queue_wait(self, run_time: float) -> float:
        """How long the own jobs that have not started will occupy the slots that run own jobs."""
        return self.not_started * run_time / max(self.in_flight - self.not_started, 1)
