"""One delivery in progress: its deadlines, its timer and its result."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from bitternpath.delivery.responses import ResponseOutcome
from bitternpath.delivery.results import DeliveryResult, RefusalKind, WorkerTarget
from bitternpath.net.clock import Clock, Timer, cancel_if_active
from bitternpath.transport.records import AttemptOutcome, Message

MIN_REMAINING_S = 0.02  # minimum time to the deadline for sending; a worker could not respond in less


class Exchange:
    """A delivery that waits for a connection and then for its response.

    `result` fires once, with a `DeliveryResult`, and never fails.
    """

    def __init__(self, target: WorkerTarget, message: Message, deadline_ms: int, clock: Clock) -> None:
        self.target = target
        self.message = message
        self.result: Deferred[DeliveryResult] = Deferred()
        self._clock = clock
        self._started_at = clock.seconds()
        self._deadline = self._started_at + deadline_ms / 1000
        self._send_by = min(self._deadline - MIN_REMAINING_S, self._started_at + target.send_within_s)
        self._timer: Timer | None = None

    @property
    def completed(self) -> bool:
        """Whether the result has fired."""
        return bool(self.result.called)

    def remaining_s(self) -> float:
        """Return the time until the deadline in seconds."""
        return self._deadline - self._clock.seconds()

    def send_time_s(self) -> float:
        """Return the time in seconds in which the request may still be sent."""
        return max(0.0, self._send_by - self._clock.seconds())

    def sendable(self) -> bool:
        """Whether the request may be sent now; check it immediately before sending."""
        return self._clock.seconds() <= self._send_by

    def set_timeout(self, timeout_s: float, expired: Callable[[], None]) -> None:
        """Call `expired` after `timeout_s`, unless a result or another time-out is set before."""
        self._stop_timer()
        self._timer = self._clock.callLater(max(0.0, timeout_s), expired)

    def complete(self, outcome: ResponseOutcome) -> None:
        """Fire the result unless it has already fired."""
        self._stop_timer()
        if self.completed:
            return
        elapsed_s = self._clock.seconds() - self._started_at
        self.result.callback(
            DeliveryResult(outcome.outcome, outcome.stamp, outcome.status, outcome.refusal, elapsed_s)
        )

    def complete_unsent(self, refusal: RefusalKind) -> None:
        """Fire the result with the outcome that the request was not sent."""
        self.complete(ResponseOutcome(AttemptOutcome.NOT_RUN, refusal=refusal))

    def _stop_timer(self) -> None:
        if self._timer is not None:
            cancel_if_active(self._timer)
