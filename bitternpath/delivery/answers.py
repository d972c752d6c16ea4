"""Reads a worker's answer and decides what it says of the message. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from bitternpath.delivery.results import RefusalKind
from bitternpath.net.http1 import Headers, HttpError, ResponseReader
from bitternpath.transport.records import AttemptOutcome

DEFAULT_KEEP_ALIVE_S = 4.0  # for which a worker keeps an idle connection, where it doesn't say

_KEEP_ALIVE = re.compile(rb"(?:^|[,\s])timeout\s*=\s*([0-9]{1,4})", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What an answer, or its lack, says of the message."""

    outcome: AttemptOutcome
    stamp: str = ""
    status: int = 0
    refusal: RefusalKind = RefusalKind.NONE


NO_ANSWER = Verdict(AttemptOutcome.UNKNOWN)


class Progress(Enum):
    """How far an answer has been read."""

    PARTIAL = "more is to come"
    WHOLE = "the answer is whole and is ours"
    BROKEN = "no answer to our request: nothing on this connection can be trusted"


class AnswerReader:
    """Reads one answer to a request with `request_id`. Its body is counted and thrown away."""

    def __init__(self, request_id: str, bodiless: bool) -> None:
        self._request_id = request_id.encode("latin-1")
        self._bodiless = bodiless  # the answer to a HEAD has no body whatever its headers say
        self._reader = ResponseReader(None)
        self._headers: Headers = {}
        self._whole = False
        self.status = 0
        self.reusable = False
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S

    def feed(self, data: bytes) -> Progress:
        """Read what has come."""
        try:
            self._reader.feed(data)
            return self._read()
        except HttpError:
            return Progress.BROKEN

    def verdict(self) -> Verdict:
        """What the answer says; without a whole one that is ours, nothing is known."""
        return read_verdict(self.status, self._headers) if self._whole else NO_ANSWER

    def _read(self) -> Progress:
        reader = self._reader
        head = reader.head()
        while head is not None and 100 <= head.status < 200:  # type: ignore[attr-defined]
            if head.status == 101:  # type: ignore[attr-defined]
                return Progress.BROKEN
            reader.next()
            head = reader.head()
        if head is None:
            return Progress.PARTIAL
        if head.headers.get(b"x-request-id") != self._request_id:
            return Progress.BROKEN
        if not self._bodiless:
            reader.piece()
            if not reader.ended:
                return Progress.PARTIAL
        self._whole = True
        self.status = head.status  # type: ignore[attr-defined]
        self._headers = head.headers
        self.reusable = head.keep_alive and len(reader.buffer) == 0
        keep_alive = _KEEP_ALIVE.search(head.headers.get(b"keep-alive", b""))
        if keep_alive is not None:
            self.keep_alive_s = float(keep_alive[1])
        return Progress.WHOLE


def read_verdict(status: int, headers: Headers) -> Verdict:
    """What a whole answer says of its message (PROTOCOL, "Workers")."""
    if status == 421:
        return Verdict(AttemptOutcome.NOT_RUN, "", status, RefusalKind.WRONG_INSTANCE)
    if b"x-not-executed" in headers:
        busy = status in (429, 503)
        return Verdict(AttemptOutcome.NOT_RUN, "", status, RefusalKind.BUSY if busy else RefusalKind.OTHER)
    stamp = headers.get(b"x-server-stamp", b"").decode("latin-1")
    if 200 <= status < 300 and stamp:
        return Verdict(AttemptOutcome.SUCCEEDED, stamp, status)
    if status == 500:
        return Verdict(AttemptOutcome.FAILED, "", status)
    if status == 422:
        return Verdict(AttemptOutcome.REJECTED, "", status)
    return Verdict(AttemptOutcome.UNKNOWN, "", status)
