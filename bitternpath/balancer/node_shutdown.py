"""Decides when a stopping process may end: no pending work, and no connections held by clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bitternpath.balancer.core.broker import Broker
from bitternpath.balancer.core.clock import Clock
from bitternpath.balancer.core.lifecycle import NEW_CONNECTIONS_UNTIL_MS, Lifecycle, Phase
from bitternpath.balancer.http.listener import Listener

FLUSH_DELAY = 0.1  # seconds for the last answers and DELETEs to be written
UNSENT_ANSWER_LIMIT = 1000.0  # ms; a client that does not read its answer for longer does not delay the end
PARTIAL_REQUEST_LIMIT = 2000.0  # ms; a request that began to arrive longer ago does not delay the end


class Shutdown:
    """Waits until a process has no pending work, then calls `close` once."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        lifecycle: Lifecycle,
        broker: Broker,
        listener: Listener,
        close: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.lifecycle = lifecycle
        self.broker = broker
        self.listener = listener
        self.close = close
        self._closing = False  # a last check is scheduled
        self._recheck: Any = None

    def begin(self) -> None:
        """After the stop signal: end once no new connections arrive and no work is pending."""
        self.reactor.callLater(NEW_CONNECTIONS_UNTIL_MS / 1000.0 + 2 * FLUSH_DELAY, self._close_when_idle)

    def _close_when_idle(self) -> None:
        self.broker.on_idle = self._close_if_idle
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self._closing:
            return
        if self.lifecycle.phase is Phase.HANDING_OVER and self.listener.has_client_connections:
            self._schedule_recheck()
        elif not self._has_pending_work():
            self._closing = True
            self.reactor.callLater(FLUSH_DELAY, self._close_now)

    def _schedule_recheck(self) -> None:
        """Check again after FLUSH_DELAY: no event reports the close of the clients' last connection."""
        if self._recheck is None or not self._recheck.active():
            self._recheck = self.reactor.callLater(FLUSH_DELAY, self._close_if_idle)

    def _has_pending_work(self) -> bool:
        # A connection that holds part of a request counts: it may be complete, and so accepted, any moment.
        since = self.clock() - PARTIAL_REQUEST_LIMIT
        begun = any(
            c.reader.has_partial_message and c.message_started_at > since for c in self.listener.connections
        )
        return begun or bool(self.broker.unanswered or self.broker.in_progress)

    def _has_unsent_answers(self) -> bool:
        """Whether the end would lose an answer that is not written yet, or that a slow client is reading."""
        since = self.clock() - UNSENT_ANSWER_LIMIT
        return any(c.has_unsent_response() and c.idle_since > since for c in self.listener.connections)

    def _close_now(self) -> None:
        self._closing = False
        if self._has_pending_work() or self._has_unsent_answers():
            self.reactor.callLater(FLUSH_DELAY, self._close_if_idle)
            return
        self.close()
