"""Borrowing of rate-limit tokens from the owners of other shards.

Each service with a rate limit has a home shard, whose owner lends tokens to the owners of the other shards
under short quota leases (see `queue.rate_limits`).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from twisted.internet.defer import Deferred, succeed

from bitternpath.net.clock import Clock
from bitternpath.queue.rate_limits import QUOTA_LEASE_S
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link
from bitternpath.transport.messages import Response
from bitternpath.transport.quota_messages import TokenRequest, TokenResponse

QUOTA_LINK_USER = "tokens"  # name as a user of the hub's links


class QuotaBorrower:
    """Finds the owner of a home shard and requests tokens from it.

    The owner is this node, or the leader that a replica here knows. Otherwise the members of the placement
    are tried in turn, the preferred one first.
    """

    def __init__(
        self,
        reactor: Clock,
        hub: NodeHub,
        host: ReplicaHost,
        placements: Mapping[str, GroupPlacement],
        shards: Mapping[str, ShardRuntime],
    ) -> None:
        """`placements` and `shards`, both by group, are the tables of `HostedShards`; they are only read."""
        self._reactor = reactor
        self._hub = hub
        self._host = host
        self._placements = placements
        self._shards = shards
        self._attempts: Counter[str] = Counter()  # failed attempts, by group; they select the next member
        self._dialled: dict[str, str] = {}  # address of the member that is tried, by group
        self._unanswered_since: dict[str, float] = {}  # when the first unanswered request was sent, by group

    def borrow(self, group: str, service: str, wanted: int) -> Deferred[int]:
        """Request up to `wanted` tokens of a service from the owner of `group`.

        Fires with the number of tokens lent, 0 if no owner is found; never fails.
        """
        local = self._shards.get(group)
        if local is not None and local.ownership is not None:
            return succeed(local.lend_tokens(service, wanted))
        link = self._link(group)
        if link is None:
            return succeed(0)
        self._unanswered_since.setdefault(group, self._reactor.seconds())
        request = link.request(lambda number: TokenRequest(number, group, service, wanted))
        return request.addCallbacks(self._answered, lambda _: self._failed(group), callbackArgs=(group,))

    def _link(self, group: str) -> Link | None:
        """The link to the member that is tried now; None if it isn't open."""
        self._skip_unresponsive(group)
        member = self._candidate(group)
        if member is None or member.member == self._host.member_id:
            self._attempts[group] += 1
            return None
        self._dial(group, member.address)
        return self._hub.link_to(member.address)

    def _dial(self, group: str, address: str) -> None:
        """Maintain a link to the member that is tried now.

        The link to the previous one is released: that member may be down permanently, and would be dialled
        again and again.
        """
        previous = self._dialled.get(group, address)
        self._dialled[group] = address
        if previous not in self._dialled.values():
            self._hub.release(previous, QUOTA_LINK_USER)
        self._hub.dial(address, QUOTA_LINK_USER)

    def _candidate(self, group: str) -> MemberAddress | None:
        placement = self._placements.get(group)
        if placement is None or not placement.members:
            return None
        leader = self._host.leader(group)
        known = next((member for member in placement.members if member.member == leader), None)
        return known or placement.members[self._attempts[group] % len(placement.members)]

    def _skip_unresponsive(self, group: str) -> None:
        """Try another member if one hasn't answered for longer than a loan lasts."""
        since = self._unanswered_since.get(group)
        if since is not None and self._reactor.seconds() - since > QUOTA_LEASE_S:
            self._failed(group)

    def _answered(self, record: Response, group: str) -> int:
        if isinstance(record, TokenResponse):
            self._unanswered_since.pop(group, None)
            return record.tokens
        return self._failed(group)

    def _failed(self, group: str) -> int:
        self._unanswered_since.pop(group, None)
        self._attempts[group] += 1
        return 0
