"""Pauses before a message is handed out again, and the limit on fresh leases to a failing service."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bitternpath.transport.records import AttemptOutcome


@dataclass(frozen=True, slots=True)
class BackoffSchedule:
    """Seconds of the first pause, and of the longest; each pause doubles the one before."""

    first_s: float
    longest_s: float

    def pause(self, repetition: int, random: Random) -> float:
        """The pause after `repetition` earlier ones, spread by a quarter to both sides."""
        plain = min(self.longest_s, self.first_s * 2.0 ** min(repetition, 20))
        return plain * random.uniform(0.75, 1.25)


FAILED_BACKOFF = BackoffSchedule(0.1, 2.0)  # the worker is well; the message or what it needs is not
UNKNOWN_BACKOFF = BackoffSchedule(0.2, 2.0)  # the worker may be down, or at work on it still
NOT_RUN_BACKOFF = BackoffSchedule(0.05, 0.3)  # a place is wanted, perhaps elsewhere
CALLBACK_BACKOFF = BackoffSchedule(0.3, 1.5)  # short: a receiver that is back must be told soon

_SCHEDULES = {
    AttemptOutcome.FAILED: FAILED_BACKOFF,
    AttemptOutcome.UNKNOWN: UNKNOWN_BACKOFF,
    AttemptOutcome.NOT_RUN: NOT_RUN_BACKOFF,
}


def backoff_after(outcome: AttemptOutcome, repetition: int, retry_after_ms: int, random: Random) -> float:
    """Seconds until a message may be handed out again after its `repetition`-th such end in a row."""
    schedule = _SCHEDULES.get(outcome)
    pause = 0.0 if schedule is None else schedule.pause(repetition, random)
    return max(retry_after_ms / 1000, pause)


MIN_LIMIT = 4.0  # leases out, however badly a service does: they are its probes
MAX_LIMIT = 4096.0  # leases out: no limit in practice
CUT_INTERVAL_S = 0.1  # a burst of failures of one cause halves the window once
FAILING_SHARE = 0.5  # of recent attempts
_SHARE_WEIGHT = 1 / 8  # of the newest attempt in the share of failures
_PACED_AFTER = 8  # ends in a row without an answer
PACING_INTERVAL_S = 0.025  # between fresh leases to a service that answers nothing; an answer lifts it


class AdaptiveConcurrencyLimit:
    """Limit of leases out to one service: halved while most attempts fail, doubled by each success.

    Attempts that did not run say nothing of the window; but after several ends in a row without any answer,
    fresh leases are also paced, so that a service that is down costs a bounded number of log entries.
    """

    def __init__(self) -> None:
        self.window = MAX_LIMIT
        self._failing_share = 0.0
        self._next_cut = 0.0
        self._barren = 0
        self._next_grant = 0.0

    def next_grant(self, now: float, out: int) -> float | None:
        """When a fresh lease may go out (`now`: at once); None: only after one of those out has ended."""
        if out >= self.window:
            return None
        return max(now, self._next_grant)

    def granted(self, now: float) -> None:
        """A fresh lease goes out."""
        if self._barren >= _PACED_AFTER:
            self._next_grant = now + PACING_INTERVAL_S

    def record(self, now: float, outcome: AttemptOutcome, out: int) -> None:
        """An attempt has ended, with `out` leases out before its end."""
        if outcome in (AttemptOutcome.SUCCEEDED, AttemptOutcome.REJECTED):
            self._failing_share -= self._failing_share * _SHARE_WEIGHT
            self._barren = 0
            self._next_grant = 0.0
            self.window = min(MAX_LIMIT, self.window * 2)
            return
        self._barren = 0 if outcome is AttemptOutcome.FAILED else self._barren + 1
        if outcome not in (AttemptOutcome.FAILED, AttemptOutcome.UNKNOWN):
            return
        self._failing_share += (1 - self._failing_share) * _SHARE_WEIGHT
        if self._failing_share > FAILING_SHARE and now >= self._next_cut:
            self.window = max(MIN_LIMIT, min(self.window, float(out)) / 2)
            self._next_cut = now + CUT_INTERVAL_S
