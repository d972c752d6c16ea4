"""Workers that receive jobs over HTTP: the listed ones of the platform, and a rate-limited endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bitternpath.net.http1 import Request
from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.checker import CEILING_ALLOWANCE
from bitternpath.testing.fault_injection.http_client import Reply
from bitternpath.testing.fault_injection.http_server import ServerConnection, serve
from bitternpath.testing.fault_injection.job_behavior import JobBehavior
from bitternpath.testing.fault_injection.plan import LOOPBACK
from bitternpath.testing.fault_injection.records import Answer, Arrival, Run
from bitternpath.testing.fault_injection.time_bounds import BOUNDS

QUEUE_CAPACITY = 4  # maximum number of jobs that wait for a slot
# If a connection ends within this time after the answer, the answer may not have been read.
READ_MARGIN_AFTER_ANSWER_S = 0.1
NOT_EXECUTED = {"X-Not-Executed": "1"}
DEFAULT_DEADLINE_MS = 60_000


@dataclass(frozen=True, slots=True)
class WorkerDescription:
    """A worker's service, the id of its incarnation, and its number of concurrent jobs."""

    service: str
    instance: str
    slots: int = 1


@dataclass(slots=True)
class Job:
    """A request that is queued or being processed; `deadline` is on the actor's clock."""

    request_id: str
    request: Request
    connection: ServerConnection
    deadline: float
    answer: Deferred[Reply] = field(default_factory=Deferred)
    timer: Any = None


class HttpWorker:
    """A worker that receives jobs over HTTP at its own address."""

    def __init__(
        self,
        context: ActorContext,
        behavior: JobBehavior,
        description: WorkerDescription,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        """Start to listen; port 0 selects a free port."""
        self._reactor = context.reactor
        self._clock = context.clock
        self._history = context.history
        self._behavior = behavior
        self.service = description.service
        self.instance = description.instance
        self._slots = description.slots
        self._running: set[str] = set()
        self._waiting: list[Job] = []
        self._connections: list[ServerConnection] = []
        self.port, self.address = serve(context.reactor, host, self.handle, port)

    def list_entry(self) -> dict[str, Any]:
        """Return the worker's entry in the platform's endpoint list, as JSON values."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "id": self.instance,
        }

    def handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        """Answer a delivery or a health check."""
        if connection not in self._connections:
            self._connections = [opened for opened in self._connections if not opened.closed] + [connection]
        if request.method == b"GET" and request.path == b"/healthz":
            return succeed(
                Reply(200 if len(self._running) < self._slots else 503, self._identity_headers(""))
            )
        request_id = _header(request, b"x-request-id")
        refusal = self._rejection_status(request, request_id)
        if refusal:
            return succeed(Reply(refusal, {**self._identity_headers(request_id), **NOT_EXECUTED}))
        return self._enqueue(request, request_id, connection)

    def close(self) -> None:
        """Stop listening, and reset open connections."""
        self.port.stopListening()
        for connection in self._connections:
            if not connection.closed:
                connection.transport.abortConnection()

    def _rejection_status(self, request: Request, request_id: str) -> int:
        expected = _header(request, b"x-expect-instance")
        if expected and expected != self.instance:
            return 421
        if not request_id:
            return 400
        if request_id in self._running:
            return 409
        queue_is_full = len(self._running) >= self._slots and len(self._waiting) >= QUEUE_CAPACITY
        return 503 if queue_is_full else 0

    def _enqueue(self, request: Request, request_id: str, connection: ServerConnection) -> Deferred[Reply]:
        deadline = _header(request, b"x-deadline-ms")
        deadline_ms = int(deadline) if deadline.isdigit() else DEFAULT_DEADLINE_MS
        job = Job(request_id, request, connection, self._clock() + deadline_ms / 1000)
        job.answer = Deferred(lambda _: self._cancel_job(job))
        self._waiting.append(job)
        self._start_next()
        return job.answer

    def _cancel_job(self, job: Job) -> None:
        """Remove a job from the queue, or abort its run, because its connection has closed."""
        if job in self._waiting:
            self._waiting.remove(job)
        if job.timer is not None and job.timer.active():
            job.timer.cancel()
            self._running.discard(job.request_id)
            self._start_next()

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.pop(0)
            self._running.add(job.request_id)
            request = job.request
            run = Run(
                job.request_id,
                self._clock(),
                self.service,
                request.method.decode("latin-1"),
                request.target.decode("latin-1"),
                request.body,
                instance=self.instance,
                order_key=_header(request, b"x-order-key"),
            )
            self._history.runs.append(run)
            seconds = min(self._behavior.seconds(), max(job.deadline - self._clock(), 0.0))
            job.timer = self._reactor.callLater(seconds, self._finish, job)

    def _finish(self, job: Job) -> None:
        self._running.discard(job.request_id)
        status = self._behavior.status(job.request_id) if self._clock() < job.deadline else 504
        self._answer(job, status)
        self._start_next()

    def _answer(self, job: Job, status: int) -> None:
        """Answer the request of a finished run."""
        stamp = self._behavior.stamp(self.instance) if status == 200 else ""
        headers = self._identity_headers(job.request_id)
        if stamp:
            headers["X-Server-Stamp"] = stamp
        if status != 504:
            self._record_answer(Answer(job.request_id, self._clock(), status, stamp), job.connection)
        job.answer.callback(Reply(status, headers, b"ok" if stamp else b""))

    def _record_answer(self, answer: Answer, connection: ServerConnection) -> None:
        def lost() -> None:
            if self._clock() - answer.at < READ_MARGIN_AFTER_ANSWER_S:
                answer.read = False

        connection.on_lost = lost
        self._history.answers.append(answer)

    def _identity_headers(self, request_id: str) -> dict[str, str]:
        named = {"X-Instance-Id": self.instance}
        if request_id:
            named["X-Request-Id"] = request_id
        return named


class Endpoint(HttpWorker):
    """A worker outside the platform's list; records arrivals, and answers 429 over its rate limit."""

    def __init__(
        self,
        context: ActorContext,
        behavior: JobBehavior,
        description: WorkerDescription,
        rate_per_s: float,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(context, behavior, description, host)
        self._rate_per_s = rate_per_s
        self._recent_arrivals: list[float] = []
        self.rejected_over_rate = 0

    def handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        """Answer like `HttpWorker.handle`, but reject deliveries over the rate limit."""
        if request.method == b"GET":
            return super().handle(request, connection)
        now = self._clock()
        self._history.arrivals.append(Arrival(now, self.service))
        window = BOUNDS["ceiling_window_s"]
        self._recent_arrivals = [at for at in self._recent_arrivals if at > now - window] + [now]
        if (
            len(self._recent_arrivals)
            > self._rate_per_s * window * BOUNDS["origin_rate_over"] + CEILING_ALLOWANCE
        ):
            self.rejected_over_rate += 1
            return succeed(
                Reply(429, {**self._identity_headers(_header(request, b"x-request-id")), **NOT_EXECUTED})
            )
        return super().handle(request, connection)


def _header(request: Request, name: bytes) -> str:
    return request.headers.get(name, b"").decode("latin-1")
