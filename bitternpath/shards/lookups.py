"""Looks a message up by its id, on any edge node."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, DeferredList
from twisted.python.failure import Failure

from bitternpath.configuration.placement import shard_group
from bitternpath.ingress.interfaces import FoundMessage, LookupFailure
from bitternpath.queue.sharding import split_message_id
from bitternpath.shards.owners import ShardOwners
from bitternpath.transport.shard_messages import StateRequest, StateResponse

LOOKUP_TIMEOUT_S = 1.5  # those who ask wait two seconds, with the way there and back
RETRY_S = 0.1


class MessageLookup:
    """Asks owners for the state of messages."""

    def __init__(self, reactor: Any, owners: ShardOwners) -> None:
        self.reactor, self.owners = reactor, owners
        self.shards = 0

    def find(self, message_id: str, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        """By the id that names the shard, or by a request id, for which all shards are asked.

        A client's request id may look like an id that names a shard: it is unknown only once all shards have
        said so of the whole text.
        """
        give_up_at = self.reactor.seconds() + LOOKUP_TIMEOUT_S
        shard, request_id = split_message_id(message_id)
        if shard is None or shard >= max(self.shards, 1):
            return self._everywhere(message_id, wants_body, give_up_at)
        named = _Search(self, shard, request_id, wants_body, give_up_at).answer
        return named.addCallback(self._or_everywhere, message_id, wants_body, give_up_at)

    def _or_everywhere(
        self, found: FoundMessage | LookupFailure, message_id: str, wants_body: bool, give_up_at: float
    ) -> FoundMessage | LookupFailure | Deferred[FoundMessage | LookupFailure]:
        if found is not LookupFailure.UNKNOWN_MESSAGE:
            return found
        return self._everywhere(message_id, wants_body, give_up_at)

    def _everywhere(
        self, request_id: str, wants_body: bool, give_up_at: float
    ) -> Deferred[FoundMessage | LookupFailure]:
        searches = [
            _Search(self, shard, request_id, wants_body, give_up_at).answer for shard in range(self.shards)
        ]
        return DeferredList(searches).addCallback(_first_found)


def _first_found(results: list[tuple[bool, Any]]) -> FoundMessage | LookupFailure:
    answers = [answer for _, answer in results]
    for answer in answers:
        if isinstance(answer, FoundMessage):
            return answer
    if not answers or LookupFailure.UNAVAILABLE in answers:
        return LookupFailure.UNAVAILABLE
    return LookupFailure.UNKNOWN_MESSAGE


class _Search:
    """One question to one shard, repeated until its owner answers."""

    def __init__(
        self, lookup: MessageLookup, shard: int, request_id: str, wants_body: bool, give_up_at: float
    ) -> None:
        self.lookup, self.group = lookup, shard_group(shard)
        self.request_id, self.wants_body = request_id, wants_body
        self.answer: Deferred[FoundMessage | LookupFailure] = Deferred()
        self._done = False
        patience = max(give_up_at - lookup.reactor.seconds(), 0.0)
        self._timer = lookup.reactor.callLater(patience, self._finish, LookupFailure.UNAVAILABLE)
        self._try()

    def _try(self) -> None:
        if self._done:
            return
        request = self.lookup.owners.ask(
            self.group, lambda number: StateRequest(number, self.group, self.request_id, self.wants_body)
        )
        if request is None:
            self._later()
        else:
            request.addCallbacks(self._answered, self._lost)

    def _answered(self, record: Any) -> None:
        if not isinstance(record, StateResponse):
            self._later()
        elif record.known:
            self._finish(FoundMessage(record.state, record.stamp, record.body))
        else:
            self._finish(LookupFailure.UNKNOWN_MESSAGE)

    def _lost(self, failure: Failure) -> None:
        self._later()

    def _later(self) -> None:
        if not self._done:
            self.lookup.reactor.callLater(RETRY_S, self._try)

    def _finish(self, found: FoundMessage | LookupFailure) -> None:
        if self._done:
            return
        self._done = True
        if self._timer.active():
            self._timer.cancel()
        self.answer.callback(found)
