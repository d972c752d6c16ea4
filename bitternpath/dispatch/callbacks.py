"""Call-backs that owners of shards request from this edge node."""

from __future__ import annotations

from typing import Protocol

from twisted.internet.defer import Deferred

from bitternpath.delivery.results import CallbackResult
from bitternpath.net.clock import Clock
from bitternpath.shards.owners import ShardOwners
from bitternpath.transport.records import MessageState
from bitternpath.transport.shard_messages import CallbackReport, CallbackRequest

RETRY_INTERVAL_S = 0.1  # between attempts to report while the shard has no owner
MAX_REPORT_ATTEMPTS = 30  # after that the owner repeats the request, since it got no report


class CallbackSender(Protocol):
    """The part of `delivery.callback_client.CallbackClient` that is used here."""

    def notify(self, url: str, request_id: str, state: MessageState, stamp: str) -> Deferred[CallbackResult]:
        """Send one call-back; the Deferred never fails."""


class CallbackDispatcher:
    """Sends the call-backs that owners request, and reports the results to the shard's owner."""

    def __init__(self, clock: Clock, sender: CallbackSender, owners: ShardOwners) -> None:
        self._clock = clock
        self._sender = sender
        self._owners = owners
        self.in_flight = 0  # call-backs, without pending reports

    def request_received(self, request: CallbackRequest) -> None:
        """Send the call-back that an owner requests."""
        self.in_flight += 1
        sent = self._sender.notify(request.url, request.request_id, request.state, request.stamp)
        sent.addCallback(self._ended, request)

    def _ended(self, result: CallbackResult, request: CallbackRequest) -> None:
        self.in_flight -= 1
        final = result is not CallbackResult.FAILED  # a rejected call-back would be rejected again
        report = CallbackReport(request.group, request.request_id, final)
        self._report(report, MAX_REPORT_ATTEMPTS)

    def _report(self, report: CallbackReport, attempts_left: int) -> None:
        owner = self._owners.owner(report.group)
        if owner is not None:
            owner.link.send(report)
        elif attempts_left > 1:
            self._clock.callLater(RETRY_INTERVAL_S, self._report, report, attempts_left - 1)
