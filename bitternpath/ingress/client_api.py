"""The service's own calls: states of messages, and jobs for pulling workers.

Source: PROTOCOL, "Messages" and "Workers".
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.logger import Logger
from twisted.python.failure import Failure

from bitternpath.ingress.http_requests import RETRY_AFTER_S, HttpRequest
from bitternpath.ingress.interfaces import NodeService
from bitternpath.ingress.pull_calls import PullCall
from bitternpath.net.clock import Clock
from bitternpath.shards.results import FoundMessage, LeaseAnswer, LookupFailure
from bitternpath.transport.records import MessageState

LOOKUP_TIMEOUT_S = 1.6  # clients wait for 2 s, including the transmission in both directions
LEASE_CALL_TIMEOUT_S = 4.0  # a report without a response is repeated, and must then get the same response
MAX_WAIT_MS = 30_000  # upper bound for a worker's wait time
DEFAULT_WAIT_MS = 1_000  # if a worker names no wait time

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
_Result = TypeVar("_Result")


def is_call(method: bytes, path: bytes) -> bool:
    """Whether a request is one of the service's own calls; all others are messages."""
    return CALLS.fullmatch(method + b" " + path) is not None


@dataclass(frozen=True, slots=True)
class _ResponseSpec(Generic[_Result]):
    """How a node's result is turned into a response."""

    timeout_s: float  # after which the response is 503
    send: Callable[[HttpRequest, _Result], None]


class ClientApi:
    """Answers the calls with the node's results."""

    app = Klein()
    app.url_map.merge_slashes = False

    def __init__(self, node: NodeService, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._waiting_pulls: dict[PullCall, None] = {}  # in order of arrival
        self._closing = False

    @app.route("/message/<message_id>", methods=["GET"])
    def state(self, request: HttpRequest, message_id: str) -> Deferred[None]:
        """Send the state of a message."""
        found = self._node.find_message(message_id, wants_body=False)
        return self._respond(request, found, _STATE_RESPONSE)

    @app.route("/message-body/<message_id>", methods=["GET"])
    def body(self, request: HttpRequest, message_id: str) -> Deferred[None]:
        """Send the body of a message that is queued or a dead letter."""
        found = self._node.find_message(message_id, wants_body=True)
        return self._respond(request, found, _BODY_RESPONSE)

    @app.route("/pull/<service>", methods=["POST"])
    def pull(self, request: HttpRequest, service: str) -> Deferred[None]:
        """Send a job to a worker, or 204 after its wait time."""
        instance = request.getHeader("X-Instance-Id")
        wait = request.getHeader("X-Wait-Ms") or str(DEFAULT_WAIT_MS)
        if not instance or not _NUMBER.fullmatch(wait):
            request.reply(400)
        elif self._closing:
            request.reply(204)
        else:
            wait_ms = min(int(wait), MAX_WAIT_MS)
            pull = self._node.pull(service, instance, wait_ms)
            PullCall(request, pull, self._node, self._waiting_pulls).wait(self._clock, wait_ms)
        return request.when_finished()

    @app.route("/job-end/<request_id>", methods=["POST"])
    def end_job(self, request: HttpRequest, request_id: str) -> Deferred[None]:
        """Report the result of a worker's job."""
        lease_id = request.getHeader("X-Lease-Id")
        status = request.getHeader("X-Job-Status") or ""
        stamp = request.getHeader("X-Server-Stamp") or ""
        if not lease_id or not _STATUS.fullmatch(status) or (status[0] == "2" and not stamp):
            request.reply(400)
            return request.when_finished()
        ended = self._node.end_job(lease_id, request_id, int(status), stamp)
        return self._respond(request, ended, _LEASE_RESPONSE)

    @app.route("/job-extend/<request_id>", methods=["POST"])
    def extend_job(self, request: HttpRequest, request_id: str) -> Deferred[None]:
        """Extend the lease of a worker that is still processing its job."""
        lease_id = request.getHeader("X-Lease-Id")
        if not lease_id:
            request.reply(400)
            return request.when_finished()
        return self._respond(request, self._node.extend_job(lease_id, request_id), _LEASE_RESPONSE)

    def release_pulls(self) -> None:
        """Answer waiting workers that there is no job; later ones don't wait."""
        self._closing = True
        for pull in tuple(self._waiting_pulls):
            pull.release()

    def _respond(
        self, request: HttpRequest, result: Deferred[_Result], spec: _ResponseSpec[_Result]
    ) -> Deferred[None]:
        """Send the node's result, or 503 after the time-out. The node's Deferred is never cancelled."""
        timer = self._clock.callLater(spec.timeout_s, request.reply, 503, b"", RETRY_AFTER_S)

        def succeeded(value: _Result) -> None:
            if timer.active():
                timer.cancel()
                spec.send(request, value)

        def failed(failure: Failure) -> None:
            _log.failure("client_call_failed", failure)
            if timer.active():
                timer.cancel()
                request.reply(503, retry_after_s=RETRY_AFTER_S)

        result.addCallbacks(succeeded, failed)
        return request.when_finished()


def _send_lookup_failure(request: HttpRequest, failure: LookupFailure) -> None:
    if failure is LookupFailure.UNKNOWN_MESSAGE:
        request.reply(404)
    else:
        request.reply(503, retry_after_s=RETRY_AFTER_S)


def _send_state(request: HttpRequest, found: FoundMessage | LookupFailure) -> None:
    if isinstance(found, LookupFailure):
        _send_lookup_failure(request, found)
        return
    document = {"state": _STATE_NAMES[found.state]}
    if found.state is MessageState.DONE:
        document["stamp"] = found.stamp
    request.set_header(b"Content-Type", b"application/json")
    request.reply(200, json.dumps(document, separators=(",", ":")).encode())


def _send_body(request: HttpRequest, found: FoundMessage | LookupFailure) -> None:
    if isinstance(found, LookupFailure):
        _send_lookup_failure(request, found)
    elif found.state is MessageState.DONE:
        request.reply(404)
    elif found.body is None:
        request.reply(503, retry_after_s=RETRY_AFTER_S)
    else:
        request.set_header(b"Content-Type", b"application/octet-stream")
        request.reply(200, found.body)


def _send_lease_answer(request: HttpRequest, answer: LeaseAnswer) -> None:
    request.reply(answer.value, retry_after_s=RETRY_AFTER_S if answer is LeaseAnswer.UNAVAILABLE else None)


_STATE_RESPONSE = _ResponseSpec(LOOKUP_TIMEOUT_S, _send_state)
_BODY_RESPONSE = _ResponseSpec(LOOKUP_TIMEOUT_S, _send_body)
_LEASE_RESPONSE = _ResponseSpec(LEASE_CALL_TIMEOUT_S, _send_lease_answer)
