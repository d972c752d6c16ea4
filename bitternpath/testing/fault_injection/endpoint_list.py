"""The HTTP server of the platform's list of worker endpoints."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bitternpath.net.http1 import Request
from bitternpath.testing.fault_injection.http_client import Reply
from bitternpath.testing.fault_injection.http_server import ServerConnection, serve
from bitternpath.testing.fault_injection.plan import LOOPBACK
from bitternpath.testing.fault_injection.records import Clock

PAGE_SIZE = 3  # instances per page; small, so that readers have to follow the page tokens
RATE_PER_S = 44.0
JSON = {"Content-Type": "application/json"}


class EndpointListServer:
    """Answers `GET /instances`, or 429 after `RATE_PER_S` calls within a second."""

    def __init__(self, reactor: Any, clock: Clock, host: str = LOOPBACK, port: int = 0) -> None:
        self._clock = clock
        self._entries: list[dict[str, Any]] = []
        self._recent_calls: list[float] = []
        self.calls = 0
        self.rejected = 0
        self.port, self.address = serve(reactor, host, self._handle, port)

    def publish(self, entries: Sequence[dict[str, Any]]) -> None:
        """Replace the listed workers."""
        self._entries = list(entries)

    def _handle(self, request: Request, connection: ServerConnection) -> Deferred[Reply]:
        now = self._clock()
        self.calls += 1
        self._recent_calls = [at for at in self._recent_calls if at > now - 1.0]
        if len(self._recent_calls) >= RATE_PER_S:
            self.rejected += 1
            return succeed(Reply(429))
        self._recent_calls.append(now)
        if request.path != b"/instances":
            return succeed(Reply(404))
        token = request.target.partition(b"page_token=p-")[2].partition(b"&")[0]
        first_index = int(token) if token.isdigit() else 0
        next_index = first_index + PAGE_SIZE
        next_token = f"p-{next_index}" if next_index < len(self._entries) else None
        page = {"instances": self._entries[first_index:next_index], "next_page_token": next_token}
        return succeed(Reply(200, JSON, json.dumps(page).encode()))
