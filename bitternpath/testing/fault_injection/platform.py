"""The platform's list of workers, and the receiver of call-backs."""

from __future__ import annotations

import json
from collections.abc import Sequence
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bitternpath.net.http1 import Request
from bitternpath.testing.fault_injection.plan import LOOPBACK
from bitternpath.testing.fault_injection.plumbing import Reply, ServerConnection, serve
from bitternpath.testing.fault_injection.records import CallbackReceived, Clock, History

PAGE_SIZE = 3  # instances on a page: readers have to follow the pages
RATE_PER_S = 44.0
FAILED_CALLBACK_SHARE = 0.1  # of call-backs that the receiver answers with 503
JSON = {"Content-Type": "application/json"}


class EndpointListServer:
    """Answers `GET /instances`, at most `RATE_PER_S` times a second."""

    def __init__(self, reactor: Any, clock: Clock, host: str = LOOPBACK, port: int = 0) -> None:
        self._clock = clock
        self._entries: list[dict[str, Any]] = []
        self._recent: list[float] = []
        self.calls = 0
        self.refused = 0
        self.port, self.address = serve(reactor, host, self._handle, port)

    def publish(self, entries: Sequence[dict[str, Any]]) -> None:
        """List these workers from now on."""
        self._entries = list(entries)

    def _handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        now = self._clock()
        self.calls += 1
        self._recent = [at for at in self._recent if at > now - 1.0]
        if len(self._recent) >= RATE_PER_S:
            self.refused += 1
            return succeed(Reply(429))
        self._recent.append(now)
        if request.path != b"/instances":
            return succeed(Reply(404))
        token = request.target.partition(b"page_token=p-")[2].partition(b"&")[0]
        first = int(token) if token.isdigit() else 0
        after = first + PAGE_SIZE
        next_token = f"p-{after}" if after < len(self._entries) else None
        page = {"instances": self._entries[first:after], "next_page_token": next_token}
        return succeed(Reply(200, JSON, json.dumps(page).encode()))


class CallbackReceiver:
    """Takes call-backs; some it fails, and those that name no ended message it refuses."""

    def __init__(
        self, reactor: Any, clock: Clock, history: History, random: Random, host: str = LOOPBACK
    ) -> None:
        self._clock, self._history, self._random = clock, history, random
        self.port, address = serve(reactor, host, self._handle)
        self.url = f"http://{address}/done"

    def _handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        try:
            told = json.loads(request.body)
            request_id, state, stamp = str(told["id"]), str(told["state"]), str(told.get("stamp") or "")
        except (ValueError, KeyError, TypeError):
            return succeed(Reply(400))
        status = self._status(request_id, state)
        got = CallbackReceived(request_id, self._clock(), state, stamp, status == 200)
        self._history.callbacks.append(got)
        return succeed(Reply(status))

    def _status(self, request_id: str, state: str) -> int:
        if request_id not in self._history.sends or state not in ("done", "dead_letter"):
            return 400
        return 503 if self._random.random() < FAILED_CALLBACK_SHARE else 200
