"""The system's own calls at the front: message states, and jobs for workers that pull (PROTOCOL)."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any, TypeVar

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from bitternpath.ingress.interfaces import (
    FoundMessage,
    LeaseAnswer,
    LookupFailure,
    NodeService,
    PendingPull,
    PulledJob,
)
from bitternpath.ingress.site import RETRY_SOON_S, answered, reply
from bitternpath.transport.records import Message, MessageState

STATUS_ANSWER_S = 1.6  # askers wait two seconds, with the way there and back
LEASE_ANSWER_S = 4.0  # ends without an answer are sent again, and the answer has to stay the same
PULL_LATE_S = 0.5  # the node's answer may be so much later than a worker waits
MAX_WAIT_MS = 30_000  # no worker is kept waiting longer
DEFAULT_WAIT_MS = 1_000  # where a worker names no time
RETURN_JOB_STATUS = 503  # this end hands a job back unrun

CALLS = re.compile(
    rb"GET /(?:message|message-body)/[!-.0-~]{1,384}"  # any request id, with its characters escaped or not
    rb"|POST /(?:pull|job-end|job-extend)/[!-.0-~]{1,384}"
)

_STATE_NAMES = {
    MessageState.QUEUED: "queued",
    MessageState.DONE: "done",
    MessageState.DEAD_LETTER: "dead_letter",
}
_NUMBER = re.compile(r"[0-9]{1,9}")
_STATUS = re.compile(r"[1-5][0-9][0-9]")
_log = Logger()
_Answer = TypeVar("_Answer")


def is_call(method: bytes, path: bytes) -> bool:
    """Whether a request is one of the system's own calls; any other one is a message."""
    return CALLS.fullmatch(method + b" " + path) is not None


class FrontInterface:
    """Answers the calls with the node's word."""

    app = Klein()
    app.url_map.merge_slashes = False

    def __init__(self, node: NodeService, reactor: Any) -> None:
        self._node = node
        self._reactor = reactor
        self._pulls: dict[_WaitingPull, None] = {}  # in the order in which they came
        self._closing = False

    @app.route("/message/<message_id>", methods=["GET"])
    def state(self, request: Any, message_id: str) -> Deferred[None]:
        """The state of a message."""
        found = self._node.find_message(message_id, False)
        return self._answer(request, found, STATUS_ANSWER_S, _send_state)

    @app.route("/message-body/<message_id>", methods=["GET"])
    def body(self, request: Any, message_id: str) -> Deferred[None]:
        """The bytes of a message that is queued or dead."""
        found = self._node.find_message(message_id, True)
        return self._answer(request, found, STATUS_ANSWER_S, _send_body)

    @app.route("/pull/<service>", methods=["POST"])
    def pull(self, request: Any, service: str) -> Deferred[None]:
        """A job for a worker, or 204 once it has waited."""
        instance = request.getHeader("X-Instance-Id")
        wait = request.getHeader("X-Wait-Ms") or str(DEFAULT_WAIT_MS)
        if not instance or not _NUMBER.fullmatch(wait):
            reply(request, 400)
        elif self._closing:
            reply(request, 204)
        else:
            wait_ms = min(int(wait), MAX_WAIT_MS)
            ticket = self._node.pull(service, instance, wait_ms)
            _WaitingPull(request, ticket, self._node, self._pulls).wait(self._reactor, wait_ms)
        return answered(request)

    @app.route("/job-end/<request_id>", methods=["POST"])
    def end_job(self, request: Any, request_id: str) -> Deferred[None]:
        """A worker's word on its job."""
        lease_id = request.getHeader("X-Lease-Id")
        status = request.getHeader("X-Job-Status") or ""
        stamp = request.getHeader("X-Server-Stamp") or ""
        if not lease_id or not _STATUS.fullmatch(status) or (status[0] == "2" and not stamp):
            reply(request, 400)
            return answered(request)
        taken = self._node.end_job(lease_id, request_id, int(status), stamp)
        return self._answer(request, taken, LEASE_ANSWER_S, _send_lease)

    @app.route("/job-extend/<request_id>", methods=["POST"])
    def extend_job(self, request: Any, request_id: str) -> Deferred[None]:
        """A worker still holds its job."""
        lease_id = request.getHeader("X-Lease-Id")
        if not lease_id:
            reply(request, 400)
            return answered(request)
        return self._answer(request, self._node.extend_job(lease_id, request_id), LEASE_ANSWER_S, _send_lease)

    def release_pulls(self) -> None:
        """Send the workers that wait away; later ones don't wait."""
        self._closing = True
        for pull in tuple(self._pulls):
            pull.release()

    def _answer(
        self, request: Any, answer: Deferred[_Answer], seconds: float, send: Callable[[Any, _Answer], None]
    ) -> Deferred[None]:
        """Send the node's word, or 503 after `seconds`. The node's Deferred is never cancelled."""
        timer = self._reactor.callLater(seconds, reply, request, 503, b"", RETRY_SOON_S)

        def come(result: _Answer) -> None:
            if timer.active():
                timer.cancel()
                send(request, result)

        def failed(failure: Failure) -> None:
            _log.failure("a call of the interface failed", failure)
            if timer.active():
                timer.cancel()
                reply(request, 503, retry_after_s=RETRY_SOON_S)

        answer.addCallbacks(come, failed)
        return answered(request)


def _send_failure(request: Any, failure: LookupFailure) -> None:
    if failure is LookupFailure.UNKNOWN_MESSAGE:
        reply(request, 404)
    else:
        reply(request, 503, retry_after_s=RETRY_SOON_S)


def _send_state(request: Any, found: FoundMessage | LookupFailure) -> None:
    if isinstance(found, LookupFailure):
        _send_failure(request, found)
        return
    document = {"state": _STATE_NAMES[found.state]}
    if found.state is MessageState.DONE:
        document["stamp"] = found.stamp
    request.setHeader(b"Content-Type", b"application/json")
    reply(request, 200, json.dumps(document, separators=(",", ":")).encode())


def _send_body(request: Any, found: FoundMessage | LookupFailure) -> None:
    if isinstance(found, LookupFailure):
        _send_failure(request, found)
    elif found.state is MessageState.DONE:
        reply(request, 404)
    elif found.body is None:
        reply(request, 503, retry_after_s=RETRY_SOON_S)
    else:
        request.setHeader(b"Content-Type", b"application/octet-stream")
        reply(request, 200, found.body)


def _send_lease(request: Any, answer: LeaseAnswer) -> None:
    reply(request, answer.value, retry_after_s=RETRY_SOON_S if answer is LeaseAnswer.UNAVAILABLE else None)


def _order_key(message: Message) -> str:
    """The client's key, also where its route was not ordered when the message was accepted."""
    if message.order_key:
        return message.order_key
    return next((header.value for header in message.headers if header.name.lower() == "x-order-key"), "")


class _WaitingPull:
    """One worker that waits for a job."""

    def __init__(
        self, request: Any, ticket: PendingPull, node: NodeService, waiting: dict[_WaitingPull, None]
    ) -> None:
        self._request = request
        self._ticket = ticket
        self._node = node
        self._waiting = waiting
        self._timer: Any = None

    def wait(self, reactor: Any, wait_ms: int) -> None:
        """Answer with the job or without one, whichever comes first."""
        self._request.needs_open_peer = True
        self._waiting[self] = None
        self._timer = reactor.callLater(wait_ms / 1000 + PULL_LATE_S, self.release)
        self._request.notifyFinish().addErrback(lambda _: self._gone())
        self._ticket.result.addCallbacks(self._come, self._failed)

    def release(self) -> None:
        """Answer that there is no job."""
        if self._forget():
            self._ticket.cancel()
            reply(self._request, 204)

    def _gone(self) -> None:
        if self._forget():
            self._ticket.cancel()

    def _come(self, job: PulledJob | None) -> None:
        if not self._forget():
            self._hand_back(job)
        elif job is None:
            reply(self._request, 204)
        else:
            self._send(job)

    def _failed(self, failure: Failure) -> None:
        _log.failure("a pull failed", failure)
        if self._forget():
            reply(self._request, 204)

    def _forget(self) -> bool:
        """Whether it was still waiting; it no longer is."""
        if self not in self._waiting:
            return False
        del self._waiting[self]
        if self._timer.active():
            self._timer.cancel()
        return True

    def _hand_back(self, job: PulledJob | None) -> None:
        if job is not None:
            self._node.end_job(job.lease_id, job.message.request_id, RETURN_JOB_STATUS, "")

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
                self._request.setHeader(name, value.encode("latin-1"))
        reply(self._request, 200, message.body)
