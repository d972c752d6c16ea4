"""Appends messages to a shard until their fate is known or their time is up.

A refusal is a promise that the message will never run, so it is given only while nothing was ever sent that
could be appended: before the first request, or after owners that refused before they proposed anything. From
the first request whose answer was lost the message stays with its shard: an append is idempotent by its
request id, so it is repeated there, and the end is either an acceptance or no promise at all.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.configuration.placement import shard_group, shard_of
from bitternpath.ingress.interfaces import Acceptance, AcceptResult
from bitternpath.queue.sharding import message_id, shard_for
from bitternpath.shards.owners import ShardOwners
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import AppendRequest, AppendResponse, Refused

RETRY_S = 0.02  # between tries while the shard has no owner and the fate is open
RETRY_AFTER_S = 1  # told to clients: an owner is found again within about that time
MOST_OPEN = 2_000  # appends under way in this node; more are refused at once


class Appender:
    """Starts appends and counts those under way."""

    def __init__(
        self,
        reactor: Any,
        owners: ShardOwners,
        zone: str,
        random: Random,
        worker_waits_at: Callable[[Message], str] = lambda message: "",
    ) -> None:
        """`worker_waits_at` names a shard's group at which a worker of this node waits for such a message, if
        any."""
        self.reactor, self.owners, self.zone, self.random = reactor, owners, zone, random
        self._worker_waits_at = worker_waits_at
        self.shards = 0  # in the system; 0 until the placement is known
        self.in_flight = 0

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Keep a message; answers within `deadline_ms`, and never fails."""
        shard = self._choose(message)
        if shard is None or self.in_flight >= MOST_OPEN:
            refused: Deferred[Acceptance] = Deferred()
            refused.callback(Acceptance(AcceptResult.REFUSED, retry_after_s=RETRY_AFTER_S))
            return refused
        return _Append(self, message, shard, deadline_ms / 1000).answer

    def _choose(self, message: Message) -> int | None:
        """The shard of a message; None where it has no owner now.

        Ordered messages have one shard, by their key. Others go to where a worker waits for them, else to an
        owner in this zone, or to any.
        """
        if not self.shards:
            return None
        if message.order_key:
            shard = shard_for(message.order_key, 0, self.shards)
            return shard if self.owners.owner(shard_group(shard)) else None
        groups = self.owners.groups_near(self.zone) or self.owners.owned_groups()
        waits_at = self._worker_waits_at(message)
        if waits_at in groups:
            return shard_of(waits_at)
        return shard_of(self.random.choice(groups)) if groups else None


class _Append:
    """One message on its way."""

    def __init__(self, appender: Appender, message: Message, shard: int, deadline_s: float) -> None:
        self.appender, self.message, self.shard = appender, message, shard
        self.answer: Deferred[Acceptance] = Deferred()
        self._group = shard_group(shard)
        self._uncertain = False  # a request was sent whose answer hasn't come
        self._done = False
        self._timer = appender.reactor.callLater(deadline_s, self._time_up)
        appender.in_flight += 1
        self._try()

    def _try(self) -> None:
        if self._done:
            return
        request = self.appender.owners.ask(
            self._group, lambda number: AppendRequest(number, self._group, self.message)
        )
        if request is None:
            self._without_owner()
        else:
            request.addCallbacks(self._answered, self._lost)

    def _without_owner(self) -> None:
        if not self._uncertain:
            self._finish(Acceptance(AcceptResult.REFUSED, retry_after_s=RETRY_AFTER_S))
            return
        self.appender.reactor.callLater(RETRY_S, self._try)

    def _answered(self, record: Any) -> None:
        if self._done:
            return
        match record:
            case AppendResponse():
                name = message_id(self.shard, self.message.request_id)
                self._finish(Acceptance(AcceptResult.ACCEPTED, name))
            case Refused():
                self._refused()
            case _:
                self._uncertain = True
                self.appender.reactor.callLater(RETRY_S, self._try)

    def _refused(self) -> None:
        if self._uncertain:
            self.appender.reactor.callLater(RETRY_S, self._try)
        else:
            self._finish(Acceptance(AcceptResult.REFUSED, retry_after_s=RETRY_AFTER_S))

    def _lost(self, failure: Failure) -> None:
        if not self._done:
            self._uncertain = True
            self.appender.reactor.callLater(RETRY_S, self._try)

    def _time_up(self) -> None:
        self._finish(Acceptance(AcceptResult.UNDECIDED))

    def _finish(self, acceptance: Acceptance) -> None:
        if self._done:
            return
        self._done = True
        self.appender.in_flight -= 1
        if self._timer.active():
            self._timer.cancel()
        self.answer.callback(acceptance)
