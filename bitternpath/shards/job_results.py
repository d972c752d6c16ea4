"""What a pulling worker reports of its job (PROTOCOL, "Workers")."""

from __future__ import annotations

from bitternpath.transport.records import AttemptOutcome

SUCCESS_STATUSES = range(200, 300)  # with a stamp; without one nothing is known of the outcome
FAILED_STATUS = 500
REJECTED_STATUS = 422
NOT_RUN_STATUSES = (400, 429, 503)


def outcome_of(status: int, stamp: str) -> AttemptOutcome:
    """The outcome that a worker's `X-Job-Status` and `X-Server-Stamp` stand for."""
    if status in SUCCESS_STATUSES and stamp:
        return AttemptOutcome.SUCCEEDED
    if status == FAILED_STATUS:
        return AttemptOutcome.FAILED
    if status == REJECTED_STATUS:
        return AttemptOutcome.REJECTED
    if status in NOT_RUN_STATUSES:
        return AttemptOutcome.NOT_RUN
    return AttemptOutcome.UNKNOWN
