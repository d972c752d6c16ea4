"""Job classes with what is learned of them, jobs, and their attempts. Times are in ms."""

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.workers import Worker
from bitternpath.dispatch.network import Network

LONG_TERM_WEIGHT, SHORT_TERM_WEIGHT = (
    0.02,
    0.1,
)  # weight of one job in means that last and in means that follow the day


class ClassState:
    """A class with its network and what its jobs usually take. Its jobs keep it when other settings come."""

    def __init__(self, spec: m.JobClass, settings: m.Settings) -> None:
        self.spec = spec
        self.settings = settings
        self.network = Network[Worker]()
        # Means of the hint, of the running time at size 1, and of that when nothing slows the fleet.
        self.mean_hint = self.mean_run_time = self.unloaded_run_time = 0.0
        self.run_time_by_kind: dict[
            str, float
        ] = {}  # running time of late on each kind of machine, at size 1
        self.ended_jobs = 0  # jobs
        self.longest_remaining = 0.0  # the longest time that a client gave an attempt

    def add_worker(self, worker: Worker) -> None:
        if worker.entry.can_run(self.spec) and worker.name not in self.network.index:
            self.network.join(worker)

    def value_rate(self) -> float:
        """Value per ms of a worker's time."""
        return self.spec.value / self.mean_run_time if self.mean_run_time else 0.0

    def max_wait(self) -> float:
        """ms for which its usual job can wait and still meet its latency target."""
        return (
            self.spec.latency_target
            + self.spec.work_factor * self.unloaded_run_time
            - min(self.run_time_by_kind.values(), default=0.0)
        )


class Job:
    """A request and its attempts."""

    def __init__(self, request: m.Request, class_state: ClassState, now: float, retries_marked: bool) -> None:
        self.id = request.id
        self.request = request
        self.class_state = class_state
        self.spec = class_state.spec
        self.settings = class_state.settings
        self.deadline = now + request.remaining
        self.open = True  # not answered yet
        self.attempts: list[Attempt] = []
        if request.hint:
            class_state.mean_hint += (
                LONG_TERM_WEIGHT * (request.hint - class_state.mean_hint)
                if class_state.mean_hint
                else request.hint
            )
        self.size = request.hint / class_state.mean_hint if request.hint else 1.0  # 1 is the mean
        # A client's earlier tries have used up some of the aim, as the time that it still gives us shows.
        class_state.longest_remaining = max(class_state.longest_remaining, request.remaining)
        time_used = (
            class_state.longest_remaining - request.remaining if request.repeat or not retries_marked else 0.0
        )
        self.on_time_by = (
            now
            - time_used
            + self.spec.latency_target
            + self.spec.work_factor * (request.hint or class_state.unloaded_run_time)
        )
        # What would end late for nothing, or after the deadline, is turned away early: it takes up a place.
        shortest_run = min(class_state.run_time_by_kind.values(), default=0.0) * self.size
        self.answer_by = (
            self.deadline if self.spec.late_value_share else min(self.on_time_by, self.deadline)
        ) - shortest_run


class Attempt:
    """One sending of a job."""

    def __init__(self, job: Job, number: int, worker: Worker, now: float) -> None:
        self.job = job
        self.number = number
        self.worker = worker
        self.sent_at = now
        self.in_flight = True
        self.may_have_run = True  # may have run
        self.started_at: float | None = None
        self.lost = False  # will likely never begin, and so does not count in `Worker.n`
        self.scored = False  # the network has learned from it
