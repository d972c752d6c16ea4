"""Interpretation of a pulling worker's report on its job (PROTOCOL, "Workers")."""

from __future__ import annotations

from bitternpath.transport.records import AttemptOutcome

SUCCESS_STATUSES = range(200, 300)  # only with a stamp; without one the outcome is unknown
FAILED_STATUS = 500
REJECTED_STATUS = 422
NOT_RUN_STATUSES = (400, 429, 503)


def outcome_of(status: int, stamp: str) -> AttemptOutcome:
    """Return the outcome for a worker's `X-Job-Status` and `X-Server-Stamp`."""
    if status in SUCCESS_STATUSES and stamp:
        return AttemptOutcome.SUCCEEDED
    if status == FAILED_STATUS:
        return AttemptOutcome.FAILED
    if status == REJECTED_STATUS:
        return AttemptOutcome.REJECTED
    if status in NOT_RUN_STATUSES:
        return AttemptOutcome.NOT_RUN
    return AttemptOutcome.UNKNOWN
