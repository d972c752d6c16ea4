"""Workers: those of the platform's list, an endpoint with a rate, and those that pull."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from bitternpath.net.http1 import Request
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import LOOPBACK, Port
from bitternpath.testing.fault_injection.plumbing import Call, Reply, ServerConnection, send_call, serve
from bitternpath.testing.fault_injection.records import (
    Answer,
    Arrival,
    Clock,
    History,
    LeaseEnd,
    LeaseExtension,
    Run,
)
from bitternpath.testing.fault_injection.time_bounds import BOUNDS

QUEUE_CAPACITY = 4  # beyond the slots
FAILED_ATTEMPT_SHARE = 0.05  # of attempts that are answered with 500
REJECTED_MESSAGE_SHARE, POISON_MESSAGE_SHARE = 0.02, 0.02  # of messages
READ_MARGIN_AFTER_ANSWER_S = (
    0.1  # a connection that ends so soon after an answer may have ended before it was read
)
NOT_EXECUTED = {"X-Not-Executed": "1"}
DEFAULT_DEADLINE_MS = 60_000


class Work:
    """How long messages take, and how they end."""

    def __init__(self, random: Random, shortest_s: float, longest_s: float) -> None:
        self._random, self._shortest_s, self._longest_s = random, shortest_s, longest_s
        self._stamps = 0

    def seconds(self) -> float:
        """Of the next run."""
        return self._random.uniform(self._shortest_s, self._longest_s)

    def status(self, request_id: str) -> int:
        """Of a run of this message: some always fail or are never possible, some fail once."""
        draw = Random(request_id).random()
        if draw < REJECTED_MESSAGE_SHARE:
            return 422
        if (
            draw < REJECTED_MESSAGE_SHARE + POISON_MESSAGE_SHARE
            or self._random.random() < FAILED_ATTEMPT_SHARE
        ):
            return 500
        return 200

    def stamp(self, instance: str) -> str:
        """Of a successful run."""
        self._stamps += 1
        return f"{instance}.{self._stamps}.{self._random.getrandbits(32):08x}"


@dataclass(slots=True)
class Job:
    """A request that waits for a slot or is being worked on."""

    request_id: str
    request: Request
    connection: ServerConnection
    ends_at: float
    answer: Deferred[Reply] = field(default_factory=Deferred)
    timer: Any = None


class HttpWorker:
    """A worker that is called, on an address of its own."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        history: History,
        work: Work,
        service: str,
        instance: str,
        slots: int,
        host: str = LOOPBACK,
        port: int = 0,
    ) -> None:
        self._reactor, self._clock, self._history, self._work = reactor, clock, history, work
        self.service, self.instance, self._slots = service, instance, slots
        self._running: set[str] = set()
        self._waiting: list[Job] = []
        self._connections: list[ServerConnection] = []
        self.port, self.address = serve(reactor, host, self.handle, port)

    def listed(self) -> dict[str, Any]:
        """Its entry in the platform's list."""
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
        """A delivery, or a question after its health."""
        if connection not in self._connections:
            self._connections = [known for known in self._connections if not known.closed] + [connection]
        if request.method == b"GET" and request.path == b"/healthz":
            return succeed(Reply(200 if len(self._running) < self._slots else 503, self._named("")))
        request_id = _header(request, b"x-request-id")
        refusal = self._refusal(request, request_id)
        if refusal:
            return succeed(Reply(refusal, {**self._named(request_id), **NOT_EXECUTED}))
        return self._take(request, request_id, connection)

    def close(self) -> None:
        """End: listen no more, and reset what is open."""
        self.port.stopListening()
        for connection in self._connections:
            if not connection.closed:
                connection.transport.abortConnection()

    def _refusal(self, request: Request, request_id: str) -> int:
        expected = _header(request, b"x-expect-instance")
        if expected and expected != self.instance:
            return 421
        if not request_id:
            return 400
        if request_id in self._running:
            return 409
        full = len(self._running) >= self._slots and len(self._waiting) >= QUEUE_CAPACITY
        return 503 if full else 0

    def _take(self, request: Request, request_id: str, connection: ServerConnection) -> Deferred[Reply]:
        deadline = _header(request, b"x-deadline-ms")
        deadline_ms = int(deadline) if deadline.isdigit() else DEFAULT_DEADLINE_MS
        job = Job(request_id, request, connection, self._clock() + deadline_ms / 1000)
        job.answer = Deferred(lambda _: self._dropped(job))
        self._waiting.append(job)
        self._next()
        return job.answer

    def _dropped(self, job: Job) -> None:
        """Its connection has closed: it is worked on no longer."""
        if job in self._waiting:
            self._waiting.remove(job)
        if job.timer is not None and job.timer.active():
            job.timer.cancel()
            self._running.discard(job.request_id)
            self._next()

    def _next(self) -> None:
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
            seconds = min(self._work.seconds(), max(job.ends_at - self._clock(), 0.0))
            job.timer = self._reactor.callLater(seconds, self._finish, job)

    def _finish(self, job: Job) -> None:
        self._running.discard(job.request_id)
        status = self._work.status(job.request_id) if self._clock() < job.ends_at else 504
        self._answer(job, status)
        self._next()

    def _answer(self, job: Job, status: int) -> None:
        """Answer a run that is over."""
        stamp = self._work.stamp(self.instance) if status == 200 else ""
        headers = self._named(job.request_id)
        if stamp:
            headers["X-Server-Stamp"] = stamp
        if status != 504:
            self._note(Answer(job.request_id, self._clock(), status, stamp), job.connection)
        job.answer.callback(Reply(status, headers, b"ok" if stamp else b""))

    def _note(self, answer: Answer, connection: ServerConnection) -> None:
        def lost() -> None:
            if self._clock() - answer.at < READ_MARGIN_AFTER_ANSWER_S:
                answer.read = False

        connection.on_lost = lost
        self._history.answers.append(answer)

    def _named(self, request_id: str) -> dict[str, str]:
        named = {"X-Instance-Id": self.instance}
        if request_id:
            named["X-Request-Id"] = request_id
        return named


class Endpoint(HttpWorker):
    """One endpoint, on no list: it counts arrivals, and refuses those over the rate of a second."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        history: History,
        work: Work,
        service: str,
        slots: int,
        rate: float,
        host: str = LOOPBACK,
    ) -> None:
        super().__init__(reactor, clock, history, work, service, f"{service}-endpoint", slots, host)
        self._rate = rate
        self._recent: list[float] = []
        self.over_rate = 0

    def handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        """As `HttpWorker.handle`, within the rate."""
        if request.method == b"GET":
            return super().handle(request, connection)
        now = self._clock()
        self._history.arrivals.append(Arrival(now, self.service))
        window = BOUNDS["ceiling_window_s"]
        self._recent = [at for at in self._recent if at > now - window] + [now]
        if len(self._recent) > self._rate * window * BOUNDS["origin_rate_over"] + 5:
            self.over_rate += 1
            return succeed(Reply(429, {**self._named(_header(request, b"x-request-id")), **NOT_EXECUTED}))
        return super().handle(request, connection)


PULL_WAIT_MS = 1_000
PULL_TIMEOUT_S = 2.5
LEASE_CALL_TIMEOUT_S = 1.5
END_RETRY_FOR_S = 20.0  # an end without a clear answer is sent again for so long
REPEATED_END_SHARE = 0.1  # of ends that are sent once more after their answer: it must stay the same
RETRY_DELAY_S = 0.2


class PullingWorker:
    """One slot of a worker that asks for jobs."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        history: History,
        entry: LoadBalancer,
        work: Work,
        service: str,
        instance: str,
        random: Random,
    ) -> None:
        self._reactor, self._clock, self._history, self._entry = reactor, clock, history, entry
        self._work, self._service, self._instance, self._random = work, service, instance, random
        self._stopping = False

    def start(self, failed: Callable[[Any], None]) -> None:
        """Ask for jobs until it is stopped; `failed` hears an error in the rehearsal itself."""
        Deferred.fromCoroutine(self._poll()).addErrback(failed)

    def stop(self) -> None:
        """Ask for no more."""
        self._stopping = True

    async def _poll(self) -> None:
        headers = {"X-Instance-Id": self._instance, "X-Wait-Ms": str(PULL_WAIT_MS)}
        while not self._stopping:
            answer = await self._call(Call("POST", f"/pull/{self._service}", headers), PULL_TIMEOUT_S)
            if answer is not None and answer.status == 200:
                await self._process(answer)
            elif answer is None or answer.status != 204:
                await deferLater(self._reactor, RETRY_DELAY_S)

    async def _call(self, call: Call, timeout_s: float) -> Reply | None:
        address = self._entry.choose().address(Port.FRONT)
        answer = await send_call(self._reactor, address, call, timeout_s)
        return answer if isinstance(answer, Reply) else None

    async def _process(self, job: Reply) -> None:
        request_id, lease_id = job.headers.get("x-request-id", ""), job.headers.get("x-lease-id", "")
        method, target = job.headers.get("x-job-method", ""), job.headers.get("x-job-target", "")
        run = Run(
            request_id, self._clock(), self._service, method, target, job.body, lease_id, self._instance
        )
        self._history.runs.append(run)
        if await self._work_and_extend(request_id, lease_id):
            status = self._work.status(request_id)
            stamp = self._work.stamp(self._instance) if status == 200 else ""
            self._history.answers.append(Answer(request_id, self._clock(), status, stamp, lease_id=lease_id))
            await self._report_end(request_id, lease_id, status, stamp)

    async def _work_and_extend(self, request_id: str, lease_id: str) -> bool:
        """Work, and extend the lease three times in each `visible_ms`; False where the lease is gone."""
        ends_at = self._clock() + self._work.seconds()
        pause = BOUNDS["visible_ms"] / 1000 / 3
        while self._clock() < ends_at:
            await deferLater(self._reactor, min(pause, max(ends_at - self._clock(), 0.0)))
            if self._clock() >= ends_at:
                return True
            sent_at = self._clock()
            call = Call("POST", f"/job-extend/{request_id}", {"X-Lease-Id": lease_id})
            answer = await self._call(call, LEASE_CALL_TIMEOUT_S)
            if answer is not None and answer.status == 200:
                self._history.lease_extensions.append(LeaseExtension(request_id, lease_id, sent_at))
            elif answer is not None and answer.status == 409:
                return False
        return True

    async def _report_end(self, request_id: str, lease_id: str, status: int, stamp: str) -> None:
        headers = {"X-Lease-Id": lease_id, "X-Job-Status": str(status)}
        if stamp:
            headers["X-Server-Stamp"] = stamp
        call = Call("POST", f"/job-end/{request_id}", headers)
        give_up_at = self._clock() + END_RETRY_FOR_S
        again = self._random.random() < REPEATED_END_SHARE
        while self._clock() < give_up_at:
            answer = await self._call(call, LEASE_CALL_TIMEOUT_S)
            if answer is None or answer.status not in (200, 409):
                await deferLater(self._reactor, RETRY_DELAY_S)
                continue
            taken = answer.status == 200
            self._history.ends.append(LeaseEnd(request_id, lease_id, self._clock(), status, taken))
            if not again:
                return
            again = False


def _header(request: Request, name: bytes) -> str:
    return request.headers.get(name, b"").decode("latin-1")
