"""Owners of the shards as announced by the storage nodes, and requests to these owners."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bitternpath.transport.errors import LinkLostError
from bitternpath.transport.links import Link
from bitternpath.transport.messages import Record, Response
from bitternpath.transport.shard_messages import Ownership


@dataclass(frozen=True, slots=True)
class Owner:
    """A shard's owner."""

    link: Link
    epoch: int  # increases with each change of owner; the announcement with the highest epoch is valid
    zone: str  # failure domain of the owner; "" if its node has not announced one


class _PendingRequest:
    """A request to an owner. It ends with its response, the end of the link or a change of owner."""

    def __init__(self, link: Link, pending: dict[_PendingRequest, None]) -> None:
        self.link = link
        self.response: Deferred[Response] = Deferred()
        self._pending = pending
        pending[self] = None

    def complete(self, record: Response) -> None:
        """Fire with the owner's response; a response after the end of the request is dropped."""
        if self._end():
            self.response.callback(record)

    def fail(self, _: Failure | None = None) -> None:
        """Fail with `LinkLostError`: no response will arrive, or the node is no longer the owner."""
        if self._end():
            self.response.errback(LinkLostError())

    def _end(self) -> bool:
        """End the request; returns False if it had already ended."""
        if self not in self._pending:
            return False
        del self._pending[self]
        return True


class ShardOwners:
    """The owners by replica group, and the pending requests to them.

    `owner_changed` is called with a group's name after each change of its owner, including the loss of it.
    """

    def __init__(self, owner_changed: Callable[[str], None]) -> None:
        self._owners: dict[str, Owner] = {}
        self._pending: dict[str, dict[_PendingRequest, None]] = {}  # by group, in the order of sending
        self._owner_changed = owner_changed

    def request(self, group: str, make_record: Callable[[int], Record]) -> Deferred[Response] | None:
        """Send the record `make_record(request number)` to the group's owner; None if it has no owner.

        The result fires with the response record. It fails with `LinkLostError` when the link ends or another
        node announces itself as the owner, since the former owner may be stopped or partitioned, which its
        link detects only much later. Use it only for idempotent requests: after a failure the outcome is
        unknown and the caller has to retry.
        """
        owner = self._owners.get(group)
        if owner is None:
            return None
        pending = _PendingRequest(owner.link, self._pending.setdefault(group, {}))
        owner.link.request(make_record).addCallbacks(pending.complete, pending.fail)
        return pending.response

    def owner(self, group: str) -> Owner | None:
        """Return the group's owner as last announced, or None."""
        return self._owners.get(group)

    def owned_groups(self) -> list[str]:
        """Return the groups that have an owner."""
        return list(self._owners)

    def groups_in_zone(self, zone: str) -> list[str]:
        """Return the groups whose owner is in a zone."""
        return [group for group, owner in self._owners.items() if owner.zone == zone]

    def ownership_changed(self, link: Link, ownership: Ownership) -> None:
        """Process a storage node's announcement that it owns a shard or no longer does.

        An announcement with an older epoch is ignored.
        """
        current = self._owners.get(ownership.group)
        if ownership.owns:
            if current is not None and current.epoch > ownership.epoch:
                return
            zone = link.peer.zone if link.peer else ""
            self._owners[ownership.group] = Owner(link, ownership.epoch, zone)
            self._owner_changed(ownership.group)
            self._fail_requests_to_others(ownership.group)
        elif current is not None and current.link is link:
            del self._owners[ownership.group]
            self._owner_changed(ownership.group)

    def link_closed(self, link: Link) -> None:
        """Remove the storage node of a closed link as the owner of its shards."""
        groups = [group for group, owner in self._owners.items() if owner.link is link]
        for group in groups:
            del self._owners[group]
            self._owner_changed(group)
            self._fail_requests_to_others(group)

    def _fail_requests_to_others(self, group: str) -> None:
        """Fail the pending requests to nodes other than the current owner."""
        owner = self._owners.get(group)
        for pending in list(self._pending.get(group, ())):
            if owner is None or pending.link is not owner.link:
                pending.fail()
