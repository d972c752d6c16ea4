"""Look-ups of a message's state by its id, which any edge node answers (PROTOCOL, "Messages")."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import Deferred, DeferredList
from twisted.python.failure import Failure

from bitternpath.configuration.placement import shard_group
from bitternpath.net.clock import Clock, cancel_if_active
from bitternpath.queue.sharding import split_message_id
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.results import FoundMessage, LookupFailure
from bitternpath.transport.messages import Response
from bitternpath.transport.shard_messages import StateRequest, StateResponse

LOOKUP_TIMEOUT_S = 1.5  # clients wait for two seconds, including the network round trip
RETRY_INTERVAL_S = 0.1  # between requests while a shard has no owner or its ownership is not confirmed

LookupResult = FoundMessage | LookupFailure


@dataclass(frozen=True, slots=True)
class _Query:
    """Parameters of a query, which are the same for every shard."""

    request_id: str
    wants_body: bool
    deadline: float  # on the edge node's clock, in seconds


class MessageLookup:
    """Queries the owners of shards for the state of messages."""

    def __init__(self, clock: Clock, owners: ShardOwners) -> None:
        self.clock = clock
        self.owners = owners
        self.shard_count = 0  # number of shards in the system; 0 until the placement is known

    def find(self, message_id: str, *, wants_body: bool) -> Deferred[LookupResult]:
        """Look up a message by a message id, which names its shard, or by a request id, in all shards.

        A client's request id may look like a message id. The result is therefore `UNKNOWN_MESSAGE` only if no
        shard knows the complete text as a request id. Fires within `LOOKUP_TIMEOUT_S` and never fails.
        """
        deadline = self.clock.seconds() + LOOKUP_TIMEOUT_S
        all_shards_query = _Query(message_id, wants_body, deadline)
        shard, request_id = split_message_id(message_id)
        if shard is None or shard >= max(self.shard_count, 1):
            return self._search_all(all_shards_query)
        from_named_shard = _ShardSearch(self, shard, _Query(request_id, wants_body, deadline)).result
        return from_named_shard.addCallback(self._search_all_if_unknown, all_shards_query)

    def _search_all_if_unknown(
        self, found: LookupResult, query: _Query
    ) -> LookupResult | Deferred[LookupResult]:
        if found is not LookupFailure.UNKNOWN_MESSAGE:
            return found
        return self._search_all(query)

    def _search_all(self, query: _Query) -> Deferred[LookupResult]:
        searches = [_ShardSearch(self, shard, query).result for shard in range(self.shard_count)]
        return DeferredList(searches).addCallback(_combined)


def _combined(results: list[tuple[bool, LookupResult]]) -> LookupResult:
    """Combine the results of all shards: the message is unknown only if no shard knows it."""
    found = [result for _, result in results]
    for result in found:
        if isinstance(result, FoundMessage):
            return result
    if not found or LookupFailure.UNAVAILABLE in found:
        return LookupFailure.UNAVAILABLE
    return LookupFailure.UNKNOWN_MESSAGE


class _ShardSearch:
    """One query to one shard, retried until its owner has responded."""

    def __init__(self, lookup: MessageLookup, shard: int, query: _Query) -> None:
        self.result: Deferred[LookupResult] = Deferred()
        self._lookup = lookup
        self._group = shard_group(shard)
        self._query = query
        self._done = False
        timeout_s = max(query.deadline - lookup.clock.seconds(), 0.0)
        self._timer = lookup.clock.callLater(timeout_s, self._finish, LookupFailure.UNAVAILABLE)
        self._attempt()

    def _attempt(self) -> None:
        if self._done:
            return
        query = self._query
        response = self._lookup.owners.request(
            self._group, lambda number: StateRequest(number, self._group, query.request_id, query.wants_body)
        )
        if response is None:
            self._retry()
        else:
            response.addCallbacks(self._responded, self._response_lost)

    def _responded(self, record: Response) -> None:
        if not isinstance(record, StateResponse):
            self._retry()
        elif record.known:
            self._finish(FoundMessage(record.state, record.stamp, record.body))
        else:
            self._finish(LookupFailure.UNKNOWN_MESSAGE)

    def _response_lost(self, _: Failure) -> None:
        self._retry()

    def _retry(self) -> None:
        if not self._done:
            self._lookup.clock.callLater(RETRY_INTERVAL_S, self._attempt)

    def _finish(self, found: LookupResult) -> None:
        if self._done:
            return
        self._done = True
        cancel_if_active(self._timer)
        self.result.callback(found)
