"""Reports of ended deliveries, repeated until a shard's owner has taken or refused them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.shards.owners import ShardOwners
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import EndAttemptRequest, EndAttemptResponse

RETRY_S = 0.1
GIVE_UP_S = 60.0  # longer than any lease: the owner has long given the message to somebody else


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How a delivery under a lease ended."""

    group: str
    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str = ""
    retry_after_ms: int = 0

    def request(self, number: int) -> EndAttemptRequest:
        """The record for the owner."""
        return EndAttemptRequest(
            number, self.group, self.request_id, self.lease_id, self.outcome, self.stamp, self.retry_after_ms
        )


@dataclass(slots=True)
class _Pending:
    report: AttemptReport
    give_up_at: float
    answer: Deferred[bool | None] = field(default_factory=Deferred)


class AttemptReporter:
    """Reports on their way."""

    def __init__(self, reactor: Any, owners: ShardOwners) -> None:
        self.reactor, self.owners = reactor, owners
        self.in_flight = 0
        self._idle: list[Callable[[], None]] = []

    def send(self, report: AttemptReport, patience_s: float = GIVE_UP_S) -> Deferred[bool | None]:
        """Whether the owner took it; None where no owner could be asked in time. Never fails."""
        pending = _Pending(report, self.reactor.seconds() + patience_s)
        self.in_flight += 1
        self._try(pending)
        return pending.answer

    def when_idle(self, call: Callable[[], None]) -> None:
        """Call back once no report is on its way."""
        if self.in_flight:
            self._idle.append(call)
        else:
            call()

    def _try(self, pending: _Pending) -> None:
        if self.reactor.seconds() >= pending.give_up_at:
            self._finish(pending, None)
            return
        request = self.owners.ask(pending.report.group, pending.report.request)
        if request is None:
            self._later(pending)
            return
        request.addCallbacks(self._answered, self._lost, callbackArgs=(pending,), errbackArgs=(pending,))

    def _answered(self, record: Any, pending: _Pending) -> None:
        if isinstance(record, EndAttemptResponse):
            self._finish(pending, record.taken)
        else:
            self._later(pending)

    def _lost(self, failure: Failure, pending: _Pending) -> None:
        self._later(pending)

    def _later(self, pending: _Pending) -> None:
        self.reactor.callLater(RETRY_S, self._try, pending)

    def _finish(self, pending: _Pending, taken: bool | None) -> None:
        self.in_flight -= 1
        pending.answer.callback(taken)
        if not self.in_flight:
            idle, self._idle = self._idle, []
            for call in idle:
                call()
