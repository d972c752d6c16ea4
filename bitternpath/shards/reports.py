"""Reports of ended attempts to the owners of their shards."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import Deferred

from bitternpath.net.clock import Clock
from bitternpath.shards.lease_requests import LeaseRequest
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.results import LeaseAnswer
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import EndAttemptRequest

REPORT_TIMEOUT_S = 60.0  # longer than any lease; by then the owner has leased the message again


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """The end of an attempt under a lease."""

    group: str  # group of the shard that granted the lease
    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str = ""  # the worker's stamp if the attempt succeeded
    retry_after_ms: int = 0  # minimum back-off before the owner leases the message again

    def request(self, number: int) -> EndAttemptRequest:
        """Return the record to send to the owner under a request number."""
        return EndAttemptRequest(
            number, self.group, self.request_id, self.lease_id, self.outcome, self.stamp, self.retry_after_ms
        )


class AttemptReporter:
    """Sends attempt reports and counts the ones in flight."""

    def __init__(self, clock: Clock, owners: ShardOwners) -> None:
        self._clock = clock
        self._owners = owners
        self.in_flight = 0

    def send(self, report: AttemptReport, timeout_s: float = REPORT_TIMEOUT_S) -> Deferred[LeaseAnswer]:
        """Send a report and retry until an owner responds or `timeout_s` seconds have passed; never fails."""
        self.in_flight += 1
        request = LeaseRequest(self._clock, self._owners, report.group, report.request, timeout_s)
        return request.result.addCallback(self._ended)

    def _ended(self, answer: LeaseAnswer) -> LeaseAnswer:
        self.in_flight -= 1
        return answer
