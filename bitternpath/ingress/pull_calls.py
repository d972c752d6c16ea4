"""A `POST /pull` request: a worker waits for a job (PROTOCOL, "Workers")."""

from __future__ import annotations

from twisted.logger import Logger
from twisted.python.failure import Failure

from bitternpath.ingress.http_requests import HttpRequest
from bitternpath.ingress.interfaces import NodeService, PendingPull
from bitternpath.net.clock import Clock, Timer, cancel_if_active
from bitternpath.shards.results import PulledJob
from bitternpath.transport.records import Message

PULL_GRACE_S = 0.5  # how late the node's result may be, after the worker's wait time
NOT_RUN_JOB_STATUS = 503  # a result with this status returns a job that was not run

_log = Logger()


class PullCall:
    """A waiting worker's request; it ends with a job, without one, or with the worker's connection."""

    def __init__(
        self, request: HttpRequest, pull: PendingPull, node: NodeService, waiting: dict[PullCall, None]
    ) -> None:
        """`waiting` has the calls that have not ended; the call adds and removes itself."""
        self._request = request
        self._pull = pull
        self._node = node
        self._waiting = waiting
        self._timer: Timer | None = None

    def wait(self, clock: Clock, wait_ms: int) -> None:
        """Respond with the job or without one, whichever comes first."""
        self._request.needs_open_peer = True
        self._waiting[self] = None
        self._timer = clock.callLater(wait_ms / 1000 + PULL_GRACE_S, self.release)
        self._request.notifyFinish().addErrback(lambda _: self._worker_disconnected())
        self._pull.result.addCallbacks(self._pulled, self._failed)

    def release(self) -> None:
        """Respond that there is no job."""
        if self._end():
            self._pull.cancel()
            self._request.reply(204)

    def _worker_disconnected(self) -> None:
        if self._end():
            self._pull.cancel()

    def _pulled(self, job: PulledJob | None) -> None:
        if not self._end():
            self._return_job(job)
        elif job is None:
            self._request.reply(204)
        else:
            self._send(job)

    def _failed(self, failure: Failure) -> None:
        _log.failure("pull_failed", failure)
        if self._end():
            self._request.reply(204)

    def _end(self) -> bool:
        """Remove the call from the waiting ones; return whether it was still waiting."""
        if self not in self._waiting:
            return False
        del self._waiting[self]
        if self._timer is not None:
            cancel_if_active(self._timer)
        return True

    def _return_job(self, job: PulledJob | None) -> None:
        if job is not None:
            self._node.end_job(job.lease_id, job.message.request_id, NOT_RUN_JOB_STATUS, "")

    def _send(self, job: PulledJob) -> None:
        message = job.message
        headers = (
            (b"X-Request-Id", message.request_id),
            (b"X-Job-Method", message.method),
            (b"X-Job-Target", message.target),
            (b"X-Lease-Id", job.lease_id),
            (b"X-Order-Key", _order_key(message)),
        )
        for name, value in headers:
            if value:
                self._request.set_header(name, value.encode("latin-1"))
        self._request.reply(200, message.body)


def _order_key(message: Message) -> str:
    """The client's order key, even if its route was not ordered when the message was accepted."""
    if message.order_key:
        return message.order_key
    return next((header.value for header in message.headers if header.name.lower() == "x-order-key"), "")
