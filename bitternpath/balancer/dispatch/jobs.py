"""Job classes with what is learned of them, jobs, and their attempts. Times are in ms."""

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.workers import Worker
from bitternpath.dispatch.network import Network

SLOW, QUICK = 0.02, 0.1  # weight of one job in means that last and in means that follow the day


class ClassState:
    """A class with its network and what its jobs usually take. Its jobs keep it when other settings come."""

    def __init__(self, spec: m.JobClass, settings: m.Settings) -> None:
        self.spec, self.set, self.net = spec, settings, Network[Worker]()
        # Means of the hint, of the running time at size 1, and of that when nothing slows the fleet.
        self.hint = self.run = self.work = 0.0
        self.pace: dict[str, float] = {}  # running time of late on each kind of machine, at size 1
        self.ended, self.patience = 0, 0.0  # jobs ended; the longest time that a client gave a try

    def join(self, worker: Worker) -> None:
        if worker.entry.runs(self.spec) and worker.name not in self.net.index:
            self.net.join(worker)

    def earns(self) -> float:
        """Worth per time on a worker."""
        return self.spec.value / self.run if self.run else 0.0

    def bears(self) -> float:
        """How long its usual job can wait and still end in time."""
        return self.spec.aim + self.spec.stretch * self.work - min(self.pace.values(), default=0.0)


class Job:
    """A request and its attempts."""

    def __init__(self, request: m.Request, line: ClassState, now: float, marked: bool) -> None:
        self.id, self.request, self.line, self.spec, self.set = request.id, request, line, line.spec, line.set
        self.deadline, self.open = now + request.remaining, True
        self.tries: list[Attempt] = []
        if request.hint:
            line.hint += SLOW * (request.hint - line.hint) if line.hint else request.hint
        self.size = request.hint / line.hint if request.hint else 1.0  # 1 is the mean
        # A client's earlier tries have used up some of the aim, as the time that it still gives us shows.
        line.patience = max(line.patience, request.remaining)
        used = line.patience - request.remaining if request.repeat or not marked else 0.0
        self.end_by = now - used + self.spec.aim + self.spec.stretch * (request.hint or line.work)
        # What would end late for nothing, or after the deadline, is turned away early: it takes up a place.
        least = min(line.pace.values(), default=0.0) * self.size
        self.settle_by = (self.deadline if self.spec.late_worth else min(self.end_by, self.deadline)) - least


class Attempt:
    """One sending of a job."""

    def __init__(self, job: Job, n: int, worker: Worker, now: float) -> None:
        self.job, self.n, self.worker, self.sent = job, n, worker, now
        self.out = self.ran = True  # still out; may have run
        self.begun: float | None = None
        self.lost = self.scored = False  # will likely never begin, and so does not count as in flight
