"""Asks the owners of home shards for tokens of services with a rate."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Any

from twisted.internet.defer import Deferred, succeed

from bitternpath.queue.rate_limits import QUOTA_LEASE_S
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.quota_messages import TokenRequest, TokenResponse

LENDERS_USER = "tokens"


class Lenders:
    """Finds the owner of a shard: it is here, or its replica here knows it, or the members are asked in turn,
    from the one that the placement prefers."""

    def __init__(
        self,
        reactor: Any,
        hub: NodeHub,
        host: ReplicaHost,
        placements: Mapping[str, GroupPlacement],
        shards: Mapping[str, ShardRuntime],
    ) -> None:
        self._reactor, self._hub, self._host = reactor, hub, host
        self._placements, self._shards = placements, shards
        self._turns: Counter[str] = Counter()  # by group: which member is asked
        self._dialled: dict[str, str] = {}  # by group: the address that is asked
        self._unanswered: dict[str, float] = {}  # by group: when the first request without an answer went out

    def borrow(self, group: str, service: str, wanted: int) -> Deferred[int]:
        """Fires with the tokens that are lent; with none where no owner is found. Never fails."""
        here = self._shards.get(group)
        if here is not None and here.owner is not None:
            return succeed(here.lend(service, wanted))
        link = self._link(group)
        if link is None:
            return succeed(0)
        self._unanswered.setdefault(group, self._reactor.seconds())
        request = link.request(lambda number: TokenRequest(number, group, service, wanted))
        return request.addCallbacks(self._answered, lambda _: self._failed(group), callbackArgs=(group,))

    def _link(self, group: str) -> Link | None:
        self._give_up_silent(group)
        member = self._member(group)
        if member is None or member.member == self._host.member_id:
            self._turns[group] += 1
            return None
        self._dial(group, member.address)
        return self._hub.link_to(member.address)

    def _dial(self, group: str, address: str) -> None:
        """Have a link to the member that is asked, and to none that nobody asks any more: it may be gone."""
        before = self._dialled.get(group, address)
        self._dialled[group] = address
        if before not in self._dialled.values():
            self._hub.release(before, LENDERS_USER)
        self._hub.dial(address, LENDERS_USER)

    def _member(self, group: str) -> MemberAddress | None:
        placement = self._placements.get(group)
        if placement is None or not placement.members:
            return None
        leader = self._host.leader(group)
        known = next((member for member in placement.members if member.member == leader), None)
        return known or placement.members[self._turns[group] % len(placement.members)]

    def _give_up_silent(self, group: str) -> None:
        """Ask another member where one hasn't answered for so long that a loan would have lapsed."""
        since = self._unanswered.get(group)
        if since is not None and self._reactor.seconds() - since > QUOTA_LEASE_S:
            self._failed(group)

    def _answered(self, record: Any, group: str) -> int:
        if isinstance(record, TokenResponse):
            self._unanswered.pop(group, None)
            return record.tokens
        return self._failed(group)

    def _failed(self, group: str) -> int:
        self._unanswered.pop(group, None)
        self._turns[group] += 1
        return 0
