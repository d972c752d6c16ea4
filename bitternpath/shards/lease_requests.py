"""Requests about a lease, retried until the shard's owner has responded."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred

from bitternpath.net.clock import Clock
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.results import LeaseAnswer
from bitternpath.transport.messages import Record, Response
from bitternpath.transport.shard_messages import EndAttemptResponse

RETRY_INTERVAL_S = 0.1  # between attempts while the shard has no owner or the outcome is unknown

LeaseRecord = Callable[[int], Record]  # returns the record to send, given its request number


class LeaseRequest:
    """One idempotent request about a lease: the end of an attempt or an extension.

    `result` fires with the owner's response, or with `UNAVAILABLE` if no owner has responded within
    `timeout_s` seconds. It never fails.
    """

    __slots__ = ("_clock", "_deadline", "_group", "_make_record", "_owners", "result")

    def __init__(
        self, clock: Clock, owners: ShardOwners, group: str, make_record: LeaseRecord, timeout_s: float
    ) -> None:
        self.result: Deferred[LeaseAnswer] = Deferred()
        self._clock = clock
        self._owners = owners
        self._group = group
        self._make_record = make_record
        self._deadline = clock.seconds() + timeout_s
        self._attempt()

    def _attempt(self) -> None:
        if self._clock.seconds() >= self._deadline:
            self.result.callback(LeaseAnswer.UNAVAILABLE)
            return
        response = self._owners.request(self._group, self._make_record)
        if response is None:
            self._retry()
        else:
            response.addCallbacks(self._responded, lambda _: self._retry())

    def _responded(self, record: Response) -> None:
        if isinstance(record, EndAttemptResponse):
            self.result.callback(LeaseAnswer.ACKNOWLEDGED if record.accepted else LeaseAnswer.NOT_CURRENT)
        else:  # the node is not the owner, or the outcome is unknown
            self._retry()

    def _retry(self) -> None:
        self._clock.callLater(RETRY_INTERVAL_S, self._attempt)
