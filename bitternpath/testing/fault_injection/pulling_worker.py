"""Workers that pull jobs."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.http_client import Call, Reply, send_call
from bitternpath.testing.fault_injection.http_workers import WorkerDescription
from bitternpath.testing.fault_injection.job_behavior import JobBehavior
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import Port
from bitternpath.testing.fault_injection.records import Answer, LeaseEnd, LeaseExtension, Run
from bitternpath.testing.fault_injection.time_bounds import BOUNDS

PULL_WAIT_MS = 1_000  # duration of a long poll
PULL_TIMEOUT_S = 2.5
LEASE_CALL_TIMEOUT_S = 1.5
END_RETRY_FOR_S = 20.0  # maximum time for which an end without a clear answer is retried
# Share of ends that are sent again after their answer; the second answer must be the same.
REPEATED_END_SHARE = 0.1
RETRY_DELAY_S = 0.2


class PullingWorker:
    """One slot of a worker that pulls jobs by long polls and extends their leases."""

    def __init__(
        self,
        context: ActorContext,
        balancer: LoadBalancer,
        behavior: JobBehavior,
        description: WorkerDescription,
        random: Random,
    ) -> None:
        self._reactor = context.reactor
        self._clock = context.clock
        self._history = context.history
        self._balancer = balancer
        self._behavior = behavior
        self._service = description.service
        self._instance = description.instance
        self._random = random
        self._stopping = False

    def start(self, failed: Callable[[Any], None]) -> None:
        """Poll until `stop`; `failed` receives an error of the test environment itself."""
        Deferred.fromCoroutine(self._poll()).addErrback(failed)

    def stop(self) -> None:
        """Stop after the current poll or job."""
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
        address = self._balancer.choose().address(Port.FRONT)
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
            status = self._behavior.status(request_id)
            stamp = self._behavior.stamp(self._instance) if status == 200 else ""
            self._history.answers.append(Answer(request_id, self._clock(), status, stamp, lease_id=lease_id))
            await self._report_end(request_id, lease_id, status, stamp)

    async def _work_and_extend(self, request_id: str, lease_id: str) -> bool:
        """Process, and extend the lease three times per `visible_ms`; return False if the lease was lost."""
        finish_at = self._clock() + self._behavior.seconds()
        extension_interval_s = BOUNDS["visible_ms"] / 1000 / 3
        while self._clock() < finish_at:
            await deferLater(self._reactor, min(extension_interval_s, max(finish_at - self._clock(), 0.0)))
            if self._clock() >= finish_at:
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
        send_again = self._random.random() < REPEATED_END_SHARE
        while self._clock() < give_up_at:
            answer = await self._call(call, LEASE_CALL_TIMEOUT_S)
            if answer is None or answer.status not in (200, 409):
                await deferLater(self._reactor, RETRY_DELAY_S)
                continue
            accepted = answer.status == 200
            self._history.ends.append(LeaseEnd(request_id, lease_id, self._clock(), status, accepted))
            if not send_again:
                return
            send_again = False
