"""Exponential back-off with jitter before a message or a call-back is sent again."""

from __future__ import annotations

from random import Random

from msgspec import Struct

from bitternpath.transport.records import AttemptOutcome

_MAX_DOUBLINGS = 20  # past the maximum of every schedule; keeps the exponent small
_MIN_JITTER, _MAX_JITTER = 0.75, 1.25  # bounds of the uniform jitter factor


class BackoffSchedule(Struct, frozen=True):
    """First and maximum delay in seconds; each delay is twice the previous one."""

    initial_s: float
    max_s: float

    def delay(self, repetition: int, random: Random) -> float:
        """Return the seconds to wait after `repetition` earlier delays; draws one random number."""
        nominal = min(self.max_s, self.initial_s * 2.0 ** min(repetition, _MAX_DOUBLINGS))
        return nominal * random.uniform(_MIN_JITTER, _MAX_JITTER)


FAILED_BACKOFF = BackoffSchedule(0.1, 2.0)  # the worker responded; the message or a dependency of it fails
UNKNOWN_BACKOFF = BackoffSchedule(0.2, 2.0)  # the worker may be down or may still be running the message
NOT_RUN_BACKOFF = BackoffSchedule(0.05, 0.3)  # a worker may become free soon, possibly at another edge node
CALLBACK_BACKOFF = BackoffSchedule(0.3, 1.5)  # short, so that a recovered receiver is notified soon

_SCHEDULES = {
    AttemptOutcome.FAILED: FAILED_BACKOFF,
    AttemptOutcome.UNKNOWN: UNKNOWN_BACKOFF,
    AttemptOutcome.NOT_RUN: NOT_RUN_BACKOFF,
}


def backoff_after(outcome: AttemptOutcome, repetition: int, retry_after_ms: int, random: Random) -> float:
    """Return the seconds until a message may be leased again.

    `repetition` is the number of consecutive earlier attempts with the same outcome; `retry_after_ms` is the
    minimum that the worker requested. Draws a random number only for outcomes that have a schedule.
    """
    schedule = _SCHEDULES.get(outcome)
    delay = 0.0 if schedule is None else schedule.delay(repetition, random)
    return max(retry_after_ms / 1000, delay)
