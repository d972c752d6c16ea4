"""Job classes with what is learned of them, jobs, and their attempts. Times are in ms."""

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.workers import Worker
from bitternpath.dispatch.network import Network

SLOW, QUICK = 0.02, 0.1  # weight of one job in means that last and in means that follow the day


class ClassState:
    """A class with its network and what its jobs usually take. Its jobs keep it when other settings come."""

    def __init__(self, spec: m.JobClass, settings: m.Settings) -> None:
        self.spec = spec
        self.settings = settings
        self.net = Network[Worker]()
        # Means of the hint, of the running time at size 1, and of that when nothing slows the fleet.
        self.hint = self.run = self.work = 0.0
        self.pace: dict[str, float] = {}  # running time of late on each kind of machine, at size 1
        self.ended = 0  # jobs
        self.patience = 0.0  # the longest time that a client gave an attempt

    def join(self, worker: Worker) -> None:
        if worker.entry.can_run(self.spec) and worker.name not in self.net.index:
            self.net.join(worker)

    def value_rate(self) -> float:
        """Value per ms of a worker's time."""
        return self.spec.value / self.run if self.run else 0.0

    def longest_wait(self) -> float:
        """ms for which its usual job can wait and still meet its latency target."""
        return (
            self.spec.latency_target
            + self.spec.work_factor * self.work
            - min(self.pace.values(), default=0.0)
        )


class Job:
    """A request and its attempts."""

    def __init__(self, request: m.Request, class_state: ClassState, now: float, marked: bool) -> None:
        self.id = request.id
        self.request = request
        self.class_state = class_state
        self.spec = class_state.spec
        self.settings = class_state.settings
        self.deadline = now + request.remaining
        self.open = True  # not answered yet
        self.attempts: list[Attempt] = []
        if request.hint:
            class_state.hint += SLOW * (request.hint - class_state.hint) if class_state.hint else request.hint
        self.size = request.hint / class_state.hint if request.hint else 1.0  # 1 is the mean
        # A client's earlier tries have used up some of the aim, as the time that it still gives us shows.
        class_state.patience = max(class_state.patience, request.remaining)
        used = class_state.patience - request.remaining if request.repeat or not marked else 0.0
        self.end_by = (
            now - used + self.spec.latency_target + self.spec.work_factor * (request.hint or class_state.work)
        )
        # What would end late for nothing, or after the deadline, is turned away early: it takes up a place.
        least = min(class_state.pace.values(), default=0.0) * self.size
        self.settle_by = (
            self.deadline if self.spec.late_value_share else min(self.end_by, self.deadline)
        ) - least


class Attempt:
    """One sending of a job."""

    def __init__(self, job: Job, n: int, worker: Worker, now: float) -> None:
        self.job = job
        self.n = n
        self.worker = worker
        self.sent = now
        self.in_flight = True
        self.ran = True  # may have run
        self.begun: float | None = None
        self.lost = False  # will likely never begin, and so does not count in `Worker.n`
        self.scored = False  # the network has learned from it
