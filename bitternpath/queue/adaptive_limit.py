"""Adaptive limit on the leases in flight to one service."""

from __future__ import annotations

from bitternpath.transport.records import AttemptOutcome

MIN_LIMIT = 4.0  # leases in flight to a failing service, which probe whether it has recovered
MAX_LIMIT = 4096.0  # leases in flight; no limit in practice
DECREASE_INTERVAL_S = 0.1  # between decreases: a burst of failures with one cause halves the limit once
FAILURE_RATIO_THRESHOLD = 0.5  # ratio of failures among recent attempts above which the limit decreases
_RATIO_WEIGHT = 1 / 8  # weight of the newest attempt in the moving average of failures
_PACED_AFTER_UNANSWERED = 8  # consecutive attempts without a response after which new leases are paced
PACING_INTERVAL_S = 0.025  # between new leases to an unresponsive service; a response ends the pacing

_ANSWERED = frozenset({AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED})
_COUNTED_AS_FAILURE = frozenset({AttemptOutcome.FAILED, AttemptOutcome.UNKNOWN})


class AdaptiveConcurrencyLimit:
    """Limit on the leases in flight to one service: halved while most attempts fail, doubled by each success.

    Attempts that did not run do not change the limit. After several consecutive attempts without a response,
    new leases are also paced, so that a service that is down costs a bounded number of log entries.
    """

    def __init__(self) -> None:
        """Start at the maximum limit."""
        self.limit = MAX_LIMIT
        self._failure_ratio = 0.0
        self._next_decrease_at = 0.0
        self._unanswered = 0  # consecutive attempts without a response
        self._next_grant_at = 0.0

    def next_grant_time(self, now: float, in_flight: int) -> float | None:
        """Return when a new lease may be granted; `now` if immediately.

        None means that a lease in flight has to end first.
        """
        if in_flight >= self.limit:
            return None
        return max(now, self._next_grant_at)

    def record_grant(self, now: float) -> None:
        """Record a new lease."""
        if self._unanswered >= _PACED_AFTER_UNANSWERED:
            self._next_grant_at = now + PACING_INTERVAL_S

    def record_outcome(self, now: float, outcome: AttemptOutcome, in_flight: int) -> None:
        """Record the end of an attempt; `in_flight` is the number of leases before it, including its own."""
        if outcome in _ANSWERED:
            self._record_answered()
            return
        self._unanswered = 0 if outcome is AttemptOutcome.FAILED else self._unanswered + 1
        if outcome in _COUNTED_AS_FAILURE:
            self._record_failure(now, in_flight)

    def _record_answered(self) -> None:
        self._failure_ratio -= self._failure_ratio * _RATIO_WEIGHT
        self._unanswered = 0
        self._next_grant_at = 0.0
        self.limit = min(MAX_LIMIT, self.limit * 2)

    def _record_failure(self, now: float, in_flight: int) -> None:
        self._failure_ratio += (1 - self._failure_ratio) * _RATIO_WEIGHT
        if self._failure_ratio > FAILURE_RATIO_THRESHOLD and now >= self._next_decrease_at:
            self.limit = max(MIN_LIMIT, min(self.limit, float(in_flight)) / 2)
            self._next_decrease_at = now + DECREASE_INTERVAL_S
