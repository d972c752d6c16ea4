"""Appends messages to a shard, with retries until the outcome is known or the deadline has passed.

A rejection promises that the message will never run. It is returned only if no request was sent that could
still be appended: before the first request, or after refusals by owners that had proposed nothing. After a
request whose response was lost, the message stays with its shard. Appends are idempotent by request id, so
the append is retried there until it is accepted or its outcome is reported as unknown.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from twisted.internet.defer import Deferred, succeed
from twisted.python.failure import Failure

from bitternpath.configuration.placement import shard_group, shard_of
from bitternpath.net.clock import Clock, cancel_if_active
from bitternpath.queue.sharding import message_id, shard_for
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.results import Acceptance, AcceptResult
from bitternpath.transport.messages import Response
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import AppendRequest, AppendResponse, Refused

RETRY_INTERVAL_S = 0.02  # between attempts while the shard has no owner and the outcome is unknown
CLIENT_RETRY_AFTER_S = 1  # sent to rejected clients; a shard without an owner gets one within about that time
MAX_IN_FLIGHT = 2_000  # appends of this node; further ones are rejected immediately

_REJECTED = Acceptance(AcceptResult.REJECTED, retry_after_s=CLIENT_RETRY_AFTER_S)


def _no_waiting_worker(_: Message) -> str:
    return ""


class Appender:
    """Appends messages to the shards and counts the appends in flight."""

    def __init__(
        self,
        clock: Clock,
        owners: ShardOwners,
        zone: str,
        random: Random,
        waiting_worker_group: Callable[[Message], str] = _no_waiting_worker,
    ) -> None:
        """Create an appender that prefers owners in `zone` for messages without an order key.

        `waiting_worker_group(message)` returns a group at which a worker of this node waits for the message,
        or "".
        """
        self.clock = clock
        self.owners = owners
        self._zone = zone
        self._random = random
        self._waiting_worker_group = waiting_worker_group
        self.shard_count = 0  # number of shards in the system; 0 until the placement is known
        self.in_flight = 0

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Append a message; the Deferred fires within `deadline_ms` milliseconds and never fails."""
        shard = self._choose_shard(message)
        if shard is None or self.in_flight >= MAX_IN_FLIGHT:
            return succeed(_REJECTED)
        return _PendingAppend(self, message, shard, deadline_ms / 1000).result

    def _choose_shard(self, message: Message) -> int | None:
        """Return the shard of a message, or None if no suitable shard has an owner.

        The shard of an ordered message is determined by its key. For others, a shard at which a worker of
        this node waits is preferred, then one with an owner in this zone, then any shard with an owner.
        """
        if not self.shard_count:
            return None
        if message.order_key:
            shard = shard_for(message.order_key, 0, self.shard_count)
            return shard if self.owners.owner(shard_group(shard)) else None
        groups = self.owners.groups_in_zone(self._zone) or self.owners.owned_groups()
        waiting_at = self._waiting_worker_group(message)
        if waiting_at in groups:
            return shard_of(waiting_at)
        return shard_of(self._random.choice(groups)) if groups else None


class _PendingAppend:
    """One append, from its first request to its result."""

    def __init__(self, appender: Appender, message: Message, shard: int, deadline_s: float) -> None:
        self.result: Deferred[Acceptance] = Deferred()
        self._appender = appender
        self._message = message
        self._shard = shard
        self._group = shard_group(shard)
        self._outcome_unknown = False  # whether an earlier request may have been or may still be appended
        self._done = False
        self._timer = appender.clock.callLater(deadline_s, self._deadline_passed)
        appender.in_flight += 1
        self._attempt()

    def _attempt(self) -> None:
        if self._done:
            return
        response = self._appender.owners.request(
            self._group, lambda number: AppendRequest(number, self._group, self._message)
        )
        if response is None:
            self._retry_or_reject()
        else:
            response.addCallbacks(self._responded, self._response_lost)

    def _responded(self, record: Response) -> None:
        if self._done:
            return
        match record:
            case AppendResponse():
                message_name = message_id(self._shard, self._message.request_id)
                self._finish(Acceptance(AcceptResult.ACCEPTED, message_name))
            case Refused():
                self._retry_or_reject()
            case _:
                self._outcome_unknown = True
                self._retry()

    def _response_lost(self, _: Failure) -> None:
        if not self._done:
            self._outcome_unknown = True
            self._retry()

    def _retry_or_reject(self) -> None:
        """Handle an attempt that had no effect; reject the message if that is known of all attempts."""
        if self._outcome_unknown:
            self._retry()
        else:
            self._finish(_REJECTED)

    def _retry(self) -> None:
        self._appender.clock.callLater(RETRY_INTERVAL_S, self._attempt)

    def _deadline_passed(self) -> None:
        self._finish(Acceptance(AcceptResult.UNKNOWN))

    def _finish(self, acceptance: Acceptance) -> None:
        if self._done:
            return
        self._done = True
        self._appender.in_flight -= 1
        cancel_if_active(self._timer)
        self.result.callback(acceptance)
