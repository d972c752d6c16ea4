"""Job classes with what has been learned of them, jobs, and their attempts. Times are in ms."""

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.workers import Worker
from bitternpath.dispatch.network import Network

# Weight of one job in moving means: of lasting properties, and of those that change over the day.
LONG_TERM_WEIGHT, SHORT_TERM_WEIGHT = 0.02, 0.1


class ClassState:
    """A job class, its network and its statistics. Open jobs keep their state object when settings change."""

    def __init__(self, spec: m.JobClass, settings: m.Settings) -> None:
        self.spec = spec
        self.settings = settings
        self.network = Network[Worker]()
        # Moving means: of the work hint, of the running time of a job of size 1, and of the same while the
        # fleet is not overloaded.
        self.mean_hint = self.mean_run_time = self.unloaded_run_time = 0.0
        # Recent running time of a job of size 1 by machine kind.
        self.run_time_by_kind: dict[str, float] = {}
        self.ended_jobs = 0
        self.longest_remaining = 0.0  # the longest time to its deadline with which a request has come

    def add_worker(self, worker: Worker) -> None:
        """Add a worker to the network, if it runs the class and is not there yet."""
        if worker.entry.can_run(self.spec) and worker.name not in self.network.index:
            self.network.join(worker)

    def value_rate(self) -> float:
        """Value earned per ms of a worker's time; 0 while the running time is unknown."""
        return self.spec.value / self.mean_run_time if self.mean_run_time else 0.0

    def max_wait(self) -> float:
        """How long a job of mean size can wait and still meet its latency target."""
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
        self.open = True  # no final answer yet
        self.attempts: list[Attempt] = []
        if request.hint:
            class_state.mean_hint += (
                LONG_TERM_WEIGHT * (request.hint - class_state.mean_hint)
                if class_state.mean_hint
                else request.hint
            )
        self.size = request.hint / class_state.mean_hint if request.hint else 1.0  # relative to the mean
        # A client's retry has less time left than the first attempt had: the difference was spent on earlier
        # attempts and counts against the latency target.
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
        # A job that would end too late to have any value is rejected early, as it would only take up a slot.
        shortest_run = min(class_state.run_time_by_kind.values(), default=0.0) * self.size
        self.answer_by = (
            self.deadline if self.spec.late_value_share else min(self.on_time_by, self.deadline)
        ) - shortest_run


class Attempt:
    """One attempt to run a job on a worker."""

    def __init__(self, job: Job, number: int, worker: Worker, now: float) -> None:
        self.job = job
        self.number = number
        self.worker = worker
        self.sent_at = now
        self.in_flight = True
        self.may_have_run = True
        self.started_at: float | None = None
        self.lost = False  # will likely never start, and so does not count in `Worker.in_flight`
        self.scored = False  # the network has learned from it
