"""Reads a worker's response and derives the outcome of the delivery from it."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from bitternpath.delivery.results import RefusalKind
from bitternpath.net.http1 import Headers, HttpError, Response, ResponseReader
from bitternpath.transport.records import AttemptOutcome

DEFAULT_KEEP_ALIVE_S = 4.0  # assumed keep-alive time of workers that send no Keep-Alive header

_KEEP_ALIVE = re.compile(rb"(?:^|[,\s])timeout\s*=\s*([0-9]{1,4})", re.IGNORECASE)

# Statuses of workers (PROTOCOL, "Workers").
_SWITCHING_PROTOCOLS = 101
_SUCCESS_STATUSES = range(200, 300)
_WRONG_INSTANCE_STATUS = 421
_BUSY_STATUSES = (429, 503)
_OUTCOMES = {500: AttemptOutcome.FAILED, 422: AttemptOutcome.REJECTED}


@dataclass(frozen=True, slots=True)
class ResponseOutcome:
    """Outcome of a delivery, given its response or the lack of one. Fields as in `results.DeliveryResult`."""

    outcome: AttemptOutcome
    stamp: str = ""
    status: int = 0
    refusal: RefusalKind = RefusalKind.NONE


NO_RESPONSE = ResponseOutcome(AttemptOutcome.UNKNOWN)


class Progress(Enum):
    """State of reading a response."""

    PARTIAL = "the response is incomplete"
    COMPLETE = "the response is complete and belongs to the request"
    INVALID = "the data are not a response to the request; the connection must not be used again"


class WorkerResponseReader:
    """Reads the response to one request; the body is read to its end and discarded.

    A response belongs to the request only if it repeats the `X-Request-Id`. Interim responses (1xx) are
    skipped, except 101.
    """

    def __init__(self, request_id: str, *, bodiless: bool) -> None:
        """Create a reader; with `bodiless`, for HEAD, the response has no body regardless of its headers."""
        self._request_id = request_id.encode("latin-1")
        self._bodiless = bodiless
        self._reader = ResponseReader(None)
        self._headers: Headers = {}
        self._complete = False
        self.status = 0
        self.reusable = False  # whether the connection may carry another request
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S  # after which the worker closes the idle connection

    def feed(self, data: bytes) -> Progress:
        """Process the next bytes of the connection."""
        try:
            self._reader.feed(data)
            return self._read()
        except HttpError:
            return Progress.INVALID

    def outcome(self) -> ResponseOutcome:
        """Return the outcome of the delivery; it is unknown until the response is complete."""
        return interpret_response(self.status, self._headers) if self._complete else NO_RESPONSE

    def _read(self) -> Progress:
        head = self._final_head()
        if head is None:
            return Progress.PARTIAL
        if head.status == _SWITCHING_PROTOCOLS:
            return Progress.INVALID
        if head.headers.get(b"x-request-id") != self._request_id:
            return Progress.INVALID
        if not self._bodiless:
            self._reader.read_body()
            if not self._reader.body_complete:
                return Progress.PARTIAL
        self._record_complete(head)
        return Progress.COMPLETE

    def _final_head(self) -> Response | None:
        """Return the head of the first response that is a 101 or not interim; None until it has arrived."""
        reader = self._reader
        head: Response | None = reader.head()  # type: ignore[assignment]
        while head is not None and head.status < 200 and head.status != _SWITCHING_PROTOCOLS:
            reader.next()
            head = reader.head()  # type: ignore[assignment]
        return head

    def _record_complete(self, head: Response) -> None:
        self._complete = True
        self.status = head.status
        self._headers = head.headers
        self.reusable = head.keep_alive and len(self._reader.buffer) == 0
        keep_alive = _KEEP_ALIVE.search(head.headers.get(b"keep-alive", b""))
        if keep_alive is not None:
            self.keep_alive_s = float(keep_alive[1])


def interpret_response(status: int, headers: Headers) -> ResponseOutcome:
    """Return the outcome for a complete response (PROTOCOL, "Workers"). Header names are in lower case."""
    if status == _WRONG_INSTANCE_STATUS:
        return ResponseOutcome(AttemptOutcome.NOT_RUN, "", status, RefusalKind.WRONG_INSTANCE)
    if b"x-not-executed" in headers:
        refusal = RefusalKind.BUSY if status in _BUSY_STATUSES else RefusalKind.OTHER
        return ResponseOutcome(AttemptOutcome.NOT_RUN, "", status, refusal)
    stamp = headers.get(b"x-server-stamp", b"").decode("latin-1")
    if status in _SUCCESS_STATUSES and stamp:
        return ResponseOutcome(AttemptOutcome.SUCCEEDED, stamp, status)
    return ResponseOutcome(_OUTCOMES.get(status, AttemptOutcome.UNKNOWN), "", status)
