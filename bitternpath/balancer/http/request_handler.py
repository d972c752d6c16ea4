"""Handles the requests to the listener: client requests, call-backs of endpoints, and `/ready`."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import ujson

from bitternpath.balancer import messages as m
from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.lifecycle import Lifecycle
from bitternpath.balancer.core.requests import (
    MAX_ID_LENGTH,
    AcceptedRequest,
    CallReport,
    CallState,
    parse_call_info,
)
from bitternpath.balancer.http.client_connection import ClientConnection
from bitternpath.net import http1
from bitternpath.net.sockets import Sockets

CALLBACK_PATH = b"/_jobs/news"
READY_PATH = b"/ready"

_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,%d}" % MAX_ID_LENGTH)
_BUDGET_MS = re.compile(rb"[0-9]{1,9}")
_ROUTE_HASH = re.compile(rb"[0-9A-Fa-f]{1,16}")


def parse_call_report(body: bytes) -> CallReport:
    """Parse a call-back's body.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: the body is not a valid call-back.
    """
    fields = ujson.loads(body)
    share = fields.get("share")
    result = fields.get("result")
    if not isinstance(fields["id"], str) or not isinstance(fields["from"], str):
        raise ValueError("id and from must be strings")
    if result is None:
        result_bytes = b""
    else:
        result_bytes = result.encode() if isinstance(result, str) else ujson.dumps(result).encode()
    state = CallState(fields["state"])
    return CallReport(
        fields["id"], fields["from"], state, None if share is None else float(share), result_bytes
    )


@dataclass(slots=True, frozen=True)
class NodeChecks:
    """State of the node that the handler queries."""

    is_ready: Callable[[], bool]  # whether the node has endpoints to send to
    retry_after: Callable[[str], float]  # ms after which a rejected client of this class may retry


class RequestHandler:
    """Responds to the requests of all client connections, or submits them to the broker.

    `relay` forwards a call-back for an unknown request to another process of this node, and returns False if
    there is none; `fleet_admits` returns whether the fleet allows clients to be sent to this node.
    """

    def __init__(
        self,
        broker: Broker,
        sockets: Sockets,
        classes: tuple[m.JobClass, ...],
        checks: NodeChecks,
        lifecycle: Lifecycle,
    ) -> None:
        self.broker = broker
        self.sockets = sockets
        self.checks = checks
        self.lifecycle = lifecycle
        self.relay: Callable[[CallReport, Callable[[bool], None]], bool] = lambda report, then: False
        self.fleet_admits: Callable[[], bool] = lambda: True
        self.set_classes(classes)

    def set_classes(self, classes: tuple[m.JobClass, ...]) -> None:
        """Accept requests of these classes; accepted requests of removed classes are still answered."""
        self.classes = {c.name.encode(): c for c in classes}

    @property
    def longest_deadline(self) -> float:
        """The longest maximum deadline of all classes, in ms."""
        return max(c.max_deadline for c in self.classes.values())

    def serve(self, connection: ClientConnection, message: http1.Request) -> None:
        """Respond to a request on its connection, immediately or later."""
        path = message.path
        if path == CALLBACK_PATH:
            self._serve_callback(connection, message)
        elif path == READY_PATH:
            self._serve_readiness(connection, message)
        elif path.split(b"/", 2)[1] not in self.classes:
            connection.send_response(404)
        elif message.method != b"POST":
            connection.send_response(405, b"", ((b"Allow", b"POST"),))
        else:
            self._submit(connection, message)

    def _serve_readiness(self, connection: ClientConnection, message: http1.Request) -> None:
        if message.method != b"GET":
            connection.send_response(405, b"", ((b"Allow", b"GET"),))
            return
        phase_allows = self.lifecycle.behavior.ready_for_clients
        ready = self.checks.is_ready() and phase_allows and self.fleet_admits()
        connection.send_response(200 if ready else 503)

    def _serve_callback(self, connection: ClientConnection, message: http1.Request) -> None:
        if message.method != b"POST":
            connection.send_response(405, b"", ((b"Allow", b"POST"),))
            return
        try:
            report = parse_call_report(message.body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            connection.send_response(400, str(error).encode())
            return
        if self.broker.call_reported(report) or not self.relay(report, partial(self._relayed, connection)):
            connection.send_response(204)
        else:
            connection.relayed = True
            connection.listener.mark_busy(connection)

    @staticmethod
    def _relayed(connection: ClientConnection, ok: bool) -> None:
        if not ok:
            connection.keep_alive = (
                False  # the endpoint retries on a new connection, which the other process may accept
            )
        connection.send_deferred_response(204 if ok else 503)

    def _submit(self, connection: ClientConnection, message: http1.Request) -> None:
        headers = message.headers
        name = message.path.split(b"/", 2)[1]
        job_class = self.classes[name]
        id = headers.get(b"x-call-id", b"")
        budget_ms = headers.get(b"x-budget-ms")
        if not _REQUEST_ID.fullmatch(id):
            connection.send_response(400, b"X-Call-Id is missing or malformed")
        elif headers.get(b"x-call-class", name) != name:
            connection.send_response(400, b"X-Call-Class differs from the path")
        elif budget_ms is not None and not _BUDGET_MS.fullmatch(budget_ms):
            connection.send_response(400, b"X-Budget-Ms is malformed")
        elif self.broker.has_seen(id.decode()):
            connection.send_response(409, b"X-Call-Id is in use")
        elif self.broker.unanswered >= self.sockets.request_limit:
            # Requests in progress need sockets for their call-backs: close this connection to free one.
            connection.keep_alive = False
            connection.rejected(self.checks.retry_after(job_class.name))
            self.broker.counts["no_room"] += 1
            self.broker.statistics.count_outcome(job_class.name, "rejected")
        else:
            deadline = connection.message_started_at + (
                job_class.max_deadline if budget_ms is None else float(budget_ms)
            )
            request = _accepted_request(connection, message, job_class.name, deadline)
            connection.request = request
            connection.only_callbacks = False
            connection.listener.mark_busy(connection)
            self.broker.submit(request)


def _accepted_request(
    client: ClientConnection, message: http1.Request, job_class: str, deadline: float
) -> AcceptedRequest:
    headers = message.headers
    route_hash = headers.get(b"x-route-hash", b"")
    info = parse_call_info(headers[b"x-call-info"]) if b"x-call-info" in headers else {}
    return AcceptedRequest(
        headers[b"x-call-id"].decode(),
        job_class,
        deadline,
        client,
        message,
        int(route_hash, 16) % 2**53 if _ROUTE_HASH.fullmatch(route_hash) else None,
        info.get("work"),
        info.get("slots", 1.0),
        info.get("mem", 0.0),
        headers.get(b"x-again") == b"1",
    )
