"""Call-backs that owners of shards order from this edge node."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.defer import Deferred

from bitternpath.delivery.results import CallbackResult
from bitternpath.shards.owners import ShardOwners
from bitternpath.transport.records import MessageState
from bitternpath.transport.shard_messages import CallbackReport, CallbackRequest

RETRY_S = 0.1
MOST_REPORT_TRIES = 30  # the owner repeats an order whose report it doesn't get


class Receivers(Protocol):
    """`delivery.callback_client.CallbackClient`, as far as call-backs need it."""

    def notify(self, url: str, request_id: str, state: MessageState, stamp: str) -> Deferred[CallbackResult]:
        """Post to a receiver; never fails."""


class CallbackDispatcher:
    """Carries out orders and tells the owner how they went."""

    def __init__(self, reactor: Any, receivers: Receivers, owners: ShardOwners) -> None:
        self.reactor, self.receivers, self.owners = reactor, receivers, owners
        self.in_flight = 0

    def order_received(self, order: CallbackRequest) -> None:
        """An owner wants a receiver told."""
        self.in_flight += 1
        notified = self.receivers.notify(order.url, order.request_id, order.state, order.stamp)
        notified.addCallback(self._notified, order)

    def _notified(self, result: CallbackResult, order: CallbackRequest) -> None:
        self.in_flight -= 1
        taken = result is not CallbackResult.FAILED  # a refused one would be refused again
        self._tell(CallbackReport(order.group, order.request_id, taken), MOST_REPORT_TRIES)

    def _tell(self, report: CallbackReport, tries: int) -> None:
        owner = self.owners.owner(report.group)
        if owner is not None:
            owner.link.send(report)
        elif tries > 1:
            self.reactor.callLater(RETRY_S, self._tell, report, tries - 1)
